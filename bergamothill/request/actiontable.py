"""What an entry instance remembers of its own attempts."""

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
    """What one entry instance knows of its own attempts; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._live: dict[AttemptToken, ActionAttempt] = {}
        self._given_up: OrderedDict[AttemptToken, None] = OrderedDict()
        self._sent_keys: OrderedDict[str, None] = OrderedDict()

    def add(self, attempt: ActionAttempt) -> None:
        """Remember an attempt that starts.

        :param attempt: attempt before its first effect
        """
        with self._lock:
            self._live[attempt.token] = attempt

    def finish(self, attempt: ActionAttempt) -> None:
        """Replace an attempt that ended by what has to be remembered of it.

        An attempt cut short before it sent, by an error in the process, gives up.

        :param attempt: attempt after its last effect
        """
        with self._lock:
            del self._live[attempt.token]
            if attempt.state is ActionState.CLAIMING:
                attempt.state = ActionState.GIVEN_UP
            if attempt.state is ActionState.GIVEN_UP:
                _remember(self._given_up, attempt.token, MAX_REMEMBERED_TOKENS)
            else:
                _remember(self._sent_keys, attempt.key, MAX_REMEMBERED_KEYS)

    def may_have_run(self, key: str) -> bool:
        """Tell whether this entry instance sent, or is sending, a call with this record.

        :param key: key of the record
        """
        with self._lock:
            if key in self._sent_keys:
                return True
            live = self._live.values()
            return any(one.key == key and one.state is not ActionState.GIVEN_UP for one in live)

    def status(self, token: AttemptToken) -> OwnerStatus:
        """Return what to say of an attempt.

        :param token: attempt asked about
        """
        with self._lock:
            attempt = self._live.get(token)
            is_given_up = token in self._given_up
        if attempt is None:
            return OwnerStatus.GIVEN_UP if is_given_up else OwnerStatus.FORGOTTEN
        if attempt.state is ActionState.GIVEN_UP:
            return OwnerStatus.GIVEN_UP
        if attempt.state is ActionState.CLAIMING:
            return OwnerStatus.CLAIMING
        return OwnerStatus.SENT


def _remember(tokens: OrderedDict[str, None], token: str, limit: int) -> None:
    tokens[token] = None
    while len(tokens) > limit:
        tokens.popitem(last=False)
