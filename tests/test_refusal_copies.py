"""Tests of refusals that a server writes once more on a kept connection."""

import random
import threading
import time

from tests.gatewayworld import answer
from tests.keptcase import KEEPS, OPEN, UNSAFE, Keeps, KeptCase, request_id

REFUSAL_HEADERS = KEEPS + b"X-Not-Executed: 1\r\n"
STATUSES = (b"503 Busy", b"429 Many", b"421 Other", b"408 Late")
CALLERS, CALLS = 4, 40
PROMISES = (b"503", b"429", b"421", b"408")


class RefusalCopiesTest(KeptCase):
    """Callers at once, and servers that refuse, run and repeat earlier refusals."""

    def faulty(self, rng, ran):
        """Return a step that refuses or runs a request and may repeat a refusal around it."""
        refusals = {}  # by connection

        def step(connection, sent):
            own = request_id(sent)
            copy = refusals.get(connection, b"")
            if rng.random() < 0.4:
                refusals[connection] = refusal = answer(
                    b"no", status=rng.choice(STATUSES), request_id=own, headers=REFUSAL_HEADERS
                )
                connection.sendall(refusal)
                if rng.random() < 0.3:
                    self.send_in_pieces(connection, refusal, rng)
                return
            where = rng.random()
            if where < 0.3:
                self.send_in_pieces(connection, copy, rng)
            elif where < 0.4:
                connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" + copy)
            ran.append(own)
            time.sleep(rng.random() * 0.01)
            whole = answer(own, request_id=own, headers=KEEPS)
            if 0.4 <= where < 0.5:
                connection.sendall(whole + copy)
            elif 0.5 <= where < 0.6:
                self.send_in_pieces(connection, copy + whole, rng)
            else:
                connection.sendall(whole)

        return step

    def send_in_pieces(self, connection, data, rng):
        cuts = sorted(rng.randrange(len(data) + 1) for _ in range(3))
        for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            connection.sendall(data[begin:end])
            time.sleep(rng.random() * 0.01)

    def call(self, rng, prefix, found):
        for number in range(CALLS):
            own = f"{prefix}{number}"
            path = UNSAFE if rng.random() < 0.5 else OPEN
            found[own] = (path, self.now.exchange(self.data(own, path)))

    def test_no_caller_is_told_that_a_request_has_not_run_that_has(self):
        for seed in range(4):
            ran, found = [], {}
            step = self.faulty(random.Random(seed), ran)
            self.start(Keeps(step), Keeps(step))
            threads = [
                threading.Thread(
                    target=self.call, args=(random.Random(seed * 9 + n), f"x{n}y", found)
                )
                for n in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(CALLERS * CALLS, len(found))
            promised = 0
            for own, (path, reply) in found.items():
                runs = ran.count(own.encode())
                if path == UNSAFE:
                    self.assertLessEqual(runs, 1, own)
                if reply[9:12] in PROMISES:
                    promised += 1
                    self.assertTrue(path != UNSAFE or runs == 0, (own, reply))
                if b" 200 " in reply[:20]:
                    self.assert_own(own, reply)
            self.assertGreater(promised, 0)
            self.assertGreater(self.count("reused"), 20)


del KeptCase
