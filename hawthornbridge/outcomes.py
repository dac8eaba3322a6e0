"""Outcomes and refusals shared by the modules."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Execution", "Reachability", "Refusal", "RefusalKind"]


class Execution(Enum):
    """Tell whether a refused request ran at an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reachability(Enum):
    """Tell whether a host could read the store when it last tried."""

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
    """Refuse a request with a reason, and tell whether it ran.

    settled is set if not_run also holds for every earlier attempt with the same idempotency key.
    """

    kind: RefusalKind
    execution: Execution
    detail: str
    field: str | None = None
    covers_earlier_attempts: bool = False
    # When a request is expected to find a place, for callers that are told.
    retry_after_s: float | None = None
