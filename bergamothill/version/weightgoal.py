"""Weight version that the operator has named for a model."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName

__all__ = ["WeightGoal"]


@dataclass(frozen=True, slots=True)
class WeightGoal:
    """Version that all engines of a model are to serve.

    :param model: model
    :param version: number of the version; grows with each that is named
    """

    model: ModelName
    version: int
