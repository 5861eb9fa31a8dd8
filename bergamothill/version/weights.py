"""Weight versions apart: what a run is pinned to against what an engine says that it ran."""

from __future__ import annotations

from bergamothill.connection.engine import EngineState, EventKind, StreamEvent
from bergamothill.errors import Execution, NotFoundError, WeightVersionError
from bergamothill.ids import ModelName, ServerId, WeightVersion
from bergamothill.version.block import BlockChain
from bergamothill.version.config import Configuration

__all__ = ["RunVersion", "VersionDoubts", "pin_version", "seems_loaded"]

DOUBT_MS = 30_000
STEP = "weights.check"


def pin_version(configuration: Configuration, model: ModelName) -> WeightVersion:
    """Return the version that a new request runs under; resolved once, at admission.

    :param configuration: configuration in force
    :param model: model that the request names
    :raises NotFoundError: the configuration has no such model
    """
    config = configuration.models.get(model)
    if config is None:
        raise NotFoundError(f"unknown model {model}", step="admission")
    return config.current


def seems_loaded(state: EngineState, model: ModelName, version: WeightVersion) -> bool:
    """Tell whether an engine said lately that it has a version; a hint for routing, no proof.

    :param state: state as the engine last reported it
    """
    return f"{model}:{version}" in state.versions


class RunVersion:
    """Version of one attempt at a run.

    :param pinned: version resolved at admission
    :param server: engine that the attempt goes to
    :param is_confirmed: START was checked before, where the stream is resumed after it
    """

    def __init__(
        self, pinned: WeightVersion, server: ServerId, *, is_confirmed: bool = False
    ) -> None:
        self.pinned = pinned
        self._server = server
        self._is_confirmed = is_confirmed

    def check(self, event: StreamEvent) -> None:
        """Check an event before any of it is delivered.

        :param event: next event of the stream, in order of its sequence
        :raises WeightVersionError: the engine ran another version, or did not say which
        """
        if event.kind is EventKind.START:
            self._check_start(event)
            return
        if not self._is_confirmed and event.kind is EventKind.TOKEN:
            raise self._refuse("the engine generated before it said which version runs")

    def may_export(self, chain: BlockChain) -> bool:
        """Tell whether blocks that the run computed may be kept under a chain's keys.

        The version in force by now does not matter: a run that outlives a swap exports under its
        own.
        """
        return self._is_confirmed and chain.weight_version == self.pinned

    def _check_start(self, event: StreamEvent) -> None:
        if event.weight_version != self.pinned:
            self._is_confirmed = False
            ran = event.weight_version or "an unnamed version"
            raise self._refuse(f"the engine ran {ran} in place of {self.pinned}")
        self._is_confirmed = True

    def _refuse(self, message: str) -> WeightVersionError:
        return WeightVersionError(
            message, step=STEP, peer=self._server, execution=Execution.UNKNOWN
        )


class VersionDoubts:
    """Engines that lately ran another version than they were asked for; routing leaves them out."""

    def __init__(self) -> None:
        self._until_ms: dict[ServerId, int] = {}

    def note(self, server: ServerId, now_ms: int) -> None:
        """Note a mismatch.

        :param server: engine
        :param now_ms: now, in milliseconds
        """
        self._until_ms[server] = now_ms + DOUBT_MS

    def is_doubted(self, server: ServerId, now_ms: int) -> bool:
        """Tell whether an engine is to be left out now."""
        return self._until_ms.get(server, now_ms) > now_ms
