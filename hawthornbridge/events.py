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

    # 600 to 699: configuration
    CONFIGURATION_ADOPTED = 601
    CHANGE_PROPOSED = 602
    SERVING_CHANGED = 603
    STORE_BEHIND = 604
    CONFIGURATION_UNREADABLE = 605
    CONFIGURATION_COMPACTED = 606

    # 700 to 799: peers and membership
    PEER_LIVENESS_CHANGED = 701
    PEER_REPLACED = 702
    PEER_MESSAGE_REJECTED = 703
    SEAT_CONFLICT = 704
    HOST_LIST_UNAVAILABLE = 705

    # 850 to 899: rollouts
    ROLLOUT_CUT = 851
    ROLLOUT_MOVED = 852
    DECIDER_ELECTED = 853


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its number and fields."""
    eliot.log_message(message_type=event.name.lower(), event=event.value, **fields)
