"""Settings of an entry host that an adapter reads from its platform's format."""

from dataclasses import dataclass

from hawthornbridge.ids import DomainName, HostId
from hawthornbridge.retrybudget import BudgetLimits
from hawthornbridge.versionsplit import ExposureLimits

__all__ = ["BoundSettings", "EntryAddresses", "EntrySettings"]


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Name the addresses that a host listens on."""

    callers: str
    ready: str
    directory: str
    metrics: str
    peers: str

    def all(self) -> list[str]:
        """Return every address once."""
        return list(dict.fromkeys((self.callers, self.ready, self.directory, self.metrics, self.peers)))


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Hold the platform's bounds that all hosts together stay within.

    A cold leaf gets at most its own rate times cold_factor plus cold_slack requests per second; a stop takes at most
    stop_s.
    """

    cold_factor: float
    cold_slack: float
    stop_s: float
    max_address_validity_s: float


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold what one entry host needs to know before it reads the store."""

    host: HostId
    domain: DomainName
    domains: int
    capacity_cores: float
    addresses: EntryAddresses
    store: str
    # Peer addresses of a few hosts, some of which may be gone.
    seeds: tuple[str, ...]
    budget: BudgetLimits
    exposure: ExposureLimits
    bounds: BoundSettings
