"""Identifiers used throughout the system."""

from typing import NewType

__all__ = [
    "AttemptId",
    "CallerId",
    "ClassName",
    "DomainName",
    "Generation",
    "HostId",
    "IdempotencyKey",
    "Incarnation",
    "MapId",
    "OperationId",
    "RequestId",
    "RouteName",
    "Seat",
    "ServiceName",
    "ShardName",
    "SnapshotNumber",
    "TeamName",
    "UpstreamId",
    "VersionName",
]

AttemptId = NewType("AttemptId", str)
CallerId = NewType("CallerId", str)
ClassName = NewType("ClassName", str)
DomainName = NewType("DomainName", str)
Generation = NewType("Generation", int)
HostId = NewType("HostId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
MapId = NewType("MapId", str)
OperationId = NewType("OperationId", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
Seat = NewType("Seat", int)
ServiceName = NewType("ServiceName", str)
ShardName = NewType("ShardName", str)
SnapshotNumber = NewType("SnapshotNumber", int)
TeamName = NewType("TeamName", str)
UpstreamId = NewType("UpstreamId", str)
VersionName = NewType("VersionName", str)
