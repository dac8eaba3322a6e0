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
    DAEMON_STOP_SHORTENED = 104
    DAEMON_REQUESTS_CUT = 105
    TASK_FAILED = 106
    SETTINGS_RELOADED = 107
    SETTINGS_REJECTED = 108
    SETTINGS_AWAITED = 109
    ADDRESS_AWAITED = 110

    # 200 to 299: callers and admission
    CALLER_REQUEST_FAILED = 201
    REQUEST_ENDED = 210
    REQUEST_NOT_ROUTED = 211

    # 300 to 399: searches
    SEARCH_RESTARTED = 301

    # 400 to 499: upstreams
    UPSTREAM_WITHOUT_QUOTA = 401
    LEAF_SEEN = 410
    LEAF_GONE = 411
    LEAF_UNREACHABLE = 412
    LEAF_MISDIRECTED = 413
    LEAF_ENTRY_OUTDATED = 414
    LEAF_LEAVING = 415
    LEAF_HELD = 416

    # 500 to 599: the store
    STORE_CIRCUIT_OPENED = 501
    STORE_CIRCUIT_CLOSED = 502
    STORE_LOST = 510
    STORE_REGAINED = 511
    STORE_HISTORY_GONE = 512
    RECORD_UNREADABLE = 513
    STORE_RETURNED = 514
    STORE_RETURN_SETTLED = 515
    STORE_WRITTEN_AGAIN = 516

    # 600 to 699: configuration
    CONFIGURATION_ADOPTED = 601
    CHANGE_PROPOSED = 602
    SERVING_CHANGED = 603
    STORE_BEHIND = 604
    CONFIGURATION_UNREADABLE = 605
    CONFIGURATION_COMPACTED = 606
    ROUTES_APPLIED = 610
    DOMAIN_EVACUATED = 611

    # 700 to 799: peers and membership
    PEER_LIVENESS_CHANGED = 701
    PEER_REPLACED = 702
    PEER_MESSAGE_REJECTED = 703
    SEAT_CONFLICT = 704
    HOST_LIST_UNAVAILABLE = 705
    HOST_ENTRY_LOST = 710
    HOST_LOAD_CHANGED = 711
    PEER_SNAPSHOT_TAKEN = 712

    # 800 to 849: operators' calls and moves of failure domains
    OPERATOR_CALL = 801
    OPERATOR_UNAUTHENTICATED = 802
    DOMAIN_MOVE_ACCEPTED = 810
    DRAIN_REFUSED = 811
    DRAIN_DONE = 812
    DRAIN_ROLLED_BACK = 813
    DRAIN_END_DELAYED = 814
    DRAIN_STALLED = 815

    # 850 to 899: rollouts
    ROLLOUT_CUT = 851
    ROLLOUT_MOVED = 852
    DECIDER_ELECTED = 853
    ROLLOUT_ORDERED = 854
    ROLLOUT_ORDER_WITHDRAWN = 855

    # 900 to 999: claims and executions
    CLAIM_UNSETTLED = 901
    CLAIM_OUTCOME_LOST = 902
    CLAIM_BUCKET_UNREADABLE = 903
    CLAIM_WINDOWS_DELETED = 904
    CLAIM_BUCKET_FULL = 905
    EXECUTION_UNKNOWN = 910
    EXECUTION_FAILED = 911


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its number and fields."""
    eliot.log_message(message_type=event.name.lower(), event=event.value, **fields)
