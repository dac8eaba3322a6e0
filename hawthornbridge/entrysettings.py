"""Settings of an entry host, read by a platform adapter from the format of its platform."""

from dataclasses import dataclass, field

from hawthornbridge.callerlimits import MachineLimits
from hawthornbridge.ids import DomainName, HostId
from hawthornbridge.retrybudget import BudgetLimits
from hawthornbridge.versionsplit import ExposureLimits

__all__ = ["BoundSettings", "EntryAddresses", "EntrySettings", "UsageSettings"]


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Addresses that a host listens on."""

    callers: str
    ready: str
    directory: str
    metrics: str
    peers: str

    def all(self) -> list[str]:
        """Return all addresses without duplicates."""
        return list(dict.fromkeys((self.callers, self.ready, self.directory, self.metrics, self.peers)))


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Limits set by the platform, which all hosts together stay within.

    A cold leaf gets at most its configured rate times cold_factor plus cold_slack requests per second. A planned stop
    takes at most stop_s. A change in the store is followed within change_s, the shortest of the times that the
    platform allows for changes of each kind.
    """

    cold_factor: float
    cold_slack: float
    stop_s: float
    max_address_validity_s: float
    change_s: float
    # A key that is withdrawn runs nothing later than this, also on hosts that have lost the store; None for no bound.
    revoke_s: float | None = None


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """Duty to report the usage of each window of the time of day to the platform.

    A report is due delay_s after the end of its window. All hosts together make at most calls_per_s calls. Another
    holder acts no sooner than lease_s after the last renewal of the one before it.
    """

    address: str
    calls_per_s: float
    window_s: float
    delay_s: float
    lease_s: float


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings that an entry host needs before it reads the store."""

    host: HostId
    domain: DomainName
    domains: int
    capacity_cores: float
    addresses: EntryAddresses
    store: str
    # Peer addresses of a few hosts, some of which may no longer exist.
    seeds: tuple[str, ...]
    budget: BudgetLimits
    exposure: ExposureLimits
    bounds: BoundSettings
    machine: MachineLimits = field(default_factory=MachineLimits)
    # None on a platform without this duty.
    usage: UsageSettings | None = None
    # Whether serving hosts tell each other what they see of leaves.
    shares_leaf_reports: bool = False
