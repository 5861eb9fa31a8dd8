"""Run all proofs, or the named ones, and print one result line each."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
from concurrent.futures import ProcessPoolExecutor

import tests.proof
from tests.proof.harness import Proof, ProofResult, run_proof

OPERATIONS = 100_000
WORKERS = 10


def find_proofs() -> dict[str, Proof]:
    """Return the proofs by slug, from the ``PROOFS`` of each module in ``tests.proof``."""
    proofs: dict[str, Proof] = {}
    for module_info in pkgutil.iter_modules(tests.proof.__path__):
        module = importlib.import_module(f"tests.proof.{module_info.name}")
        for proof in getattr(module, "PROOFS", ()):
            proofs[proof.slug] = proof
    return proofs


def run_proof_by_slug(slug: str, operations: int, run_seed: int) -> ProofResult:
    """Run one proof in a worker process."""
    return run_proof(find_proofs()[slug], operations=operations, run_seed=run_seed)


def main() -> int:
    """Run the selected proofs and print their result lines.

    :returns: 0 if no proof found a violation and each found one with its mechanism disabled
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--operations", type=int, default=OPERATIONS)
    parser.add_argument("--jobs", type=int, default=WORKERS, help="processes to use")
    parser.add_argument("points", nargs="*")
    arguments = parser.parse_args()
    slugs = arguments.points or sorted(find_proofs())
    failed = False
    with ProcessPoolExecutor(max_workers=arguments.jobs) as pool:
        futures = [
            pool.submit(run_proof_by_slug, slug, arguments.operations, arguments.seed)
            for slug in slugs
        ]
        for future in futures:
            result = future.result()
            print(result.line(), flush=True)
            if result.report:
                print(result.report, flush=True)
            failed |= result.violations > 0 or result.violations_when_disabled == 0
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
