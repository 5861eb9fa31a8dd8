"""Steps of a request that concern the quarantine of parts of requests."""

from __future__ import annotations

import json

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.backendhttp import ExchangeEnd, ExchangeResult
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.platform.passing import PASS_REFUSED
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.request.callerrequest import CallerRequest, Header
from bergamothill.request.forwarding import Finish, Forwarding, ForwardStep, Reason, WaitForTrial
from bergamothill.request.partquarantine import RunEnd

__all__ = ["classify_run_end", "encode_refusal", "send_refusal", "wait_for_trial"]


async def wait_for_trial(
    gate: QuarantineGate, forwarding: Forwarding, clock: Clock, wait: WaitForTrial
) -> ForwardStep:
    """Wait until the suspected parts of a request may be tried, are cleared or are convicted.

    :returns: the next step
    """
    give_up_ms = wait.give_up_ms
    while (left_ms := give_up_ms - clock.now_ms()) > 0:
        await gate.wait_for_change(min(wait.retry_ms, left_ms))
        step = forwarding.retry(clock.now_ms())
        if not isinstance(step, WaitForTrial):
            return step
        wait = step
    return forwarding.on_trial_unavailable(clock.now_ms())


def classify_run_end(outcome: str, result: ExchangeResult, *, has_begun: bool) -> RunEnd:
    """Return what the end of an attempt tells about the parts of its request.

    An answer that ends with its connection at an event boundary may be whole, or the server may
    have crashed there.

    :param outcome: outcome of the attempt
    :param result: how the exchange ended
    :param has_begun: whether the answer began: a plain one with its head, a stream with its body
    """
    if outcome in ("success", "failure") and not result.was_closed:
        return RunEnd.COMPLETE if outcome == "success" else RunEnd.FAILED
    if outcome == "success" and has_begun:
        return RunEnd.OTHER
    is_lost = result.end in (ExchangeEnd.BROKEN, ExchangeEnd.COMPLETE) and result.was_closed
    return RunEnd.CRASHED if is_lost and outcome in ("broken", "success") else RunEnd.OTHER


def send_refusal(connection: CallerConnection, request: CallerRequest, step: Finish) -> None:
    """Send the answer to a request that no server has answered.

    :param connection: connection of the caller, or of the instance that passed the request on
    :param request: the request
    :param step: final step of the request
    """
    headers, body = encode_refusal(step)
    if step.retry_after_ms is not None:
        headers.append((b"Retry-After", b"%.3f" % ms_to_seconds(step.retry_after_ms)))
    if request.passed_by is not None and step.reason is Reason.ISOLATED:
        headers.append((PASS_REFUSED, b"1"))
    is_head = request.raw.method == b"HEAD"
    connection.send_response(step.status, headers, b"" if is_head else body)


def encode_refusal(step: Finish) -> tuple[list[Header], bytes]:
    """Return the header fields and the body of an answer without a server.

    :param step: final step of the request
    """
    if step.reason is not Reason.QUARANTINED:
        return [], b""
    names = sorted(part.name for part in step.parts if not part.is_request)
    if any(part.is_request for part in step.parts):
        error = {
            "type": "request_quarantined",
            "message": "Servers crashed when they ran this request. Do not repeat it.",
        }
    else:
        error = {
            "type": "prompt_part_quarantined",
            "message": (
                "Servers crashed when they began an answer on this part of the prompt. "
                "Send the request without it."
            ),
            "part": names[0] if len(names) == 1 else names,
        }
    body = json.dumps({"error": error}).encode()
    return [(b"Content-Type", b"application/json")], body
