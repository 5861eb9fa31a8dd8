"""Weight store: interface. It is rate-limited."""

from __future__ import annotations

from abc import ABC, abstractmethod

from bergamothill.ids import ModelName, WeightVersion

__all__ = ["WeightStore"]


class WeightStore(ABC):
    """Client of the weight store; engines fetch the weights themselves."""

    @abstractmethod
    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first.

        :raises NotFoundError: the store does not know the model
        """
