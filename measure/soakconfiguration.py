"""Configuration that the fault soak writes as the operator."""

from collections.abc import Iterable, Sequence
from typing import Any

from measure.soakcallers import ORDERS, TOP

__all__ = ["configuration"]

# Limits on callers in the configuration; the ordinary ones stay far inside.
CALLER_LIMITS = {
    "max_header_bytes": 8_192,
    "max_body_bytes": 65_536,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 15_000,
}


def configuration(
    version: int, shards: Sequence[str], services: Iterable[str], keyed: dict[str, Any]
) -> dict[str, Any]:
    """Return a version with routes to the shards, to orders, and to what needs a key."""
    common = {"host": "h.example", "timeout_ms": 2_000, "target_latency_ms": 200, "max_attempts": 2}
    search = {"name": "all", "prefix": "/all/", "kind": "idempotent", "top_k": TOP, "min_coverage": 0.5}
    order = {"name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": ORDERS}
    routes = [
        common | search | {"gather": list(shards), "anonymous": True},
        common | order | {"anonymous": True},
        common | keyed,
    ]
    limits = [{"name": name, "max_conns": 60} for name in sorted(services)]
    return {"version": version, "routes": routes, "services": limits, "limits": CALLER_LIMITS}
