"""Results of one run of the fault soak."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.platformleaf import PlatformLeaf

__all__ = ["Breach", "Counts", "runs_of"]


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise and the time of its detection, in seconds from the start."""

    promise: str
    detail: str
    at_s: float


@dataclass
class Counts:
    """Outcomes of the callers' requests, in all and after the faults."""

    statuses: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)


def runs_of(service: str, leaves: Iterable[PlatformLeaf]) -> int:
    """Return the number of requests that the leaves of a service have run."""
    return sum(len(leaf.runs) for leaf in leaves if leaf.service == service)
