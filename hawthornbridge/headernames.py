"""Names of the headers exchanged with callers and leaves, as supplied by the platform adapter."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, as ASGI and the response parser report them."""

    request_id: bytes
    deadline_ms: bytes
    stamp: bytes
    expected_leaf: bytes
    not_run: bytes
    part_stamps: bytes
    missing_parts: bytes
    leaving: bytes
    retry_after: bytes
    team: bytes
    authorization: bytes = b"authorization"
