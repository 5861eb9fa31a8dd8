"""Proof that requests with home regions and their cached context stay in these regions."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.version.cacheindex import CacheIndex, EventBatch, PartEvent, PartKey
from bergamothill.version.homes import RegionMap
from tests.builders import backend, caller_request, server_pool
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require
from tests.test_homes import CONFIG, LLM

ZONES = ("z1", "z2", "z3", "z4")
REGIONS = ("north", "south", None)
HOMES = (None, frozenset({"north"}), frozenset({"south"}))

zones = st.sampled_from(ZONES)


class Borderless(RegionMap):
    """Test double in which every zone is in every region."""

    def is_home(self, zone, homes):
        return True

    def namespace_of(self, homes):
        return ""


class HomesProof(ProofMachine):
    """Requests are placed on engines in four zones, with a store in each, and are written later.

    Oracle: each request is written to a server in its home regions, with sources and targets of
    cached context there; and no context that a request left is fetched into other regions.
    """

    @initialize()
    def begin(self):
        self.index = CacheIndex()
        self.pool = server_pool(index=self.index)
        self.stores = [
            replace(CONFIG.stores[0], address=f"10.1.0.{number}:80", zone=zone)
            for number, zone in enumerate(ZONES)
        ]
        self.pool._planner.set_stores(tuple(self.stores))
        self.table = {"z1": "north", "z2": "south", "z4": "north"}
        self.servers = {f"s{i}": backend(f"s{i}", zone=z) for i, z in enumerate(ZONES, 1)}
        self.chosen = []
        self.left = {}
        self.now_ms = 0
        self.apply()

    def apply(self):
        regions = RegionMap if self.mechanism_enabled else Borderless
        self.pool._planner.regions = regions("north", dict(self.table))
        self.pool.apply_list(self.servers.values(), self.now_ms, self.now_ms)
        for address in self.zones_by_address():
            parts = [(k, t) for (a, k), t in self.left.items() if a == address]
            events = tuple(PartEvent(key, tokens) for key, (tokens, _) in parts)
            batch = EventBatch(1, 1 + len(parts), False, events, clock_ms=self.now_ms)
            self.index.source(address).apply(batch, self.now_ms, self.now_ms)

    def zones_by_address(self):
        zones_by_address = {store.address: store.zone for store in self.stores}
        return zones_by_address | {s.address: s.zone for s in self.servers.values()}

    def check(self, zone, homes, what):
        is_home = homes is None or self.table.get(zone) in homes
        require(is_home, f"{what} in {zone} is not in {sorted(homes or ())}")

    @rule(homes=st.sampled_from(HOMES), part=st.sampled_from("ab"), urgency=st.integers(0, 1))
    def request_is_placed(self, homes, part, urgency):
        self.operation()
        request = caller_request(homes=homes)
        request.parts = (replace(request.parts[0], name=part), request.parts[2])
        choice = self.pool.choose(LLM, request, None, (), urgency, self.now_ms)
        if isinstance(choice, tuple):
            self.pool.request_started(choice[0].server, 1, 1, self.now_ms)
            self.chosen.append((request, *choice))

    @rule()
    def requests_are_written(self):
        self.operation()
        chosen, self.chosen = self.chosen, []
        for request, entry, terms in chosen:
            self.pool.request_ended(entry.server, 1)
            may_send = self.pool.may_send_prompt_to(entry, "m1", self.now_ms)
            if may_send and self.pool.may_serve(entry, terms, request.homes):
                self.write(request, self.servers[entry.server], terms)
        self.now_ms += 100
        self.apply()

    def write(self, request, server, terms):
        self.check(server.zone, request.homes, "server")
        known = self.zones_by_address()
        part = request.parts[0]
        key = PartKey(terms.cache_salt, part.name)
        for source in filter(None, terms.fetch_from):
            self.check(known[source], request.homes, "source")
            if (source, key) in self.left:
                self.check(server.zone, self.left[source, key][1], "engine that fetches")
        for target in filter(None, terms.save_to):
            self.check(known[target], request.homes, "target")
        for address in filter(None, (server.address, *terms.save_to)):
            self.left.setdefault((address, key), (part.tokens, request.homes))

    @rule(zone=zones, region=st.sampled_from(REGIONS))
    def settings_are_reloaded(self, zone, region):
        """Move a zone, with what has been left there and where it may have been copied."""
        self.fault()
        self.table = {z: r for z, r in self.table.items() if z != zone}
        if region is not None:
            self.table[zone] = region
        self.left.clear()
        self.now_ms += 100
        self.apply()

    @rule(number=st.integers(1, 4), zone=zones)
    def server_restarts_in_a_zone(self, number, zone):
        self.fault()
        server = self.servers[f"s{number}"]
        started = server.started_wall_ms + 1
        self.servers[server.server] = replace(server, zone=zone, started_wall_ms=started)
        self.left = {at: left for at, left in self.left.items() if at[0] != server.address}
        self.now_ms += 100
        self.apply()


PROOFS = (Proof(slug="home-regions", machine=HomesProof),)
