"""Tests of the account of request bodies of the daemon's own form."""

import io
import unittest

from werkzeug.test import Client
from werkzeug.wrappers import Response

from bergamothill.process.bodyaccount import COPIES, BodyAccount, half_of_memory
from bergamothill.process.frontend import Frontend

SIZE = 100_000


class BodyAccountTest(unittest.TestCase):
    def frontend(self, account):
        frontend = Frontend(10 * SIZE, account)
        frontend.route("/size", lambda r, _id: Response(str(len(r.get_data()))), ("POST",))
        return Client(frontend)

    def test_a_body_is_refused_while_others_take_the_memory(self):
        account = BodyAccount(3 * COPIES * SIZE)
        client, other = self.frontend(account), account.open(io.BytesIO(b"x" * 10 * SIZE))
        self.assertEqual(str(SIZE), client.post("/size", data=b"x" * SIZE, buffered=True).text)
        other.read(3 * SIZE)
        refused = client.post("/size", data=b"x" * SIZE, buffered=True)
        self.assertEqual((429, "overloaded"), (refused.status_code, refused.json["error"]["code"]))
        self.assertIn("Retry-After", refused.headers)
        other.release()
        for _ in range(4):
            self.assertEqual(200, client.post("/size", data=b"x" * SIZE, buffered=True).status_code)

    def test_a_caller_that_leaves_gives_its_memory_back(self):
        account = BodyAccount(2 * COPIES * SIZE)
        frontend = Frontend(10 * SIZE, account)

        def leave(request, _id):
            request.get_data()
            raise ConnectionResetError("caller left")

        frontend.route("/leave", leave, ("POST",))
        for _ in range(4):
            with self.assertRaises(ConnectionAbortedError):
                Client(frontend).post("/leave", data=b"x" * SIZE, buffered=True)
        found = self.frontend(account).post("/size", data=b"x" * SIZE, buffered=True)
        self.assertEqual(200, found.status_code)

    def test_the_largest_body_is_served_in_calm(self):
        client = self.frontend(BodyAccount(half_of_memory()))
        self.assertEqual(str(10 * SIZE), client.post("/size", data=b"x" * 10 * SIZE).text)
