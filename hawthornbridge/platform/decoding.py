"""Decoding of the keys and values of the platform's store into records."""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from hawthornbridge.callerlimits import CallerLimits
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.evidencewriter import EVIDENCE_PREFIX
from hawthornbridge.ids import DomainName, HostId, RouteName, ServiceName, TeamName, UpstreamId, VersionName
from hawthornbridge.leaves import LeafEntry
from hawthornbridge.model import RolloutState
from hawthornbridge.presence import HOST_PREFIX, HostEntry
from hawthornbridge.records import (
    DutyHolderRecord,
    DutyStateRecord,
    EvacuationRecord,
    EvidenceRecord,
    HostRecord,
    LeafRecord,
    Record,
    RolloutOrderRecord,
    RolloutProgressRecord,
    RoutingRecord,
    StoreFormat,
    UnreadableRecord,
)
from hawthornbridge.rolloutorders import PROGRESS_PREFIX, RolloutOrder, RolloutProgress
from hawthornbridge.routing import Forward, Gather, Route, RoutingState, ServiceLimits, WeightedService
from hawthornbridge.store import Key
from hawthornbridge.storereturn import WriterCount
from hawthornbridge.teams import Team, TeamIndex, TeamKeys
from hawthornbridge.usageduty import HOLDER_KEY, STATE_KEY, DutyHolder, DutyState

__all__ = ["STORE_FORMAT", "decode", "encode_status", "has_lease", "is_order", "writer_count"]

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ROLLOUT_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
LEAF_PREFIX = "servers/"

WIRE_STATES = {
    RolloutState.RUNNING: "running",
    RolloutState.HELD: "running",
    RolloutState.DONE: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}

Name = Annotated[str, msgspec.Meta(min_length=1)]
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# An id is sent in a header, which ends at a line break and loses spaces at its ends.
_LEAF_ID = re.compile(r"[!-~]+")
# Names of teams are sent in a header too; they may have spaces inside.
_TEAM_NAME = re.compile(r"[!-~]([ -~]*[!-~])?")


class _LeafValue(msgspec.Struct):
    service: Name
    address: Name
    zone: Name
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    version: Name
    seq: Annotated[int, msgspec.Meta(ge=0)]
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    # Missing on platforms whose leaves never restart under the same id.
    born: int = 0


class _Split(msgspec.Struct):
    service: Name
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[_Split] = []
    gather: list[str] = []
    top_k: int = 0
    min_coverage: float = 1.0
    anonymous: bool = False
    priority: int = 0

    def plan(self) -> Forward | Gather:
        if self.gather:
            return Gather(tuple(ServiceName(name) for name in self.gather), self.top_k, self.min_coverage)
        if self.traffic_split:
            return Forward(tuple(WeightedService(ServiceName(s.service), s.weight) for s in self.traffic_split))
        return Forward((WeightedService(ServiceName(self.service or ""), 1.0),))

    def record(self) -> Route:
        return Route(
            RouteName(self.name),
            self.host.lower(),
            self.prefix.encode(),
            self.kind == "idempotent",
            self.timeout_ms / 1_000,
            self.target_latency_ms / 1_000,
            max(1, self.max_attempts),
            self.plan(),
            self.anonymous,
            self.priority,
        )


class _Service(msgspec.Struct):
    name: str
    max_conns: int
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    # A limit that is missing or not above zero is the default.
    max_header_bytes: float | None = None
    max_body_bytes: float | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None

    def record(self) -> CallerLimits:
        known = CallerLimits()
        idle_s = _above_zero(self.idle_timeout_ms, known.idle_s * 1_000) / 1_000
        return CallerLimits(
            header_bytes=int(_above_zero(self.max_header_bytes, known.header_bytes)),
            body_bytes=int(_above_zero(self.max_body_bytes, known.body_bytes)),
            # Callers may open a connection before they need it.
            opening_s=max(known.opening_s, idle_s),
            header_s=_above_zero(self.header_timeout_ms, known.header_s * 1_000) / 1_000,
            idle_s=idle_s,
        )


def _above_zero(limit: float | None, default: float) -> float:
    return limit if limit is not None and limit > 0 else default


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: list[str] = []
    priority: int | None = None

    def record(self) -> TeamKeys:
        if not _TEAM_NAME.fullmatch(self.name):
            raise msgspec.ValidationError("the name of a tenant can't be sent in a header")
        return TeamKeys(Team(TeamName(self.name), self.priority), tuple(self.api_keys))


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Missing on platforms whose callers need no keys.
    tenants: list[_Tenant] | None = None


class _Order(msgspec.Struct):
    target_version: Name
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


_order_decoder = msgspec.json.Decoder(_Order)
_progress_decoder = msgspec.json.Decoder(RolloutProgress)
_evidence_decoder = msgspec.json.Decoder(RolloutEvidence)
_leaf_decoder = msgspec.json.Decoder(_LeafValue)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_host_decoder = msgspec.json.Decoder(HostEntry)
_duty_state_decoder = msgspec.json.Decoder(DutyState)
_duty_holder_decoder = msgspec.json.Decoder(DutyHolder)


