"""Selection of the entry addresses to hand out to callers."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hawthornbridge.ids import DomainName

__all__ = ["MemberView", "choose_addresses"]

# A host is suspect and then lost after this silence; heartbeats come every 0.5 s.
SUSPECT_AFTER_S = 1.5
LOST_AFTER_S = 3.0
# Share of its concurrency that a host may use before callers are sent elsewhere; above 1, requests wait.
OVERLOADED_ABOVE = 1.0
# A caller gets this many: two may be lost at once before it has to ask again.
MOST_ADDRESSES = 3


@dataclass(frozen=True, slots=True)
class MemberView:
    """Hold what one host knows of an entry host; load is the share of its concurrency in use."""

    address: str
    failure_domain: DomainName
    leaving: bool
    load: float
    silent_s: float


def choose_addresses(members: Sequence[MemberView], chance: random.Random, most: int = MOST_ADDRESSES) -> list[str]:
    """Choose live hosts that can take more, spread over failure domains, the first one with equal chance."""
    live = [member for member in members if member.silent_s < LOST_AFTER_S]
    staying = [member for member in live if not member.leaving]
    heard = [member for member in staying if member.silent_s < SUSPECT_AFTER_S]
    able = [member for member in heard if member.load <= OVERLOADED_ABOVE]
    # Any live host is better than an empty answer.
    candidates = able or heard or staying or live
    shuffled = chance.sample(candidates, len(candidates))
    chosen: list[str] = []
    taken: Counter[DomainName] = Counter()
    while shuffled and len(chosen) < most:
        member = min(shuffled, key=lambda each: taken[each.failure_domain])
        shuffled.remove(member)
        taken[member.failure_domain] += 1
        chosen.append(member.address)
    return chosen
