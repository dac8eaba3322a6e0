"""Entry daemon of the users' platform: command line, settings and components."""

import gc
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio

from hawthornbridge import logoutput
from hawthornbridge.entryhost import EntryHost
from hawthornbridge.platform.apps import platform_app
from hawthornbridge.platform.decoding import STORE_FORMAT
from hawthornbridge.platform.headers import HEADERS
from hawthornbridge.platform.settings import SETTINGS_VARIABLE, load
from hawthornbridge.platform.store import MetadataStore
from hawthornbridge.settings import SettingsError
from hawthornbridge.settingsreload import SettingsReload

__all__ = ["run"]


async def _serve(reload: SettingsReload) -> None:
    settings = reload.current
    async with anyio.create_task_group() as tasks:
        store = MetadataStore(settings.store)
        host = EntryHost(settings, store, HEADERS, STORE_FORMAT, tasks, reload)
        app = platform_app(
            settings.addresses,
            host.gateway,
            host.snapshots,
            host.directory,
            host.is_ready,
            lambda: host.address_validity_s,
            host.registry,
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


def run() -> None:
    """Read the settings and run until stopped, or only check the settings."""
    checked = _file_to_check()
    path = checked or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE} names no settings file")
    try:
        reload = SettingsReload(Path(path), load)
    except SettingsError as error:
        sys.exit(str(error))
    if checked is not None:
        print(f"{checked}: settings are valid for {reload.current.host}")
        return
    logoutput.write_to_standard_output().host = reload.current.host
    gc.freeze()
    anyio.run(_serve, reload)
