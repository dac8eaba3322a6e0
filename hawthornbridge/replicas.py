"""Policies that choose one replica of a shard."""

import random
from typing import TYPE_CHECKING

from hawthornbridge.registry import PluginKind, register

if TYPE_CHECKING:
    from hawthornbridge.upstreamstate import UpstreamState

__all__ = ["choose_at_random", "choose_of_two", "choose_of_two_reported"]


@register(PluginKind.REPLICA_CHOICE, "random")
def choose_at_random(candidates: "list[UpstreamState]") -> "UpstreamState":
    """Choose a replica at random; the naive baseline."""
    return random.choice(candidates)


@register(PluginKind.REPLICA_CHOICE, "two_choices")
def choose_of_two(candidates: "list[UpstreamState]") -> "UpstreamState":
    """Draw two replicas and choose the one with fewer requests in flight from this host."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if first.in_flight <= second.in_flight else second


@register(PluginKind.REPLICA_CHOICE, "two_choices_reported")
def choose_of_two_reported(candidates: "list[UpstreamState]") -> "UpstreamState":
    """Draw two replicas and choose the one with the lower load per slot, by its replies and this host's requests."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if first.load <= second.load else second
