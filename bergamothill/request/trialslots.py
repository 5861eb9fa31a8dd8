"""Trials of suspected parts of requests, one at a time over all entry instances; no I/O.

An instance announces a claim before it begins a trial. Of several claims the one with the lowest
rank goes first. Trials that need a server without another one begin in turn as well, or two of them
would begin on the same server before either instance hears of the other. Instances that do not hear
of each other may run trials at the same time.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ServerId
from bergamothill.request.crashevidence import PartId, RunNumber

__all__ = ["PeerTrial", "TrialSlots"]

SETTLE_MS = 30
"""Time for which a claim is announced before its trial begins; longer than a datagram takes."""

MAX_SETTLE_MS = 240

CLAIM_TTL_MS = 250
"""Time after which a claim lapses unless its request asks again."""

PEER_CLAIM_TTL_MS = 500
PEER_TRIAL_TTL_MS = 1_000

TRIAL_TIMEOUT_MS = 3_000
"""Time after which a trial without an answer no longer keeps others waiting."""

POLL_MS = 50
MAX_CLAIMS = 256
MAX_SHARED_TRIALS = 64


@dataclass(frozen=True, slots=True)
class PeerTrial:
    """Trial that is running, or claim to one for which a request waits.

    :param parts: suspected parts
    :param server: server that runs it; None for a claim
    """

    parts: frozenset[PartId]
    server: ServerId | None


@dataclass(slots=True)
class _Claim:
    first_ms: int
    asked_ms: int


@dataclass(frozen=True, slots=True)
class _Running:
    parts: frozenset[PartId]
    server: ServerId
    began_ms: int


@dataclass(frozen=True, slots=True)
class _Snapshot:
    trials: tuple[PeerTrial, ...]
    sequence_number: int
    received_ms: int


class TrialSlots:
    """Trials and claims of this entry instance and its peers.

    :param entry: this entry instance
    """

    def __init__(self, entry: EntryInstanceId) -> None:
        self._entry = entry
        self._claims: dict[frozenset[PartId], _Claim] = {}
        self._running: dict[RunNumber, _Running] = {}
        self._peers: dict[EntryInstanceId, _Snapshot] = {}

    def claim(self, parts: frozenset[PartId], now_ms: int) -> bool:
        """Claim a trial or renew the claim; return whether the claim is new."""
        self._expire_claims(now_ms)
        claim = self._claims.get(parts)
        if claim is not None:
            claim.asked_ms = now_ms
            return False
        if len(self._claims) < MAX_CLAIMS:
            self._claims[parts] = _Claim(now_ms, now_ms)
        return True

    def wait_ms(
        self,
        parts: frozenset[PartId],
        crash_count: int,
        now_ms: int,
        *,
        needs_lone_server: bool,
    ) -> int:
        """Return the time after which to ask again; 0 if the trial may begin.

        :param crash_count: crashes so far; each doubles the time for which the claim is announced
        :param needs_lone_server: whether the trial needs a server without another one
        """
        claim = self._claims.get(parts)
        if claim is None:
            return POLL_MS
        if self.is_running(parts, now_ms):
            return POLL_MS
        settled_ms = claim.first_ms + min(MAX_SETTLE_MS, SETTLE_MS << (crash_count - 1))
        if now_ms < settled_ms:
            return settled_ms - now_ms
        rivals = set(self._rival_ranks(parts, now_ms))
        if needs_lone_server:
            rivals.update(self._ready_peer_ranks(now_ms))
        return POLL_MS if any(other < _rank(self._entry, parts) for other in rivals) else 0

    def is_running(self, parts: frozenset[PartId], now_ms: int) -> bool:
        """Return whether a trial of any of the parts is running."""
        return not parts.isdisjoint(self._running_parts(now_ms))

    def begin(
        self, run: RunNumber, parts: frozenset[PartId], server: ServerId, now_ms: int
    ) -> None:
        """Begin a trial that was claimed."""
        self._claims.pop(parts, None)
        self._running[run] = _Running(parts, server, now_ms)

    def end(self, run: RunNumber) -> bool:
        """End a trial, if the run is one; return whether it was."""
        return self._running.pop(run, None) is not None

    def servers(self, now_ms: int) -> frozenset[ServerId]:
        """Return the servers on which a trial is running."""
        trials = self._all_trials(now_ms)
        return frozenset(trial.server for trial in trials if trial.server is not None)

    def set_peer(
        self,
        entry: EntryInstanceId,
        sequence_number: int,
        trials: tuple[PeerTrial, ...],
        now_ms: int,
    ) -> bool:
        """Set the trials of a peer, unless newer ones are known; return whether they changed."""
        known = self._peers.get(entry)
        if known is not None and sequence_number <= known.sequence_number:
            return False
        self._peers[entry] = _Snapshot(trials, sequence_number, now_ms)
        self._expire_peers(now_ms)
        return set(known.trials if known is not None else ()) != set(trials)

    def own(self, now_ms: int) -> tuple[PeerTrial, ...]:
        """Return the trials and claims of this instance, for its peers."""
        self._expire_claims(now_ms)
        running = [
            PeerTrial(trial.parts, trial.server)
            for trial in self._running.values()
            if now_ms - trial.began_ms < TRIAL_TIMEOUT_MS
        ]
        claims = [PeerTrial(parts, None) for parts in self._claims]
        return tuple((running + claims)[:MAX_SHARED_TRIALS])

    def _all_trials(self, now_ms: int) -> Iterator[PeerTrial]:
        for trial in self._running.values():
            if now_ms - trial.began_ms < TRIAL_TIMEOUT_MS:
                yield PeerTrial(trial.parts, trial.server)
        for snapshot in self._peers.values():
            if now_ms - snapshot.received_ms < PEER_TRIAL_TTL_MS:
                yield from snapshot.trials

    def _running_parts(self, now_ms: int) -> set[PartId]:
        trials = self._all_trials(now_ms)
        return {part for trial in trials if trial.server is not None for part in trial.parts}

    def _rival_ranks(self, parts: frozenset[PartId], now_ms: int) -> Iterator[tuple]:
        """Yield the ranks of other claims to a trial of any of the parts."""
        for claimed in self._claims:
            if claimed != parts and not parts.isdisjoint(claimed):
                yield _rank(self._entry, claimed)
        for entry, claimed in self._peer_claims(now_ms):
            if not parts.isdisjoint(claimed):
                yield _rank(entry, claimed)

    def _ready_peer_ranks(self, now_ms: int) -> Iterator[tuple]:
        """Yield the ranks of the claims of peers that no running trial keeps waiting."""
        running = self._running_parts(now_ms)
        for entry, claimed in self._peer_claims(now_ms):
            if running.isdisjoint(claimed):
                yield _rank(entry, claimed)

    def _peer_claims(self, now_ms: int) -> Iterator[tuple[EntryInstanceId, frozenset[PartId]]]:
        for entry, snapshot in self._peers.items():
            if now_ms - snapshot.received_ms < PEER_CLAIM_TTL_MS:
                for trial in snapshot.trials:
                    if trial.server is None:
                        yield (entry, trial.parts)

    def _expire_claims(self, now_ms: int) -> None:
        for parts, claim in list(self._claims.items()):
            if now_ms - claim.asked_ms > CLAIM_TTL_MS:
                del self._claims[parts]

    def _expire_peers(self, now_ms: int) -> None:
        for entry, snapshot in list(self._peers.items()):
            if now_ms - snapshot.received_ms > PEER_TRIAL_TTL_MS:
                del self._peers[entry]


def _rank(entry: EntryInstanceId, parts: frozenset[PartId]) -> tuple:
    """Return the rank of a claim: fewer parts tell more, then any fixed order will do."""
    text = "\n".join([entry, *(f"{part.model}/{part.name}" for part in sorted(parts))])
    return (len(parts), zlib.crc32(text.encode()), entry)
