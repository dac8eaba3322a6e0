"""Commands that read log files and need no host."""

from collections.abc import Iterable
from pathlib import Path
from typing import assert_never

import msgspec

from hawthornbridge.changeparsing import read_text
from hawthornbridge.commands import Explain, Summary
from hawthornbridge.explanations import explain
from hawthornbridge.printer import ExitCode, Printer, cell, fail
from hawthornbridge.summaries import summarize

__all__ = ["run_log_command"]


def run_log_command(command: Explain | Summary, printer: Printer) -> ExitCode:
    """Run a command and return its exit code."""
    match command:
        case Explain():
            return _explain(command, printer)
        case Summary():
            return _summary(command, printer)
        case _:
            assert_never(command)


def _explain(command: Explain, printer: Printer) -> ExitCode:
    explanation = explain(_lines(command.files), command.request_id)
    if explanation is None:
        return fail(ExitCode.FAILED, f"no line names request {command.request_id}")
    for event in explanation.events:
        fields = " ".join(f"{name}={cell(value)}" for name, value in event.fields.items() if value not in (None, []))
        text = f"{event.time_s:.3f} {event.host} {event.number} {event.name} {fields}"
        printer.result(text, msgspec.to_builtins(event))
    summary = {"cause": explanation.cause, "unreadable_lines": explanation.unreadable}
    printer.result(f"cause: {explanation.cause}\nunreadable lines: {explanation.unreadable}", summary)
    return ExitCode.OK


def _summary(command: Summary, printer: Printer) -> ExitCode:
    summary = summarize(_lines(command.files), every_s=command.every_s)
    if not summary.rows:
        return fail(ExitCode.FAILED, "no line tells how a request ended")
    printer.rows(summary.table())
    notes = {"requests": summary.requests, "unlogged": summary.unlogged, "unreadable_lines": summary.unreadable}
    printer.result("\n".join(f"{name.replace('_', ' ')}: {count}" for name, count in notes.items()), notes)
    return ExitCode.OK


def _lines(files: Iterable[Path]) -> list[str]:
    return [line for path in files for line in read_text(str(path)).splitlines()]
