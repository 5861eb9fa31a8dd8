"""Clients that do not behave, and measurements of a process from outside, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

RECONNECT_S = 0.05
UNREAD_BUFFER_BYTES = 16_384
SAMPLE_INTERVAL_S = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1_048_576

Way = Callable[[], Iterator[bytes]]
"""Returns the pieces that one client sends on one connection."""


class Crowd:
    """Clients that connect again whenever they are refused, and leave their connections open.

    :param address: host and port that they connect to
    :param way: what each sends on a connection
    :param clients: their number
    :param reads: whether they read what is sent to them
    :param again: whether a client that has got an answer goes on with a new connection
    """

    def __init__(
        self,
        address: tuple[str, int],
        way: Way,
        clients: int,
        *,
        reads: bool = True,
        again: bool = True,
    ) -> None:
        self.connections = 0
        self.sent_bytes = 0
        self._address = address
        self._way = way
        self._clients = clients
        self._reads = reads
        self._again = again

    def run(self, duration_s: float) -> None:
        """Let all clients act for some time, then close their connections."""
        asyncio.run(self._run(duration_s))

    async def _run(self, duration_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s), asyncio.TaskGroup() as group:
                for _ in range(self._clients):
                    group.create_task(self._act())

    async def _act(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(sock=await self._connect())
        self.connections += 1
        try:
            refused = asyncio.ensure_future(self._await_end(reader, writer))
            sending = asyncio.ensure_future(self._send(writer))
            both = {refused, sending}
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_EXCEPTION)
            finally:
                for task in both:
                    task.cancel()
                await asyncio.gather(*both, return_exceptions=True)
        finally:
            writer.transport.abort()

    async def _connect(self) -> socket.socket:
        connection = socket.socket()
        try:
            connection.setblocking(False)
            if not self._reads:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(connection, self._address)
        except BaseException:
            connection.close()
            raise
        return connection

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        for piece in self._way():
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
        await asyncio.Event().wait()

    async def _await_end(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._reads:
            writer.transport.pause_reading()
            await asyncio.Event().wait()
        while await reader.read(65_536):
            if self._again:
                break
        raise ConnectionError("refused or answered")


class ProcessMeter:
    """Samples the resident memory and the open descriptors of a process until it is stopped.

    :param pid: id of the process
    """

    def __init__(self, pid: int) -> None:
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self.peak_sockets = 0
        self._folder = Path(f"/proc/{pid}")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> ProcessMeter:
        """Begin to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(OSError, IndexError):
                self._sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        pages = int((self._folder / "statm").read_text(encoding="ascii").split()[1])
        self.peak_mb = max(self.peak_mb, pages * PAGE_BYTES / BYTES_PER_MB)
        targets = []
        for name in os.listdir(self._folder / "fd"):
            with contextlib.suppress(OSError):
                targets.append(os.readlink(self._folder / "fd" / name))
        self.peak_descriptors = max(self.peak_descriptors, len(targets))
        sockets = sum(target.startswith("socket:") for target in targets)
        self.peak_sockets = max(self.peak_sockets, sockets)
