"""Test case of stops, each of an instance of its own, with processes that end."""

from __future__ import annotations

import socket
import unittest
from typing import ClassVar

from scripts.callerload import CallerHabit, CallerRecord, encode_request
from scripts.platformfleet import FleetShape, PlatformFleet, RequestKind
from scripts.processes import ProcessGroup

TIMEOUT_S = 10
SEGMENT_BYTES = 1_448
RECEIVE_BUFFER_BYTES = 4_096


def encoded(kind: RequestKind, request: str) -> bytes:
    """Encode a request of a kind."""
    return encode_request(CallerRecord(request, kind, CallerHabit.KEEPS, ""))


class StopCase(unittest.TestCase):
    """Deployment of a shape, of whose instances each test has one that the others don't use."""

    SHAPE: ClassVar[FleetShape]

    @classmethod
    def setUpClass(cls) -> None:
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.fleet = PlatformFleet.start(group, cls.SHAPE)
        cls.nodes = cls.fleet.nodes

    def setUp(self) -> None:
        self.node = self.nodes.pop()

    def connect(self, *, has_small_segments: bool = False) -> socket.socket:
        """Connect to the instance.

        :param has_small_segments: whether segments and buffer are small, as over a network
        """
        connection = self.enterContext(socket.socket())
        if has_small_segments:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(TIMEOUT_S)
        connection.connect(self.node.caller_address)
        return connection
