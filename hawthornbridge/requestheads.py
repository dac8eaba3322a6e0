"""Decision whether a request's head is inside the limits and can be understood in one way only."""

from collections.abc import Sequence
from dataclasses import dataclass

from hawthornbridge.callerlimits import CallerLimits
from hawthornbridge.callerrefusals import CallerRefusal

__all__ = ["MAX_HEADERS", "RequestHead", "large_body", "large_head", "many_headers", "read_head"]

MAX_HEADERS = 512
# Bytes of a header's line beside its name and value.
LINE_BYTES = 4
VERSIONS = frozenset({"1.0", "1.1"})


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Size of a head, and that of the body behind it, which is None for a body in chunks."""

    size: int
    body_bytes: int | None


def read_head(
    url: bytes, headers: Sequence[tuple[bytes, bytes]], version: str, limits: CallerLimits, skips_body: bool
) -> RequestHead | CallerRefusal:
    """Return what the head says, or its refusal; the parser itself refuses most that other readers could misread.

    The parser skips a body behind an offer of another protocol, which the application would miss.
    """
    size = hosts = codings = length = 0
    coding = None
    for name, value in headers:
        size += len(name) + len(value) + LINE_BYTES
        if name == b"host":
            hosts += 1
        elif name == b"content-length":
            # The parser refuses what is no number, and a second one.
            length = int(value)
        elif name == b"transfer-encoding":
            coding = value.lower()
            codings += 1
    if max(size, len(url)) > limits.header_bytes:
        return large_head(limits)
    if version not in VERSIONS:
        return _ambiguous("not an HTTP/1.1 request")
    if hosts > 1:
        return _ambiguous("more than one host")
    if coding is not None and (coding != b"chunked" or codings > 1 or version == "1.0"):
        return _ambiguous("a transfer coding other than chunked")
    if skips_body and (coding is not None or length):
        return _ambiguous("a body behind an offer of another protocol")
    if not url.startswith(b"/") or b"#" in url:
        return _ambiguous("not a path")
    if length > limits.body_bytes:
        return large_body(limits)
    return RequestHead(len(url) + size, None if coding else length)


def large_head(limits: CallerLimits) -> CallerRefusal:
    """Return the refusal of a head over the limit."""
    return CallerRefusal(431, f"the request head is larger than {limits.header_bytes} bytes", "headers")


def many_headers() -> CallerRefusal:
    """Return the refusal of a head with too many headers."""
    return CallerRefusal(431, f"the request has more than {MAX_HEADERS} headers", "headers")


def large_body(limits: CallerLimits) -> CallerRefusal:
    """Return the refusal of a body over the limit."""
    return CallerRefusal(413, f"the request body is larger than {limits.body_bytes} bytes", "body")


def _ambiguous(detail: str) -> CallerRefusal:
    return CallerRefusal(400, detail, "head")
