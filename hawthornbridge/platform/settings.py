"""Conversion of the platform's settings file into the settings of an entry host."""

from pathlib import Path
from typing import Annotated

import msgspec

from hawthornbridge.callerlimits import MEGABYTE, MachineLimits
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.entrysettings import BoundSettings, EntryAddresses, EntrySettings, UsageSettings
from hawthornbridge.ids import DomainName, HostId
from hawthornbridge.platform.apps import METRICS_PORT
from hawthornbridge.retrybudget import BudgetLimits
from hawthornbridge.settings import SettingsError
from hawthornbridge.versionsplit import ExposureLimits

__all__ = ["SETTINGS_VARIABLE", "load"]

SETTINGS_VARIABLE = "HAWTHORNBRIDGE_SETTINGS"
USAGE_DUTY = "usage_report"
READ_ERRORS: tuple[type[Exception], ...] = (OSError, *DECODE_ERRORS)


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str
    control: str


class _Bounds(msgspec.Struct):
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_budget_slack: float = 20.0
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    warmup_factor: float = 1.0
    cold_slack: float = 0.0
    grace_s: float = 6.0
    lease_ms: int = 3_000
    report_window_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    usage_delay_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    ttl_max_s: float = 5.0
    config_apply_ms: int = 3_000
    drain_ms: int = 3_000
    evacuate_ms: int = 5_000
    strict_revoke: bool = False
    revoke_ms: int = 5_000


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    # Speed of a core relative to the reference core.
    cores: float = 1.0
    memory_mb: float | None = None
    max_fds: int | None = None

    def machine(self) -> MachineLimits:
        if self.memory_mb is None:
            return MachineLimits(descriptors=self.max_fds)
        return MachineLimits(int(self.memory_mb * MEGABYTE), self.max_fds)


class _Platform(msgspec.Struct):
    address: str


class _CloudApi(msgspec.Struct):
    address: str
    duties: list[str] = []
    duty_per_s: Annotated[float, msgspec.Meta(gt=0)] = 50.0


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _CloudApi | None = None
    # A field of the project's own, which a deployment's template may set.
    share_leaf_reports: bool = False


def load(path: Path) -> EntrySettings:
    """Read the settings file; raise SettingsError with the name of the invalid key."""
    try:
        file = _decode(path.read_bytes())
    except READ_ERRORS as error:
        raise SettingsError(f"{path}: {error}") from error
    bounds = file.bounds
    return EntrySettings(
        host=HostId(file.node),
        domain=DomainName(file.zone),
        domains=len(file.zones),
        capacity_cores=file.limits.cpu_share * file.limits.cores,
        machine=file.limits.machine(),
        addresses=EntryAddresses(
            callers=file.listen.front,
            ready=file.listen.ready,
            directory=file.listen.directory,
            metrics=f"{file.ip}:{METRICS_PORT}",
            peers=file.listen.control,
        ),
        store=file.platform.address,
        seeds=tuple(seed for seed in file.seeds if seed != file.listen.control),
        budget=BudgetLimits(bounds.retry_budget_ratio, bounds.retry_window_s, bounds.retry_budget_slack),
        exposure=ExposureLimits(bounds.exposure_share, bounds.exposure_slack),
        bounds=BoundSettings(
            cold_factor=bounds.warmup_factor,
            cold_slack=bounds.cold_slack,
            stop_s=bounds.grace_s,
            max_address_validity_s=bounds.ttl_max_s,
            change_s=min(bounds.config_apply_ms, bounds.drain_ms, bounds.evacuate_ms) / 1_000,
            revoke_s=bounds.revoke_ms / 1_000 if bounds.strict_revoke else None,
        ),
        usage=_usage(file.cloud_api, bounds),
        shares_leaf_reports=file.share_leaf_reports,
    )


def _usage(api: _CloudApi | None, bounds: _Bounds) -> UsageSettings | None:
    if api is None or USAGE_DUTY not in api.duties:
        return None
    return UsageSettings(
        address=api.address,
        calls_per_s=api.duty_per_s,
        window_s=bounds.report_window_s,
        delay_s=bounds.usage_delay_s,
        lease_s=bounds.lease_ms / 1_000,
    )


def _decode(content: bytes) -> _File:
    """Read JSON, as the deployment's template writes it, or YAML, whose library takes memory and time at the start."""
    try:
        return msgspec.json.decode(content, type=_File, strict=False)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        return msgspec.yaml.decode(content, type=_File, strict=False)
