"""Proof that no context, answer, order, limit or idempotency record is shared between brands."""

from __future__ import annotations

import base64
import random
from dataclasses import replace

import logbook
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.connection.service import MemoryPlainService, ServiceCall, ServiceReply
from bergamothill.errors import (
    AuthenticationError,
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    OverloadedError,
)
from bergamothill.request.action import ActionRunner
from bergamothill.request.auth import BrandIndex, key_digest
from bergamothill.request.limits import Admission, RequestClass
from bergamothill.request.token import SIGNATURE_BYTES, StreamToken, StreamTokens
from bergamothill.version.applychanges import apply_changes
from bergamothill.version.block import chain_blocks
from bergamothill.version.change import AddBrand, AddKey, RemoveKey
from bergamothill.version.config import Configuration, Limits
from tests.proof.harness import Proof, ProofMachine

BRANDS = ("acme", "kea", "weka")
KEYS = ("key-1", "key-2", "key-3")
ENTRIES = ("e1", "e2")
PROMPTS = ("same question " * 8, "other question " * 8)
IDEMPOTENCY_KEYS = ("order-1", "order-2")
BODIES = (b"one", b"two")
MAX_CONCURRENT = 2
SECRET = "the secret of all entry instances"


class BrandBlindTokens(StreamTokens):
    """Test double that checks only the signature, not the brand."""

    def check(self, text, brand):
        return self._decode(text)


