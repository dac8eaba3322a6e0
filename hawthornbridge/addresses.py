"""Selection of the entry addresses that callers are given."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hawthornbridge.ids import DomainName

__all__ = ["MemberView", "choose_addresses"]

# A host is suspect, and later lost, after this time without a heartbeat; heartbeats come every 0.5 s.
SUSPECT_TIMEOUT_S = 1.5
LOST_TIMEOUT_S = 3.0
# Share of its concurrency above which a host is left out of the answers; above 1, requests wait in its queue.
MAX_LOAD = 1.0
# Two hosts may be lost at once before a caller with three addresses has to ask for new ones.
MAX_ADDRESSES = 3


@dataclass(frozen=True, slots=True)
class MemberView:
    """State of an entry host as another host knows it; load is the share of its concurrency in use."""

    address: str
    failure_domain: DomainName
    leaving: bool
    load: float
    silent_s: float


def choose_addresses(members: Sequence[MemberView], rng: random.Random, maximum: int = MAX_ADDRESSES) -> list[str]:
    """Choose live hosts with spare capacity in different failure domains; each is equally likely to come first."""
    live = [member for member in members if member.silent_s < LOST_TIMEOUT_S]
    staying = [member for member in live if not member.leaving]
    responsive = [member for member in staying if member.silent_s < SUSPECT_TIMEOUT_S]
    unloaded = [member for member in responsive if member.load <= MAX_LOAD]
    # An empty answer would leave the caller without any host, so hosts that are less fit are a fallback.
    candidates = unloaded or responsive or staying or live
    shuffled = rng.sample(candidates, len(candidates))
    chosen: list[str] = []
    taken: Counter[DomainName] = Counter()
    while shuffled and len(chosen) < maximum:
        member = min(shuffled, key=lambda each: taken[each.failure_domain])
        shuffled.remove(member)
        taken[member.failure_domain] += 1
        chosen.append(member.address)
    return chosen
