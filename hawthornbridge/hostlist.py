"""Membership source that reads the host list over HTTP/1.1 as JSON."""

import httpcore
import msgspec

from hawthornbridge.boundedbody import read_body
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.ids import HostId
from hawthornbridge.membership import HostListOutcome, HostListUnavailable, ListedHost, ListState
from hawthornbridge.registry import PluginKind, register

__all__ = ["HttpHostList"]

TIMEOUTS = {"timeout": {"connect": 1.0, "read": 2.0, "write": 1.0, "pool": 1.0}}
MAX_BODY_BYTES = 4_194_304


class _HostBody(msgspec.Struct):
    id: HostId
    peer_address: str
    caller_address: str
    state: ListState


class _HostsBody(msgspec.Struct):
    hosts: list[_HostBody]


@register(PluginKind.MEMBERSHIP_SOURCE, "http_json")
class HttpHostList:
    """Host list that is read with GET /v1/hosts."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/v1/hosts"

    async def hosts(self) -> HostListOutcome:
        """Return the hosts listed now."""
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream("GET", self._url, extensions=TIMEOUTS) as response,
            ):
                body = await read_body(response, MAX_BODY_BYTES)
                status = response.status
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return HostListUnavailable(str(error) or type(error).__name__)
        if status != 200:
            return HostListUnavailable(f"host list returned HTTP status {status}")
        try:
            decoded = msgspec.json.decode(body, type=_HostsBody)
        except DECODE_ERRORS as error:
            return HostListUnavailable(str(error))
        return [ListedHost(host.id, host.peer_address, host.caller_address, host.state) for host in decoded.hosts]
