"""Accepted means in force everywhere within the bound, and never reverts."""

from __future__ import annotations

import logbook
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from bergamothill.errors import BergamothillError, ConflictError, Execution, PeerTimeoutError
from bergamothill.version.change import SetDefault
from bergamothill.version.follower import ConfigurationFollower, Source
from bergamothill.version.record import Head, decode
from bergamothill.version.revision import ConfigurationWriter, new_change_id
from bergamothill.version.watcher import ConfigurationWatcher
from tests.proof.configuration_world import TICK_MS, WATCH_SILENCE_TICKS, World
from tests.proof.harness import Proof, ProofMachine

IN_FORCE_MS = 6_000
ITEMS = ("warm_time_ms", "answer_timeout_ms", "limits.burst")
SETTLE_TIMEOUT_MS = 1_000


class TrustingFollower(ConfigurationFollower):
    """Double that applies whatever head the service has."""

    def offer_head(self, value, source):
        head = decode(Head, value)
        if source is Source.KVS and head.lineage != self.head.lineage:
            self._head = type(head)()
        return super().offer_head(value, source)


class TrustingWatcher(ConfigurationWatcher):
    def __init__(self, kvs, bus, clock, *args, **options):
        super().__init__(kvs, bus, clock, *args, **options)
        self._follower = TrustingFollower(clock)


class LonelyWatcher(ConfigurationWatcher):
    """Double that learns nothing from peers."""

    def pull(self, peer):
        """Ask nobody."""


class HastyWriter(ConfigurationWriter):
    """Double that takes a change whose reply was lost for refused."""

    def submit(self, changes, **options):
        try:
            return super().submit(changes, **options)
        except PeerTimeoutError as error:
            raise PeerTimeoutError(
                error.message, step=error.step, execution=Execution.NOT_RUN
            ) from error


class Submitted:
    """What the oracle knows of one change."""

    def __init__(self, change_id, item, value):
        self.change_id = change_id
        self.item = item
        self.value = value
        self.accepted_at = None
        self.is_refused = False

    def changes(self):
        return (SetDefault(self.item, self.value),)


