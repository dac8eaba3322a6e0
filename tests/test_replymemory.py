from hypothesis import given, strategies as st

from hawthornbridge.replymemory import MIN_COUNTED_BYTES, ReplyMemory


class Receiver:
    def __init__(self, memory):
        self._memory = memory
        self.failed = 0

    def fail_oversized(self, detail):
        self.failed += 1
        self._memory.release(self)


def test_the_largest_reply_fails_when_all_together_need_too_much():
    """Guards against one endless reply that ends the replies of sound servers."""
    memory = ReplyMemory(1_000_000)
    small, large = Receiver(memory), Receiver(memory)
    memory.record(small, 200_000)
    memory.record(large, 700_000)
    assert not large.failed
    memory.record(small, 400_000)
    assert (small.failed, large.failed) == (0, 1)
    assert memory.used_bytes == 400_000


def test_a_finished_reply_needs_no_memory_any_more():
    """Guards against an account that only grows, so that every large reply fails in the end."""
    memory = ReplyMemory(1_000_000)
    for _ in range(10):
        receiver = Receiver(memory)
        memory.record(receiver, 900_000)
        memory.release(receiver)
        assert not receiver.failed


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 400_000)), max_size=60))
def test_the_replies_in_progress_stay_within_the_limit(steps):
    """Guards against replies that are counted too low or twice."""
    memory = ReplyMemory(1_000_000)
    receivers = [Receiver(memory) for _ in range(6)]
    sizes = dict.fromkeys(receivers, 0)
    for index, grown in steps:
        receiver = receivers[index]
        if receiver.failed:
            continue
        sizes[receiver] += grown
        memory.record(receiver, sizes[receiver])
        assert memory.used_bytes <= 1_000_000
        counted = sum(size for each, size in sizes.items() if not each.failed and size >= MIN_COUNTED_BYTES)
        assert memory.used_bytes == counted
