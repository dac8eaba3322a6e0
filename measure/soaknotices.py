"""Checks of the fault soak on what leaves say of themselves: that they leave, or want no requests for some time."""

from collections.abc import Iterator, Sequence

from measure.soakcallers import Callers
from standins.platformleaf import PlatformLeaf, Refusal

__all__ = ["requests_after_leaving", "requests_in_wait"]

# After a leaf has asked for a time without requests, those on their way may cross its answer for this time.
CROSSING_TIME_S = 0.5
# Requests of one host to a leaf that the platform allows between that time and the end of the leaf's wait.
MAX_REQUESTS_IN_WAIT = 2


def requests_after_leaving(leaf: PlatformLeaf, from_s: float, limit_s: float, callers: Callers) -> Iterator[str]:
    """Yield the ids of requests that reached a leaf although their host had known for limit_s that it leaves.

    A host knows once it has passed on an answer that says so, until it is started or paused.
    """
    for arrival in leaf.arrivals:
        if arrival.at_s < from_s or arrival.request_id not in callers.sent:
            continue
        host, sent_s = callers.sent[arrival.request_id]
        told_s = callers.told_leaving_s.get((host.number, leaf.id))
        if told_s is not None and sent_s > told_s + limit_s and host.is_undisturbed(told_s, sent_s):
            yield arrival.request_id


def requests_in_wait(
    leaf: PlatformLeaf, callers: Callers, link_faults: Sequence[tuple[float, float]]
) -> Iterator[str]:
    """Yield a description for each wait of a leaf in which a host sent it more requests than allowed.

    A fault of the link to the leaf, given by its start and end, may have kept the refusal from the host.
    """
    arrivals: dict[int, list[float]] = {}
    for arrival in leaf.arrivals:
        if arrival.request_id in callers.sent:
            arrivals.setdefault(callers.sent[arrival.request_id][0].number, []).append(arrival.at_s)
    for refusal in leaf.refused:
        if not refusal.wait_s or refusal.request_id not in callers.sent:
            continue
        host = callers.sent[refusal.request_id][0]
        end_s = refusal.at_s + refusal.wait_s
        if not host.is_undisturbed(refusal.at_s - CROSSING_TIME_S, end_s) or _overlaps(link_faults, refusal, end_s):
            continue
        count = sum(refusal.at_s + CROSSING_TIME_S < at_s < end_s for at_s in arrivals.get(host.number, ()))
        if count > MAX_REQUESTS_IN_WAIT:
            yield f"{leaf.id} got {count} requests of n{host.number} in the wait after {refusal.request_id}"


def _overlaps(link_faults: Sequence[tuple[float, float]], refusal: Refusal, end_s: float) -> bool:
    return any(start_s <= end_s and refusal.at_s <= stop_s for start_s, stop_s in link_faults)
