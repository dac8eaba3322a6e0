"""ASGI application that dispatches requests by the port on which they arrive."""

from collections.abc import Callable

import msgspec

from hawthornbridge.callers import ASGIApp, Receive, Scope, Send
from hawthornbridge.directory import Directory
from hawthornbridge.entrysettings import EntryAddresses
from hawthornbridge.gateway import send_answer
from hawthornbridge.metricspage import MetricsPage

__all__ = ["METRICS_PORT", "platform_app"]

# Has to match deploy/system.toml.
METRICS_PORT = 9464


def platform_app(
    addresses: EntryAddresses,
    gateway: ASGIApp,
    snapshots: ASGIApp,
    directory: Directory,
    is_ready: Callable[[], bool],
    address_validity_s: Callable[[], float],
    metrics: MetricsPage,
) -> ASGIApp:
    """Return the application of all listeners; the port of a request determines which paths it may use."""
    front_port, ready_port, directory_port, peer_port = (
        int(address.rpartition(":")[2])
        for address in (addresses.callers, addresses.ready, addresses.directory, addresses.peers)
    )

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        port = scope["server"][1]
        if port == front_port:
            await gateway(scope, receive, send)
        elif port == ready_port and scope["path"] == "/ready":
            await send_answer(send, 200 if is_ready() else 503, [], b"")
        elif port == directory_port and scope["path"] == "/resolve":
            names = directory.addresses()
            body = msgspec.json.encode({"addrs": names, "ttl_s": address_validity_s()})
            await send_answer(send, 200 if names else 503, [(b"content-type", b"application/json")], body)
        elif port == peer_port:
            await snapshots(scope, receive, send)
        elif port == METRICS_PORT and scope["path"] == "/metrics":
            page = metrics.read()
            await send_answer(send, 200, [(b"content-type", page.content_type.encode())], page.body)
        else:
            await send_answer(send, 404, [], b"")

    return app
