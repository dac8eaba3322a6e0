"""The outcomes of a proposed configuration change, and the interface for proposing one."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from hawthornbridge.ids import Generation, HostId, OperationId
from hawthornbridge.model import Catalogue, Change, Entry

__all__ = [
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeInvalid",
    "ChangeLog",
    "ChangeNotAccepted",
    "ChangeOutcome",
    "ChangeUncertain",
    "HostProgress",
    "QuorumMissing",
]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Report a change that is stored durably; repeated means that an earlier call with its operation id wrote it."""

    generation: Generation
    repeated: bool
    forced: bool


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Report that the entity is not at the expected generation, with the entry that changed it if it is known."""

    current: Generation
    winner: Entry | None


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """Report which field of a change the configuration does not allow."""

    field: str
    detail: str


@dataclass(frozen=True, slots=True)
class ChangeNotAccepted:
    """Report that a change was definitely not accepted because the store was unavailable."""

    detail: str


@dataclass(frozen=True, slots=True)
class ChangeUncertain:
    """Report that a change may have been accepted; repeating it with the same operation id gives its outcome."""

    detail: str


@dataclass(frozen=True, slots=True)
class QuorumMissing:
    """Report that this host hears too few hosts to accept a change safely."""

    heard: int
    needed: int


ChangeOutcome: TypeAlias = (
    ChangeAccepted | ChangeConflict | ChangeInvalid | ChangeNotAccepted | ChangeUncertain | QuorumMissing
)


@dataclass(frozen=True, slots=True)
class HostProgress:
    """The generation that one host has applied, and how long that host has been silent."""

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
    ) -> ChangeOutcome:
        """Accept a change if the entity it names is at the expected generation (0 to create it)."""

    async def wait_for(self, generation: Generation) -> None:
        """Return once this host has applied the generation."""

    def progress(self) -> list[HostProgress]:
        """Return how far each known host is, this one included."""
