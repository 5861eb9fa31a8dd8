"""A caller's request, its forwarding terms, and the head of an answer; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.ids import (
    BrandName,
    EntryInstanceId,
    ModelName,
    RegionName,
    RequestId,
    ServerId,
    SoftwareVersion,
)
from bergamothill.request.blockbody import BlockBody
from bergamothill.request.crashevidence import PartId
from bergamothill.request.fairqueue import NO_FLOW, Flow

__all__ = [
    "CallerRequest",
    "ForwardTerms",
    "Header",
    "PromptPart",
    "RawRequest",
    "RequestLimit",
    "ResponseHead",
]

Header = tuple[bytes, bytes]
"""Name and value of a header field as received."""


@dataclass(slots=True)
class RawRequest:
    """Request as read from a connection.

    :param method: HTTP method
    :param target: path and query, unchanged
    :param headers: header fields in order
    :param body: complete body, with the transfer coding removed
    :param arrived_ms: arrival time of the first byte, in milliseconds
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: BlockBody
    arrived_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt, identified by a name that other requests may share.

    :param name: name of the part
    :param tokens: length in tokens
    """

    name: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """Decoded request of a caller.

    :param raw: request as read
    :param request_id: id that the caller gave this attempt; empty if none
    :param host: requested host
    :param key: bearer key; None if there is none
    :param caller_timeout_ms: how long the caller waits for an answer; None if not stated
    :param model: model of a prompt; None for a plain request
    :param parts: parts of the prompt, in order; the last one belongs to this request only
    :param prompt_tokens: length of the prompt in tokens
    :param max_output_tokens: maximum number of tokens in the answer
    :param last_event_id: event after which to resume a stream; empty to start from the beginning
    :param resumes: id of the request that brought the first event of the stream to resume; empty if
        not stated
    :param forwarded_headers: header fields forwarded unchanged
    :param suspects: parts that other requests may have in common with it, and that could crash
        servers; set once the request is admitted
    :param homes: regions in which it may be served; None for all; set likewise
    :param objective_ms: time until which the answer meets its objective; set likewise
    :param may_repeat: whether it may be sent again if it may already have run; set likewise
    :param passed_by: instance that passed it on, as it reaches no server; None if its caller sent
        it here
    :param flow: requests with which it shares a part of the capacity; set likewise
    """

    raw: RawRequest
    request_id: RequestId
    host: str
    key: str | None = None
    caller_timeout_ms: int | None = None
    model: ModelName | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""
    resumes: RequestId = RequestId("")
    forwarded_headers: list[Header] = field(default_factory=list)
    suspects: frozenset[PartId] = frozenset()
    homes: frozenset[RegionName] | None = None
    objective_ms: int | None = None
    may_repeat: bool = True
    passed_by: EntryInstanceId | None = None
    flow: Flow = NO_FLOW

    @property
    def work_tokens(self) -> int:
        """Tokens of the prompt and of the answer; 0 for a plain request."""
        return 0 if self.model is None else max(1, self.prompt_tokens + self.max_output_tokens)

    def due_ms(self, timeout_ms: int) -> int:
        """Return the time by which the caller gets a final answer.

        :param timeout_ms: maximum time that a caller waits on its route, in milliseconds
        """
        caller_timeout_ms = self.caller_timeout_ms
        if caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, caller_timeout_ms)
        return self.raw.arrived_ms + timeout_ms

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.raw.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class ForwardTerms:
    """Values that are set in each request to a backend server.

    :param server: only server that may run the request
    :param time_left_ms: time until the caller stops waiting for the answer
    :param brand: brand of the caller; None on a public route
    :param urgency: 0 to 9, 0 comes first; None for the server's default
    :param weight_version: only weight version that may run the request; None for a plain service
    :param weights_outdated_ms: longest time for which that version can have been outdated; 0 if it
        is not; not sent
    :param cache_salt: KV cache namespace that the request may use; empty for a plain service
    :param cache_scope: brands that share this namespace; not sent
    :param fetch_from: for each part of the prompt, address from which the engine may fetch it;
        empty string for none
    :param save_to: for each part of the prompt, address to which the engine saves it; empty
        string for none
    :param fetch_until_ms: time after which a fetch is discarded, on the servers' clock; 0 for no
        limit
    :param last_event_id: event after which to resume the stream; empty to start from the beginning
    :param pending_prefill_tokens: tokens that the server is expected to prefill; not sent
    :param held_tokens: tokens that the server is expected to have cached; not sent
    :param fetched_tokens: tokens that the server is expected to fetch; not sent
    :param software_version: only software version at which a stream may go on; None if it begins;
        not sent
    :param limit_spent_ms: time at which the request was counted against the limit that the server
        names; None if it named none; not sent
    :param closes_connection: whether the connection is closed after the answer
    :param may_reuse_connection: whether it may be sent on a kept connection; not sent
    :param beside_prefill_tokens: tokens left to prefill of the requests that the server had in
        progress when it was chosen; not sent
    :param beside_requests: number of these requests; not sent
    :param expected_first_ms: expected time to the first token; not sent
    :param runner_up: second-best server; empty if there was no other; not sent
    :param runner_up_first_ms: expected time to the first token at the runner-up; not sent
    """

    server: ServerId
    time_left_ms: int
    brand: BrandName | None = None
    urgency: int | None = None
    weight_version: int | None = None
    weights_outdated_ms: int = 0
    cache_salt: str = ""
    cache_scope: str = ""
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int = 0
    last_event_id: str = ""
    pending_prefill_tokens: int = 0
    held_tokens: int = 0
    fetched_tokens: int = 0
    software_version: SoftwareVersion | None = None
    limit_spent_ms: int | None = None
    closes_connection: bool = True
    may_reuse_connection: bool = False
    beside_prefill_tokens: int = 0
    beside_requests: int = 0
    expected_first_ms: float = 0.0
    runner_up: ServerId = ServerId("")
    runner_up_first_ms: float = 0.0

    def summary(self) -> str:
        """Return on which terms the server was chosen, for the log."""
        token_counts = f"{self.held_tokens}+{self.fetched_tokens}+{self.pending_prefill_tokens}"
        outdated = f"@{self.weights_outdated_ms}ms" if self.weights_outdated_ms else ""
        weights = f"w{self.weight_version}{outdated}"
        summary = f"{weights}:{token_counts}:first{self.expected_first_ms:.0f}ms"
        if self.runner_up:
            summary += f"<{self.runner_up}:{self.runner_up_first_ms:.0f}ms"
        return summary


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """Limit that a server names for the requests of all entry instances together.

    :param per_s: requests per second; None if the value could not be read
    """

    per_s: float | None


@dataclass(slots=True)
class ResponseHead:
    """Decoded head of a backend server's answer.

    :param status: HTTP status
    :param request_id: id of the request that was answered; empty if missing
    :param has_server_signature: whether the answer has the server's signature
    :param is_not_executed: whether the answer states that the request was not run
    :param weight_version: weight version that produced the answer; None if missing
    :param instance: id of the server that answered; empty if missing
    :param headers: header fields to forward to the caller
    :param is_leaving: whether the server says that it is leaving
    :param quiet_ms: time for which the server wants no requests from this instance; None if it did
        not ask for a pause
    :param cold_ms: time for which the server will be cold; None if it does not tell
    """

    status: int
    request_id: RequestId
    has_server_signature: bool
    is_not_executed: bool
    weight_version: int | None
    instance: str
    headers: list[Header]
    is_leaving: bool = False
    quiet_ms: int | None = None
    limit: RequestLimit | None = None
    cold_ms: int | None = None
