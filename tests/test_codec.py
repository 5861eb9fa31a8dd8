import unittest
from dataclasses import dataclass, field
from enum import Enum

import cbor2

from bergamothill.connection.bus import message
from bergamothill.connection.codec import (
    decode_message,
    decode_record,
    encode_message,
    encode_record,
)
from bergamothill.errors import ProtocolError
from bergamothill.ids import ZoneName


class Colour(Enum):
    RED = "red"


@dataclass(frozen=True)
class Inner:
    zone: ZoneName
    colour: Colour = Colour.RED
    names: frozenset[str] = frozenset()


@message("test.outer")
@dataclass(frozen=True)
class Outer:
    number: int
    inner: Inner
    items: tuple[Inner, ...] = ()
    pair: tuple[int, str] | None = None
    by_name: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class OlderOuter:
    number: int


FULL = Outer(1, Inner("a", names=frozenset({"x", "y"})), (Inner("b"),), (2, "z"), {"k": 0.5})


class CodecTests(unittest.TestCase):
    def test_message_round_trip_keeps_nested_types(self):
        for sent in (FULL, Outer(1, Inner("a"))):
            self.assertEqual(decode_message(encode_message(sent)), sent)

    def test_trailing_defaults_are_omitted(self):
        self.assertEqual(cbor2.loads(encode_record(Outer(1, Inner("a")))), [1, ["a"]])

    def test_unknown_trailing_values_are_ignored(self):
        self.assertEqual(decode_record(OlderOuter, encode_record(FULL)), OlderOuter(1))

    def test_unknown_message_name_decodes_to_none(self):
        self.assertIsNone(decode_message(cbor2.dumps(["from a later release", []])))

    def test_unregistered_class_cannot_be_encoded(self):
        with self.assertRaises(TypeError):
            encode_message(OlderOuter(1))

    def test_malformed_bytes_raise_protocol_error(self):
        encoded = encode_message(FULL)
        malformed = [encoded[:n] for n in range(len(encoded))]
        malformed += [
            cbor2.dumps(value)
            for value in (
                7,
                {},
                ["test.outer"],
                [1, []],
                ["test.outer", {}],
                ["test.outer", [1]],
                ["test.outer", ["1", ["a"]]],
                ["test.outer", [True, ["a"]]],
                ["test.outer", [1, ["a", "blue"]]],
                ["test.outer", [1, ["a", {}]]],
                ["test.outer", [1, ["a"], 5]],
                ["test.outer", [1, ["a"], [], [2]]],
                ["test.outer", [1, ["a"], [], None, []]],
                ["test.outer", [1, ["a", "red", [[]]]]],
            )
        ]
        for data in malformed:
            with self.subTest(data=data), self.assertRaises(ProtocolError):
                decode_message(data)
