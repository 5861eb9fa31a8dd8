"""How datagrams of other kinds reach the instances of other zones with few bytes; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.loadreport import member_key
from bergamothill.process.zonerelays import RELAYS, ZoneRelays
from bergamothill.process.zonereport import ZonePass, encode_zone_message
from bergamothill.process.zonesums import ZoneSums

__all__ = ["Outgoing", "ZonePasses"]

NO_ENTRY = EntryInstanceId("")
"""Datagrams that are passed on name their sender themselves."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Datagram to send.

    :param datagram: content
    :param entries: receivers
    """

    datagram: bytes
    entries: tuple[EntryInstanceId, ...]


class ZonePasses:
    """Sends one datagram to another zone, where its receiver passes it on.

    :param zone: its zone; None if the settings name none
    :param roles: zones and builds of the peers
    :param sums: sums, which show the relays that are alive
    """

    def __init__(
        self,
        zone: ZoneName | None,
        roles: ZoneRelays,
        sums: ZoneSums,
    ) -> None:
        self._zone = zone
        self._roles = roles
        self._sums = sums
        self._turn = 0

    def to_all(
        self, datagram: bytes, peers: Iterable[EntryInstanceId], now_ms: int, *, is_urgent: bool
    ) -> list[Outgoing]:
        """Return how a datagram reaches all peers.

        :param is_urgent: whether it goes by both relays of each other zone, not by one in turn
        """
        if not self._roles.is_zoned:
            return [Outgoing(datagram, tuple(peers))]
        direct = [*self._roles.members_of(self._zone), *self._roles.members_of(None)]
        passed: list[EntryInstanceId] = []
        self._turn += 1
        for zone in self._roles.all_other_zones:
            relays = self._relays_of(zone, now_ms)
            if not relays:
                direct += self._roles.members_of(zone)
            elif is_urgent:
                passed += relays[:RELAYS]
            else:
                passed.append(self._in_turn(relays))
        outgoing = [Outgoing(datagram, tuple(direct))]
        if passed:
            wrapped = encode_zone_message(ZonePass(NO_ENTRY, (), datagram))
            outgoing.append(Outgoing(wrapped, tuple(passed)))
        return outgoing

    def to_zone(
        self, datagram: bytes, zone: ZoneName, peers: Iterable[EntryInstanceId], now_ms: int
    ) -> list[Outgoing]:
        """Return how a datagram reaches the peers of one zone, and those of unknown zones.

        :param peers: all peers, which get it where loads are not exchanged by zone
        """
        if not self._roles.is_zoned:
            return [Outgoing(datagram, tuple(peers))]
        unknown = self._roles.members_of(None)
        relays = self._relays_of(zone, now_ms) if zone != self._zone else ()
        if not relays:
            return [Outgoing(datagram, (*self._roles.members_of(zone), *unknown))]
        self._turn += 1
        wrapped = encode_zone_message(ZonePass(NO_ENTRY, (), datagram))
        return [Outgoing(wrapped, (self._in_turn(relays),)), Outgoing(datagram, unknown)]

    def _relays_of(self, zone: ZoneName, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the relays of another zone that are alive and registered there."""
        relays = self._sums.relays_of(zone, now_ms)
        return tuple(relay for relay in relays if self._roles.zone_of(relay) == zone)

    def _in_turn(self, relays: tuple[EntryInstanceId, ...]) -> EntryInstanceId:
        """Return one of the relays of a zone, in turn."""
        return sorted(relays)[self._turn % len(relays)]

    def to_some(
        self, datagram: bytes, entries: Iterable[EntryInstanceId], turn: int, *, is_repeat: bool
    ) -> list[Outgoing]:
        """Return how a datagram reaches some peers.

        To several of another zone one datagram is sent, which the first of them passes on.

        :param turn: chooses the one that passes it on; differs for a repetition
        :param is_repeat: whether one of the other zones is enough, as all were sent it before
        """
        direct: list[EntryInstanceId] = []
        zones: dict[ZoneName, list[EntryInstanceId]] = {}
        for entry in entries:
            zone = self._roles.zone_of(entry) if self._roles.is_zoned else None
            if zone is None or zone == self._zone:
                direct.append(entry)
            else:
                zones.setdefault(zone, []).append(entry)
        outgoing = []
        for number, chosen in enumerate(zones.values()):
            if is_repeat and number != turn % len(zones):
                continue
            first = chosen.pop(turn % len(chosen))
            if is_repeat or not chosen:
                direct.append(first)
                continue
            members = tuple(member_key(entry) for entry in chosen)
            wrapped = encode_zone_message(ZonePass(NO_ENTRY, members, datagram))
            outgoing.append(Outgoing(wrapped, (first,)))
        return [*outgoing, Outgoing(datagram, tuple(direct))]

    def on_pass(self, message: ZonePass) -> tuple[Outgoing, ...]:
        """Return what this instance passes on inside its zone."""
        entries = () if self._zone is None else self._roles.members_of(self._zone)
        if message.members:
            wanted = set(message.members)
            entries = tuple(entry for entry in entries if member_key(entry) in wanted)
        return (Outgoing(message.datagram, entries),) if entries else ()
