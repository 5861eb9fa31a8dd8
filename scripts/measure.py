"""Replay seeded traces under each policy and fault, and print one result line per run."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from bergamothill.version.config import PolicyWeights
from scripts.measurement.policies import POLICIES
from scripts.measurement.replay import Fault, Outcome, Replay
from scripts.measurement.trace import DEPLOYMENTS, FLOODING_BRAND

WORKERS = 3
LENGTH_MS = 600_000
TTFT_OBJECTIVE_MS = 440


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile, or NaN if there are no values.

    :param percent: from 0 to 100
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def measure(
    deployment: str,
    fault: Fault,
    policy: str,
    seed: int,
    length_ms: int,
    weights: PolicyWeights | None = None,
) -> str:
    """Run one replay and return its result line.

    :param length_ms: length of the trace, in milliseconds
    :param weights: override of the deployment's weights
    """
    simulated = DEPLOYMENTS[deployment]
    simulated = replace(simulated, weights=weights or simulated.weights)
    replay = Replay(simulated, POLICIES[policy], fault, seed, length_ms)
    replay.run()
    outcomes = [each for each in replay.outcomes if each.arrival.at_ms >= replay.fault_ms]
    prefix = f"measure deployment={deployment} fault={fault.value} policy={policy} seed={seed} "
    return prefix + _format_figures(outcomes, replay)


def _format_figures(outcomes: Sequence[Outcome], replay: Replay) -> str:
    returning = [each for each in outcomes if each.arrival.returning_tokens]
    answered = [each for each in returning if each.ttft_ms is not None]
    victims = [each for each in returning if not _is_from_flooding_brand(each)]
    ttfts = [each.ttft_ms for each in answered]
    ratios = [each.ttft_ms / each.floor.ttft_ms for each in answered]
    expected = [
        each for each in returning if each.ttft_ms is not None or not _is_from_flooding_brand(each)
    ]
    attainable = [each for each in expected if each.floor.ttft_ms <= TTFT_OBJECTIVE_MS]
    met = [
        each for each in attainable if (each.ttft_ms or TTFT_OBJECTIVE_MS + 1) <= TTFT_OBJECTIVE_MS
    ]
    total_returning_tokens = max(1, sum(each.arrival.returning_tokens for each in answered))
    recomputed = sum(each.recomputed_tokens for each in answered)
    recomputed_floor = sum(each.floor.recomputed_tokens for each in answered)
    victim_ttfts = [each.ttft_ms for each in victims if each.ttft_ms is not None]
    unanswered = sum(each.ttft_ms is None for each in outcomes)
    victims_refused = sum(each.ttft_ms is None for each in victims)
    return (
        f"ttft_p50_ms={percentile(ttfts, 50):.0f} ttft_p95_ms={percentile(ttfts, 95):.0f}"
        f" ttft_floor_ratio_p95={percentile(ratios, 95):.2f}"
        f" recomputed_share={recomputed / total_returning_tokens:.3f}"
        f" recomputed_floor={recomputed_floor / total_returning_tokens:.3f}"
        f" link_bytes_ratio={replay.import_bytes / max(1, replay.needed_bytes):.2f}"
        f" refused_share={unanswered / max(1, len(outcomes)):.3f}"
        f" victim_ttft_p95_ms={percentile(victim_ttfts, 95):.0f}"
        f" ttft_floor_ratio_p50={percentile(ratios, 50):.2f}"
        f" ttft_440_share={len(met) / max(1, len(attainable)):.3f}"
        f" victim_refused_share={victims_refused / max(1, len(victims)):.3f}"
        f" prompts={len(returning)}"
    )


def _is_from_flooding_brand(outcome: Outcome) -> bool:
    return outcome.arrival.conversation.brand == f"brand-{FLOODING_BRAND}"


def main() -> int:
    """Run the selected replays and print their result lines in a fixed order.

    :returns: 0
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length-ms", type=int, default=LENGTH_MS)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--weights", type=float, nargs=4, help="ttft recompute link late")
    parser.add_argument("--deployment", nargs="*", default=list(DEPLOYMENTS))
    parser.add_argument("--fault", nargs="*", default=[fault.value for fault in Fault])
    parser.add_argument("--policy", nargs="*", default=list(POLICIES))
    arguments = parser.parse_args()
    weights = PolicyWeights(*arguments.weights) if arguments.weights else None
    with ProcessPoolExecutor(max_workers=arguments.workers) as pool:
        futures = [
            pool.submit(
                measure,
                deployment,
                Fault(fault),
                policy,
                arguments.seed,
                arguments.length_ms,
                weights,
            )
            for deployment in arguments.deployment
            for fault in arguments.fault
            for policy in arguments.policy
        ]
        for future in futures:
            print(future.result(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
