"""Settings of a host: JSON with comments, decoded into typed structs with ranges and units."""

from pathlib import Path
from typing import Annotated, TypeAlias

import jsonc
import msgspec

from hawthornbridge.ids import DomainName, HostId, Seat

__all__ = ["Settings", "SettingsError", "load"]

Address: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", description="an IPv4 address and a port")
]
Token: TypeAlias = Annotated[str, msgspec.Meta(min_length=16)]
SeatCount: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class SettingsError(Exception):
    """Report settings that cannot be used, naming the key's path and what is allowed."""


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Reject keys that a section does not know."""


class HostSettings(_Section, frozen=True, kw_only=True):
    """Identify this host."""

    id: HostId
    seat: Annotated[Seat, msgspec.Meta(ge=0)]
    seats: SeatCount
    failure_domain: DomainName
    region: str


class ListenerSettings(_Section, frozen=True, kw_only=True):
    """Name the addresses that this host listens on."""

    callers: Address
    operators: Address
    peers: Address


class TokenSettings(_Section, frozen=True, kw_only=True):
    """Hold the secrets that operators and peers prove themselves with."""

    operators: Token
    peers: Token


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """Locate the platform's services."""

    store: Address
    host_list: Address
    store_calls_per_s: Annotated[float, msgspec.Meta(gt=0, le=2_000)] = 50.0


class PluginSettings(_Section, frozen=True, kw_only=True):
    """Name the plug-in to use for each kind."""

    caller_interface: str = "http_json"
    operator_interface: str = "connect"
    upstream_protocol: str = "http_json"
    platform_store: str = "http_json"
    membership_source: str = "http_json"
    replica_choice: str = "two_choices"
    hedging: str = "quantile"
    admission: str = "fair_share"
    ramp: str = "shared"


class LimitSettings(_Section, frozen=True, kw_only=True):
    """Bound what the host reads and holds."""

    body_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=16_777_216)] = 65_536
    header_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=65_536)] = 8_192
    deadline_ms: Annotated[int, msgspec.Meta(ge=10, le=600_000)] = 60_000
    read_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 2_000
    concurrent_queries: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    hedge_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class Settings(_Section, frozen=True, kw_only=True):
    """Hold all settings of a host."""

    host: HostSettings
    listeners: ListenerSettings
    tokens: TokenSettings
    platform: PlatformSettings
    peers: tuple[Address, ...] = ()
    plugins: PluginSettings = msgspec.field(default_factory=PluginSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    address_valid_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 5_000


def load(path: Path) -> Settings:
    """Read and check a settings file; raise SettingsError naming the key's path and what is allowed."""
    try:
        tree = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode(tree)


def decode(tree: object) -> Settings:
    """Check decoded settings; raise SettingsError naming the key's path and what is allowed."""
    try:
        settings = msgspec.convert(tree, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    if settings.host.seat >= settings.host.seats:
        raise SettingsError(f"Expected `int` < {settings.host.seats} (host.seats) - at `$.host.seat`")
    return settings
