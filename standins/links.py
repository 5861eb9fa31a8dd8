"""Stand-in for the links between one entry instance and all servers.

The instance reads the key-value service through this process, which replaces the address in each
value under ``servers/`` by an address of its own and passes connections there on to the server. All
else is passed on unchanged. ``PUT /links`` with ``{"state": ...}`` sets how the links behave:

- ``open``: as links do
- ``hang``: no byte passes; of two servers in turn, one link lets connections open and stay silent,
  the other one leaves them unopened, as its backlog is full
- ``reset``: open connections are reset and new ones refused
- ``refuse``: open connections live on and new ones are refused

Bytes and ends of connections that were held back pass once the links are open again. The kernel
acknowledges them meanwhile, so that ``TCP_USER_TIMEOUT`` and keep-alive see a living peer.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import contextlib
import json
import signal
import socket
import sys
from enum import Enum
from typing import Any

from standins.base import HOST, RESET_ON_CLOSE

__all__ = ["LinkState", "ServerLink", "StoreFront", "rewrite_addresses"]

BACKLOG = 512
READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
SERVER_PREFIX = "servers/"
CONTROL_PATH = "/links"


class LinkState(Enum):
    """How the links behave."""

    OPEN = "open"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class ServerLink:
    """Link to one server, with an address of its own that it keeps.

    :param address: address of the server
    :param leaves_unopened: whether new connections stay unopened while the link hangs
    """

    def __init__(self, address: str, *, leaves_unopened: bool) -> None:
        self._server = address.rsplit(":", 1)
        self._leaves_unopened = leaves_unopened
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []
        self._listener: socket.socket | None = None
        # Keeps other sockets from the port while nothing listens there.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind((HOST, 0))
        self.address = f"{HOST}:{self._reserved.getsockname()[1]}"
        self._listen()

    def set_state(self, state: LinkState) -> None:
        """Change how the link behaves."""
        self._open()
        if state is LinkState.HANG:
            self._flowing.clear()
            if self._leaves_unopened:
                self._fill_backlog()
        elif state is not LinkState.OPEN:
            self._close_listener()
            if state is LinkState.RESET:
                self._reset_connections()

    def _open(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._listener is None:
            self._listen()
        self._listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._flowing.set()

    def _listen(self) -> None:
        port = self._reserved.getsockname()[1]
        self._listener = socket.create_server((HOST, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _close_listener(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        self._listener = None

    def _fill_backlog(self) -> None:
        self._accept()
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setblocking(False)
            task = asyncio.ensure_future(self._carry(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, connection: socket.socket) -> None:
        near = await asyncio.open_connection(sock=connection)
        writers = [near[1]]
        self._writers.add(near[1])
        try:
            await self._flowing.wait()
            far = await asyncio.open_connection(*self._server)
            writers.append(far[1])
            self._writers.add(far[1])
            await asyncio.gather(self._pump(near[0], far[1]), self._pump(far[0], near[1]))
        except OSError:
            for writer in writers:
                _reset(writer)
        finally:
            self._writers.difference_update(writers)
            for writer in writers:
                writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._flowing.wait()
            writer.write(data)
            await writer.drain()
        await self._flowing.wait()
        writer.write_eof()

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):  # closed already
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class StoreFront:
    """Way of one instance to the key-value service, which gives it the addresses of its links.

    :param store_address: address of the key-value service
    """

    def __init__(self, store_address: str) -> None:
        self._store = store_address.rsplit(":", 1)
        self._links: dict[str, ServerLink] = {}
        self._state = LinkState.OPEN

    def link_address(self, address: str) -> str:
        """Return the address of the link to a server, which is made at the first call.

        :param address: address of the server
        """
        link = self._links.get(address)
        if link is None:
            link = ServerLink(address, leaves_unopened=len(self._links) % 2 == 1)
            link.set_state(self._state)
            self._links[address] = link
        return link.address

    def set_state(self, state: LinkState) -> None:
        """Change how all links behave."""
        self._state = state
        for link in self._links.values():
            link.set_state(state)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it closes."""
        store: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        try:
            while True:
                head, body = await _read_message(reader)
                if head.split(b" ", 2)[1] == CONTROL_PATH.encode():
                    self.set_state(LinkState(json.loads(body)["state"]))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                else:
                    store = store or await asyncio.open_connection(*self._store)
                    store[1].write(head + body)
                    writer.write(self._rewrite(*await _read_message(store[0])))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError) as error:
            if store is not None and isinstance(error, ConnectionResetError):
                _reset(writer)
        finally:
            writer.close()
            if store is not None:
                store[1].close()

    def _rewrite(self, head: bytes, body: bytes) -> bytes:
        if SERVER_PREFIX.encode() in body:
            document = json.loads(body)
            rewrite_addresses(document, self.link_address)
            body = json.dumps(document).encode()
        lines = [line for line in head.split(b"\r\n")[:-2] if not _is_length(line)]
        lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


def rewrite_addresses(document: dict[str, Any], address_of: Any) -> None:
    """Replace the addresses of servers in a reply of the key-value service.

    :param document: decoded reply to a read by key, a read of a range or a watch
    :param address_of: returns the address to put in place of another one
    """
    for entry in [document, *document.get("items", ()), *document.get("events", ())]:
        if not entry.get("key", "").startswith(SERVER_PREFIX) or "value" not in entry:
            continue
        try:
            value = json.loads(base64.b64decode(entry["value"]))
            value["address"] = address_of(value["address"])
        except (ValueError, KeyError, TypeError):
            continue  # not the entry of a server
        entry["value"] = base64.b64encode(json.dumps(value).encode()).decode()


async def _read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    lengths = [int(line.partition(b":")[2]) for line in head.split(b"\r\n") if _is_length(line)]
    return head, await reader.readexactly(lengths[0] if lengths else 0)


def _is_length(line: bytes) -> bool:
    return line.lower().startswith(b"content-length:")


async def serve(store_address: str, port: int) -> None:
    """Serve until SIGTERM; print one ready line with the port.

    :param store_address: address of the key-value service
    :param port: TCP port; 0 picks a free one
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    handler = StoreFront(store_address).handle
    listener = await asyncio.start_server(
        handler, HOST, port, limit=MAX_HEAD_BYTES, backlog=BACKLOG
    )
    print(f"ready port={listener.sockets[0].getsockname()[1]}", flush=True)
    await stopped.wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--store", required=True, help="address of the key-value service")
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.store, arguments.port))
    sys.exit(0)


if __name__ == "__main__":
    main()
