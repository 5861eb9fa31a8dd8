"""Weight version that the operator requested for a model."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName

__all__ = ["WeightTarget"]


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """Target weight version of all engines of a model.

    :param model: name of the model
    :param version: version number; increases with each version that is requested
    """

    model: ModelName
    version: int
