"""Refusals of requests that are not read to their end."""

from dataclasses import dataclass

import msgspec

from hawthornbridge.outcomes import Execution, RefusalKind

__all__ = ["CallerRefusal", "CallerRefusedError"]

RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class CallerRefusal:
    """Answer to a request that is not read to its end, and so has never run."""

    status: int
    detail: str
    field: str
    kind: RefusalKind = RefusalKind.BAD_REQUEST

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        error = {"kind": self.kind.value, "execution": Execution.NOT_RUN.value}
        body = msgspec.json.encode({"error": {**error, "detail": self.detail, "field": self.field}})
        lines = [f"HTTP/1.1 {self.status} Refused", "content-type: application/json", "connection: close"]
        if self.kind is RefusalKind.OVERLOADED:
            lines.append(f"retry-after: {RETRY_AFTER_S}")
        lines.append(f"content-length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


class CallerRefusedError(Exception):
    """Raised in a callback to end parsing."""

    def __init__(self, refusal: CallerRefusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
