"""Identifier types, so that a type checker rejects one kind in place of another."""

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
    "SoftwareVersion",
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

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a backend server's software, not of its weights."""

ServerId = NewType("ServerId", str)
"""A backend server: a model engine or the server of a plain service."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a backend server's software, not of its weights."""

StoreId = NewType("StoreId", str)
EntryInstanceId = NewType("EntryInstanceId", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)

Incarnation = NewType("Incarnation", int)
"""Increases at each start of an instance or server, so that outdated state is recognized."""

RequestId = NewType("RequestId", str)
StreamId = NewType("StreamId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

Revision = NewType("Revision", int)
"""Number of an accepted configuration; increases by one with each accepted change."""

ChangeId = NewType("ChangeId", str)
DutyName = NewType("DutyName", str)
LeaseId = NewType("LeaseId", str)
FencingNumber = NewType("FencingNumber", int)
Generation = NewType("Generation", str)
"""Random name generated for each write of a block, never reused."""
