"""Relay of messages of scope ``EVERYWHERE``; each message is delivered only once."""

from __future__ import annotations

import threading
from collections import OrderedDict

from bergamothill.connection.frames import Frame, FrameKind, PeerIdentity
from bergamothill.ids import EntryInstanceId, Incarnation

__all__ = ["RelayFilter"]

MAX_HOPS = 4
MAX_SEEN_MESSAGES = 8_192

_MessageKey = tuple[EntryInstanceId, Incarnation, int]


class RelayFilter:
    """Numbers outgoing messages, drops duplicates and selects the links to forward on.

    :param entry_id: this entry instance
    :param incarnation: its incarnation
    """

    def __init__(self, entry_id: EntryInstanceId, incarnation: Incarnation) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._counter = 0
        self._seen: OrderedDict[_MessageKey, None] = OrderedDict()
        self._newest_incarnations: dict[EntryInstanceId, Incarnation] = {}
        self._lock = threading.Lock()

    def number_message(self, body: bytes) -> Frame:
        """Assign the next sequence number to a message of this instance.

        :param body: encoded message
        :returns: frame whose origin fields are set
        """
        with self._lock:
            self._counter += 1
            counter = self._counter
        return Frame(
            FrameKind.PUBLISH,
            0,
            body=body,
            origin=self._entry_id,
            origin_incarnation=self._incarnation,
            counter=counter,
        )

    def accept_once(self, frame: Frame) -> Frame | None:
        """Process a received message.

        :param frame: frame as received
        :returns: frame to forward; None if the message is a duplicate, comes from this instance or
            comes from an earlier incarnation of its origin
        """
        key = (frame.origin, frame.origin_incarnation, frame.counter)
        with self._lock:
            newest = self._newest_incarnations.get(frame.origin, frame.origin_incarnation)
            if frame.origin == self._entry_id or frame.origin_incarnation < newest:
                return None
            if key in self._seen:
                return None
            self._newest_incarnations[frame.origin] = frame.origin_incarnation
            self._seen[key] = None
            if len(self._seen) > MAX_SEEN_MESSAGES:
                self._seen.popitem(last=False)
        return Frame(
            FrameKind.PUBLISH,
            0,
            body=frame.body,
            origin=frame.origin,
            origin_incarnation=frame.origin_incarnation,
            counter=frame.counter,
            hops=frame.hops + 1,
        )

    @staticmethod
    def should_forward(frame: Frame, source: PeerIdentity, target: PeerIdentity) -> bool:
        """Return whether a link may reach instances that have not received the message.

        The first receiver in a zone forwards a message to all others of the zone, so a message
        received from a zone is not forwarded within it.

        :param frame: frame to forward
        :param source: peer that sent the frame to this instance
        :param target: peer at the other end of the link
        """
        if frame.hops > MAX_HOPS or target.entry in (source.entry, frame.origin):
            return False
        return target.zone != source.zone
