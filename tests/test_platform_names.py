"""Tests that the platform's names appear only in the platform adapter."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "bergamothill"

PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep|events|list|free|copy|move|pin|handle)"
    r"|x-(expected|not-executed|kv-|cache-salt|server-signature|deadline|tenant|model|token-counts"
    r"|prompt-prefix|weight-versions|request-urgency|pin-|hold|length-hint|instance-id)"
    r"|op/|servers/|/readiness|/report\b|hold-take|nodeName|listenAddresses|timeoutMs|maxAttempts"
    r"|apiKeys|trafficSplit|kvStoreAddress|sequenceNumber|fencingToken|switchMode|allowStale"
    r"|currentRev|createdRev|tombstone|hasMore|ttlMs|coldRemainingMs|incompleteParts",
    re.IGNORECASE,
)


def find_platform_names(text):
    return sorted({match.group(0) for match in PLATFORM_NAMES.finditer(text)})


class PlatformNamesTest(unittest.TestCase):
    def test_platform_names_appear_only_in_the_adapter(self):
        found = {}
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            names = find_platform_names(path.read_text(encoding="utf-8"))
            if names:
                found[str(path.relative_to(ROOT))] = names
        self.assertEqual({}, found)

    def test_pattern_matches_platform_names(self):
        self.assertEqual(["X-Cache-Salt"], find_platform_names('fields["X-Cache-Salt"]'))
        self.assertEqual(["/kv-txn"[1:]], find_platform_names('"/kv-txn"'))
