"""Tests of callers whose requests have a part without end."""

import time

from tests.gatewayworld import GatewayCase, answer, chunk, replies, request

HEAD = request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
BLOCK = b"x" * 65_536
MAX_DURATION_S = 2.0


class EndlessRequestTest(GatewayCase):
    def assert_cut_off(self, first, block):
        world = self.world(plain=[replies(answer())])
        started_s = time.monotonic()
        with world.connect() as connection:
            connection.sendall(first)
            with self.assertRaises(OSError):
                while time.monotonic() - started_s < MAX_DURATION_S:
                    connection.sendall(block)
        self.assertEqual([], self.sent())

    def test_a_head(self):
        self.assert_cut_off(request()[:-6] + b"X-Long: ", BLOCK)

    def test_a_chunk_extension(self):
        self.assert_cut_off(HEAD + b"1;", BLOCK)

    def test_a_chunk_size(self):
        self.assert_cut_off(HEAD, b"0" * 65_536)

    def test_a_trailer(self):
        self.assert_cut_off(HEAD + b"0\r\nX-Trailer: ", BLOCK)

    def test_a_body(self):
        self.assert_cut_off(HEAD, chunk(BLOCK))

    def test_a_body_in_chunks_of_one_byte_is_accepted(self):
        world = self.world(plain=[replies(answer())])
        found = world.exchange(HEAD + b"".join([chunk(b"x")] * 9_000 + [chunk(b"")]))
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
        self.assertTrue(self.sent()[0].endswith(b"\r\n\r\n" + b"x" * 9_000))
