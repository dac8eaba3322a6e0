"""The daemon: wires the parts of one host together and runs them."""

import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

# Imported for their registration as plug-ins.
from hawthornbridge import admission, callers, hedging, leafhttp, replicas  # noqa: F401
from hawthornbridge.addresses import MemberView, choose_addresses
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import ServiceName
from hawthornbridge.listeners import Listener
from hawthornbridge.metrics import Metrics, ProbeApp
from hawthornbridge.model import Catalogue
from hawthornbridge.outcomes import Refusal
from hawthornbridge.queries import QueryPath
from hawthornbridge.registry import Kind, lookup
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.search import Searcher
from hawthornbridge.settings import Settings, SettingsError, load
from hawthornbridge.stopping import Stop
from hawthornbridge.upstreams import UpstreamTable

__all__ = ["Daemon", "main", "run_until_stopped"]


class Daemon:
    """Run one host: its listeners, its upstream connections and its control tasks."""

    def __init__(self, settings: Settings, catalogue: Catalogue) -> None:
        self._settings = settings
        self._catalogue = catalogue
        plugins, limits = settings.plugins, settings.limits
        protocol = lookup(Kind.UPSTREAM_PROTOCOL, plugins.upstream_protocol)()
        choice = lookup(Kind.REPLICA_CHOICE, plugins.replica_choice)
        self._metrics = Metrics()
        self._table = UpstreamTable(protocol, choice, settings.host.seats)
        hedge_policy = lookup(Kind.HEDGING, plugins.hedging)(limits.hedge_share, limits.retry_share)
        searcher = Searcher(self._table, self._present, hedge_policy, metrics=self._metrics)
        self._admission = lookup(Kind.ADMISSION, plugins.admission)(limits.concurrent_queries)
        self._queries = QueryPath(self._present, self._admission, searcher, self._metrics)
        self._stop = Stop(settings.address_valid_ms / 1_000)
        self._random = random.Random()
        self._serving = False

    @property
    def serving(self) -> bool:
        """Return whether callers may connect."""
        return self._serving

    @property
    def leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stop.leaving

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until a planned stop is complete."""
        settings = self._settings
        interface = lookup(Kind.CALLER_INTERFACE, settings.plugins.caller_interface)
        callers_app = interface(self, settings.limits, settings.address_valid_ms)
        entry = Listener(callers_app, settings.listeners.callers, settings.limits)
        probes = ProbeApp(self._metrics, lambda: self.serving and not self.leaving)
        operators = Listener(probes, settings.listeners.operators, settings.limits)
        async with anyio.create_task_group() as tasks:
            self._table.apply(self._catalogue, tasks)
            await tasks.start(operators.run)
            await tasks.start(entry.run)
            emit(Event.DAEMON_STARTED, host=settings.host.id)
            self._serving = True
            task_status.started()
            cut = await self._stop.run(entry, leave=entry.close_after_answers)
            # Operators may watch the stop until its end.
            await operators.drain()
            tasks.cancel_scope.cancel()
        emit(Event.DAEMON_STOPPED, host=settings.host.id, cut=cut)

    def stop(self) -> None:
        """Begin a planned stop, or shorten it if it has begun."""
        self._stop.ask()

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search."""
        return await self._queries.search(request)

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a non-idempotent request at most once."""
        return await self._queries.execute(request)

    def deadline_ms(self, service: ServiceName) -> int:
        """Return the deadline of requests to a service that name none."""
        return self._queries.deadline_ms(service)

    def addresses(self) -> list[str]:
        """Return the entry addresses that callers should use."""
        host = self._settings.host
        address = self._settings.listeners.callers
        own = MemberView(address, host.failure_domain, self.leaving, self._admission.load, 0.0)
        # An answer given while leaving would be valid beyond the stop, so not even the last resort applies here.
        return [] if self.leaving else choose_addresses([own], self._random)

    def _present(self) -> Catalogue:
        return self._catalogue


async def run_until_stopped(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT has stopped it; a second signal shortens the stop."""
    async with anyio.create_task_group() as tasks:

        async def watch_signals(*, task_status: anyio.abc.TaskStatus[None]) -> None:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                task_status.started()
                async for _ in signals:
                    daemon.stop()

        await tasks.start(watch_signals)
        await daemon.run()
        tasks.cancel_scope.cancel()


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
    anyio.run(run_until_stopped, Daemon(settings, Catalogue()))


if __name__ == "__main__":
    main()
