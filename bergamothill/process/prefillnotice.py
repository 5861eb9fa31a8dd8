"""Notices in which entry instances tell peers at once of a long prompt that they have sent; no I/O.

Load reports follow within a few hundred milliseconds. Until then other instances would choose the
same engine, and prompts that are prefilled at the same time delay each other.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import ServerId

__all__ = [
    "AnnouncedPrefill",
    "PrefillNotice",
    "decode_prefill_notice",
    "encode_prefill_notice",
    "is_prefill_notice",
]

KIND = "prefill"
MAX_TOKENS = 10_000_000
MAX_NOTICES = 4_096
"""Bounds the memory; more notices in one report interval only make the estimate too low."""

# The datagram of a load report has three items, too, but begins with the name of an instance.
_DATAGRAM_PREFIX = b"\x84" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class PrefillNotice:
    """Prompt that was sent to an engine.

    :param server: engine
    :param started_wall_ms: start of its incarnation
    :param tokens: tokens that it has to prefill
    """

    server: ServerId
    started_wall_ms: int
    tokens: int


def is_prefill_notice(datagram: bytes) -> bool:
    """Return whether a datagram is a notice of a prompt."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_prefill_notice(notice: PrefillNotice) -> bytes:
    """Encode a notice as a datagram."""
    return cbor2.dumps([KIND, notice.server, notice.started_wall_ms, notice.tokens])


def decode_prefill_notice(datagram: bytes) -> PrefillNotice:
    """Decode a notice.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid notice
    """
    try:
        _, server, started_wall_ms, tokens = cbor2.loads(datagram)
        notice = PrefillNotice(ServerId(str(server)), int(started_wall_ms), int(tokens))
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a notice of a prompt: {error}", step="prefill.decode") from error
    if not 0 < notice.tokens <= MAX_TOKENS:
        raise ProtocolError("not a number of tokens", step="prefill.decode")
    return notice


class AnnouncedPrefill:
    """Tokens that peers have announced and that their load reports may not include yet."""

    def __init__(self) -> None:
        self._notices: deque[tuple[int, tuple[ServerId, int], int]] = deque()
        self._tokens: dict[tuple[ServerId, int], int] = {}

    def record(self, notice: PrefillNotice, until_ms: int) -> None:
        """Record a notice.

        :param until_ms: time by which a load report of its sender includes the prompt
        """
        if len(self._notices) >= MAX_NOTICES:
            return
        key = (notice.server, notice.started_wall_ms)
        self._notices.append((until_ms, key, notice.tokens))
        self._tokens[key] = self._tokens.get(key, 0) + notice.tokens

    def tokens_at(self, incarnation: tuple[ServerId, int], now_ms: int) -> int:
        """Return the announced tokens that an incarnation of an engine has to prefill.

        :param incarnation: server id and start time
        """
        while self._notices and self._notices[0][0] <= now_ms:
            _, key, tokens = self._notices.popleft()
            self._tokens[key] -= tokens
            if not self._tokens[key]:
                del self._tokens[key]
        return self._tokens.get(incarnation, 0)
