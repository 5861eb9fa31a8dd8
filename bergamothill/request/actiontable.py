"""Table of the recent attempts of an entry instance."""

from __future__ import annotations

import threading
from collections import OrderedDict

from bergamothill.request.actionattempt import ActionAttempt, ActionState
from bergamothill.request.actionrecord import AttemptToken
from bergamothill.request.actionsteps import OwnerStatus

__all__ = ["ActionTable"]

MAX_REMEMBERED_TOKENS = 20_000
MAX_REMEMBERED_KEYS = 20_000


class ActionTable:
    """Running and recently ended attempts of one entry instance; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[AttemptToken, ActionAttempt] = {}
        self._given_up: OrderedDict[AttemptToken, None] = OrderedDict()
        self._sent_keys: OrderedDict[str, None] = OrderedDict()

    def add(self, attempt: ActionAttempt) -> None:
        """Add a new attempt.

        :param attempt: attempt that has not performed an effect
        """
        with self._lock:
            self._running[attempt.token] = attempt

    def finish(self, attempt: ActionAttempt) -> None:
        """Remove an ended attempt, keeping only its token or its key.

        An attempt that an exception interrupted before it sent the call counts as given up.

        :param attempt: attempt after its last effect
        """
        with self._lock:
            del self._running[attempt.token]
            if attempt.state is ActionState.CLAIMING:
                attempt.state = ActionState.GIVEN_UP
            if attempt.state is ActionState.GIVEN_UP:
                _add_bounded(self._given_up, attempt.token, MAX_REMEMBERED_TOKENS)
            else:
                _add_bounded(self._sent_keys, attempt.key, MAX_REMEMBERED_KEYS)

    def may_have_run(self, key: str) -> bool:
        """Return whether this entry instance has sent, or may still send, a call with this key.

        :param key: key of the record
        """
        with self._lock:
            if key in self._sent_keys:
                return True
            running = self._running.values()
            return any(a.key == key and a.state is not ActionState.GIVEN_UP for a in running)

    def status(self, token: AttemptToken) -> OwnerStatus:
        """Return the status of an attempt, to report to another entry instance.

        :param token: id of the attempt
        """
        with self._lock:
            attempt = self._running.get(token)
            is_given_up = token in self._given_up
        if attempt is None:
            return OwnerStatus.GIVEN_UP if is_given_up else OwnerStatus.FORGOTTEN
        if attempt.state is ActionState.GIVEN_UP:
            return OwnerStatus.GIVEN_UP
        if attempt.state is ActionState.CLAIMING:
            return OwnerStatus.CLAIMING
        return OwnerStatus.SENT


def _add_bounded(entries: OrderedDict[str, None], entry: str, limit: int) -> None:
    entries[entry] = None
    while len(entries) > limit:
        entries.popitem(last=False)
