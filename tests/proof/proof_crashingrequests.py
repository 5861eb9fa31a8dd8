"""Proof that requests that crash servers are stopped as a whole, and that others are not."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import rule

from bergamothill.request.crashevidence import WHOLE_REQUEST, PartId
from tests.proof.crashingworld import ENTRIES, Request
from tests.proof.harness import Proof
from tests.proof.proof_crashingparts import (
    COMMON,
    CRASHERS,
    RARE,
    CrashingPartsProof,
    crashers,
    part_ids,
)

POLLS = tuple(f"poll{number}" for number in range(6))


def whole(name):
    return PartId(WHOLE_REQUEST, name)


class CrashingRequestsProof(CrashingPartsProof):
    """Five entry instances and eight servers; two requests crash each server that runs them.

    They come again under other ids, one of them with the same shared parts of a prompt each time.
    Sound requests come once, as prompts, or again and again, as polls without a prompt.

    Oracle 1: later than the stability window after the third crash of a request, instances in touch
    send it at most three times to servers.
    Oracle 2: as for crashing parts.
    """

    crasher_ids = frozenset(whole(name) for name in CRASHERS)
    counted_crashes = 3

    def request(self, fingerprint, names=()):
        self.number += 1
        give_up_ms = self.world.now_ms + self.rng.choice((300, 1_000, 4_000))
        shared = part_ids(names) | {whole(fingerprint)}
        return Request(self.number, shared, self.rng.random() < 0.5, give_up_ms)

    def arrive_at(self, name, request):
        self.world.arrive(self.world.entries[name], request)

    def send_sound(self):
        entry = self.rng.choice(ENTRIES)
        if self.rng.random() < 0.5:
            self.arrive_at(entry, self.request(self.rng.choice(POLLS)))
            return
        pool = COMMON if self.rng.random() < 0.8 else RARE
        names = self.rng.sample(pool, self.rng.choice((1, 1, 2)))
        self.arrive_at(entry, self.request(f"own{self.number}", names))

    def send_crasher(self, name, entry=None):
        names = (COMMON[0], RARE[0]) if name == CRASHERS[0] else ()
        self.arrive_at(entry or self.rng.choice(ENTRIES), self.request(name, names))

    @rule(name=crashers, repeats=st.integers(1, 2))
    def crashers_arrive_everywhere(self, name, repeats):
        self.operation()
        for entry in ENTRIES * repeats:
            self.send_crasher(name, entry)
        self.world.run_for(10)


PROOFS = (Proof(slug="crashing-requests", machine=CrashingRequestsProof),)
