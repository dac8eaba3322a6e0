"""The daemon: wires the parts of one host together and runs them."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import uvicorn

# Imported for their registration as plug-ins.
from hawthornbridge import callers, leafhttp, replicas  # noqa: F401
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import RequestId
from hawthornbridge.model import Catalogue
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.registry import Kind, lookup
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.search import Searcher
from hawthornbridge.settings import Settings, SettingsError, load
from hawthornbridge.upstreams import UpstreamState, UpstreamTable

__all__ = ["Daemon", "main"]


class Daemon:
    """Run one host: its listeners, its upstream connections and its control tasks."""

    def __init__(self, settings: Settings, catalogue: Catalogue) -> None:
        self._settings = settings
        self._catalogue = catalogue
        plugins = settings.plugins
        protocol = lookup(Kind.UPSTREAM_PROTOCOL, plugins.upstream_protocol)()
        choice = lookup(Kind.REPLICA_CHOICE, plugins.replica_choice)
        self._table = UpstreamTable(protocol, choice, settings.host.seats)
        limits = settings.limits
        hedging = lookup(Kind.HEDGING, plugins.hedging)(limits.hedge_share, limits.retry_share)
        self._searcher = Searcher(_Upstreams(self._table), lambda: self._catalogue, hedging)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        interface = lookup(Kind.CALLER_INTERFACE, self._settings.plugins.caller_interface)
        app = interface(self, self._settings.limits, self._settings.address_valid_ms)
        server = _http_server(app, self._settings.listeners.callers)
        async with anyio.create_task_group() as tasks:
            self._table.apply(self._catalogue, tasks)
            tasks.start_soon(self._searcher.run)
            tasks.start_soon(server.serve)
            while not server.started:
                await anyio.sleep(0.01)
            emit(Event.DAEMON_STARTED, host=self._settings.host.id)
            task_status.started()

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search."""
        return await self._searcher.search(request)

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Refuse a non-idempotent request: the store is not connected yet."""
        return Refusal(RefusalKind.STORE_UNAVAILABLE, Execution.NOT_RUN, "no store")

    def addresses(self) -> list[str]:
        """Return the entry addresses that callers should use."""
        return [self._settings.listeners.callers]


class _Upstreams:
    """Adapt the table of upstreams to the calls of the search coordinator."""

    def __init__(self, table: UpstreamTable) -> None:
        self.usable = table.usable
        self.choose = table.choose
        self.choose_hedge = table.choose_hedge
        self.search = table.search

    async def cancel(self, replica: UpstreamState, request_id: RequestId) -> None:
        """Tell an upstream that nobody waits for a request any more."""
        replica.connections.cancel(request_id)


def _http_server(app: object, address: str) -> uvicorn.Server:
    host, _, port = address.partition(":")
    config = uvicorn.Config(
        app,  # type: ignore[arg-type]
        host=host,
        port=int(port),
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
    )
    return uvicorn.Server(config)


@dataclass
class Command:
    """Run a hawthornbridge host."""

    settings: Annotated[Path | None, cappa.Arg(long=True, help="Settings file to run with.")] = None
    check: Annotated[Path | None, cappa.Arg(long=True, help="Only check this settings file.")] = None


def main() -> None:
    """Run the daemon, or check its settings."""
    command = cappa.parse(Command)
    path = command.check or command.settings
    if path is None:
        sys.exit("hawthornbridged: give --settings FILE or --check FILE")
    try:
        settings = load(path)
    except SettingsError as error:
        sys.exit(f"hawthornbridged: {error}")
    if command.check is not None:
        print(f"{path}: settings are valid")
        return
    anyio.run(Daemon(settings, Catalogue()).run)


if __name__ == "__main__":
    main()
