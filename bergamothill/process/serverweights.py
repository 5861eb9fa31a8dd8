"""Weight versions of the engines, and which of them may run a request; no I/O and no clock."""

from __future__ import annotations

from bergamothill.ids import ModelName, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.serverrecoveries import ServerRecoveries
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import (
    NOT_OUTDATED,
    OutdatedTime,
    TargetHistory,
    WeightTarget,
)

__all__ = ["ServerWeights"]

OLD_WEIGHTS_GRACE_MS = 1_100
"""Old weights carry no penalty until 1.5 s after a new target, which is read up to 400 ms late."""

QUEUE_MARGIN_MS = 2_000
"""Time for which a request may be queued at an engine before it starts."""

OVERDUE_LOG_INTERVAL_MS = 1_000

_log = EventLog("weights")


class ServerWeights(ServerRecoveries):
    """Weight targets, and the versions that the engines are known to have.

    Subclasses set ``weights_due_ms``. The parameters are those of :class:`SoftwareVersions`.
    """

    weights_due_ms: int
    """Time in which engines must move to a new weight target."""

    def __init__(
        self,
        entry_expiry_ms: int,
        stability_window_ms: int,
        min_entry_life_ms: int,
        heartbeat_interval_ms: int,
    ) -> None:
        super().__init__(
            entry_expiry_ms, stability_window_ms, min_entry_life_ms, heartbeat_interval_ms
        )
        self.targets: dict[ModelName, WeightTarget] = {}
        self._target_histories: dict[ModelName, TargetHistory] = {}
        self._overdue_logged_ms: dict[ModelName, int] = {}

    def set_weight_target(
        self, target: WeightTarget, now_ms: int, *, set_after_ms: int | None
    ) -> bool:
        """Apply a weight version that the operator set as the target.

        :param set_after_ms: time after which it was set; None if it may have been at any time
        :returns: whether it is newer than the known target
        """
        known = self.targets.get(target.model)
        if known is not None and target.version <= known.version:
            return False
        self.targets[target.model] = target
        history = self._target_histories.setdefault(target.model, TargetHistory())
        if set_after_ms is None:
            overdue_ms = now_ms - self.weights_due_ms
            history.record(target.version, overdue_ms, overdue_ms)
        else:
            history.record(target.version, set_after_ms, now_ms)
        return True

    def _outdated(self, state: ObservedServer, model: ModelName, now_ms: int) -> OutdatedTime:
        """Return for how long a server's version has been outdated."""
        history = self._target_histories.get(model)
        version = state.weight_version(model)
        return NOT_OUTDATED if history is None else history.outdated(version, now_ms)

    def engines(self) -> tuple[SwapEngine, ...]:
        """Return the engines that are listed and not leaving, one item for each model."""
        return tuple(
            SwapEngine(b.entry.server, b.entry.started_wall_ms, b.entry.address, model, version)
            for states in self._by_service.values()
            for b in states
            if not b.is_leaving and not b.is_replaced and b.gone_after_ms is None
            for model in b.entry.weights
            if (version := b.weight_version(model)) is not None
        )

    def record_weight_mismatch(self, server: ServerId, model: ModelName, expected: int) -> None:
        """Record that a server lacks the expected weights, and so has newer ones.

        Which newer version it has is not known: with several targets in quick succession it need
        not be the latest one. If no newer target is known, the mismatch shows nothing.
        """
        state = self._observed.get(server)
        target = self.targets.get(model)
        if state is not None and target is not None and target.version > expected:
            state.record_version(model, expected + 1)

    def record_weight_swap(self, server: ServerId, model: ModelName, version: int) -> None:
        """Record that a server has switched to new weights."""
        state = self._observed.get(server)
        if state is not None:
            state.record_version(model, version)

    def may_send_prompt_to(self, server: BackendServer, model: ModelName, now_ms: int) -> bool:
        """Return whether a prompt may still be sent to an engine that was chosen earlier."""
        is_usable = self.may_send_to(server, now_ms)
        return is_usable and self._may_run_on_weights(self._observed[server.server], model, now_ms)

    def _with_due_weights(
        self, states: list[ObservedServer], model: ModelName, now_ms: int
    ) -> list[ObservedServer]:
        """Return the engines on whose weights a new request may run; log if none is left."""
        # Engines have few versions, and all of one are allowed or none.
        is_allowed: dict[int | None, bool] = {}
        allowed = []
        for state in states:
            version = state.weight_version(model)
            if version not in is_allowed:
                is_allowed[version] = self._may_run_on_weights(state, model, now_ms)
            if is_allowed[version]:
                allowed.append(state)
        if states and not allowed:
            self._log_overdue(states, model, now_ms)
        return allowed

    def _log_overdue(self, states: list[ObservedServer], model: ModelName, now_ms: int) -> None:
        logged_ms = self._overdue_logged_ms.get(model)
        target = self.targets.get(model)
        if target is None or (
            logged_ms is not None and now_ms - logged_ms < OVERDUE_LOG_INTERVAL_MS
        ):
            return
        self._overdue_logged_ms[model] = now_ms
        _log.warning(
            "weights_overdue",
            model=model,
            version=target.version,
            servers=len(states),
            max_age_ms=max(self._outdated(b, model, now_ms).max_age_ms for b in states),
        )

    def _may_run_on_weights(self, state: ObservedServer, model: ModelName, now_ms: int) -> bool:
        """Return whether a new request may run on the weight version of an engine.

        Once the deadline for new weights may be near, only engines that have them are allowed. The
        deadline binds instances that have been in touch for the stability window, so that one that
        reads a target late still has a moment in which the engines are swapped.
        """
        if state.weight_version(model) is None:
            return False
        outdated = self._outdated(state, model, now_ms)
        catch_up_ms = max(0, self._stability_window_ms - QUEUE_MARGIN_MS) // 2
        is_due = outdated.max_age_ms >= self.weights_due_ms - QUEUE_MARGIN_MS
        return not is_due or outdated.since_read_ms < catch_up_ms

    def _preferred_by_weights(
        self, candidates: list[ObservedServer], model: ModelName, now_ms: int
    ) -> list[ObservedServer]:
        """Return the engines preferred for a new request among those allowed.

        Right after a new target all engines are preferred. Later those with new weights are, once
        they can carry the load, and the others get what does not fit there.
        """
        outdated_ms: dict[int | None, int] = {}
        new = []
        for state in candidates:
            version = state.weight_version(model)
            if version not in outdated_ms:
                outdated_ms[version] = self._outdated(state, model, now_ms).since_read_ms
            if outdated_ms[version] < OLD_WEIGHTS_GRACE_MS:
                new.append(state)
        oldest_ms = max(outdated_ms.values(), default=0)
        carries_load = 2 * len(new) >= len(candidates) or oldest_ms >= self.weights_due_ms // 2
        return new if new and carries_load else candidates
