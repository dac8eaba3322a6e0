"""Numbered log events, written through eliot."""

from enum import Enum
from typing import Any

import eliot

__all__ = ["Event", "emit"]


class Event(Enum):
    """Number each kind of log event; docs/events.md lists them."""

    # 100 to 199: the life of the daemon
    DAEMON_STARTED = 101
    DAEMON_STOPPING = 102
    DAEMON_STOPPED = 103

    # 300 to 399: upstreams
    UPSTREAM_WITHOUT_QUOTA = 301


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its number and fields."""
    eliot.log_message(message_type=event.name.lower(), event=event.value, **fields)
