"""No context, answer, order, limit or idempotency record crosses brands."""

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
from bergamothill.version.block import chain_blocks
from bergamothill.version.change import AddBrand, AddKey, RemoveKey
from bergamothill.version.config import Configuration, Limits
from bergamothill.version.effect import apply_changes
from tests.proof.harness import Proof, ProofMachine

BRANDS = ("acme", "kea", "weka")
KEYS = ("key-1", "key-2", "key-3")
ENTRIES = ("e1", "e2")
PROMPTS = ("same question " * 8, "other question " * 8)
IDEMPOTENCY_KEYS = ("order-1", "order-2")
BODIES = (b"one", b"two")
CONCURRENT = 2
SECRET = "the secret of all entry instances"


class BrandBlindTokens(StreamTokens):
    """Double that checks the signature only."""

    def check(self, text, brand):
        return self._decode(text)


class BrandMachine(ProofMachine):
    """Oracle: each answer names the brand that it was made for."""

    doubles = frozenset({"tokens", "blocks", "records", "limits"})

    def __init__(self):
        super().__init__()
        self._quiet = logbook.NullHandler()
        self._quiet.push_thread()
        self.clock = ManualClock()
        lacking = frozenset() if self.mechanism_enabled else self.doubles
        self.lacking = lacking
        tokens = BrandBlindTokens if "tokens" in lacking else StreamTokens
        self.tokens = tokens(SECRET, self.clock)
        self.forger = StreamTokens("another secret", self.clock)
        changes = [AddBrand(brand) for brand in BRANDS]
        changes += [AddKey(brand, key_digest(key)) for brand, key in zip(BRANDS, KEYS, strict=True)]
        self.configuration = apply_changes(Configuration(), tuple(changes))
        self.in_force = dict.fromkeys(ENTRIES, BrandIndex(self.configuration))
        self.cache = {}
        self.streams = {}
        self.issued = []
        self.used = {}
        self.held = []
        self.requests = 0
        self.service = MemoryPlainService(self.serve)
        kvs, network = MemoryKeyValueService(self.clock), MemoryNetwork()
        self.runners = {
            entry: ActionRunner(kvs, network.join(entry, "a"), self.clock, entry)
            for entry in ENTRIES
        }
        limits = Limits(requests_per_s=1e9, burst=1_000_000, concurrent=CONCURRENT)
        self.admission = Admission(lambda brand: limits, 1, 0, random.Random(1))

    def teardown(self):
        self._quiet.pop_thread()

    def serve(self, call):
        return ServiceReply(200, "text/plain", call.brand.encode() + b" " + call.body)

    def brand_of(self, entry, key):
        """The brand that the key names at an entry instance, by the oracle and by the product."""
        index = self.in_force[entry]
        brands = index.configuration.brands.values()
        owners = [brand.name for brand in brands if key_digest(key) in brand.key_digests]
        assert len(owners) <= 1, f"{key} names {owners}"
        try:
            found = index.authenticate(f"Bearer {key}")
        except AuthenticationError:
            assert not owners, f"{key} of {owners[0]} was refused"
            return None
        assert [found] == owners, f"{key} of {owners} was taken for {found}"
        return found

    @rule(key=st.sampled_from(KEYS), brand=st.sampled_from(BRANDS))
    def key_moves(self, key, brand):
        self.fault()
        digest = key_digest(key)
        owners = [b.name for b in self.configuration.brands.values() if digest in b.key_digests]
        if owners != [brand]:
            try:
                self.configuration = apply_changes(self.configuration, (AddKey(brand, digest),))
                assert not owners, f"{key} names {owners[0]} and {brand}"
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
        self.in_force[entry] = BrandIndex(self.configuration)

    @rule(
        entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS), prompt=st.sampled_from(PROMPTS)
    )
    def caller_asks(self, entry, key, prompt):
        self.operation()
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        named = "" if "blocks" in self.lacking else brand
        messages = ({"role": "user", "content": prompt},)
        chain = chain_blocks(named, "guide", "", "v1", messages, block_tokens=4)
        assert chain.keys, "the prompt fills no block"
        for block_key in chain.keys:
            maker = self.cache.setdefault(block_key, brand)
            assert maker == brand, f"{brand} reads a block that {maker} made"
        self.requests += 1
        stream = f"stream-{self.requests}"
        self.streams[stream] = brand
        token = StreamToken(
            brand, "engine-1", stream, f"r{self.requests}", "guide", "v1", self.clock.wall_ms()
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
        owner = self.streams[token.stream_id]
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

    def forge(self, way, wished, text, data):
        raw = bytearray(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
        forged = self.forger.sign(wished)
        wish = base64.urlsafe_b64decode(forged + "=" * (-len(forged) % 4))
        if way == "rename":
            raw[SIGNATURE_BYTES:] = wish[SIGNATURE_BYTES:]
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
            request_id=f"r{self.requests}",
            brand="" if "records" in self.lacking else brand,
            method="POST",
            path="orders",
            body=body,
            content_type="text/plain",
            idempotency_key=idempotency_key,
            timeout_ms=1_000,
            service_name="parts",
        )
        first = self.used.setdefault((brand, idempotency_key), body)
        try:
            reply = self.runners[entry].run(call, "parts-1", self.service, repeatable=False)
        except ConflictError:
            assert first != body, f"{brand} is refused for the key of another brand"
            return
        assert first == body, "one key, two orders"
        expected = call.brand.encode() + b" " + body
        assert reply.body == expected, f"{brand} got the answer {reply.body!r}"
        mine = sum(done == (brand, idempotency_key) for done in self.ran())
        assert mine == 1, f"{brand} ordered once, {mine} ran"

    def ran(self):
        return [(call.brand, call.idempotency_key) for call in self.service.effects]

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def request_begins(self, entry, key):
        self.operation()
        brand = self.brand_of(entry, key)
        if brand is None:
            return
        self.clock.advance_ms(1)
        counted = BRANDS[0] if "limits" in self.lacking else brand
        mine = sum(holder == brand for holder, _ in self.held)
        try:
            ticket = self.admission.admit(
                counted, RequestClass.INTERACTIVE, 1, 1_000, self.clock.now_ms()
            )
        except OverloadedError:
            assert mine >= CONCURRENT, f"{brand} with {mine} in progress pays for another brand"
            return
        assert mine < CONCURRENT, f"{brand} has {mine + 1} in progress"
        self.held.append((brand, ticket))

    @precondition(lambda self: self.held)
    @rule()
    def request_ends(self):
        self.operation()
        self.admission.release(self.held.pop(0)[1])


PROOFS = (Proof(slug="brands", machine=BrandMachine),)
