"""A caller's request, the terms on which it is forwarded, and the head of an answer; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.ids import BrandName, ModelName, RequestId, ServerId

__all__ = ["AnswerHead", "CallerRequest", "ForwardTerms", "Header", "PromptPart", "RawRequest"]

Header = tuple[bytes, bytes]
"""Name and value of a header field, as received."""


@dataclass(slots=True)
class RawRequest:
    """A request as it was read from a connection.

    :param method: HTTP method
    :param target: path and query, unchanged
    :param headers: header fields in order
    :param body: whole body, without its transfer coding
    :param arrived_ms: when its first byte arrived, in milliseconds
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, known by a name that other requests may share.

    :param name: name of the part
    :param tokens: its length
    """

    name: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """A caller's request, decoded.

    :param raw: as it was read
    :param request_id: id that the caller gave this attempt; empty when there is none
    :param host: host that it names
    :param key: bearer key; None when there is none
    :param patience_ms: how long the caller waits; None when it does not tell
    :param model: model of a prompt; None for a plain request
    :param parts: parts of the prompt, in order; the last one is the request's own
    :param prompt_tokens: length of the prompt
    :param most_output_tokens: bound of the answer
    :param last_event_id: event after which a stream is to go on; empty for its start
    :param passed_headers: header fields that are handed on unchanged
    """

    raw: RawRequest
    request_id: RequestId
    host: str
    key: str | None = None
    patience_ms: int | None = None
    model: ModelName | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    most_output_tokens: int = 0
    last_event_id: str = ""
    passed_headers: list[Header] = field(default_factory=list)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.raw.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class ForwardTerms:
    """What is set anew in each request to a backend server.

    :param server: only server that may run it
    :param time_left_ms: time after which nobody waits for the answer
    :param brand: brand of the caller; None on a public route
    :param urgency: 0 to 9, 0 first; None leaves it to the server
    :param weight_version: only weights that it may run on; None for a plain service
    :param cache_salt: namespace of the kept context that it may use; empty for a plain service
    :param fetch_from: address for each part of the prompt from which the engine may fetch it;
        empty text for none
    :param save_to: address for each part of the prompt to which the engine sends it; empty text
        for none
    :param fetch_until_ms: instant after which a fetch is discarded, on the servers' clock; 0 for
        none
    :param last_event_id: event after which the stream goes on; empty for its start
    :param unread_tokens: tokens that the server is expected to read; not sent
    :param held_tokens: tokens that it is expected to hold; not sent
    :param fetched_tokens: tokens that it is expected to fetch; not sent
    :param expected_first_ms: when its first token is expected; not sent
    :param runner_up: server that came second; empty when there was no other; not sent
    :param runner_up_first_ms: when the first token was expected there; not sent
    """

    server: ServerId
    time_left_ms: int
    brand: BrandName | None = None
    urgency: int | None = None
    weight_version: int | None = None
    cache_salt: str = ""
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int = 0
    last_event_id: str = ""
    unread_tokens: int = 0
    held_tokens: int = 0
    fetched_tokens: int = 0
    expected_first_ms: float = 0.0
    runner_up: ServerId = ServerId("")
    runner_up_first_ms: float = 0.0


@dataclass(slots=True)
class AnswerHead:
    """Head of a backend server's answer, decoded.

    :param status: HTTP status
    :param request_id: id of the request that it answers; empty when it names none
    :param is_signed: bears the server's signature
    :param is_not_run: states that the request was not run
    :param weight_version: weights that it was made with; None when it names none
    :param instance: id of the server that answered; empty when it names none
    :param headers: header fields that are handed on
    """

    status: int
    request_id: RequestId
    is_signed: bool
    is_not_run: bool
    weight_version: int | None
    instance: str
    headers: list[Header]
