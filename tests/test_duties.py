import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.process.duties import Duties, Duty
from bergamothill.process.lease import DutyLease


class DutiesTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(start_ms=1_000_000)
        self.kvs = MemoryKeyValueService(self.clock)
        self.network = MemoryNetwork()
        self.runs = []

    def entry(self, name):
        bus = self.network.join(name, "zone-a")
        lease = DutyLease(self.kvs, self.clock, "sweep/zone-a", name)
        return Duties(bus, name, self.clock, (Duty(lease, 1_000, lambda: self.runs.append(name)),))

    def tick_all(self, *entries):
        for _ in range(5):
            for entry in entries:
                entry.tick()
            self.clock.advance_ms(1_000)

    def test_one_holder_runs_the_duty(self):
        entries = [self.entry(f"entry-{number}") for number in range(3)]
        self.tick_all(*entries)
        self.assertEqual(1, len(set(self.runs)))
        self.assertEqual(1, sum(entry.status()[0].is_held for entry in entries))

    def test_the_next_holder_after_a_leave_has_a_higher_fencing_number(self):
        names = [f"entry-{number}" for number in range(3)]
        entries = {name: self.entry(name) for name in names}
        self.tick_all(*entries.values())
        holder = self.runs[-1]
        previous_fencing = entries[holder].status()[0].fencing
        entries[holder].leave()
        self.network.leave(holder)
        others = [entries[name] for name in names if name != holder]
        self.tick_all(*others)
        self.assertNotEqual(holder, self.runs[-1])
        self.assertGreater(entries[self.runs[-1]].status()[0].fencing, previous_fencing)
