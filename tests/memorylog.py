"""A change log in memory that every host of a test shares."""

from hawthornbridge.model import fold
from tests.operatorfakes import FakeChangeLog, FakeHead


class MemoryLog(FakeChangeLog):
    """Start from some changes, and keep the entries accepted after them."""

    def __init__(self, changes):
        super().__init__(FakeHead(fold(changes)))

    @property
    def entries(self):
        return self.head.entries