def decode(key: Key, value: bytes | None) -> Record:
    """Return the record of a key, or None for a key without one; a value of None means that the key was removed."""
    try:
        if key.startswith(LEAF_PREFIX):
            return _leaf(UpstreamId(key.removeprefix(LEAF_PREFIX)), value)
        if key.startswith(HOST_PREFIX):
            entry = None if value is None else _host_decoder.decode(value)
            return HostRecord(HostId(key.removeprefix(HOST_PREFIX)), entry)
        if key.startswith(EVACUATION_PREFIX):
            return EvacuationRecord(DomainName(key.removeprefix(EVACUATION_PREFIX)), value is not None)
        if key.startswith(ROLLOUT_PREFIX):
            return _order(key, value)
        if key.startswith(PROGRESS_PREFIX):
            progress = None if value is None else _progress_decoder.decode(value)
            return RolloutProgressRecord(ServiceName(key.removeprefix(PROGRESS_PREFIX)), progress)
        if key.startswith(EVIDENCE_PREFIX) and value is not None:
            return EvidenceRecord(_evidence_decoder.decode(value))
        if key == STATE_KEY:
            return DutyStateRecord(None if value is None else _duty_state_decoder.decode(value))
        if key == HOLDER_KEY:
            return DutyHolderRecord(None if value is None else _duty_holder_decoder.decode(value))
        if key == CONFIGURATION_KEY and value is not None:
            return _configuration(value)
    except DECODE_ERRORS as error:
        leaf_id = UpstreamId(key.removeprefix(LEAF_PREFIX)) if key.startswith(LEAF_PREFIX) else None
        return UnreadableRecord(key, leaf_id, str(error))
    return None


def encode_status(service: ServiceName, version: VersionName, state: RolloutState) -> tuple[Key, bytes]:
    """Return the key and value that show the state of a rollout to operators."""
    value = {"service": service, "target_version": version, "state": WIRE_STATES[state]}
    return Key(STATUS_PREFIX + service), msgspec.json.encode(value)


def has_lease(key: Key) -> bool:
    """Return whether a key is under a lease, so that it can be removed without its writer removing it."""
    return key.startswith((LEAF_PREFIX, HOST_PREFIX, EVIDENCE_PREFIX))


def is_order(key: Key) -> bool:
    """Return whether a key holds a rollout order; operators repeat an order by writing it again."""
    return key.startswith(ROLLOUT_PREFIX)


def writer_count(key: Key, value: bytes) -> WriterCount | None:
    """Return the count with which the writer of a key numbers its values, or None if it does not."""
    match decode(key, value):
        case RoutingRecord(state):
            return (state.version,)
        case LeafRecord(_, entry) if entry is not None:
            return (entry.born_ms, entry.sequence)
        case HostRecord(_, entry) if entry is not None and entry.started_ms:
            return (entry.started_ms, entry.registrations)
        case RolloutProgressRecord(_, progress) if progress is not None:
            return (progress.generation,)
        case _:
            return None


STORE_FORMAT = StoreFormat(
    decode, encode_status, may_lapse=has_lease, reports_rewrites=is_order, writer_count=writer_count
)


def _order(key: Key, value: bytes | None) -> RolloutOrderRecord:
    service = ServiceName(key.removeprefix(ROLLOUT_PREFIX))
    if value is None:
        return RolloutOrderRecord(service, None)
    fields = _order_decoder.decode(value)
    order = RolloutOrder(service, VersionName(fields.target_version), fields.duration_s, key)
    return RolloutOrderRecord(service, order)


def _leaf(leaf_id: UpstreamId, value: bytes | None) -> LeafRecord:
    if value is None:
        return LeafRecord(leaf_id, None)
    fields = _leaf_decoder.decode(value)
    if not _LEAF_ID.fullmatch(leaf_id):
        raise msgspec.ValidationError(f"id can't be sent in a header: {leaf_id!r}")
    if not _is_address(fields.address):
        raise msgspec.ValidationError(f"address is not IPv4:port: {fields.address!r}")
    entry = LeafEntry(
        id=leaf_id,
        service=ServiceName(fields.service),
        address=fields.address,
        domain=DomainName(fields.zone),
        version=VersionName(fields.version),
        slots=fields.slots,
        is_ready=fields.state == "ready",
        cold_ms=int(fields.warmup_left_ms),
        born_ms=fields.born,
        sequence=fields.seq,
    )
    return LeafRecord(leaf_id, entry)


def _is_address(text: str) -> bool:
    host, _, port = text.partition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _configuration(value: bytes) -> RoutingRecord:
    fields = _configuration_decoder.decode(value)
    services = {
        ServiceName(service.name): ServiceLimits(service.max_conns, service.warmup_per_s)
        for service in fields.services
    }
    routes = tuple(route.record() for route in fields.routes)
    teams = None if fields.tenants is None else TeamIndex(tenant.record() for tenant in fields.tenants)
    return RoutingRecord(RoutingState(fields.version, routes, services, teams, fields.limits.record()))
