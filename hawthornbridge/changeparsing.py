"""Changes of the configuration, read from the command line and from files."""

import sys
from pathlib import Path
from typing import TypeVar

import jsonc
import msgspec

from hawthornbridge.commands import EntityKind, Put, Remove
from hawthornbridge.ids import DomainName, MapId, ServiceName, UpstreamId, VersionName
from hawthornbridge.model import (
    Change,
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    PutVersion,
    RemoveFailureDomain,
    RemoveService,
    RemoveShardMap,
    RemoveUpstream,
    RemoveVersion,
    Service,
    ShardMap,
    Upstream,
    Version,
)
from hawthornbridge.printer import UsageError

__all__ = ["parse_change", "read_text"]

EntityT = TypeVar("EntityT", bound=msgspec.Struct)


def parse_change(command: Put | Remove) -> Change:
    """Return the change that a command asks for; raise UsageError if its name or file cannot be used."""
    return _parse_put(command) if isinstance(command, Put) else _parse_remove(command)


def _parse_put(command: Put) -> Change:
    text = read_text(command.file)
    match command.kind:
        case EntityKind.SERVICE:
            return PutService(_parse(text, Service))
        case EntityKind.SHARD_MAP:
            return PutShardMap(_parse(text, ShardMap))
        case EntityKind.UPSTREAM:
            return PutUpstream(_parse(text, Upstream))
        case EntityKind.FAILURE_DOMAIN:
            return PutFailureDomain(_parse(text, FailureDomain))
        case EntityKind.VERSION:
            return PutVersion(_parse(text, Version))


def _parse_remove(command: Remove) -> Change:
    match command.kind:
        case EntityKind.SERVICE:
            return RemoveService(ServiceName(command.name))
        case EntityKind.SHARD_MAP:
            return RemoveShardMap(MapId(command.name))
        case EntityKind.UPSTREAM:
            return RemoveUpstream(UpstreamId(command.name))
        case EntityKind.FAILURE_DOMAIN:
            return RemoveFailureDomain(DomainName(command.name))
        case EntityKind.VERSION:
            service, separator, version = command.name.partition(":")
            if not separator:
                raise UsageError(f"expected service:version, got {command.name!r}")
            return RemoveVersion(ServiceName(service), VersionName(version))


def read_text(file: str) -> str:
    """Return the content of a file; - is standard input."""
    if file == "-":
        return sys.stdin.read()
    try:
        return Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise UsageError(str(error)) from error


def _parse(text: str, kind: type[EntityT]) -> EntityT:
    try:
        return msgspec.convert(jsonc.loads(text), kind)
    except ValueError as error:
        raise UsageError(str(error)) from error
