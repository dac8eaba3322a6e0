"""Client of the platform's API for usage reports."""

from collections.abc import Callable

import msgspec

from hawthornbridge.httpconnection import Reply, connect
from hawthornbridge.subrequests import UpstreamFailure
from hawthornbridge.usagereports import ReportOutcome, UsageReport

__all__ = ["UsageApi"]

CONNECT_TIMEOUT_S = 0.7
CALL_TIMEOUT_S = 2.0
STATUS_TIMEOUT = 408
STATUS_LIMITED = 429


class UsageApi:
    """Client that opens a connection for each call; closing it also discards what the kernel has not sent yet."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.calls = 0

    async def send(self, report: UsageReport, left_s: Callable[[], float]) -> ReportOutcome:
        """Send a report, unless the sender may no longer act; a call ends before left_s does."""
        connection = await connect(self._address, CONNECT_TIMEOUT_S)
        if isinstance(connection, UpstreamFailure):
            return ReportOutcome(is_accepted=False, detail=connection.detail)
        try:
            request = self._render(report)
            timeout_s = min(CALL_TIMEOUT_S, left_s())
            if timeout_s <= 0:
                return ReportOutcome(is_accepted=False, detail="the lease ended before the report was sent")
            self.calls += 1
            outcome = await connection.exchange(request, timeout_s)
        finally:
            connection.close()
        match outcome:
            case UpstreamFailure(detail=detail):
                return ReportOutcome(is_accepted=False, detail=detail)
            case Reply(status=200):
                return ReportOutcome(is_accepted=True)
            case Reply(status=status):
                is_final = 400 <= status < 500 and status not in (STATUS_TIMEOUT, STATUS_LIMITED)
                return ReportOutcome(is_accepted=False, is_refused=is_final, detail=f"status {status}")

    def _render(self, report: UsageReport) -> bytes:
        body = msgspec.json.encode({"window": report.window, "counts": report.counts})
        head = (
            "POST /usage HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            f"Hawthornbridge-Duty-Holder: {report.holder}\r\n"
            f"Hawthornbridge-Fencing-Token: {report.token}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + body
