"""Tests of the fingerprints of requests."""

import unittest

from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import RawRequest
from bergamothill.request.fingerprint import crash_suspects, request_fingerprint
from tests.builders import caller_request


def fingerprint(brand="kowhai", **changes):
    raw = {"method": b"POST", "target": b"/a/b?c=d", "headers": [], "body": b"{}", "arrived_ms": 0}
    raw |= {name: changes.pop(name) for name in list(changes) if name in raw}
    raw["body"] = BlockBody(raw["body"])
    return request_fingerprint(caller_request(raw=RawRequest(**raw), **changes), brand)


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_under_another_id_and_with_other_headers_has_the_same_one(self):
        again = fingerprint(request_id="r2", arrived_ms=9, headers=[(b"X-A", b"b")], key="key-2")
        self.assertEqual(fingerprint(), again)

    def test_requests_that_differ_have_different_ones(self):
        changes = (
            {"method": b"PUT"},
            {"target": b"/a/b?c=e"},
            {"body": b"{ }"},
            {"host": "other.example"},
            {"brand": "walled"},
            {"brand": None},
            {"brand": ""},
        )
        found = {fingerprint(**change) for change in changes}
        self.assertEqual(len(changes), len(found - {fingerprint()}))

    def test_bytes_do_not_move_between_target_and_body(self):
        first, second = fingerprint(target=b"/a", body=b"bc"), fingerprint(target=b"/ab", body=b"c")
        self.assertNotEqual(first, second)

    def test_the_suspects_are_the_shared_parts_and_the_whole(self):
        found = crash_suspects(caller_request(), "kowhai")
        self.assertEqual({"m1/a", "m1/b"}, {str(part) for part in found if not part.is_request})
        self.assertEqual(1, sum(part.is_request for part in found))
