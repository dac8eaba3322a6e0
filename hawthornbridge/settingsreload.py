"""Reload of the settings file while an entry host runs."""

import dataclasses
import os
from collections.abc import Callable
from pathlib import Path

import anyio

from hawthornbridge.entrysettings import EntrySettings
from hawthornbridge.events import Event, emit
from hawthornbridge.settings import SettingsError

__all__ = ["SettingsReload"]

# Interval of checks for a changed file, because the file may change without a signal.
CHECK_INTERVAL_S = 2.0
# Settings that only take effect after a restart.
RESTART_FIELDS = ("host", "domain", "domains", "capacity_cores", "addresses", "store", "usage", "shares_leaf_reports")


class SettingsReload:
    """Current settings; reads the file again when it has changed and reports the settings that can change at run time.

    The constructor raises SettingsError if the settings are invalid.
    """

    def __init__(self, path: Path, load: Callable[[Path], EntrySettings]) -> None:
        self._path = path
        self._load = load
        self._apply: Callable[[EntrySettings], None] = lambda settings: None
        # The signature is read before the file, so that a change in between is detected.
        self._signature = self._read_signature()
        self._current = load(path)

    @property
    def current(self) -> EntrySettings:
        """Return the current settings."""
        return self._current

    def on_change(self, apply: Callable[[EntrySettings], None]) -> None:
        """Set the function that is called with changed settings."""
        self._apply = apply

    async def run(self) -> None:
        """Check for changes until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._read_signature() != self._signature:
                self.reload()

    def reload(self) -> None:
        """Read the file; invalid settings are logged and ignored."""
        self._signature = self._read_signature()
        try:
            wanted = self._load(self._path)
        except SettingsError as error:
            emit(Event.SETTINGS_REJECTED, detail=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(EntrySettings)
            if getattr(wanted, field.name) != getattr(self._current, field.name)
        ]
        kept = {name: getattr(self._current, name) for name in RESTART_FIELDS}
        self._current = dataclasses.replace(wanted, **kept)
        emit(
            Event.SETTINGS_RELOADED,
            changed=[name for name in changed if name not in RESTART_FIELDS],
            needs_restart=[name for name in changed if name in RESTART_FIELDS],
        )
        self._apply(self._current)

    def _read_signature(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_ino, status.st_size
