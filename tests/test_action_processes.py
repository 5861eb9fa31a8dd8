"""Tests of at-most-once calls with entry instance processes that are killed or suspended."""

import json
import signal
import subprocess
import sys
import time
import unittest

from scripts.processes import ROOT, StandInProcess

POLL_S = 0.01
POLLS = 500
TIMEOUT_MS = 1_500


class Worker:
    """One entry instance as a process."""

    def __init__(self, name, kvs, service):
        command = [sys.executable, "-m", "tests.actionworker", name, kvs.address, service.address]
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send(self, request_id, timeout_ms=5_000):
        line = json.dumps({"request_id": request_id, "timeout_ms": timeout_ms})
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def outcome(self):
        return self.process.stdout.readline().strip()

    def run(self, request_id):
        self.send(request_id)
        return self.outcome()

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class ActionProcessTest(unittest.TestCase):
    def setUp(self):
        self.kvs = self.started(StandInProcess("kvs"))
        self.service = self.started(StandInProcess("service"))
        self.owner = self.started(Worker("entry-1", self.kvs, self.service))
        self.other = self.started(Worker("entry-2", self.kvs, self.service))

    def started(self, process):
        self.addCleanup(process.stop)
        return process

    def effects(self):
        return [effect["request_id"] for effect in self.service.json("GET", "/effects")]

    def wait_until(self, is_true):
        for _ in range(POLLS):
            if is_true():
                return
            time.sleep(POLL_S)
        self.fail("waited too long")

    def kvs_calls(self, kind):
        return self.kvs.json("GET", "/stats").get(kind, 0)

    def test_a_killed_owner_leaves_an_unknown_outcome_and_one_effect(self):
        self.service.set_faults(path="/pickups", effect_delay_ms=1_500)
        self.owner.send("r1")
        self.wait_until(lambda: self.service.json("GET", "/stats")["received"] == 1)
        self.owner.process.send_signal(signal.SIGKILL)
        self.assertEqual("unknown", self.other.run("r2"))
        self.wait_until(lambda: self.effects() == ["r1"])
        self.assertEqual("unknown", self.other.run("r3"))
        self.assertEqual(["r1"], self.effects())

    def test_a_frozen_owner_wakes_up_too_late_to_send(self):
        self.kvs.set_faults(path="/v1/kv", reply_delay_ms=900)
        self.owner.send("r1", TIMEOUT_MS)
        self.wait_until(lambda: self.kvs_calls("put") == 1)
        self.owner.process.send_signal(signal.SIGSTOP)
        self.kvs.set_faults()
        self.assertEqual("unknown", self.other.run("r2"))
        time.sleep(TIMEOUT_MS / 1000)
        self.owner.process.send_signal(signal.SIGCONT)
        self.assertEqual("not_run", self.owner.outcome())
        self.wait_until(lambda: self.kvs_calls("delete") == 1)
        reply = self.other.run("r3")
        self.assertEqual(reply, self.owner.run("r4"))
        self.assertEqual(["r3"], self.effects())
