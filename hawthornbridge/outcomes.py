"""Outcomes and refusals shared by the modules."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Execution", "Reachability", "Refusal", "RefusalKind"]


class Execution(Enum):
    """State whether a refused request ran at an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reachability(Enum):
    """State what a host found when it last tried to read the store."""

    UNTRIED = 0
    REACHABLE = 1
    UNREACHABLE = 2


class RefusalKind(Enum):
    """Name the reason for a refusal."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_CLASS = "unknown_class"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    STALE_CONFIGURATION = "stale_configuration"
    NO_UPSTREAM = "no_upstream"
    STORE_UNAVAILABLE = "store_unavailable"
    IN_PROGRESS = "in_progress"
    KEY_EXPIRED = "key_expired"
    KEY_MISMATCH = "key_mismatch"
    RESULT_NOT_KEPT = "result_not_kept"
    UPSTREAM_FAILED = "upstream_failed"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request, saying why and whether it ran.

    settled says that a not_run holds for every earlier attempt on the same idempotency key, too.
    """

    kind: RefusalKind
    execution: Execution
    detail: str
    field: str | None = None
    settled: bool = False
