"""Proof that an accepted change is in force everywhere within the bound and is never reverted."""

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

PROPAGATION_BOUND_MS = 6_000
ITEMS = ("warm_time_ms", "answer_timeout_ms", "limits.burst")
RETRY_TIMEOUT_MS = 1_000


class UncheckedFollower(ConfigurationFollower):
    """Test double that applies any head the key-value service returns."""

    def offer_head(self, value, source):
        head = decode(Head, value)
        if source is Source.KVS and head.lineage != self.head.lineage:
            self._head = type(head)()
        return super().offer_head(value, source)


class UncheckedWatcher(ConfigurationWatcher):
    def __init__(self, kvs, bus, clock, *args, **options):
        super().__init__(kvs, bus, clock, *args, **options)
        self._follower = UncheckedFollower(clock)


class LonelyWatcher(ConfigurationWatcher):
    """Test double that learns nothing from peers."""

    def pull(self, peer):
        """Fetch nothing."""


class HastyWriter(ConfigurationWriter):
    """Test double that reports a change as not run when only the reply was lost."""

    def submit(self, changes, **options):
        try:
            return super().submit(changes, **options)
        except PeerTimeoutError as error:
            raise PeerTimeoutError(
                error.message, step=error.step, execution=Execution.NOT_RUN
            ) from error


class SubmittedChange:
    """What the oracle knows about one submitted change."""

    def __init__(self, change_id, item, value):
        self.change_id = change_id
        self.item = item
        self.value = value
        self.accepted_at = None
        self.is_refused = False

    def changes(self):
        return (SetDefault(self.item, self.value),)


