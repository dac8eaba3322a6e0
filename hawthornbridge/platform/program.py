"""Entry daemon of the users' platform: command line, settings and components."""

import gc
import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio

from hawthornbridge import logoutput
from hawthornbridge.entryhost import EntryHost
from hawthornbridge.events import Event, emit
from hawthornbridge.platform.apps import platform_app
from hawthornbridge.platform.decoding import STORE_FORMAT
from hawthornbridge.platform.headers import HEADERS
from hawthornbridge.platform.settings import SETTINGS_VARIABLE, load
from hawthornbridge.platform.store import MetadataStore
from hawthornbridge.platform.usageapi import UsageApi
from hawthornbridge.settings import SettingsError
from hawthornbridge.settingsreload import SettingsReload

__all__ = ["run"]

SETTINGS_RETRY_INTERVAL_S = 0.1


async def _serve(reload: SettingsReload) -> None:
    settings = reload.current
    async with anyio.create_task_group() as tasks:
        store = MetadataStore(settings.store)
        sender = None if settings.usage is None else UsageApi(settings.usage.address)
        host = EntryHost(settings, store, HEADERS, STORE_FORMAT, tasks, reload, sender)
        app = platform_app(
            settings.addresses,
            host.gateway,
            host.peer_app,
            host.directory,
            host.is_ready,
            lambda: host.address_validity_s,
            host.metrics,
        )
        await host.run(app)
        tasks.cancel_scope.cancel()


def _file_to_check() -> Path | None:
    """Return the settings file given with --check, or None."""
    if len(sys.argv) == 1:
        return None
    # Imported here because a serving daemon does not need it, and memory is scarce on entry hosts.
    import cappa

    @dataclass
    class Command:
        """Run the entry daemon of the platform with the settings file that the environment names."""

        check: Annotated[Path | None, cappa.Arg(long=True, help="Only check this settings file.")] = None

    return cappa.parse(Command).check


def _check(path: Path) -> None:
    try:
        settings = load(path)
    except SettingsError as error:
        sys.exit(str(error))
    print(f"{path}: settings are valid for {settings.host}")


def _await_settings(path: Path) -> SettingsReload:
    """Read the settings; read a file that can't be used again, because it may be written at this moment."""
    reported = ""
    while True:
        try:
            return SettingsReload(path, load)
        except SettingsError as error:
            detail = str(error)
        if detail != reported:
            emit(Event.SETTINGS_AWAITED, detail=detail)
            reported = detail
        time.sleep(SETTINGS_RETRY_INTERVAL_S)


def run() -> None:
    """Read the settings and run until stopped, or only check the settings."""
    checked = _file_to_check()
    path = checked or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE} names no settings file")
    if checked is not None:
        _check(checked)
        return
    output = logoutput.write_to_standard_output()
    reload = _await_settings(Path(path))
    output.host = reload.current.host
    gc.freeze()
    anyio.run(_serve, reload)
