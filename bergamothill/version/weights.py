"""Checks that an engine runs the weight version that a request is pinned to."""

from __future__ import annotations

from bergamothill.connection.engine import EngineState, EventKind, StreamEvent
from bergamothill.errors import Execution, NotFoundError, WeightVersionError
from bergamothill.ids import ModelName, ServerId, WeightVersion
from bergamothill.version.block import BlockChain
from bergamothill.version.config import Configuration

__all__ = ["RunVersion", "VersionMismatches", "pin_version", "reports_loaded"]

MISMATCH_EXCLUSION_MS = 30_000
STEP = "weights.check"


def pin_version(configuration: Configuration, model: ModelName) -> WeightVersion:
    """Return the weight version of a new request; resolved once, at admission.

    :param configuration: active configuration
    :param model: requested model
    :raises NotFoundError: the configuration has no such model
    """
    config = configuration.models.get(model)
    if config is None:
        raise NotFoundError(f"unknown model {model}", step="admission")
    return config.current


def reports_loaded(state: EngineState, model: ModelName, version: WeightVersion) -> bool:
    """Return whether the engine last reported the version as loaded; only a routing hint.

    :param state: last reported state of the engine
    :param model: name of the model
    :param version: weight version to look for
    """
    return f"{model}:{version}" in state.versions


class RunVersion:
    """Weight version check for one attempt at a run.

    :param pinned: version resolved at admission
    :param server: engine that the attempt is sent to
    :param is_confirmed: the START event was already checked; set when a stream is resumed after it
    """

    def __init__(
        self, pinned: WeightVersion, server: ServerId, *, is_confirmed: bool = False
    ) -> None:
        self.pinned = pinned
        self._server = server
        self._is_confirmed = is_confirmed

    def check(self, event: StreamEvent) -> None:
        """Check an event before any of it is delivered to the caller.

        :param event: next event of the stream, in sequence order
        :raises WeightVersionError: the engine ran another version, or did not report its version
        """
        if event.kind is EventKind.START:
            self._check_start(event)
            return
        if not self._is_confirmed and event.kind is EventKind.TOKEN:
            raise self._mismatch_error("engine sent a token before it reported its weight version")

    def may_export(self, chain: BlockChain) -> bool:
        """Return whether blocks computed by the run may be stored under a chain's keys.

        The current version does not matter: a run that outlives a weight swap exports under its own
        version.
        """
        return self._is_confirmed and chain.weight_version == self.pinned

    def _check_start(self, event: StreamEvent) -> None:
        if event.weight_version != self.pinned:
            self._is_confirmed = False
            reported_version = event.weight_version or "an unreported version"
            raise self._mismatch_error(
                f"engine ran weight version {reported_version} instead of {self.pinned}"
            )
        self._is_confirmed = True

    def _mismatch_error(self, message: str) -> WeightVersionError:
        return WeightVersionError(
            message, step=STEP, peer=self._server, execution=Execution.UNKNOWN
        )


class VersionMismatches:
    """Engines that recently ran a version other than the requested one; excluded from routing."""

    def __init__(self) -> None:
        self._excluded_until_ms: dict[ServerId, int] = {}

    def record_mismatch(self, server: ServerId, now_ms: int) -> None:
        """Record a version mismatch.

        :param server: engine that ran the wrong version
        :param now_ms: current time, in milliseconds
        """
        self._excluded_until_ms[server] = now_ms + MISMATCH_EXCLUSION_MS

    def is_excluded(self, server: ServerId, now_ms: int) -> bool:
        """Return whether an engine is currently excluded from routing."""
        return self._excluded_until_ms.get(server, now_ms) > now_ms
