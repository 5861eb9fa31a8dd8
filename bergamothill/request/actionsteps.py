"""Events and effects of an attempt to run a call at most once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.connection.service import ServiceCall, ServiceReply
from bergamothill.errors import BergamothillError
from bergamothill.ids import EntryInstanceId
from bergamothill.request.actionrecord import ActionRecord, AttemptToken

__all__ = [
    "Answer",
    "AskOwner",
    "ClaimFailed",
    "ClaimNotSent",
    "ClaimRefused",
    "ClaimWritten",
    "CompletionEnded",
    "Effect",
    "Event",
    "OwnerAnswered",
    "OwnerSilent",
    "OwnerStatus",
    "Pause",
    "PauseEnded",
    "ReadFailed",
    "ReadRecord",
    "RecordRead",
    "Refuse",
    "ReleaseClaim",
    "ReplyReceived",
    "Send",
    "SendFailed",
    "SendNotStarted",
    "WriteClaim",
    "WriteCompletion",
]


class OwnerStatus(Enum):
    """Status of an attempt, as reported by the entry instance that made it."""

    CLAIMING = "claiming"
    SENT = "sent"
    GIVEN_UP = "given_up"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The claim was stored.

    :param mod_revision: revision of the record
    """

    mod_revision: int


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The claim was not stored, because the record is not at the expected revision."""


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The write of the claim got no reply; it may have taken effect, or may take effect later."""


@dataclass(frozen=True, slots=True)
class ClaimNotSent:
    """The claim was certainly not written, and will not be."""


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The record was read.

    :param record: record; None if it does not exist
    :param mod_revision: revision of the record; :data:`~bergamothill.connection.kvs.ABSENT` if it
        does not exist
    """

    record: ActionRecord | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The record could not be read."""


@dataclass(frozen=True, slots=True)
class OwnerAnswered:
    """The owner of the record answered.

    :param status: status of its attempt
    """

    status: OwnerStatus


@dataclass(frozen=True, slots=True)
class OwnerSilent:
    """The owner of the record did not answer."""


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """The service replied.

    :param reply: reply of the service
    """

    reply: ServiceReply


@dataclass(frozen=True, slots=True)
class SendNotStarted:
    """No byte of the call was sent."""


@dataclass(frozen=True, slots=True)
class SendFailed:
    """The call was sent, but no valid reply arrived."""


@dataclass(frozen=True, slots=True)
class CompletionEnded:
    """The write of the reply ended.

    :param is_recorded: whether the record is known to contain the reply
    """

    is_recorded: bool


@dataclass(frozen=True, slots=True)
class PauseEnded:
    """The pause is over."""


Event = (
    ClaimWritten
    | ClaimRefused
    | ClaimFailed
    | ClaimNotSent
    | RecordRead
    | ReadFailed
    | OwnerAnswered
    | OwnerSilent
    | ReplyReceived
    | SendNotStarted
    | SendFailed
    | CompletionEnded
    | PauseEnded
)


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Store the claim if the record is at the expected revision."""

    key: str
    record: ActionRecord
    expected: int


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""

    key: str


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask the owner of the record for the status of its attempt."""

    owner: EntryInstanceId
    token: AttemptToken


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait before the next write.

    :param duration_ms: time to wait, in milliseconds
    """

    duration_ms: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call once, on a new connection."""

    call: ServiceCall


@dataclass(frozen=True, slots=True)
class WriteCompletion:
    """Store the reply in the record."""

    key: str
    record: ActionRecord
    expected: int


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Remove the record, if any, of an attempt that gave up without sending."""

    key: str
    token: AttemptToken


@dataclass(frozen=True, slots=True)
class Answer:
    """Final effect: return the reply to the caller."""

    reply: ServiceReply


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final effect: return the error to the caller."""

    error: BergamothillError


Effect = (
    WriteClaim
    | ReadRecord
    | AskOwner
    | Pause
    | Send
    | WriteCompletion
    | ReleaseClaim
    | Answer
    | Refuse
)
