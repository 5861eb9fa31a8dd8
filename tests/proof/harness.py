"""Harness of the proofs: runs a state machine with its mechanism enabled, then disabled."""

from __future__ import annotations

import io
from contextlib import redirect_stdout
from dataclasses import dataclass
from typing import ClassVar

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = ["Proof", "ProofMachine", "ProofResult", "check_proof", "run_proof"]

DISABLED_OPERATIONS = 20_000
DISABLED_SEEDS = 5
STEPS_PER_EXAMPLE = 50


class ProofMachine(RuleBasedStateMachine):
    """Base class of the state machines of the proofs.

    Each rule calls :meth:`operation` once, or :meth:`fault` if it injects a failure.
    ``mechanism_enabled`` tells the machine whether to build its subject with the mechanism under
    test or with a test double that lacks it.
    """

    mechanism_enabled: ClassVar[bool] = True
    operations: ClassVar[int] = 0
    faults: ClassVar[int] = 0

    def operation(self) -> None:
        """Count one operation without a fault."""
        type(self).operations += 1

    def fault(self) -> None:
        """Count one operation that injects a failure."""
        type(self).operations += 1
        type(self).faults += 1


@dataclass(frozen=True, slots=True)
class Proof:
    """One property to prove.

    :param slug: name of the property in the result line
    :param machine: state machine that checks the property
    """

    slug: str
    machine: type[ProofMachine]


@dataclass(frozen=True, slots=True)
class ProofResult:
    """Outcome of one proof.

    :param report: shrunk failing sequence with the mechanism enabled; empty if none was found
    """

    slug: str
    seed: int
    operations: int
    faults: int
    violations: int
    violations_when_disabled: int
    report: str

    def line(self) -> str:
        """Return the line that ``make proof`` prints."""
        return (
            f"proof point={self.slug} seed={self.seed} operations={self.operations}"
            f" faults={self.faults} violations={self.violations}"
            f" violations_when_disabled={self.violations_when_disabled}"
        )


def _variant(proof: Proof, enabled: bool) -> type[ProofMachine]:
    name = proof.machine.__name__ + ("" if enabled else "Disabled")
    attributes = {"mechanism_enabled": enabled, "operations": 0, "faults": 0}
    return type(name, (proof.machine,), attributes)


def _run(
    machine: type[ProofMachine], operations: int, run_seed: int | None, *, shrink: bool = True
) -> str:
    """Run about that many operations; return the report of a violation, or an empty string."""
    options = settings(
        max_examples=max(1, operations // STEPS_PER_EXAMPLE),
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        derandomize=run_seed is None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate, Phase.shrink) if shrink else (Phase.generate,),
        verbosity=Verbosity.normal,
        print_blob=False,
        report_multiple_bugs=False,
    )
    output = io.StringIO()
    try:
        with redirect_stdout(output):
            run_state_machine_as_test(machine, settings=options)
    except AssertionError as error:
        notes = "\n".join(getattr(error, "__notes__", ()))
        return f"{notes}\n{output.getvalue()}\n{error}".strip() or repr(error)
    return ""


def _run_disabled(proof: Proof, run_seed: int | None) -> str:
    """Run with the mechanism disabled until a violation is found.

    Hypothesis draws constants from all loaded modules, so what a seed finds depends on them.
    Several seeds are tried before the proof counts as unable to detect the missing mechanism.
    """
    initial_seeds = [run_seed] if run_seed is not None else [None]
    for next_seed in [*initial_seeds, *range(1, DISABLED_SEEDS + 1)]:
        disabled = _variant(proof, enabled=False)
        if next_seed is not None:
            seed(next_seed)(disabled)
        report = _run(disabled, DISABLED_OPERATIONS, next_seed, shrink=False)
        if report:
            return report
    return ""


def run_proof(proof: Proof, *, operations: int, run_seed: int | None) -> ProofResult:
    """Run a proof with the mechanism enabled, then with it disabled.

    :param proof: property to prove
    :param operations: minimum number of operations with the mechanism enabled
    :param run_seed: seed of the run; with ``None`` the run is derandomized
    :returns: counts and, for a violation, the shrunk failing sequence
    :raises Exception: any exception but ``AssertionError`` is a bug in the proof and propagates
    """
    enabled = _variant(proof, enabled=True)
    report = ""
    batch = 0
    while enabled.operations < operations and not report:
        if run_seed is not None:
            seed(run_seed * 1_000 + batch)(enabled)
        report = _run(enabled, operations - enabled.operations, run_seed)
        batch += 1
        if run_seed is None:
            break
    disabled_report = _run_disabled(proof, run_seed)
    return ProofResult(
        slug=proof.slug,
        seed=run_seed or 0,
        operations=enabled.operations,
        faults=enabled.faults,
        violations=int(bool(report)),
        violations_when_disabled=int(bool(disabled_report)),
        report=report,
    )


def check_proof(case: object, proof: Proof, *, operations: int = 2_000) -> None:
    """Run a short, derandomized form of a proof inside a unit test.

    :param case: the running ``unittest.TestCase``
    :param proof: property to prove
    :param operations: approximate number of operations to run
    """
    result = run_proof(proof, operations=operations, run_seed=None)
    case.assertEqual("", result.report)
    case.assertEqual(
        1, result.violations_when_disabled, "the proof does not detect the disabled mechanism"
    )
