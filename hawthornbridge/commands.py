"""The commands of the operators' command-line tool, as cappa reads them.

cappa parses this module's source once per command for its help, so nothing else belongs here.
"""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, TypeAlias

import cappa

__all__ = [
    "ADDRESSES_VARIABLE",
    "TOKEN_FILE_VARIABLE",
    "TOKEN_VARIABLE",
    "Apply",
    "ChangeOptions",
    "Continue",
    "Ctl",
    "Drain",
    "EntityKind",
    "Explain",
    "Export",
    "Hold",
    "List",
    "ListKind",
    "Put",
    "Remove",
    "Restore",
    "RollBack",
    "Rollout",
    "Start",
    "Summary",
    "Watch",
]

ADDRESSES_VARIABLE = "HAWTHORNBRIDGE_ADDRESSES"
TOKEN_VARIABLE = "HAWTHORNBRIDGE_TOKEN"
TOKEN_FILE_VARIABLE = "HAWTHORNBRIDGE_TOKEN_FILE"


class EntityKind(Enum):
    """Name the kinds of entities that can be put and removed."""

    SERVICE = "service"
    SHARD_MAP = "shard-map"
    UPSTREAM = "upstream"
    FAILURE_DOMAIN = "failure-domain"
    VERSION = "version"


class ListKind(Enum):
    """Name what can be listed."""

    SERVICES = "services"
    SHARD_MAPS = "shard-maps"
    UPSTREAMS = "upstreams"
    FAILURE_DOMAINS = "failure-domains"
    VERSIONS = "versions"
    ROLLOUTS = "rollouts"
    HOSTS = "hosts"


OperationIdOption: TypeAlias = Annotated[
    str | None, cappa.Arg(long=True, help="Id of an earlier call to repeat; a new one if left out.")
]
ExpectedOption: TypeAlias = Annotated[
    int | None, cappa.Arg(long=True, help="Generation of the entity to change; the present one if left out.")
]
ForceOption: TypeAlias = Annotated[
    bool, cappa.Arg(long=True, help="Accept without a quorum, and drain although capacity is short.")
]
WatchOption: TypeAlias = Annotated[bool, cappa.Arg(long=True, help="Follow the change until it has ended.")]
ReasonOption: TypeAlias = Annotated[str, cappa.Arg(long=True, help="Reason to record with the change.")]


@dataclass(kw_only=True)
class ChangeOptions:
    """Hold the options that every change has."""

    operation_id: OperationIdOption = None
    expected: ExpectedOption = None
    force: ForceOption = False
    watch: WatchOption = False


@dataclass
class List:
    """List entities or hosts."""

    kind: ListKind


@dataclass
class Put(ChangeOptions):
    """Create or replace an entity."""

    kind: EntityKind
    file: Annotated[str, cappa.Arg(help="JSON with comments; - reads standard input.")]


@dataclass
class Remove(ChangeOptions):
    """Remove an entity that nothing refers to."""

    kind: EntityKind
    name: Annotated[str, cappa.Arg(help="Name or id; service:version for a version.")]


@dataclass
class Drain(ChangeOptions):
    """Take a failure domain out after a capacity check."""

    name: str
    reason: ReasonOption = ""


@dataclass
class Restore(ChangeOptions):
    """Return a failure domain to service."""

    name: str
    reason: ReasonOption = ""


@dataclass
class Start(ChangeOptions):
    """Start a rollout."""

    service: str
    version: str
    finish_by_ms: Annotated[int, cappa.Arg(long=True, help="Unix time in ms by which all traffic must have moved.")]
    steps: Annotated[str, cappa.Arg(long=True, help="Ascending shares of traffic.")] = "0.05,0.2,0.4"


@dataclass
class Hold(ChangeOptions):
    """Keep a running rollout at its present share."""

    service: str
    reason: ReasonOption = ""


@dataclass
class Continue(ChangeOptions):
    """Continue a held rollout."""

    service: str
    reason: ReasonOption = ""


@dataclass
class RollBack(ChangeOptions):
    """Return all traffic of an unfinished rollout to the old version."""

    service: str
    reason: ReasonOption = ""


@dataclass
class Rollout:
    """Start and control rollouts."""

    command: cappa.Subcommands[Start | Hold | Continue | RollBack]


@dataclass
class Watch:
    """Follow an accepted change until it has ended."""

    generation: int
    failure_domain: Annotated[str | None, cappa.Arg(long=True, help="Follow a drain or a restore.")] = None
    rollout: Annotated[str | None, cappa.Arg(long=True, help="Follow the rollout of this service.")] = None


@dataclass
class Apply:
    """Bring the configuration to what a file lists."""

    file: Path
    prune: Annotated[bool, cappa.Arg(long=True, help="Remove entities that the file does not list.")] = False
    dry_run: Annotated[bool, cappa.Arg(long=True, help="Only show the changes.")] = False
    operation_id: OperationIdOption = None


@dataclass
class Export:
    """Print the configuration in the form that apply reads."""


@dataclass
class Explain:
    """Show from log files how a request ended and why; needs no host."""

    request_id: str
    files: Annotated[list[Path], cappa.Arg(num_args=-1, help="Log files of hosts; - is standard input.")]


@dataclass
class Summary:
    """Count from log files how requests ended, over time; needs no host."""

    files: Annotated[list[Path], cappa.Arg(num_args=-1, help="Log files of hosts; - is standard input.")]
    every_s: Annotated[float, cappa.Arg(long=True, help="Seconds in one row.")] = 1.0


@cappa.command(name="hawthornbridgectl")
@dataclass
class Ctl:
    """Operate a hawthornbridge fleet."""

    command: cappa.Subcommands[
        List | Put | Remove | Drain | Restore | Rollout | Watch | Apply | Export | Explain | Summary
    ]
    addresses: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(ADDRESSES_VARIABLE, default=""),
            help="Operators' addresses of hosts, separated by commas; tried in order.",
        ),
    ] = ""
    token_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(TOKEN_FILE_VARIABLE, default=""),
            help=f"File that holds the token; {TOKEN_VARIABLE} is read if no file is named.",
        ),
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, propagate=True, help="Print JSON, one value per line.")] = False
