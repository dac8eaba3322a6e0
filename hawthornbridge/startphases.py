"""Phases of a daemon's start, each logged once when it is reached."""

import time
from collections.abc import Callable
from enum import Enum

from hawthornbridge.events import Event, emit

__all__ = ["StartPhase", "StartPhases"]


class StartPhase(Enum):
    """What a start reaches before callers are answered, in the usual order."""

    LISTENING = "listening"
    HOSTS_EXPECTED = "hosts_expected"
    FIRST_COPY = "first_copy"
    CONFIGURED = "configured"
    FIRST_LEAF_REPLY = "first_leaf_reply"


class StartPhases:
    """Log each phase with the time and the processor time since the components were created."""

    def __init__(self, clock: Callable[[], float], processor_time: Callable[[], float] = time.process_time) -> None:
        self._clock = clock
        self._processor_time = processor_time
        self._created_s = clock()
        self._processor_s = processor_time()
        self._reached: set[StartPhase] = set()

    def reach(self, phase: StartPhase) -> None:
        """Log that a phase is reached, unless it has been before."""
        if phase in self._reached:
            return
        self._reached.add(phase)
        emit(
            Event.START_PHASE_REACHED,
            phase=phase.value,
            elapsed_ms=round((self._clock() - self._created_s) * 1_000, 1),
            processor_ms=round((self._processor_time() - self._processor_s) * 1_000, 1),
        )
