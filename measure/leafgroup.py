"""A group of stand-in leaves that run in one process."""

from typing import Any

from measure.deployments import LeafSpec
from standins.leaf import Leaf

__all__ = ["LeafGroup"]


class LeafGroup:
    """Group of stand-in leaves, controlled by their ids; ids of other groups are ignored."""

    def __init__(self) -> None:
        self._leaves: dict[str, Leaf] = {}
        self._ports: dict[str, int] = {}

    async def start(self, specs: list[LeafSpec], snapshots: dict[int, str]) -> dict[str, str]:
        """Start leaves and return their addresses."""
        for number, spec in enumerate(specs, len(self._leaves)):
            leaf = Leaf(
                shard=spec.shard,
                version=spec.version,
                slots=spec.slots,
                connections=spec.connections,
                service_ms=spec.service_ms,
                connect_cost_ms=spec.connect_ms,
                snapshots=dict(snapshots),
                # With equal seeds, the replicas of a shard would be slow for the same requests.
                seed=number,
            )
            await leaf.start()
            self._leaves[spec.id] = leaf
            self._ports[spec.id] = leaf.server.port
        return {spec.id: self._leaves[spec.id].server.address for spec in specs}

    async def set_fault(self, ids: list[str], field: str, value: Any) -> None:
        """Set one fault of these leaves."""
        for leaf in self._chosen(ids):
            setattr(leaf.faults, field, value)

    async def set_leaf(self, ids: list[str], field: str, value: Any) -> None:
        """Set one field of these leaves."""
        for leaf in self._chosen(ids):
            setattr(leaf, field, value)

    async def stop(self, ids: list[str]) -> None:
        """Stop these leaves and reset their connections."""
        for leaf in self._chosen(ids):
            await leaf.stop()

    async def restart(self, ids: list[str], warm_after: int) -> None:
        """Start these leaves again on their ports; they are cold until they have served some requests."""
        for leaf_id in ids:
            if leaf_id in self._leaves:
                self._leaves[leaf_id].turn_cold(warm_after)
                await self._leaves[leaf_id].start(self._ports[leaf_id])

    async def turn_cold(self, ids: list[str], warm_after: int) -> None:
        """Make these leaves cold; their connections stay open."""
        for leaf in self._chosen(ids):
            leaf.turn_cold(warm_after)

    async def counters(self) -> dict[str, dict[str, int]]:
        """Return the counters of each leaf."""
        return {
            leaf_id: {
                "received": leaf.received,
                "served": leaf.served,
                "most_in_flight": leaf.most_in_flight,
                "most_cold_in_flight": leaf.most_cold_in_flight,
                "cold_collapses": leaf.cold_collapses,
                "most_connections": leaf.server.most_connections,
                "refused_connections": leaf.server.refused_connections,
            }
            for leaf_id, leaf in self._leaves.items()
        }

    async def executions(self) -> dict[str, int]:
        """Return the number of executions of each idempotency key over all leaves."""
        total: dict[str, int] = {}
        for leaf in self._leaves.values():
            for key, count in leaf.executed.items():
                total[key] = total.get(key, 0) + count
        return total

    def _chosen(self, ids: list[str]) -> list[Leaf]:
        return [self._leaves[leaf_id] for leaf_id in ids if leaf_id in self._leaves]
