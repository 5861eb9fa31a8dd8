"""Tests of signals that come as an instance ends, with processes."""

import signal
import subprocess
import sys
import time
import unittest

from bergamothill.process import stopsignals
from scripts.processes import ROOT

PROCESSES = 30
PROGRAM = f"""
import asyncio
from {stopsignals.__name__} import handle_signals, ignore_signals

async def run():
    loop = asyncio.get_running_loop()
    handle_signals(loop, lambda: None, lambda: None)
    print(flush=True)
    await asyncio.sleep(0.05)
    ignore_signals(loop)

asyncio.run(run())
"""


class StopSignalsTest(unittest.TestCase):
    def test_signals_that_follow_each_other_closely_do_not_end_the_process(self):
        for _ in range(PROCESSES):
            command = [sys.executable, "-c", PROGRAM]
            with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
                process.stdout.readline()
                while process.poll() is None:
                    process.send_signal(signal.SIGHUP)
                    process.send_signal(signal.SIGTERM)
                    time.sleep(0.00002)
            self.assertEqual(0, process.returncode)
