"""Relay of messages for everywhere: each is delivered once, whatever way it comes."""

from __future__ import annotations

import threading
from collections import OrderedDict

from bergamothill.connection.frames import Frame, FrameKind, PeerIdentity
from bergamothill.ids import EntryInstanceId, Incarnation

__all__ = ["RelayFilter"]

MAX_HOPS = 4
REMEMBERED_MESSAGES = 8_192

_Key = tuple[EntryInstanceId, Incarnation, int]


class RelayFilter:
    """Numbers own messages, recognizes repeated ones, and chooses the links that lead on.

    :param entry_id: this entry instance
    :param incarnation: its incarnation
    """

    def __init__(self, entry_id: EntryInstanceId, incarnation: Incarnation) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._counter = 0
        self._seen: OrderedDict[_Key, None] = OrderedDict()
        self._newest: dict[EntryInstanceId, Incarnation] = {}
        self._lock = threading.Lock()

    def originate(self, body: bytes) -> Frame:
        """Assign the next number to a message of this instance.

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

    def receive(self, frame: Frame) -> Frame | None:
        """Take in a relayed message.

        :param frame: frame as received
        :returns: frame to pass on; None when the message is repeated, our own, or of a former
            incarnation of its origin
        """
        key = (frame.origin, frame.origin_incarnation, frame.counter)
        with self._lock:
            newest = self._newest.get(frame.origin, frame.origin_incarnation)
            if frame.origin == self._entry_id or frame.origin_incarnation < newest:
                return None
            if key in self._seen:
                return None
            self._newest[frame.origin] = frame.origin_incarnation
            self._seen[key] = None
            if len(self._seen) > REMEMBERED_MESSAGES:
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
    def leads_on(frame: Frame, source: PeerIdentity, target: PeerIdentity) -> bool:
        """Tell whether a link may lead to who has not seen the message.

        Inside a zone the first receiver tells all others, so that what came from the zone goes
        only to other zones.

        :param frame: frame to pass on
        :param source: who sent it to us
        :param target: other end of the link
        """
        if frame.hops > MAX_HOPS or target.entry in (source.entry, frame.origin):
            return False
        return target.zone != source.zone
