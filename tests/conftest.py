"""Fixtures shared by the tests."""

import pytest
import trio.testing
from hypothesis import settings

from standins import ports

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("ci")


@pytest.fixture
def anyio_backend():
    """Run async tests on trio with a virtual clock; tests with real sockets override this."""
    return "trio", {"clock": trio.testing.MockClock(autojump_threshold=0)}


@pytest.fixture
def free_port():
    """Return a function that finds a free loopback port."""
    return ports.free_port
