"""Record of versions of the proofs of software versions, and the instances that keep it."""

from __future__ import annotations

from bergamothill.version.versionrecord import RecordItem, RecordKeeper, VersionRecord
from tests.proof.versioninstances import InstanceWorld
from tests.proof.versionservers import ENGINE_SERVICE, SERVICES, VERSIONS

ROUTES = {service: f"to-{service}" for service in SERVICES}
ROUTE_ITEMS = {RecordItem.of_route(route, service) for service, route in ROUTES.items()}
SETTLE_MS = 50_000
"""Longer than callers stay away here."""

FORGET_MS = 110_000
MAX_CALL_MS = 20
RETRY_MS = 200


class RecordWorld(InstanceWorld):
    """The record lies in the store, and is lost with it; instances write it if it has not changed.

    The parameters are those of :class:`InstanceWorld` and:

    :param keeps_record: whether versions are in the record before streams begin at them
    :param trusts_record: whether a stream goes on by the record if its origin is not known
    :param waits_for_record: whether streams begin only at versions that are in the record; without,
        it counts beside a list that is read when it is used
    """

    def __init__(
        self, *args, keeps_record=True, trusts_record=True, waits_for_record=True, **options
    ):
        self.keeps_record = keeps_record
        self.trusts_record = trusts_record
        self.waits_for_record = waits_for_record
        first = {RecordItem.of_version(service, VERSIONS[0]) for service in SERVICES}
        self.record = VersionRecord(1, True, frozenset(first | ROUTE_ITEMS))
        self.record_history = [(0, self.record)]
        self.record_writes = 0
        super().__init__(*args, **options)

    def start(self, instance):
        instance.keeper = keeper = RecordKeeper(settle_ms=SETTLE_MS, forget_ms=FORGET_MS)
        instance.is_recording = False
        super().start(instance)
        if self.keeps_record and self.waits_for_record:
            instance.pool.is_recorded = lambda entry: (
                not entry.weights
                or keeper.may_begin(
                    RecordItem.of_version(entry.service, entry.software_version), self.now_ms
                )
            )

    def apply_list(self, instance, entries, era, sent_ms):
        keeper = instance.keeper
        if instance.era not in (None, era):
            keeper.handle_restore()
        items = {RecordItem.of_version(entry.service, entry.software_version) for entry in entries}
        keeper.apply_list(items | ROUTE_ITEMS, self.now_ms)
        super().apply_list(instance, entries, era, sent_ms)
        self.update_record(instance)

    def is_first(self, instance):
        return instance.name == min(instance.roster.members)

    def call_store(self, instance, call, on_reply):
        """Make a call to the store; without a reply there is no second one."""

        def arrive():
            if self.reaches_store(instance.zone):
                reply = call()
                delay_ms = self.rng.randrange(MAX_CALL_MS)
                self.after(delay_ms, self.at(instance, lambda: on_reply(reply)))

        self.after(1 + self.rng.randrange(MAX_CALL_MS), self.at(instance, arrive))

    def read_record(self, instance, on_read):
        def receive(reply):
            instance.keeper.apply_record(*reply, self.now_ms)
            on_read(*reply)

        self.call_store(instance, lambda: (self.record, self.store.era), receive)

    def update_record(self, instance):
        keeper = instance.keeper
        is_first = self.is_first(instance)
        is_due = keeper.must_read or keeper.next_record(self.now_ms, is_first=is_first) is not None
        if instance.is_recording or not is_due or not self.keeps_record:
            return
        instance.is_recording = True

        def try_again():
            instance.is_recording = False
            self.update_record(instance)

        self.after(RETRY_MS, self.at(instance, try_again))

        def on_read(read, era):
            record = keeper.next_record(self.now_ms, is_first=is_first)
            if record is not None:
                write = (instance, lambda: self.write_record(read, record, era))
                self.call_store(*write, lambda is_written: receive(is_written, record, era))

        def receive(is_written, record, era):
            if is_written:
                keeper.apply_record(record, era, self.now_ms)

        self.read_record(instance, on_read)

    def write_record(self, read, record, era):
        if (self.record, self.store.era) != (read, era):
            return False
        self.record = record
        self.record_writes += 1
        self.record_history.append((self.now_ms, record))
        return True

    def restore_store(self, back_ms):
        older = [record for at_ms, record in self.record_history if at_ms <= self.now_ms - back_ms]
        self.record = older[-1] if older else None
        self.record_history = [(self.now_ms, self.record)]
        super().restore_store(back_ms)

    def find_by_record(self, instance, service, on_found):
        """Call back with the only version of all streams of a service, by a read sent now."""
        is_awaited = service == ENGINE_SERVICE or not self.waits_for_record
        if not self.trusts_record or not is_awaited:
            on_found(None)
            return
        is_over = []

        def end(version):
            if not is_over:
                is_over.append(True)
                on_found(version)

        def on_read(record, era):
            origin = None if record is None else record.only_origin(ROUTES[service], era)
            if origin is None or self.waits_for_record:
                end(None if origin is None else origin[1])
                return
            seen = instance.pool.recent_versions(service, self.now_ms)
            end(origin[1] if seen <= {origin[1]} else None)

        self.read_record(instance, on_read)
        self.after(10 * MAX_CALL_MS, self.at(instance, lambda: end(None)))
