"""HTTP/1.1 server side for callers: one asyncio protocol object per connection.

The requests of a connection are answered in order, one at a time. The connection is read even while
a request is in progress, because only reading detects that the caller has disconnected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from operator import attrgetter

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.backlogwatch import BacklogWatch
from bergamothill.connection.callerhandler import CallerHandler
from bergamothill.connection.callerintake import MIN_RETRY_AFTER_MS, REFUSAL_BY_STATUS, Refusal
from bergamothill.connection.flowgate import FlowGate
from bergamothill.connection.requestparser import ParsedRequest, ReceiveProgress, RequestParser
from bergamothill.connection.responseformat import encode_chunk, encode_head, spread_retry_after
from bergamothill.connection.sendbuffer import end_output, enlarge_send_buffer
from bergamothill.connection.sendqueue import SendQueue
from bergamothill.connection.waitingrequests import WaitingRequests
from bergamothill.request.blockbody import BLOCK_BYTES
from bergamothill.request.callerrequest import Header
from bergamothill.request.connectiontable import Phase
from bergamothill.request.memoryaccount import Holding, Share
from bergamothill.version.routetable import CallerLimits

__all__ = ["CallerConnection"]

MAX_PIPELINED_BYTES = 262_144
"""Maximum size of pipelined requests that are buffered while one is in progress."""

LINGER_TIMEOUT_MS = 2_000
"""Maximum time to wait for the caller to close, once the last response has been written."""

MIN_DISCARDED_BYTES = 1_048_576
"""Bytes that are read and discarded meanwhile; more if a body may be larger."""

CONNECTION_BYTES = 8_192
"""Memory of an open connection."""

HANDLING_BYTES = 24_576
"""Memory of the handling of a request beside the request itself."""


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller.

    :param handler: handler of the requests
    :param clock: source of time
    :param register: called with True when the connection opens and with False when it closes
    """

    def __init__(
        self,
        handler: CallerHandler,
        clock: Clock,
        register: Callable[[CallerConnection, bool], None],
    ) -> None:
        self.flow = FlowGate()
        self._backlog_watch = BacklogWatch()
        self._handler = handler
        self._clock = clock
        self._register = register
        self._parser = RequestParser(self, handler.limits)
        self._intake = handler.intake
        self._holding = Holding(self._intake.account)
        self._transport: asyncio.Transport | None = None
        self._queued = WaitingRequests(handler.record_dropped)
        self._queued_bytes = 0
        self._memory_in_progress = 0
        self._unsent = SendQueue()
        """Rest of a large answer, as the caller does not keep up."""

        self._cancel: Callable[[], None] | None = None
        self._keep_alive = True
        self._stops_reading = False
        self._is_released = False
        self._reads_in_turns = False
        self._response_started = False
        self._is_head_request = False
        self._is_closed = False
        self._is_lingering = False
        self._discarded_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    # Connection lifecycle.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for its first request."""
        self._transport = transport
        self._register(self, True)
        self._set_phase(Phase.IDLE)
        if not self._intake.has_descriptors(self):
            self._end(Refusal.CONNECTIONS)
        elif not self._claim_memory():
            self._end(Refusal.MEMORY)
        else:
            self._start_request_timer(_HEADER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because the caller has disconnected."""
        self._is_closed = True
        self._cancel_timer()
        self._backlog_watch.cancel()
        self._register(self, False)
        self._release()
        if self._cancel is not None:
            cancel, self._cancel = self._cancel, None
            cancel()

    def pause_writing(self) -> None:
        """Stop reading the answer in progress, because the caller does not keep up."""
        self.flow.pause()
        self._unsent.pause()

    def resume_writing(self) -> None:
        """Read the answer in progress again, or start the next request."""
        self.flow.resume()
        self._unsent.resume(self._transport)
        if self._cancel is not None or self._is_lingering or self._transport.is_closing():
            return
        if self.flow.is_paused:
            self._hold_unsent()
            return
        self._backlog_watch.cancel()
        if self._keep_alive:
            self._continue()
        else:
            self._linger()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, queued or partly received, or a response not read."""
        is_receiving = self._parser.is_receiving or bool(self._queued)
        is_answering = self._cancel is not None or bool(self._unsent)
        return is_answering or is_receiving or self._is_lingering

    def close_if_idle(self) -> None:
        """Close the connection unless it is busy."""
        if not self.is_busy and self._transport is not None:
            self._close()

    def hand_over(self) -> None:
        """Let the kernel take what the caller has not read; it sends that also after the exit."""
        enlarge_send_buffer(self._transport)

    def drop_waiting(self) -> None:
        """Log the requests that were read and wait behind another one, as the process exits."""
        self._queued.drop()

    # Memory.

    def give_way(self, refusal: Refusal) -> None:
        """Release all memory and end, because another connection needs the room more.

        :param refusal: reason to record
        """
        if self._parser.is_receiving and self._cancel is None and not self.flow.is_paused:
            self._reject_unparsed(503, refusal)
        else:
            self._end(refusal)

    def _end(self, refusal: Refusal) -> None:
        self._intake.record_refusal(refusal, self._transport)
        self._release()
        self._transport.abort()

    def _release(self) -> None:
        """Release what the connection holds; nothing more is received."""
        self._intake.table.remove(self)
        if self._is_released:
            return
        self._is_released = self._stops_reading = True
        self._parser.release()
        self._queued.drop()
        self._unsent.clear()
        self._holding.release()

    def _claim_memory(self) -> bool:
        """Take or give back memory for what the connection holds; return False without room."""
        size = self._needed_bytes()
        if size == self._holding.size_bytes:
            return True
        is_large = self._parser.body_bytes > BLOCK_BYTES
        share = Share.LARGE_BODIES if is_large else Share.SMALL
        return self._intake.make_room(self, self._holding, size, share)

    def _needed_bytes(self) -> int:
        requests = self._parser.memory_bytes + self._queued.memory_bytes + self._memory_in_progress
        return CONNECTION_BYTES + requests + self._unsent.size_bytes

    def _set_phase(self, phase: Phase) -> None:
        self._intake.table.set_phase(self, phase, self._clock.now_ms())

    def _close(self) -> None:
        """Close the connection once its backlog has been sent."""
        if not self._transport.is_closing():
            self._transport.close()
            self._backlog_watch.start(self._transport, self._backlog_bytes)

    # Receiving requests.

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Return the buffer to read into, which is parsed before anything else is read."""
        return self._intake.turn_buffer if self._reads_in_turns else self._intake.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; reject requests that are malformed or too large."""
        if self._is_lingering:
            self._discard(nbytes)
        if self._is_closed or self._stops_reading or not self._keep_alive:
            return
        if self._cancel is not None or self.flow.is_paused:
            self._queued_bytes += nbytes
            if self._queued_bytes > MAX_PIPELINED_BYTES:
                self._reject_unparsed(413)
                return
        parser = self._parser
        before = parser.progress if parser.is_receiving else None
        if status := parser.feed(memoryview(self._intake.read_buffer)[:nbytes]):
            self._reject_unparsed(status)
        elif (parser.is_receiving or self._queued) and not self._stops_reading:
            self._hold_part(before, nbytes)

    def _hold_part(self, before: ReceiveProgress | None, nbytes: int) -> None:
        """Account for a part of a request, and for requests that wait.

        :param before: what was received before the latest bytes; None if they begin the request
        :param nbytes: number of the latest bytes
        """
        progress = self._parser.progress
        if self._cancel is None and not self._unsent:
            if before is None:
                self._set_phase(Phase.RECEIVING)
            elif progress.body_bytes // BLOCK_BYTES > before.body_bytes // BLOCK_BYTES:
                self._set_phase(Phase.UPLOADING)
        if not self._claim_memory():
            self._reject_unparsed(self._intake.status_without_room(progress.body_bytes))
        elif before is not None and 2 * (progress.framing_bytes - before.framing_bytes) > nbytes:
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        if not self._reads_in_turns:
            self._reads_in_turns = True
            self._intake.turns.limit_buffer(self._transport)
        self._intake.turns.wait(self._transport)

    def on_request_begin(self) -> int:
        """Start to wait for the head of a request; return its arrival time."""
        if self._cancel is None and not self._unsent:
            self._start_request_timer(_HEADER_TIMEOUT_MS)
        return self._clock.now_ms()

    def on_request_head(self, body_bytes: int, *, expects_continue: bool) -> int:
        """Refuse a large body for which there is no room; answer ``Expect: 100-continue``."""
        self._cancel_timer()
        if body_bytes > BLOCK_BYTES and not self._intake.has_room(self, body_bytes):
            return self._intake.status_without_room(body_bytes)
        if expects_continue and self._cancel is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return 0

    def on_request(self, request: ParsedRequest) -> None:
        """Start handling a request, or queue it until the previous one has been answered."""
        self._queued.append(request)
        if self._cancel is None and not self.flow.is_paused:
            self._start_next()

    def _start_next(self) -> None:
        raw, memory_bytes, self._keep_alive = self._queued.pop()
        self._is_head_request = raw is not None and raw.method == b"HEAD"
        self._queued_bytes = 0
        self._response_started = False
        self._cancel_timer()
        if raw is None:
            self._send_refusal(503)
            return
        self._memory_in_progress = memory_bytes + HANDLING_BYTES
        self._intake.table.set_phase(self, Phase.ANSWERING, raw.arrived_ms)
        has_descriptors = self._intake.has_descriptors(self)
        if not has_descriptors or not self._claim_memory():
            self._queued.put_back(ParsedRequest(raw, memory_bytes, self._keep_alive))
            self._memory_in_progress = 0
            self._reject_unparsed(503, None if has_descriptors else Refusal.CONNECTIONS)
            self._start_next()
            return
        self._cancel = lambda: None  # while it is being started
        cancel = self._handler.start(self, raw)
        if self._cancel is not None:
            self._cancel = cancel

    def _reject_unparsed(self, status: int, refusal: Refusal | None = None) -> None:
        """Reject a request that is malformed, too large or late, or finds no room, and close.

        Requests that were received before it are answered instead, without room with 503, and the
        last of these answers closes the connection.
        """
        self._intake.record_refusal(refusal or REFUSAL_BY_STATUS[status], self._transport)
        self._stops_reading = True
        self._parser.release()
        if status == 503:
            self._queued.refuse()
        if self._queued:
            self._queued.end_after_last()
            return
        self._keep_alive = False
        if self._cancel is not None or self._unsent:
            return
        if self._response_started:
            self._transport.abort()
        else:
            self._send_refusal(status)

    # Sending responses.

    def _send_refusal(self, status: int) -> None:
        headers = [spread_retry_after(MIN_RETRY_AFTER_MS)] if status == 503 else []
        self.send_response(status, headers, b"")

    def send_error(self, status: int) -> None:
        """Reject a request whose framing or meaning is ambiguous, and close the connection."""
        self._keep_alive = False
        self.send_response(status, [], b"")

    def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response.

        :param status: HTTP status
        :param headers: header fields, without those about the connection and the body's length
        :param body: complete body
        """
        if self._is_closed:
            return
        self._update_keep_alive()
        self._write_head(status, headers, self._length_field(len(body)), body)
        self._finish_response()

    def send_blocks(self, status: int, headers: list[Header], blocks: Sequence[bytes]) -> None:
        """Send a complete response; its parameters are those of :meth:`send_response`.

        :param blocks: complete body; what the caller does not take yet is not copied
        """
        if self._is_closed:
            return
        self._update_keep_alive()
        self._write_head(status, headers, self._length_field(sum(map(len, blocks))), b"")
        self._unsent.send(self._transport, blocks)
        self._finish_response()

    def _length_field(self, size_bytes: int) -> bytes:
        # A response to HEAD has no body, and the length of the body for GET is unknown.
        return b"" if self._is_head_request else b"Content-Length: %d" % size_bytes

    def start_chunked_response(self, status: int, headers: list[Header], first: bytes) -> None:
        """Send the head of a chunked response and the first bytes of its body."""
        if self._is_closed:
            return
        self._update_keep_alive()
        self._response_started = True
        self._write_head(status, headers, b"Transfer-Encoding: chunked", encode_chunk(first))

    def send_chunk(self, piece: bytes) -> None:
        """Send the next bytes of a chunked response."""
        if piece and not self._is_closed and not self._transport.is_closing():
            self._transport.write(encode_chunk(piece))

    def end_chunked_response(self) -> None:
        """Finish a chunked response that is complete."""
        if not self._is_closed:
            self._transport.write(b"0\r\n\r\n")
            self._finish_response()

    def abort_response(self) -> None:
        """Abort the connection, so that the response does not appear complete."""
        self._cancel = None
        if self._transport is not None and not self._is_closed:
            self._transport.abort()

    def abort_unanswered(self, cancel: Callable[[], None]) -> None:
        """Abort the connection if a request whose handling has ended got no complete response.

        :param cancel: cancels the handling of that request
        """
        if self._cancel == cancel:
            self.abort_response()

    def _update_keep_alive(self) -> None:
        # Requests received already are answered first, as a response announces the close.
        if self._handler.is_draining() and not self._queued and not self._parser.is_receiving:
            self._keep_alive = False

    def _write_head(self, status: int, headers: list[Header], framing: bytes, body: bytes) -> None:
        head = encode_head(status, headers, framing, keep_alive=self._keep_alive)
        self._transport.write(head + body)

    def _finish_response(self) -> None:
        self._cancel = None
        self._memory_in_progress = 0
        self._response_started = False
        if not self._unsent and not self._keep_alive:
            self._linger()
        elif self.flow.is_paused:
            self._hold_unsent()
            self._backlog_watch.start(self._transport, self._backlog_bytes)
        else:
            self._continue()

    def _hold_unsent(self) -> None:
        """Account for an answer that the caller has still to read; it is in memory already."""
        self._holding.resize(self._needed_bytes())
        self._set_phase(Phase.SENDING)

    def _backlog_bytes(self) -> int:
        return self._unsent.size_bytes + self._transport.get_write_buffer_size()

    def _continue(self) -> None:
        """Start the next request, or wait for it."""
        if self._queued:
            self._start_next()
            return
        self._claim_memory()
        if not self._parser.is_receiving:
            self._set_phase(Phase.IDLE)
            self._start_request_timer(_IDLE_TIMEOUT_MS)
            return
        is_large = self._parser.body_bytes > BLOCK_BYTES
        self._set_phase(Phase.UPLOADING if is_large else Phase.RECEIVING)
        if not self._parser.head_received:
            self._start_request_timer(_HEADER_TIMEOUT_MS)

    def _linger(self) -> None:
        """Close the connection once the caller has, or after a timeout.

        Closing a socket that has received unread bytes, or receives more, resets the connection,
        and the reset discards what the caller has not read of the response.
        """
        self._is_lingering = True
        self._release()
        self._set_phase(Phase.CLOSING)
        end_output(self._transport)
        self._backlog_watch.start(self._transport, self._backlog_bytes)
        self._arm_timer(ms_to_seconds(LINGER_TIMEOUT_MS), self._end_linger)

    # Timeouts.

    def _start_request_timer(self, limit_ms: Callable[[CallerLimits], int]) -> None:
        """Start waiting for the next part of a request.

        :param limit_ms: returns the limit of the time to wait
        """
        started_s = asyncio.get_running_loop().time()
        delay_s = ms_to_seconds(limit_ms(self._handler.limits()))
        self._arm_timer(delay_s, self._on_limit_passed, limit_ms, started_s)

    def _on_limit_passed(self, limit_ms: Callable[[CallerLimits], int], started_s: float) -> None:
        """Go on waiting if the limit has been raised, as the caller may rely on that.

        A limit that was lowered does not end the wait sooner: the caller may not know it yet.
        """
        passed_s = asyncio.get_running_loop().time() - started_s
        left_s = ms_to_seconds(limit_ms(self._handler.limits())) - passed_s
        if left_s > 0:
            self._arm_timer(left_s, self._on_limit_passed, limit_ms, started_s)
        else:
            self._on_timeout()

    def _arm_timer(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback, *args)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._parser.is_receiving and not self._parser.head_received:
            self._reject_unparsed(408)
        elif not self.is_busy and self._transport is not None:
            self._close()

    def _discard(self, size_bytes: int) -> None:
        """Count bytes that a lingering connection received; abort it if they do not end."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > max(MIN_DISCARDED_BYTES, self._handler.limits().body_bytes):
            self._transport.abort()
        else:
            self._wait_for_turn()

    def _end_linger(self) -> None:
        if self._transport.get_write_buffer_size():
            self._arm_timer(ms_to_seconds(LINGER_TIMEOUT_MS), self._end_linger)
        else:
            self._transport.close()


_HEADER_TIMEOUT_MS = attrgetter("header_timeout_ms")
_IDLE_TIMEOUT_MS = attrgetter("idle_timeout_ms")
