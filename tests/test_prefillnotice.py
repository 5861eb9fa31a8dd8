"""Tests of notices of long prompts: instances that choose the same engine from old reports."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.errors import ProtocolError
from bergamothill.process.prefillnotice import (
    AnnouncedPrefill,
    PrefillNotice,
    decode_prefill_notice,
    encode_prefill_notice,
    is_prefill_notice,
)
from bergamothill.request.callerrequest import PromptPart
from tests.builders import backend, caller_request, routing_config, server_pool

LLM = routing_config().services["llm"]
LONG_PART = PromptPart("p1", 10_000)


class CodecTest(unittest.TestCase):
    @given(st.text(max_size=20), st.integers(0, 2**53), st.integers(1, 10_000_000))
    def test_a_notice_survives_its_encoding(self, server, started_wall_ms, tokens):
        notice = PrefillNotice(server, started_wall_ms, tokens)
        datagram = encode_prefill_notice(notice)
        self.assertTrue(is_prefill_notice(datagram))
        self.assertEqual(notice, decode_prefill_notice(datagram))

    @given(st.binary(max_size=60), st.booleans())
    def test_a_malformed_notice_raises_only_the_typed_error(self, data, has_prefix):
        prefix = encode_prefill_notice(PrefillNotice("s", 1, 1))[:9] if has_prefix else b""
        with contextlib.suppress(ProtocolError):
            decode_prefill_notice(prefix + data)


class PlacementTest(unittest.TestCase):
    """Eight instances send a long prompt each, 2 ms apart, before any load report arrives."""

    def places(self, *, notices):
        engines = [backend(f"s{n}") for n in range(16)]
        pools = [server_pool(*engines) for _ in range(8)]
        chosen = []
        for number, pool in enumerate(pools):
            request = caller_request(prompt_tokens=10_000, parts=(LONG_PART,))
            server, terms = pool.choose(LLM, request, None, (), 0, 2 * number)
            chosen.append(server.server)
            notice = PrefillNotice(
                server.server, server.started_wall_ms, terms.pending_prefill_tokens
            )
            for other in pools if notices else ():
                if other is not pool:
                    other.selector.announced.record(notice, 2 * number + 132)
        return chosen

    def test_each_prompt_gets_an_engine_of_its_own(self):
        self.assertEqual(8, len(set(self.places(notices=True))))
        self.assertEqual(1, len(set(self.places(notices=False))))

    def test_a_notice_counts_until_load_reports_include_the_prompt(self):
        announced = AnnouncedPrefill()
        announced.record(PrefillNotice("s1", 1, 10_000), 132)
        self.assertEqual(10_000, announced.tokens_at(("s1", 1), 131))
        self.assertEqual(0, announced.tokens_at(("s1", 2), 131))
        self.assertEqual(0, announced.tokens_at(("s1", 1), 132))


class ZoneTest(unittest.TestCase):
    """Answers that cross zones though engines of the own zone are as good."""

    def chosen(self, own_engines, busy_tokens=0):
        pool = server_pool(
            *(backend(f"a{n}", zone="zone-a") for n in range(own_engines)),
            *(backend(f"Z{n}", zone="zone-z") for n in range(8)),
        )
        for number in range(own_engines if busy_tokens else 0):
            pool.request_started(f"a{number}", busy_tokens, busy_tokens, 0)
        return pool.choose(LLM, caller_request(), None, (), 0, 0)[0].zone

    def test_engines_of_the_own_zone_are_preferred_where_there_are_enough(self):
        self.assertEqual("zone-a", self.chosen(4))
        self.assertEqual("zone-z", self.chosen(3))

    def test_busy_engines_of_the_own_zone_are_not_waited_for(self):
        self.assertEqual("zone-z", self.chosen(4, busy_tokens=6_000))