class ConfigurationMachine(ProofMachine):
    """Operators, a key-value service and entry instances with faults.

    Oracle: the chain of changes that took effect at the service, by the lineage of its head.
    """

    watcher_double = UncheckedWatcher
    writer_double = ConfigurationWriter

    def __init__(self):
        super().__init__()
        self._log_silencer = logbook.NullHandler()
        self._log_silencer.push_thread()
        self.last_value = 0
        self.submitted = {}
        self.chains = {"": ()}
        self.current = ""
        self.effects = []
        self.lost = set()
        self.in_force = {}
        self.snapshots = []
        self.is_diverged = False
        self.bound_started_ms = 0
        self.last_short_fault_ms = -PROPAGATION_BOUND_MS
        watcher = ConfigurationWatcher if self.mechanism_enabled else self.watcher_double
        self.writer_class = ConfigurationWriter if self.mechanism_enabled else self.writer_double
        self.world = World(watcher, self.on_apply, self.on_effect)
        self.snapshots.append((self.world.service.snapshot(), self.current))

    # Callbacks of the simulated world.

    def on_effect(self, head):
        """Record a head that took effect at the service."""
        now_ms = self.world.now_ms()
        if head.lineage not in self.chains:
            change = self.submitted[head.recent[-1].change_id]
            chain = self.chains[self.current]
            self.chains[head.lineage] = (*chain, change.change_id)
            assert not change.is_refused, f"{change.change_id} was refused and took effect"
            assert change.change_id not in chain, f"{change.change_id} took effect twice"
            assert head.revision == len(chain) + 1, "a revision was skipped"
        self.current = head.lineage
        self.lost -= set(self.chains[head.lineage])
        self.effects.append((now_ms, head.revision))
        chain = self.chains[head.lineage]
        if any(not _is_prefix(chain, other) for other in self.in_force.values()):
            self.is_diverged = True

    def on_apply(self, entry, configuration):
        """Check a configuration that an entry instance applied."""
        lineage = self.world.watchers[entry].status().lineage
        assert lineage in self.chains, f"{entry} applied a configuration that was never accepted"
        chain = self.chains[lineage]
        before = self.in_force.get(entry, ())
        assert chain[: len(before)] == before, (
            f"{entry} reverted: had {list(before)}, applied {list(chain)}"
        )
        assert configuration.revision == len(chain), f"{entry} reports a wrong revision"
        for item, value in self.expected(chain).items():
            found = _default_value(configuration.defaults, item)
            assert found == value, f"{entry} has {item}={found}, accepted value is {value}"
        self.in_force[entry] = chain

    def expected(self, chain):
        changes = (self.submitted[change_id] for change_id in chain)
        return {change.item: change.value for change in changes}

    # Operators.

    def new_change(self, item):
        self.last_value += 1
        head = self.chains[self.current]
        change = SubmittedChange(new_change_id(len(head)), item, self.last_value)
        change.change_id = f"{change.change_id[:-16]}{self.last_value}"
        self.submitted[change.change_id] = change
        return change

    def submit(self, change, *, is_retry=False):
        """Submit a change and compare the outcome with the oracle."""
        writer = self.writer_class(
            self.world.service, self.world.writer_clock, retry_timeout_ms=RETRY_TIMEOUT_MS
        )
        was_refused, change.is_refused = change.is_refused, False
        try:
            accepted = writer.submit(
                change.changes(), change_id=change.change_id, is_retry=is_retry
            )
        except BergamothillError as error:
            if change.accepted_at is None and error.execution is Execution.NOT_RUN:
                self.check_refused(change, error, was_refused)
            return error
        chain = self.chains[self.current]
        assert change.change_id in chain, f"{change.change_id} was accepted without effect"
        revision = chain.index(change.change_id) + 1
        assert accepted.revision == revision, (
            f"{change.change_id} reported at {accepted.revision}, took effect at {revision}"
        )
        change.accepted_at = revision
        later = [
            index + 1
            for index, change_id in enumerate(chain)
            if index + 1 > revision and self.submitted[change_id].item == change.item
        ]
        assert [done.revision for done in accepted.superseded_by] == later, (
            "wrong list of superseding changes"
        )
        return accepted

    def check_refused(self, change, error, was_refused):
        if was_refused or isinstance(error, ConflictError) or not self.may_still_apply(change):
            change.is_refused = True
        assert change.change_id not in self.chains[self.current], (
            f"{change.change_id} is in effect and was reported as refused: {error}"
        )
        assert not self.may_still_apply(change), (
            f"{change.change_id} may still take effect: {error}"
        )

    def may_still_apply(self, change):
        """Tell whether a delayed write of the change could still take effect."""
        entry = self.world.service._entries.get("config/head")
        present = 0 if entry is None else entry.mod_revision
        return any(
            expected == present and decode(Head, value).recent[-1].change_id == change.change_id
            for value, expected in self.world.service.delayed_writes
        )

    @rule(item=st.sampled_from(ITEMS))
    def operator_changes(self, item):
        self.operation()
        self.submit(self.new_change(item))

    @rule(item=st.sampled_from(ITEMS), lost=st.integers(1, 3))
    def reply_is_lost(self, item, lost):
        self.fault()
        self.world.service.replies_to_lose = lost
        self.submit(self.new_change(item))
        self.world.service.replies_to_lose = 0

    @rule(item=st.sampled_from(ITEMS), held=st.sampled_from((1, 2, 100)))
    def write_is_held_up(self, item, held):
        self.fault()
        self.world.service.writes_to_delay = held
        self.submit(self.new_change(item))
        self.world.service.writes_to_delay = 0

    @precondition(lambda self: self.world.service.delayed_writes)
    @rule()
    def held_writes_land(self):
        self.fault()
        self.world.service.apply_delayed_writes()

    @rule(first=st.sampled_from(ITEMS), second=st.sampled_from(ITEMS))
    def operators_race(self, first, second):
        self.operation()
        loser, winner = self.new_change(first), self.new_change(second)
        outcomes = []
        service = self.world.service
        service.before_write = lambda: outcomes.append(self.submit(winner))
        outcome = self.submit(loser)
        service.before_write = None
        if service.is_down or service.calls_to_time_out or not outcomes:
            return
        if first != second:
            assert loser.accepted_at and winner.accepted_at, (
                "a change lost a race against a change of another item"
            )
            return
        assert winner.accepted_at, "the first of two concurrent changes was rejected"
        assert isinstance(outcome, ConflictError), (
            "two concurrent changes of one item were accepted"
        )
        assert winner.change_id in str(outcome), (
            "the conflict does not name the change that was accepted"
        )

    @precondition(lambda self: self.submitted)
    @rule(data=st.data())
    def operator_repeats_late(self, data):
        self.operation()
        names = sorted(self.submitted)
        change = self.submitted[data.draw(st.sampled_from(names), label="change")]
        if change.change_id in self.lost:
            return
        before = self.chains[self.current]
        self.submit(change, is_retry=True)
        if change.change_id in before:
            assert self.chains[self.current] == before, "a repeated change took effect again"

    # Key-value service.

    @rule()
    def service_goes_down(self):
        self.fault()
        self.world.service.is_down = True
        self.restart_bound()

    @precondition(lambda self: self.world.service.is_down)
    @rule()
    def service_comes_back(self):
        self.operation()
        self.world.service.is_down = False
        self.restart_bound()

    @rule(calls=st.integers(1, 4))
    def service_is_slow(self, calls):
        self.fault()
        self.world.service.calls_to_time_out = calls
        self.allow_one_short_fault()

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
        self.world.service.delayed_writes.clear()
        chain = self.chains[lineage]
        self.lost |= set(self.chains[self.current]) - set(chain)
        self.current = lineage
        self.effects.clear()
        if any(not _is_prefix(chain, other) for other in self.in_force.values()):
            self.is_diverged = True
        self.restart_bound()

    # Zones and entry instances.

    def restart_bound(self):
        """Restart the propagation bound."""
        self.bound_started_ms = self.world.now_ms()

    def allow_one_short_fault(self):
        """Allow one short fault within the propagation bound; a second one restarts the bound."""
        if self.world.now_ms() - self.last_short_fault_ms <= PROPAGATION_BOUND_MS:
            self.restart_bound()
        self.last_short_fault_ms = self.world.now_ms()

    @rule(zone=st.sampled_from(World.ZONES))
    def zone_loses_service(self, zone):
        self.fault()
        self.world.zones_without_service ^= {zone}
        self.restart_bound()

    @rule()
    def zones_part_or_rejoin(self):
        self.fault()
        self.world.set_zones_partitioned(not self.world.zones_partitioned)
        self.restart_bound()

    @rule(
        entry=st.sampled_from(
            [f"{z}{p}" for z in World.ZONES for p in range(World.ENTRIES_PER_ZONE)]
        )
    )
    def entry_is_killed_or_started(self, entry):
        self.fault()
        if entry in self.world.watchers:
            self.world.kill(entry)
            self.in_force.pop(entry, None)
        else:
            self.world.start(entry)
        self.restart_bound_if_relayed()

    @rule(
        entry=st.sampled_from(
            [f"{z}{p}" for z in World.ZONES for p in range(World.ENTRIES_PER_ZONE)]
        )
    )
    def entry_freezes_or_wakes(self, entry):
        if entry not in self.world.watchers:
            return
        self.fault()
        if entry in self.world.frozen:
            self.world.wake(entry)
        else:
            self.world.freeze(entry)
        self.restart_bound_if_relayed()

    def restart_bound_if_relayed(self):
        """Restart the propagation bound if a zone depends on the other one for updates."""
        if self.world.zones_without_service:
            self.restart_bound()

    @rule(
        entry=st.sampled_from(
            [f"{z}{p}" for z in World.ZONES for p in range(World.ENTRIES_PER_ZONE)]
        )
    )
    def watch_goes_silent(self, entry):
        self.fault()
        if entry in self.world.watchers:
            self.world.silent_watches[entry] = WATCH_SILENCE_TICKS

    @rule()
    def messages_are_lost(self):
        self.fault()
        self.world.drops_messages = True
        self.world.tick()
        self.world.drops_messages = False
        self.allow_one_short_fault()

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
        self.tick_past_bound()

    @rule(zone=st.sampled_from(World.ZONES), item=st.sampled_from(ITEMS))
    def zone_depends_on_the_other(self, zone, item):
        self.fault()
        self.world.zones_without_service = {zone}
        self.world.set_zones_partitioned(False)
        self.restart_bound()
        self.submit(self.new_change(item))
        self.tick_past_bound()

    @rule()
    def faults_end(self):
        self.operation()
        self.end_faults()
        self.restart_bound()
        self.tick_past_bound()

    def tick_past_bound(self):
        for _ in range(PROPAGATION_BOUND_MS // TICK_MS + 1):
            self.world.tick()
            self.check_in_force()

    # Invariants.

    def receives_updates(self, zone):
        """Tell whether a zone reaches the service, or another zone that does."""
        world = self.world
        if world.service.is_down or world.service.calls_to_time_out:
            return False
        if zone not in world.zones_without_service:
            return True
        relays = [
            entry
            for entry in world.watchers
            if world.zone_of(entry) not in {zone, *world.zones_without_service}
            and entry not in world.frozen
        ]
        return bool(relays) and not world.zones_partitioned

    def check_in_force(self):
        if self.is_diverged:
            return
        world = self.world
        bound_ms = world.now_ms() - PROPAGATION_BOUND_MS
        due = max((rev for at_ms, rev in self.effects if at_ms <= bound_ms), default=0)
        if self.bound_started_ms > bound_ms:
            return
        for entry, watcher in world.watchers.items():
            is_stable = entry not in world.frozen and world.started[entry] <= bound_ms
            if is_stable and self.receives_updates(world.zone_of(entry)):
                revision = watcher.status().revision
                assert revision >= due, (
                    f"{entry} has revision {revision}, {due} is {PROPAGATION_BOUND_MS} ms old"
                )

    @invariant()
    def what_is_in_force_is_what_was_applied(self):
        for entry, chain in self.in_force.items():
            revision = self.world.watchers[entry].status().revision
            assert revision == len(chain), (
                f"{entry} changed its revision without applying a configuration"
            )

    def teardown(self):
        """Check that each accepted change is in force everywhere once all faults are removed."""
        try:
            if self.mechanism_enabled and not self.is_diverged:
                self.recover()
                self.check_all_in_force()
        finally:
            self._log_silencer.pop_thread()

    def end_faults(self):
        world = self.world
        world.service.is_down = False
        world.service.calls_to_time_out = 0
        world.zones_without_service.clear()
        world.set_zones_partitioned(False)
        for entry in list(world.frozen):
            world.wake(entry)

    def recover(self):
        self.end_faults()
        world = self.world
        world.service.delayed_writes.clear()
        for _ in range(2 * PROPAGATION_BOUND_MS // TICK_MS):
            world.tick()

    def check_all_in_force(self):
        chain = self.chains[self.current]
        for entry in self.world.watchers:
            found = self.in_force.get(entry, ())
            assert found == chain, f"{entry} ended with {list(found)}, accepted were {list(chain)}"
        for change in self.submitted.values():
            if change.accepted_at is not None and change.change_id not in self.lost:
                assert change.change_id in chain, f"accepted change {change.change_id} was lost"


def _is_prefix(one, other):
    shorter, longer = sorted((one, other), key=len)
    return longer[: len(shorter)] == shorter


def _default_value(defaults, item):
    name, _, part = item.partition(".")
    value = getattr(defaults, name)
    return getattr(value, part) if part else value


PROOFS = (Proof(slug="configuration", machine=ConfigurationMachine),)
