"""Run the unit tests, list known and unexpected failures, and print the counts."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red_tests(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the test ids listed in the known-failures file.

    :param path: file with one entry per line, fields separated by ``|``, test id first
    :returns: the listed test ids
    """
    if not path.exists():
        return frozenset()
    lines = (line.strip() for line in path.read_text(encoding="utf-8").splitlines())
    entries = (line for line in lines if line and not line.startswith("#"))
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def main(argv: list[str]) -> int:
    """Run all tests, or the named ones.

    :param argv: dotted test names; empty runs everything under ``tests``
    :returns: process exit code; 0 if at least one test passed and only known failures failed
    """
    loader = unittest.TestLoader()
    if argv:
        suite = loader.loadTestsFromNames(argv)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known = known_red_tests()
    failed = {case.id() for case, _ in [*result.failures, *result.errors]}
    failed |= {case.id() for case in result.unexpectedSuccesses}
    for test_id in sorted(failed & known):
        print(f"known red: {test_id}")
    unexpected = failed - known
    for test_id in sorted(unexpected):
        print(f"failed: {test_id}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
