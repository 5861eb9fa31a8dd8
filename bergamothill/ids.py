"""Identifier types, so that a value of one kind cannot pass for another."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AdapterName",
    "BrandName",
    "ChangeId",
    "DutyName",
    "EntryInstanceId",
    "FencingNumber",
    "Generation",
    "IdempotencyKey",
    "Incarnation",
    "LeaseId",
    "ModelName",
    "RequestId",
    "Revision",
    "ServerId",
    "ServiceName",
    "StoreId",
    "StreamId",
    "WeightVersion",
    "ZoneName",
]

BrandName = NewType("BrandName", str)
"""A brand, also called a workspace: the unit of isolation."""

ModelName = NewType("ModelName", str)
AdapterName = NewType("AdapterName", str)
WeightVersion = NewType("WeightVersion", str)
ServiceName = NewType("ServiceName", str)

ServerId = NewType("ServerId", str)
"""A backend server: a model engine or the server of a plain service."""

StoreId = NewType("StoreId", str)
EntryInstanceId = NewType("EntryInstanceId", str)
ZoneName = NewType("ZoneName", str)

Incarnation = NewType("Incarnation", int)
"""Grows at each start of an instance or server, so that an old state cannot pass for a new one."""

RequestId = NewType("RequestId", str)
StreamId = NewType("StreamId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

Revision = NewType("Revision", int)
"""Number of an accepted configuration; grows by one with each accepted change."""

ChangeId = NewType("ChangeId", str)
DutyName = NewType("DutyName", str)
LeaseId = NewType("LeaseId", str)
FencingNumber = NewType("FencingNumber", int)
Generation = NewType("Generation", str)
"""Random name drawn for each write of a block, never reused."""
