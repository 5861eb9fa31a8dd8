"""The platform's names stand in its adapter only."""

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


def names_in(text):
    return sorted({match.group(0) for match in PLATFORM_NAMES.finditer(text)})


class BoundaryTest(unittest.TestCase):
    def test_no_name_of_the_platform_outside_its_adapter(self):
        found = {}
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            names = names_in(path.read_text(encoding="utf-8"))
            if names:
                found[str(path.relative_to(ROOT))] = names
        self.assertEqual({}, found)

    def test_the_search_finds_names(self):
        self.assertEqual(["X-Cache-Salt"], names_in('fields["X-Cache-Salt"]'))
        self.assertEqual(["/kv-txn"[1:]], names_in('"/kv-txn"'))
