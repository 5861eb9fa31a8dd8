"""What is believed of one incarnation of a backend server; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName
from bergamothill.process.backends import BackendServer

__all__ = ["ServerBelief"]


@dataclass(slots=True)
class ServerBelief:
    """What is believed of one incarnation of a server.

    :param entry: its listed entry
    :param in_progress: requests that this entry instance has there
    :param tokens: prompt tokens of those
    :param unread_tokens: tokens that it has yet to read for those that have no first token
    :param streaming: those of them whose answers have begun
    :param heard_ms: when bytes last came from it, or when it last had nothing to send us
    :param is_reachable: whether the connection for its events holds, or was never opened
    :param rests_until_ms: not used before, unless nothing else is left
    :param failures: failures in a row
    :param is_gone: seen to have left, by its own answer
    :param listed_ms: when a list that shows it was last asked for
    :param gone_ms: from when on it counts as gone since the list lost it; None while it is listed
    :param weights: weight versions seen in answers, which may be newer than the list
    """

    entry: BackendServer
    in_progress: int = 0
    tokens: int = 0
    unread_tokens: int = 0
    streaming: int = 0
    heard_ms: int = 0
    is_reachable: bool = True
    rests_until_ms: int = 0
    failures: int = 0
    is_gone: bool = False
    listed_ms: int = 0
    gone_ms: int | None = None
    weights: dict[ModelName, int] | None = None

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether the server may get new work."""
        is_listed = self.gone_ms is None or now_ms < self.gone_ms
        return is_listed and not self.entry.is_leaving and not self.is_gone

    def weight_version(self, model: ModelName) -> int | None:
        """Return the newest version that the server is known to have."""
        listed = self.entry.weights.get(model)
        seen = (self.weights or {}).get(model)
        if listed is None or seen is None:
            return seen if listed is None else listed
        return max(listed, seen)