class BrandMachine(ProofMachine):
    """Callers of several brands whose API keys move between brands.

    Oracle: each answer names the brand for which it was produced.
    """

    doubles = frozenset({"tokens", "blocks", "records", "limits"})

    def __init__(self):
        super().__init__()
        self._log_silencer = logbook.NullHandler()
        self._log_silencer.push_thread()
        self.clock = ManualClock()
        disabled = frozenset() if self.mechanism_enabled else self.doubles
        self.disabled = disabled
        tokens = BrandBlindTokens if "tokens" in disabled else StreamTokens
        self.tokens = tokens(SECRET, self.clock)
        self.forger = StreamTokens("another secret", self.clock)
        changes = [AddBrand(brand) for brand in BRANDS]
        changes += [AddKey(brand, key_digest(key)) for brand, key in zip(BRANDS, KEYS, strict=True)]
        self.configuration = apply_changes(Configuration(), tuple(changes))
        self.brand_indexes = dict.fromkeys(ENTRIES, BrandIndex(self.configuration))
        self.block_owners = {}
        self.stream_owners = {}
        self.issued = []
        self.first_bodies = {}
        self.tickets = []
        self.request_count = 0
        self.service = MemoryPlainService(self.serve)
        kvs, network = MemoryKeyValueService(self.clock), MemoryNetwork()
        self.runners = {
            entry: ActionRunner(kvs, network.join(entry, "a"), self.clock, entry)
            for entry in ENTRIES
        }
        limits = Limits(requests_per_s=1e9, burst=1_000_000, concurrent=MAX_CONCURRENT)
        self.admission = Admission(lambda brand: limits, 1, 0, random.Random(1))

    def teardown(self):
        self._log_silencer.pop_thread()

    def serve(self, call):
        return ServiceReply(200, "text/plain", call.brand.encode() + b" " + call.body)

    def brand_of(self, entry, key):
        """Return the brand of an API key at an entry instance, and check it against the oracle."""
        index = self.brand_indexes[entry]
        brands = index.configuration.brands.values()
        owners = [brand.name for brand in brands if key_digest(key) in brand.key_digests]
        assert len(owners) <= 1, f"{key} belongs to {owners}"
        try:
            found = index.authenticate(f"Bearer {key}")
        except AuthenticationError:
            assert not owners, f"{key} of {owners[0]} was rejected"
            return None
        assert [found] == owners, f"{key} of {owners} was authenticated as {found}"
        return found

    @rule(key=st.sampled_from(KEYS), brand=st.sampled_from(BRANDS))
    def key_moves(self, key, brand):
        self.fault()
        digest = key_digest(key)
        owners = [b.name for b in self.configuration.brands.values() if digest in b.key_digests]
        if owners != [brand]:
            try:
                self.configuration = apply_changes(self.configuration, (AddKey(brand, digest),))
                assert not owners, f"{key} belongs to {owners[0]} and {brand}"
            except ConflictError:
                changes = (RemoveKey(owners[0], digest), AddKey(brand, digest))
                self.configuration = apply_changes(self.configuration, changes)

    @rule(key=st.sampled_from(KEYS))
    def key_is_withdrawn(self, key):
        self.fault()
        digest = key_digest(key)
        for brand in list(self.configuration.brands.values()):
            if digest in brand.key_digests:
                change = RemoveKey(brand.name, digest)
                self.configuration = apply_changes(self.configuration, (change,))

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_applies(self, entry):
        self.operation()
        self.brand_indexes[entry] = BrandIndex(self.configuration)

    @rule(
        entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS), prompt=st.sampled_from(PROMPTS)
    )
    def caller_asks(self, entry, key, prompt):
        self.operation()
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        chain_brand = "" if "blocks" in self.disabled else brand
        messages = ({"role": "user", "content": prompt},)
        chain = chain_blocks(chain_brand, "guide", "", "v1", messages, block_tokens=4)
        assert chain.keys, "the prompt fills no block"
        for block_key in chain.keys:
            owner = self.block_owners.setdefault(block_key, brand)
            assert owner == brand, f"{brand} reads a block of {owner}"
        self.request_count += 1
        stream = f"stream-{self.request_count}"
        self.stream_owners[stream] = brand
        token = StreamToken(
            brand, "engine-1", stream, f"r{self.request_count}", "guide", "v1", self.clock.wall_ms()
        )
        self.issued.append((token, self.tokens.sign(token)))

    def resume(self, entry, key, text):
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        try:
            token = self.tokens.check(text, brand)
        except (InvalidRequestError, NotFoundError):
            return
        owner = self.stream_owners[token.stream_id]
        assert owner == brand, f"{brand} resumes a stream of {owner}"

    @precondition(lambda self: self.issued)
    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS), data=st.data())
    def caller_resumes(self, entry, key, data):
        self.operation()
        token, text = data.draw(st.sampled_from(self.issued), label="token")
        if self.brand_of(entry, key) == token.brand:
            assert self.tokens.check(text, token.brand) == token, "the owner cannot resume"
        self.resume(entry, key, text)

    @precondition(lambda self: self.issued)
    @rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(KEYS),
        way=st.sampled_from(("rename", "graft", "flip", "other secret", "cut")),
        data=st.data(),
    )
    def caller_forges(self, entry, key, way, data):
        self.fault()
        token, text = data.draw(st.sampled_from(self.issued), label="token")
        brand = self.brand_of(entry, key) or BRANDS[0]
        self.resume(entry, key, self.forge(way, replace(token, brand=brand), text, data))

    def forge(self, way, forged_token, text, data):
        raw = bytearray(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
        forged = self.forger.sign(forged_token)
        forged_raw = base64.urlsafe_b64decode(forged + "=" * (-len(forged) % 4))
        if way == "rename":
            raw[SIGNATURE_BYTES:] = forged_raw[SIGNATURE_BYTES:]
        elif way == "graft":
            other = data.draw(st.sampled_from(self.issued), label="other")[1]
            raw[:SIGNATURE_BYTES] = base64.urlsafe_b64decode(other + "=" * (-len(other) % 4))[
                :SIGNATURE_BYTES
            ]
        elif way == "flip":
            raw[data.draw(st.integers(0, len(raw) - 1), label="place")] ^= 1
        elif way == "other secret":
            return forged
        else:
            raw = raw[: data.draw(st.integers(0, len(raw) - 1), label="length")]
        return base64.urlsafe_b64encode(bytes(raw)).decode().rstrip("=")

    @rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(KEYS),
        idempotency_key=st.sampled_from(IDEMPOTENCY_KEYS),
        body=st.sampled_from(BODIES),
    )
    def caller_orders(self, entry, key, idempotency_key, body):
        self.operation()
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        call = ServiceCall(
            request_id=f"r{self.request_count}",
            brand="" if "records" in self.disabled else brand,
            method="POST",
            path="orders",
            body=body,
            content_type="text/plain",
            idempotency_key=idempotency_key,
            timeout_ms=1_000,
            service_name="parts",
        )
        first = self.first_bodies.setdefault((brand, idempotency_key), body)
        try:
            reply = self.runners[entry].run(call, "parts-1", self.service, repeatable=False)
        except ConflictError:
            assert first != body, (
                f"{brand} got a conflict with the idempotency key of another brand"
            )
            return
        assert first == body, "one idempotency key was accepted for two orders"
        expected = call.brand.encode() + b" " + body
        assert reply.body == expected, f"{brand} got the answer {reply.body!r}"
        executions = sum(ran == (brand, idempotency_key) for ran in self.executed())
        assert executions == 1, f"{brand} ordered once, but {executions} calls ran"

    def executed(self):
        return [(call.brand, call.idempotency_key) for call in self.service.effects]

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def request_begins(self, entry, key):
        self.operation()
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        self.clock.advance_ms(1)
        counted_brand = BRANDS[0] if "limits" in self.disabled else brand
        in_progress = sum(owner == brand for owner, _ in self.tickets)
        try:
            ticket = self.admission.admit(
                counted_brand, RequestClass.INTERACTIVE, 1, 1_000, self.clock.now_ms()
            )
        except OverloadedError:
            assert in_progress >= MAX_CONCURRENT, (
                f"{brand} was limited with {in_progress} requests in progress"
            )
            return
        assert in_progress < MAX_CONCURRENT, f"{brand} has {in_progress + 1} requests in progress"
        self.tickets.append((brand, ticket))

    @precondition(lambda self: self.tickets)
    @rule()
    def request_ends(self):
        self.operation()
        self.admission.release(self.tickets.pop(0)[1])


PROOFS = (Proof(slug="brands", machine=BrandMachine),)
