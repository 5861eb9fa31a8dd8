import socket
import threading
import unittest

from bergamothill.process.chunkwriter import MAX_BUFFERED_BYTES, ChunkWriter


def unchunk(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        body += data[:length]
        data = data[length + 2 :]
    return body


class ChunkWriterTests(unittest.TestCase):
    def setUp(self):
        self.ours, self.callers = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.callers.close)
        self.ours.settimeout(5)
        self.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        self.writer = ChunkWriter(self.ours)

    def read_all(self):
        received = bytearray()
        while piece := self.callers.recv(65_536):
            received += piece
        return bytes(received)

    def test_slow_reader_receives_every_byte_in_order(self):
        lines = [b"%06d " % number * 20 for number in range(2_000)]
        for line in lines:
            self.writer.write(line)
        result = []
        reader = threading.Thread(target=lambda: result.append(self.read_all()))
        reader.start()
        self.writer.finish()
        self.ours.shutdown(socket.SHUT_WR)
        reader.join()
        self.assertEqual(b"".join(lines), unchunk(result[0]))

    def test_writes_fail_when_the_caller_reads_nothing(self):
        with self.assertRaises(ConnectionError):
            for _ in range(2 * MAX_BUFFERED_BYTES // 10_000):
                self.writer.write(b"x" * 10_000)

    def test_writes_fail_when_the_caller_has_disconnected(self):
        self.callers.close()
        with self.assertRaises(ConnectionError):
            for _ in range(3):
                self.writer.write(b"x")
