"""Proof that no request uses blocks or gets tokens of a weight version other than its own."""

from dataclasses import dataclass, field, replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.engine import EngineState, EventKind, StreamEvent
from bergamothill.errors import WeightVersionError
from bergamothill.ids import Incarnation, Revision, WeightVersion
from bergamothill.request.inference import InferenceMachine, Placed
from bergamothill.version.block import chain_blocks
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.weights import RunVersion, pin_version, reports_loaded
from tests.proof.harness import Proof, ProofMachine

MODEL = "m"
VERSIONS = ("v1", "v2", "v3")
VERSION = st.sampled_from(VERSIONS)
ENGINES = 2
RUNS = 4
PICK = st.integers(0, RUNS - 1)
ENGINE = st.integers(0, ENGINES - 1)
TOKENS = 3
CHAINS = {
    version: chain_blocks(
        "b", MODEL, "", WeightVersion(version), ({"role": "user", "content": "x" * 99},), 16
    )
    for version in VERSIONS
}


class UncheckedRunVersion(RunVersion):
    """Test double that does not check the weight version in START."""

    def check(self, event):
        pass

    def may_export(self, chain):
        return True


class UncheckedMachine(InferenceMachine):
    def _new_run_version(self, server, *, is_confirmed):
        return UncheckedRunVersion(self._version, server)


@dataclass
class Engine:
    """Engine whose START names the version it actually runs, whatever its state report says.

    :param kept: pairs of block key and the version that actually computed the block
    """

    loaded: set = field(default_factory=lambda: {"v1"})
    forced: str = ""
    kept: set = field(default_factory=set)
    reported: EngineState | None = None

    def state(self):
        versions = frozenset(f"{MODEL}:{version}" for version in self.loaded)
        return EngineState(Incarnation(1), False, versions)


@dataclass
class ActiveRun:
    machine: InferenceMachine
    pinned: str
    chain: object
    engine: Engine
    actual_version: str
    events: list
    refused: bool = False


class WeightMachine(ProofMachine):
    """Runs and exports during rollouts, stale orders and engines that run the wrong version."""

    @initialize()
    def set_up(self):
        self.engines = [Engine() for _ in range(ENGINES)]
        for engine in self.engines:
            engine.reported = engine.state()
        self.runs = []
        self.store = {}
        self.configure("v1")

    def configure(self, version):
        model = ModelConfig(MODEL, WeightVersion(version), WeightVersion(version))
        self.configuration = Configuration(Revision(1), models={MODEL: model})

    # Operators and lease holders.

    @rule(version=VERSION)
    def swap(self, version):
        """Roll out a version: swap it in at each engine, then pin new requests to it."""
        self.operation()
        for engine in self.engines:
            engine.loaded = {version}
        self.configure(version)

    @rule(version=VERSION)
    def configure_before_the_engines(self, version):
        self.operation()
        self.configure(version)

    @rule(pick=ENGINE, version=VERSION)
    def stale_order(self, pick, version):
        """Apply an order of a former lease holder at an engine that ignores fencing."""
        self.fault()
        self.engines[pick].loaded = {version}

    @rule(pick=ENGINE)
    def report_state(self, pick):
        self.operation()
        self.engines[pick].reported = self.engines[pick].state()

    @rule(pick=ENGINE, version=st.sampled_from(("", *VERSIONS)))
    def force_version(self, pick, version):
        """Make an engine run this version from now on, whatever is requested or reported."""
        self.fault()
        self.engines[pick].forced = version

    @rule(pick=ENGINE)
    def restart_engine(self, pick):
        self.fault()
        engine = self.engines[pick]
        engine.kept.clear()
        self.runs = [run for run in self.runs if run.engine is not engine]

    # Runs.

    @rule(pick=ENGINE)
    def start_run(self, pick):
        self.operation()
        engine = self.engines[pick]
        pinned = pin_version(self.configuration, MODEL)
        if not reports_loaded(engine.reported, MODEL, pinned):
            return
        if pinned not in engine.loaded and not engine.forced:
            return
        self._begin(engine, pinned)

    @precondition(lambda self: self.store)
    @rule(pick=ENGINE)
    def start_returning_run(self, pick):
        """Import the stored blocks of the pinned version, then start a run."""
        self.operation()
        engine = self.engines[pick]
        pinned = pin_version(self.configuration, MODEL)
        chain = CHAINS[pinned]
        for key in chain.keys:
            if key in self.store:
                assert self.store[key] == pinned, "an import contains blocks of another version"
        if pinned in engine.loaded or engine.forced:
            self._begin(engine, pinned)

    def _begin(self, engine, pinned):
        actual_version = engine.forced or pinned
        machine = (InferenceMachine if self.mechanism_enabled else UncheckedMachine)(pinned)
        machine.begin()
        machine.handle(Placed("e", "s"))
        machine.mark_sending()
        events = [StreamEvent(0, EventKind.START, weight_version=actual_version)]
        events += [StreamEvent(n, EventKind.TOKEN, actual_version) for n in range(1, TOKENS + 1)]
        events.append(StreamEvent(TOKENS + 1, EventKind.END, finish_reason="stop"))
        chain = CHAINS[pinned]
        engine.kept.update((key, actual_version) for key in chain.keys)
        run = ActiveRun(machine, pinned, chain, engine, actual_version, events)
        self.runs = [*self.runs[-RUNS + 1 :], run]

    @precondition(lambda self: self.runs)
    @rule(pick=PICK, count=st.integers(1, TOKENS + 2))
    def step_run(self, pick, count):
        self.operation()
        run = self.runs[pick % len(self.runs)]
        for _ in range(count):
            self._deliver(run)

    @precondition(lambda self: self.runs)
    @rule(pick=PICK, renumbered=st.booleans())
    def lose_start(self, pick, renumbered):
        """Lose the START event; the rest arrives with original or shifted sequence numbers."""
        self.fault()
        run = self.runs[pick % len(self.runs)]
        if run.events and run.events[0].kind is EventKind.START:
            run.events.pop(0)
            if renumbered:
                run.events = [replace(e, sequence=e.sequence - 1) for e in run.events]

    def _deliver(self, run):
        if run.refused or not run.events:
            return
        event = run.events.pop(0)
        try:
            ready = run.machine.receive(event)
        except WeightVersionError:
            run.refused = True
            return
        for event in ready:
            is_own = event.kind is not EventKind.TOKEN or event.text == run.pinned
            assert is_own, "a caller got tokens of another version"

    # Exports, at any time after the start of the run.

    @precondition(lambda self: self.runs)
    @rule(pick=PICK, version=VERSION, own=st.booleans())
    def export(self, pick, version, own):
        """Export the blocks of a run under the chain of its own version or of a drawn one."""
        self.operation()
        run = self.runs[pick % len(self.runs)]
        chain = run.chain if own else CHAINS[version]
        if not run.machine.may_export(chain):
            return
        for key in run.chain.keys:
            if (key, run.actual_version) in run.engine.kept:
                stored_key = chain.keys[run.chain.keys.index(key)]
                self.store[stored_key] = run.actual_version
                assert run.actual_version == chain.weight_version, (
                    "a block is stored under another version"
                )


PROOFS = (Proof(slug="weight-versions", machine=WeightMachine),)
