"""The daemon, which runs one host and its listeners."""

import gc
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

# Imported for their registration as plug-ins.
from hawthornbridge import admission, hedging, hostlist, leafhttp, operators, replicas, storehttp  # noqa: F401
from hawthornbridge.callers import ASGIApp
from hawthornbridge.events import Event, emit
from hawthornbridge.host import Host
from hawthornbridge.listeners import Listener
from hawthornbridge.metrics import ProbeApp
from hawthornbridge.registry import PluginKind, lookup
from hawthornbridge.settings import Settings, SettingsError, load
from hawthornbridge.stopping import Stop

__all__ = ["Daemon", "main", "run_until_stopped"]

# Maximum time that a stop waits for the outcomes of executions to be recorded.
SETTLE_TIMEOUT_S = 5.0
SETTLE_POLL_INTERVAL_S = 0.05
# The previous process of a host may still have its addresses for a moment.
ADDRESS_WAIT_S = 5.0
# Connections and tables are set up after this time and are then frozen. Without the freeze, each garbage collection of
# the oldest generation examined all of them and stopped the event loop of a daemon for 30 to 50 ms.
FREEZE_DELAY_S = 10.0


class Daemon:
    """Run one host and its listeners until a planned stop is complete."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._stop = Stop(settings.address_valid_ms / 1_000)
        self._started = anyio.Event()
        self._stopped = anyio.Event()

    @property
    def leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stop.leaving

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until a planned stop is complete."""
        settings = self._settings
        async with anyio.create_task_group() as tasks:
            host = Host(settings, tasks)
            tasks.start_soon(host.run)
            tasks.start_soon(_freeze_long_lived_objects)
            entry = Listener(self._caller_app(host), settings.listeners.callers, settings.limits, ADDRESS_WAIT_S)
            operators = Listener(
                self._operator_app(host), settings.listeners.operators, settings.limits, ADDRESS_WAIT_S
            )
            await tasks.start(operators.run)
            await tasks.start(entry.run)
            emit(Event.DAEMON_STARTED, host=settings.host.id)
            self._started.set()
            task_status.started()

            def leave() -> None:
                host.leave()
                entry.close_after_answers()

            cut = await self._stop.run(entry, leave=leave)
            await self._settle(host)
            # Operators may watch the stop until its end.
            await operators.drain()
            tasks.cancel_scope.cancel()
        emit(Event.DAEMON_STOPPED, host=settings.host.id, cut=cut)
        self._stopped.set()

    def stop(self) -> None:
        """Begin a planned stop, or shorten it if it has begun."""
        self._stop.request_stop()

    async def wait_started(self) -> None:
        """Return once every listener is open."""
        await self._started.wait()

    async def wait_stopped(self) -> None:
        """Return once a planned stop is complete."""
        await self._stopped.wait()

    def _caller_app(self, host: Host) -> ASGIApp:
        interface = lookup(PluginKind.CALLER_INTERFACE, self._settings.plugins.caller_interface)
        app: ASGIApp = interface(host, self._settings.limits, self._settings.address_valid_ms)
        return app

    def _operator_app(self, host: Host) -> ASGIApp:
        interface = lookup(PluginKind.OPERATOR_INTERFACE, self._settings.plugins.operator_interface)
        probes = ProbeApp(host.metrics, host.ready)
        app: ASGIApp = interface(host.operations, self._settings.tokens.operators, self._settings.limits, probes)
        return app

    async def _settle(self, host: Host) -> None:
        # An outcome that is not recorded would be unknown to callers that repeat the key at another host.
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while not host.idle:
                await anyio.sleep(SETTLE_POLL_INTERVAL_S)


async def _freeze_long_lived_objects() -> None:
    await anyio.sleep(FREEZE_DELAY_S)
    gc.collect()
    gc.freeze()


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
    anyio.run(run_until_stopped, Daemon(settings))


if __name__ == "__main__":
    main()