class ConfigurationMachine(ProofMachine):
    """Oracle: the chain of heads that took effect at the service, kept by their lineage."""

    watcher_double = TrustingWatcher
    writer_double = ConfigurationWriter

    def __init__(self):
        super().__init__()
        self._quiet = logbook.NullHandler()
        self._quiet.push_thread()
        self.values = 0
        self.submitted = {}
        self.chains = {"": ()}
        self.current = ""
        self.effects = []
        self.lost = set()
        self.in_force = {}
        self.snapshots = []
        self.is_diverged = False
        self.disturbed_ms = 0
        self.nudged_ms = -IN_FORCE_MS
        watcher = ConfigurationWatcher if self.mechanism_enabled else self.watcher_double
        self.writer_class = ConfigurationWriter if self.mechanism_enabled else self.writer_double
        self.world = World(watcher, self.on_apply, self.on_effect)
        self.snapshots.append((self.world.service.snapshot(), self.current))

    # What the world reports.

    def on_effect(self, head):
        """A head took effect at the service."""
        now_ms = self.world.now_ms()
        if head.lineage not in self.chains:
            change = self.submitted[head.recent[-1].change_id]
            chain = self.chains[self.current]
            self.chains[head.lineage] = (*chain, change.change_id)
            assert not change.is_refused, f"{change.change_id} was refused and took effect"
            assert change.change_id not in chain, f"{change.change_id} took effect twice"
            assert head.revision == len(chain) + 1, "a revision was left out"
        self.current = head.lineage
        self.lost -= set(self.chains[head.lineage])
        self.effects.append((now_ms, head.revision))
        chain = self.chains[head.lineage]
        if any(not _is_prefix(chain, other) for other in self.in_force.values()):
            self.is_diverged = True

    def on_apply(self, entry, configuration):
        """An entry instance applied a configuration."""
        lineage = self.world.watchers[entry].status().lineage
        assert lineage in self.chains, f"{entry} applied what nobody accepted"
        chain = self.chains[lineage]
        before = self.in_force.get(entry, ())
        assert chain[: len(before)] == before, (
            f"{entry} reverted: had {list(before)}, applied {list(chain)}"
        )
        assert configuration.revision == len(chain), f"{entry} misnumbers its configuration"
        for item, value in self.expected(chain).items():
            found = _read(configuration.defaults, item)
            assert found == value, f"{entry} has {item}={found}, accepted was {value}"
        self.in_force[entry] = chain

    def expected(self, chain):
        changes = (self.submitted[change_id] for change_id in chain)
        return {change.item: change.value for change in changes}

    # Operators.

    def new_change(self, item):
        self.values += 1
        head = self.chains[self.current]
        change = Submitted(new_change_id(len(head)), item, self.values)
        change.change_id = f"{change.change_id[:-16]}{self.values}"
        self.submitted[change.change_id] = change
        return change

    def submit(self, change, *, is_repeat=False):
        """Submit a change and hold the outcome against the oracle."""
        writer = self.writer_class(
            self.world.service, self.world.writer_clock, settle_timeout_ms=SETTLE_TIMEOUT_MS
        )
        was_refused, change.is_refused = change.is_refused, False
        try:
            accepted = writer.submit(
                change.changes(), change_id=change.change_id, is_repeat=is_repeat
            )
        except BergamothillError as error:
            if change.accepted_at is None and error.execution is Execution.NOT_RUN:
                self.refuse(change, error, was_refused)
            return error
        chain = self.chains[self.current]
        assert change.change_id in chain, f"{change.change_id} was accepted without effect"
        revision = chain.index(change.change_id) + 1
        assert accepted.revision == revision, (
            f"{change.change_id} reported at {accepted.revision}, took effect at {revision}"
        )
        change.accepted_at = revision
        later = [
            place + 1
            for place, change_id in enumerate(chain)
            if place + 1 > revision and self.submitted[change_id].item == change.item
        ]
        assert [done.revision for done in accepted.superseded_by] == later, "superseding is wrong"
        return accepted

    def refuse(self, change, error, was_refused):
        if was_refused or isinstance(error, ConflictError) or not self.is_held(change):
            change.is_refused = True
        assert change.change_id not in self.chains[self.current], (
            f"{change.change_id} is in effect and was reported as refused: {error}"
        )
        assert not self.is_held(change), f"{change.change_id} may still land: {error}"

    def is_held(self, change):
        """A write of the change is under way whose condition still holds."""
        entry = self.world.service._entries.get("config/head")
        present = 0 if entry is None else entry.mod_revision
        return any(
            expected == present and decode(Head, value).recent[-1].change_id == change.change_id
            for value, expected in self.world.service.held
        )

    @rule(item=st.sampled_from(ITEMS))
    def operator_changes(self, item):
        self.operation()
        self.submit(self.new_change(item))

    @rule(item=st.sampled_from(ITEMS), lost=st.integers(1, 3))
    def reply_is_lost(self, item, lost):
        self.fault()
        self.world.service.lose_after = lost
        self.submit(self.new_change(item))
        self.world.service.lose_after = 0

    @rule(item=st.sampled_from(ITEMS), held=st.sampled_from((1, 2, 100)))
    def write_is_held_up(self, item, held):
        self.fault()
        self.world.service.hold = held
        self.submit(self.new_change(item))
        self.world.service.hold = 0

    @precondition(lambda self: self.world.service.held)
    @rule()
    def held_writes_land(self):
        self.fault()
        self.world.service.land_held()

    @rule(first=st.sampled_from(ITEMS), second=st.sampled_from(ITEMS))
    def operators_race(self, first, second):
        self.operation()
        loser, winner = self.new_change(first), self.new_change(second)
        outcomes = []
        service = self.world.service
        service.before_write = lambda: outcomes.append(self.submit(winner))
        outcome = self.submit(loser)
        service.before_write = None
        if service.is_down or service.unanswered or not outcomes:
            return
        if first != second:
            assert loser.accepted_at and winner.accepted_at, "different items, yet one lost"
            return
        assert winner.accepted_at, "the first of two racing operators lost"
        assert isinstance(outcome, ConflictError), "both won on one item"
        assert winner.change_id in str(outcome), "the loser is not shown what won"

    @precondition(lambda self: self.submitted)
    @rule(data=st.data())
    def operator_repeats_late(self, data):
        self.operation()
        names = sorted(self.submitted)
        change = self.submitted[data.draw(st.sampled_from(names), label="change")]
        if change.change_id in self.lost:
            return
        before = self.chains[self.current]
        self.submit(change, is_repeat=True)
        if change.change_id in before:
            assert self.chains[self.current] == before, "a repeated change took effect again"

    # The service.

    @rule()
    def service_goes_down(self):
        self.fault()
        self.world.service.is_down = True
        self.disturb()

    @precondition(lambda self: self.world.service.is_down)
    @rule()
    def service_comes_back(self):
        self.operation()
        self.world.service.is_down = False
        self.disturb()

    @rule(calls=st.integers(1, 4))
    def service_is_slow(self, calls):
        self.fault()
        self.world.service.unanswered = calls
        self.nudge()

    @rule()
    def service_is_backed_up(self):
        self.operation()
        self.snapshots.append((self.world.service.snapshot(), self.current))

    @rule(data=st.data())
    def service_is_restored(self, data):
        self.fault()
        number = data.draw(st.integers(0, len(self.snapshots) - 1), label="backup")
        snapshot, lineage = self.snapshots[number]
        self.world.service.restore(snapshot)
        self.world.service.held.clear()
        chain = self.chains[lineage]
        self.lost |= set(self.chains[self.current]) - set(chain)
        self.current = lineage
        self.effects.clear()
        if any(not _is_prefix(chain, other) for other in self.in_force.values()):
            self.is_diverged = True
        self.disturb()

    # Zones and entry instances.

    def disturb(self):
        """Start the bound anew."""
        self.disturbed_ms = self.world.now_ms()

    def nudge(self):
        """One short fault must be made up for within the bound; a second starts it anew."""
        if self.world.now_ms() - self.nudged_ms <= IN_FORCE_MS:
            self.disturb()
        self.nudged_ms = self.world.now_ms()

    @rule(zone=st.sampled_from(World.ZONES))
    def zone_loses_service(self, zone):
        self.fault()
        self.world.zones_without_service ^= {zone}
        self.disturb()

    @rule()
    def zones_part_or_rejoin(self):
        self.fault()
        self.world.set_zones_apart(not self.world.zones_apart)
        self.disturb()

    @rule(entry=st.sampled_from([f"{z}{p}" for z in World.ZONES for p in range(World.PLACES)]))
    def entry_is_killed_or_started(self, entry):
        self.fault()
        if entry in self.world.watchers:
            self.world.kill(entry)
            self.in_force.pop(entry, None)
        else:
            self.world.start(entry)
        self.disturb_relay()

    @rule(entry=st.sampled_from([f"{z}{p}" for z in World.ZONES for p in range(World.PLACES)]))
    def entry_freezes_or_wakes(self, entry):
        if entry not in self.world.watchers:
            return
        self.fault()
        if entry in self.world.frozen:
            self.world.wake(entry)
        else:
            self.world.freeze(entry)
        self.disturb_relay()

    def disturb_relay(self):
        """Where a zone depends on the other one, a fault there starts the bound anew."""
        if self.world.zones_without_service:
            self.disturb()

    @rule(entry=st.sampled_from([f"{z}{p}" for z in World.ZONES for p in range(World.PLACES)]))
    def watch_goes_silent(self, entry):
        self.fault()
        if entry in self.world.watchers:
            self.world.silent_watches[entry] = WATCH_SILENCE_TICKS

    @rule()
    def messages_are_lost(self):
        self.fault()
        self.world.loses_messages = True
        self.world.tick()
        self.world.loses_messages = False
        self.nudge()

    @rule(ticks=st.integers(1, 4))
    def time_passes(self, ticks):
        self.operation()
        for _ in range(ticks):
            self.world.tick()
            self.check_in_force()

    @rule(item=st.sampled_from(ITEMS))
    def change_has_its_time(self, item):
        self.operation()
        self.submit(self.new_change(item))
        self.pass_bound()

    @rule(zone=st.sampled_from(World.ZONES), item=st.sampled_from(ITEMS))
    def zone_depends_on_the_other(self, zone, item):
        self.fault()
        self.world.zones_without_service = {zone}
        self.world.set_zones_apart(False)
        self.disturb()
        self.submit(self.new_change(item))
        self.pass_bound()

    @rule()
    def faults_end(self):
        self.operation()
        self.end_faults()
        self.disturb()
        self.pass_bound()

    def pass_bound(self):
        for _ in range(IN_FORCE_MS // TICK_MS + 1):
            self.world.tick()
            self.check_in_force()

    # Invariants.

    def is_fed(self, zone):
        """The zone reaches the service, or a zone that does."""
        world = self.world
        if world.service.is_down or world.service.unanswered:
            return False
        if zone not in world.zones_without_service:
            return True
        fed = [
            entry
            for entry in world.watchers
            if world.zone_of(entry) not in {zone, *world.zones_without_service}
            and entry not in world.frozen
        ]
        return bool(fed) and not world.zones_apart

    def check_in_force(self):
        if self.is_diverged:
            return
        world = self.world
        bound_ms = world.now_ms() - IN_FORCE_MS
        due = max((rev for at_ms, rev in self.effects if at_ms <= bound_ms), default=0)
        if self.disturbed_ms > bound_ms:
            return
        for entry, watcher in world.watchers.items():
            steady = entry not in world.frozen and world.started[entry] <= bound_ms
            if steady and self.is_fed(world.zone_of(entry)):
                revision = watcher.status().revision
                assert revision >= due, (
                    f"{entry} has revision {revision}, {due} was accepted {IN_FORCE_MS} ms ago"
                )

    @invariant()
    def what_is_in_force_is_what_was_applied(self):
        for entry, chain in self.in_force.items():
            revision = self.world.watchers[entry].status().revision
            assert revision == len(chain), f"{entry} changed revision without applying it"

    def teardown(self):
        """After all faults are gone, each accepted change is in force everywhere."""
        try:
            if self.mechanism_enabled and not self.is_diverged:
                self.heal()
                self.check_all_in_force()
        finally:
            self._quiet.pop_thread()

    def end_faults(self):
        world = self.world
        world.service.is_down = False
        world.service.unanswered = 0
        world.zones_without_service.clear()
        world.set_zones_apart(False)
        for entry in list(world.frozen):
            world.wake(entry)

    def heal(self):
        self.end_faults()
        world = self.world
        world.service.held.clear()
        for _ in range(2 * IN_FORCE_MS // TICK_MS):
            world.tick()

    def check_all_in_force(self):
        chain = self.chains[self.current]
        for entry in self.world.watchers:
            found = self.in_force.get(entry, ())
            assert found == chain, f"{entry} ended with {list(found)}, accepted {list(chain)}"
        for change in self.submitted.values():
            if change.accepted_at is not None and change.change_id not in self.lost:
                assert change.change_id in chain, f"accepted change {change.change_id} was lost"


def _is_prefix(one, other):
    shorter, longer = sorted((one, other), key=len)
    return longer[: len(shorter)] == shorter


def _read(defaults, item):
    name, _, part = item.partition(".")
    value = getattr(defaults, name)
    return getattr(value, part) if part else value


PROOFS = (Proof(slug="configuration", machine=ConfigurationMachine),)
