"""Outcomes of proposing a configuration change, and the interface that proposes one."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from hawthornbridge.ids import Generation, HostId, OperationId
from hawthornbridge.model import Catalogue, Change, Entry

__all__ = [
    "Acceptance",
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeInvalid",
    "ChangeLog",
    "ChangeNotAccepted",
    "ChangeUncertain",
    "HostProgress",
    "QuorumMissing",
]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Say that a change is in the store for good; repeated if an earlier call with its operation id put it there."""

    generation: Generation
    repeated: bool
    forced: bool


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Say that the entity has moved on from the expected generation, and show the entry that won if it is known."""

    current: Generation
    winner: Entry | None


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """Say which field of a change does not fit the configuration."""

    field: str
    detail: str


@dataclass(frozen=True, slots=True)
class ChangeNotAccepted:
    """Say that a change was certainly not accepted because the store was unavailable."""

    detail: str


@dataclass(frozen=True, slots=True)
class ChangeUncertain:
    """Say that a change may have been accepted; repeating it with the same operation id settles it."""

    detail: str


@dataclass(frozen=True, slots=True)
class QuorumMissing:
    """Say that this host hears too few hosts to accept a change safely."""

    heard: int
    needed: int


Acceptance: TypeAlias = (
    ChangeAccepted | ChangeConflict | ChangeInvalid | ChangeNotAccepted | ChangeUncertain | QuorumMissing
)


@dataclass(frozen=True, slots=True)
class HostProgress:
    """Hold how far one host has applied the configuration."""

    host: HostId
    generation: Generation
    silent_s: float
    leaving: bool


class ChangeLog(Protocol):
    """Read the host's configuration and propose changes to it."""

    @property
    def catalogue(self) -> Catalogue:
        """Return the configuration in force on this host."""

    async def propose(
        self, change: Change, expected: Generation, operation_id: OperationId, *, force: bool = False
    ) -> Acceptance:
        """Accept a change if the entity it names is at the expected generation (0 to create it)."""

    async def wait_for(self, generation: Generation) -> None:
        """Return once this host has applied the generation."""

    def progress(self) -> list[HostProgress]:
        """Return how far each known host is, this one included."""
