"""Stand-in for a store instance: put, ranged get, delete and list over HTTP.

Fault switches in addition to those of :mod:`standins.base`:

- ``full``: reject every put
- ``partial_put_bytes``: store only that many bytes of a put, then reset the connection
- ``write_bytes_per_s``, ``read_bytes_per_s``: throttle puts and gets; the part of a throttled put
  that has been written is visible to readers
- ``reuse_places``: store the next object in the buffer of a deleted one, so that a get of the
  deleted object that is still in progress returns bytes of the new one

``POST /snapshot`` saves the objects, ``POST /restore`` restores them, ``POST /wipe`` deletes all
objects, and ``GET /stats`` returns call counts.
"""

from __future__ import annotations

import argparse
import threading
import time
from collections import Counter
from collections.abc import Iterator

from werkzeug.wrappers import Request, Response

from bergamothill.connection.errorreply import encode_error_body
from bergamothill.errors import BergamothillError, NotFoundError, StoreFullError
from standins.base import DropConnection, StandIn, json_response

CHUNK_BYTES = 65_536
PEER = "store"


class ObjectBuffer:
    """Content of one object; a get in progress keeps the buffer after the object is deleted."""

    def __init__(self, value: bytes = b"") -> None:
        self.value = value
        self.written_s = time.monotonic()

    def write(self, value: bytes) -> None:
        """Replace the visible bytes."""
        self.value = value
        self.written_s = time.monotonic()


class StoreStandIn(StandIn):
    """HTTP application of the store stand-in.

    :param capacity_bytes: limit on the total size of all objects
    """

    def __init__(self, capacity_bytes: int) -> None:
        super().__init__()
        self._capacity_bytes = capacity_bytes
        self._buffers: dict[str, ObjectBuffer] = {}
        self._freed_buffers: list[ObjectBuffer] = []
        self._saved_objects: dict[str, bytes] = {}
        self._call_counts = Counter()
        self._lock = threading.Lock()
        self.route("/stats", lambda request: json_response(self._call_counts), ["GET"])
        self.route("/objects", self._handle_list, ["GET"])
        self.route("/objects/<path:name>", self._handle_put, ["PUT"])
        self.route("/objects/<path:name>", self._handle_get, ["GET"])
        self.route("/objects/<path:name>", self._handle_delete, ["DELETE"])
        self.route("/snapshot", self._handle_snapshot, ["POST"])
        self.route("/restore", self._handle_restore, ["POST"])
        self.route("/wipe", self._handle_wipe, ["POST"])
        self.route("/healthz", lambda request: json_response({"status": "ok"}), ["GET"])

    def _handle_list(self, request: Request) -> Response:
        self._call_counts["list"] += 1
        prefix = request.args.get("prefix", "")
        now_s = time.monotonic()
        with self._lock:
            rows = [
                [name, len(buffer.value), int((now_s - buffer.written_s) * 1000)]
                for name, buffer in self._buffers.items()
                if name.startswith(prefix)
            ]
        return json_response(sorted(rows))

    def _handle_put(self, request: Request, name: str) -> Response:
        self._call_counts["put"] += 1
        value = request.get_data()
        try:
            buffer = self._allocate(name, len(value))
        except StoreFullError as error:
            return _error_response(error)
        partial = self.faults.get("partial_put_bytes")
        if partial is not None:
            buffer.write(value[:partial])
            raise DropConnection
        self._write_content(buffer, value)
        return Response(status=204)

    def _allocate(self, name: str, size_bytes: int) -> ObjectBuffer:
        with self._lock:
            used = sum(len(buffer.value) for buffer in self._buffers.values())
            used -= len(self._buffers[name].value) if name in self._buffers else 0
            if self.faults.get("full") or used + size_bytes > self._capacity_bytes:
                raise StoreFullError("no room", step="store.put", peer=PEER)
            reuse = self.faults.get("reuse_places") and self._freed_buffers
            buffer = self._freed_buffers.pop() if reuse else ObjectBuffer()
            self._buffers[name] = buffer
        return buffer

    def _write_content(self, buffer: ObjectBuffer, value: bytes) -> None:
        bytes_per_s = self.faults.get("write_bytes_per_s")
        if bytes_per_s:
            for end in range(0, len(value), CHUNK_BYTES):
                buffer.write(value[:end])
                time.sleep(CHUNK_BYTES / bytes_per_s)
        buffer.write(value)

    def _handle_get(self, request: Request, name: str) -> Response:
        self._call_counts["get"] += 1
        with self._lock:
            buffer = self._buffers.get(name)
        if buffer is None:
            return _error_response(NotFoundError("no such object", step="store.get", peer=PEER))
        start, end = _parse_range(request, len(buffer.value))
        if start >= len(buffer.value):
            return Response(status=416)
        headers = {"Content-Length": str(end - start)}
        chunks = self._read_chunks(buffer, start, end)
        return Response(chunks, 206, headers, content_type="application/octet-stream")

    def _read_chunks(self, buffer: ObjectBuffer, start: int, end: int) -> Iterator[bytes]:
        bytes_per_s = self.faults.get("read_bytes_per_s")
        if not bytes_per_s:
            yield buffer.value[start:end]
            return
        for position in range(start, end, CHUNK_BYTES):
            length = min(CHUNK_BYTES, end - position)
            time.sleep(length / bytes_per_s)
            yield buffer.value[position : position + length].ljust(length, b"\0")

    def _handle_delete(self, request: Request, name: str) -> Response:
        self._call_counts["delete"] += 1
        with self._lock:
            buffer = self._buffers.pop(name, None)
            if buffer is not None:
                self._freed_buffers.append(buffer)
        return Response(status=204)

    def _handle_snapshot(self, request: Request) -> Response:
        with self._lock:
            self._saved_objects = {name: buffer.value for name, buffer in self._buffers.items()}
        return Response(status=204)

    def _handle_restore(self, request: Request) -> Response:
        with self._lock:
            self._buffers = {
                name: ObjectBuffer(value) for name, value in self._saved_objects.items()
            }
        return Response(status=204)

    def _handle_wipe(self, request: Request) -> Response:
        with self._lock:
            self._buffers = {}
        return Response(status=204)


def _parse_range(request: Request, size_bytes: int) -> tuple[int, int]:
    header = request.headers.get("Range", "bytes=0-")
    first, _, last = header.removeprefix("bytes=").partition("-")
    end = min(size_bytes, int(last) + 1) if last else size_bytes
    return int(first), end


def _error_response(error: BergamothillError) -> Response:
    return json_response(encode_error_body(error), error.http_status)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--capacity-bytes", type=int, default=1 << 30)
    arguments = parser.parse_args()
    StoreStandIn(arguments.capacity_bytes).serve(arguments.port)


if __name__ == "__main__":
    main()
