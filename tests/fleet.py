"""Fakes shared by tests of several modules."""

import anyio

from hawthornbridge.acceptance import Acceptance, ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeNotAccepted
from hawthornbridge.ids import Generation, OperationId
from hawthornbridge.model import Change, ChangeRejectedError, Entry, PutRollout, fold

__all__ = ["MemoryLog"]


class MemoryLog:
    """Accept changes in memory, as one log that every host shares."""

    def __init__(self, changes: list[Change]) -> None:
        self.catalogue = fold(changes)
        self.entries: list[Entry] = []
        self.available = True

    async def propose(
        self, change: Change, expected: Generation, operation_id: OperationId, *, force: bool = False
    ) -> Acceptance:
        """Accept a change to a rollout that is at the expected generation."""
        await anyio.sleep(0.003)
        if not self.available:
            return ChangeNotAccepted("store down")
        assert isinstance(change, PutRollout)
        current = self.catalogue.rollouts.get(change.rollout.service)
        generation = current.generation if current else Generation(0)
        if generation != expected:
            return ChangeConflict(generation, None)
        entry = Entry(Generation(self.catalogue.generation + 1), operation_id, change)
        try:
            self.catalogue = self.catalogue.apply(entry)
        except ChangeRejectedError as error:
            return ChangeInvalid(error.field, error.detail)
        self.entries.append(entry)
        return ChangeAccepted(entry.generation, repeated=False, forced=False)
