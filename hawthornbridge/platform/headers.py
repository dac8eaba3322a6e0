"""Names of the platform's HTTP headers."""

from hawthornbridge.headernames import HeaderNames

__all__ = ["HEADERS", "STORE_ERA"]

# The store raises it by one each time it returns from an older copy.
STORE_ERA = b"store-era"

HEADERS = HeaderNames(
    request_id=b"hawthornbridge-attempt-id",
    deadline_ms=b"hawthornbridge-deadline-ms",
    stamp=b"hawthornbridge-server-stamp",
    expected_leaf=b"hawthornbridge-expect-instance",
    not_run=b"hawthornbridge-not-executed",
    part_stamps=b"hawthornbridge-part-stamps",
    missing_parts=b"hawthornbridge-missing-parts",
    leaving=b"server-leaving",
    retry_after=b"retry-after",
    team=b"hawthornbridge-tenant",
)
