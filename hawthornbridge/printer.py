"""Output of the command-line tool: tables and sentences, or JSON."""

import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from hawthornbridge import operations_pb as pb

__all__ = ["TABLE_WIDTH", "ExitCode", "Printer", "UsageError", "cell", "fail"]

# Fixed, so that a table in a pipe or a log does not depend on the terminal.
TABLE_WIDTH = 160


class ExitCode(IntEnum):
    """Number the ways in which a command ends; docs/OPERATIONS.md lists them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    CAPACITY_SHORT = 5
    NOT_ACCEPTED = 6
    UNCERTAIN = 7
    QUORUM_MISSING = 8
    UNREACHABLE = 9
    UNAUTHENTICATED = 10
    ROLLED_BACK = 11
    SUPERSEDED = 12


class UsageError(Exception):
    """Report a command line, a file or an environment that cannot be used."""


class Printer:
    """Print results as tables and sentences, or as JSON."""

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json
        self._console = Console(
            width=None if sys.stdout.isatty() else TABLE_WIDTH, highlight=False, markup=False, emoji=False
        )

    def rows(self, rows: Sequence[dict[str, Any]]) -> None:
        """Print a list of entities with the same keys."""
        if self._as_json:
            self._json(rows)
            return
        table = Table(box=None, header_style="bold")
        for key in rows[0] if rows else ():
            table.add_column(key, overflow="fold")
        for row in rows:
            table.add_row(*(cell(value) for value in row.values()))
        self._console.print(table)

    def result(self, text: str, value: dict[str, Any], *, failed: bool = False) -> None:
        """Print one result; a failure's sentence goes to standard error."""
        if self._as_json:
            self._json(value)
        elif failed:
            print(f"hawthornbridgectl: {text}", file=sys.stderr)
        else:
            self._console.print(text, soft_wrap=True)

    def progress(self, progress: pb.WatchProgress) -> None:
        """Print how far a move is."""
        hosts = [_host_row(host) for host in progress.hosts]
        value: dict[str, Any] = {"state": progress.state.name.lower(), "reason": progress.reason, "hosts": hosts}
        if progress.has_field("share"):
            value["share"] = progress.share
        confirmed = sum(host.confirmed for host in progress.hosts)
        waiting = [host.host for host in progress.hosts if not host.confirmed]
        text = f"{value['state']}: {confirmed} of {len(hosts)} hosts confirmed"
        text += f", {sum(host.in_flight for host in progress.hosts)} in flight"
        if "share" in value:
            text += f", share {progress.share:g}"
        if waiting:
            text += f", waiting for {', '.join(waiting)}"
        if progress.reason:
            text += f" ({progress.reason})"
        self.result(text, value)

    def _json(self, value: object) -> None:
        print(msgspec.json.encode(value).decode(), flush=True)


def fail(code: ExitCode, reason: object) -> ExitCode:
    """Print why a command failed, and return its exit code."""
    print(f"hawthornbridgectl: {reason}", file=sys.stderr)
    return code


def _host_row(host: pb.HostMove) -> dict[str, Any]:
    return {
        "host": host.host,
        "generation": host.generation,
        "silent_s": round(host.silent_s, 3),
        "confirmed": host.confirmed,
        "in_flight": host.in_flight,
    }


def cell(value: Any) -> str:
    """Return a value as a table shows it."""
    match value:
        case None:
            return "-"
        case list():
            return " ".join(cell(item) for item in value)
        case dict():
            return ",".join(str(item) for item in value.values())
    return str(value)
