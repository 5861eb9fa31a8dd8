"""Stand-in of a store instance: put, ranged get, delete and list over HTTP.

Switches besides the base's: ``full`` refuses every put; ``partial_put_bytes`` shows that many bytes
of a put, then drops the connection; ``write_bytes_per_s`` and ``read_bytes_per_s`` slow the bytes
down, a growing part of a slow put being visible; ``reuse_places`` makes a read of a deleted object
that is under way go on with the bytes of the next object put. ``POST /snapshot`` notes the objects,
``POST /restore`` brings them back, ``POST /wipe`` loses everything, ``GET /stats`` counts calls.
"""

from __future__ import annotations

import argparse
import threading
import time
from collections import Counter
from collections.abc import Iterator

from werkzeug.wrappers import Request, Response

from bergamothill.connection.refusal import refusal_body
from bergamothill.errors import BergamothillError, NotFoundError, StoreFullError
from standins.base import DropConnection, StandIn, json_response

CHUNK_BYTES = 65_536
PEER = "store"


class Place:
    """Bytes of one object; a reader holds the place, not the name."""

    def __init__(self, value: bytes = b"") -> None:
        self.value = value
        self.written_s = time.monotonic()

    def write(self, value: bytes) -> None:
        """Set the bytes that are visible now."""
        self.value = value
        self.written_s = time.monotonic()


class StoreStandIn(StandIn):
    """Store instance.

    :param capacity_bytes: room for all objects together
    """

    def __init__(self, capacity_bytes: int) -> None:
        super().__init__()
        self._capacity_bytes = capacity_bytes
        self._places: dict[str, Place] = {}
        self._freed: list[Place] = []
        self._snapshot: dict[str, bytes] = {}
        self._calls = Counter()
        self._lock = threading.Lock()
        self.route("/stats", lambda request: json_response(self._calls), ["GET"])
        self.route("/objects", self._list, ["GET"])
        self.route("/objects/<path:name>", self._put, ["PUT"])
        self.route("/objects/<path:name>", self._get, ["GET"])
        self.route("/objects/<path:name>", self._delete, ["DELETE"])
        self.route("/snapshot", self._take_snapshot, ["POST"])
        self.route("/restore", self._restore, ["POST"])
        self.route("/wipe", self._wipe, ["POST"])
        self.route("/healthz", lambda request: json_response({"status": "ok"}), ["GET"])

    def _list(self, request: Request) -> Response:
        self._calls["list"] += 1
        prefix = request.args.get("prefix", "")
        now_s = time.monotonic()
        with self._lock:
            rows = [
                [name, len(place.value), int((now_s - place.written_s) * 1000)]
                for name, place in self._places.items()
                if name.startswith(prefix)
            ]
        return json_response(sorted(rows))

    def _put(self, request: Request, name: str) -> Response:
        self._calls["put"] += 1
        value = request.get_data()
        try:
            place = self._open(name, len(value))
        except StoreFullError as error:
            return _refuse(error)
        partial = self.faults.get("partial_put_bytes")
        if partial is not None:
            place.write(value[:partial])
            raise DropConnection
        self._fill(place, value)
        return Response(status=204)

    def _open(self, name: str, size_bytes: int) -> Place:
        with self._lock:
            used = sum(len(place.value) for place in self._places.values())
            used -= len(self._places[name].value) if name in self._places else 0
            if self.faults.get("full") or used + size_bytes > self._capacity_bytes:
                raise StoreFullError("no room", step="store.put", peer=PEER)
            reuse = self.faults.get("reuse_places") and self._freed
            place = self._freed.pop() if reuse else Place()
            self._places[name] = place
        return place

    def _fill(self, place: Place, value: bytes) -> None:
        bytes_per_s = self.faults.get("write_bytes_per_s")
        if bytes_per_s:
            for end in range(0, len(value), CHUNK_BYTES):
                place.write(value[:end])
                time.sleep(CHUNK_BYTES / bytes_per_s)
        place.write(value)

    def _get(self, request: Request, name: str) -> Response:
        self._calls["get"] += 1
        with self._lock:
            place = self._places.get(name)
        if place is None:
            return _refuse(NotFoundError("no such object", step="store.get", peer=PEER))
        start, end = _range(request, len(place.value))
        if start >= len(place.value):
            return Response(status=416)
        headers = {"Content-Length": str(end - start)}
        chunks = self._read(place, start, end)
        return Response(chunks, 206, headers, content_type="application/octet-stream")

    def _read(self, place: Place, start: int, end: int) -> Iterator[bytes]:
        bytes_per_s = self.faults.get("read_bytes_per_s")
        if not bytes_per_s:
            yield place.value[start:end]
            return
        for position in range(start, end, CHUNK_BYTES):
            length = min(CHUNK_BYTES, end - position)
            time.sleep(length / bytes_per_s)
            yield place.value[position : position + length].ljust(length, b"\0")

    def _delete(self, request: Request, name: str) -> Response:
        self._calls["delete"] += 1
        with self._lock:
            place = self._places.pop(name, None)
            if place is not None:
                self._freed.append(place)
        return Response(status=204)

    def _take_snapshot(self, request: Request) -> Response:
        with self._lock:
            self._snapshot = {name: place.value for name, place in self._places.items()}
        return Response(status=204)

    def _restore(self, request: Request) -> Response:
        with self._lock:
            self._places = {name: Place(value) for name, value in self._snapshot.items()}
        return Response(status=204)

    def _wipe(self, request: Request) -> Response:
        with self._lock:
            self._places = {}
        return Response(status=204)


def _range(request: Request, size_bytes: int) -> tuple[int, int]:
    header = request.headers.get("Range", "bytes=0-")
    first, _, last = header.removeprefix("bytes=").partition("-")
    end = min(size_bytes, int(last) + 1) if last else size_bytes
    return int(first), end


def _refuse(error: BergamothillError) -> Response:
    return json_response(refusal_body(error), error.http_status)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--capacity-bytes", type=int, default=1 << 30)
    arguments = parser.parse_args()
    StoreStandIn(arguments.capacity_bytes).serve(arguments.port)


if __name__ == "__main__":
    main()
