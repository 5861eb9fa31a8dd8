"""Weight version that the operator requested for a model, and when it was requested."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName

__all__ = ["NOT_OUTDATED", "OutdatedTime", "TargetHistory", "WeightTarget"]


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """Target weight version of all engines of a model.

    :param model: name of the model
    :param version: version number; increases with each version that is requested
    """

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class OutdatedTime:
    """For how long a weight version has been outdated, in milliseconds; 0 if it is not.

    :param since_read_ms: time since a newer target was read
    :param max_age_ms: longest time for which a newer target can have been set
    """

    since_read_ms: int
    max_age_ms: int


NOT_OUTDATED = OutdatedTime(0, 0)


@dataclass(frozen=True, slots=True)
class _Target:
    version: int
    set_after_ms: int
    read_ms: int


class TargetHistory:
    """All targets of a model that were read, and when each was set and read."""

    def __init__(self) -> None:
        self._targets: list[_Target] = []

    def record(self, version: int, set_after_ms: int, read_ms: int) -> None:
        """Record a newer target.

        :param set_after_ms: time after which the target was set
        :param read_ms: time at which it was read
        """
        self._targets.append(_Target(version, set_after_ms, read_ms))

    def outdated(self, version: int, now_ms: int) -> OutdatedTime:
        """Return for how long a version has been outdated.

        It has been outdated since the first newer version became the target; further targets do not
        extend the time in which it must be replaced.
        """
        newer = [target for target in self._targets if target.version > version]
        if not newer:
            return NOT_OUTDATED
        return OutdatedTime(
            since_read_ms=now_ms - min(target.read_ms for target in newer),
            max_age_ms=now_ms - min(target.set_after_ms for target in newer),
        )
