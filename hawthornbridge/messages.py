"""Messages between hosts, and the codec that authenticates them."""

import hmac
from typing import Any, TypeAlias

import msgspec

from hawthornbridge.allowance import AllowanceNotice
from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.ids import (
    DomainName,
    Generation,
    HostId,
    Incarnation,
    Seat,
)
from hawthornbridge.model import Entry
from hawthornbridge.outcomes import Reachability

__all__ = [
    "MESSAGE_LIMIT_BYTES",
    "PART_LIMIT_BYTES",
    "AllowanceNotices",
    "AllowanceRequest",
    "BaseChunk",
    "Codec",
    "Entries",
    "EntriesRequest",
    "Evidence",
    "Heartbeat",
    "MemberSummary",
    "Message",
    "MessageRejectedError",
    "PendingChange",
    "Proposal",
    "ProposalSeen",
]

MESSAGE_LIMIT_BYTES = 65_536
# Content is split into parts of this size, which leaves room for the other fields and the digest.
PART_LIMIT_BYTES = 49_152
# HMAC-SHA-256 truncated to 128 bits, as RFC 2104 permits.
DIGEST_BYTES = 16


class MessageRejectedError(Exception):
    """Report a message that is too large, not authentic or not readable."""


class MemberSummary(msgspec.Struct, frozen=True, array_like=True):
    """Name a member and how long it has been silent."""

    host: HostId
    address: str
    age_ms: int


class PendingChange(msgspec.Struct, frozen=True, array_like=True):
    """Name a change that was announced and whose outcome the sender does not know."""

    proposer: HostId
    generation: Generation


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Report the state of one host.

    store_age_ms is None while no contact with the store is known. echoes holds the sequence of the last heartbeat that
    arrived from each process, under its echo key. in_flight counts the sender's sub-requests in failure domains that
    take no new work.
    """

    host: HostId
    incarnation: Incarnation
    sequence: int
    seat: Seat
    address: str
    caller_address: str
    domain: DomainName
    region: str
    generation: Generation
    store_age_ms: int | None
    store_generation: Generation
    store_state: Reachability
    settled: bool
    proposing: Generation
    pending: tuple[PendingChange, ...]
    leaving: bool
    load: float
    in_flight: dict[DomainName, int]
    echoes: dict[int, int]
    members: tuple[MemberSummary, ...]


class Entries(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Carry consecutive configuration entries."""

    host: HostId
    entries: tuple[Entry, ...]


class EntriesRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask for the configuration after a generation, or for the base being received, from this chunk on."""

    host: HostId
    address: str
    after: Generation
    base: Generation
    chunk: int


class BaseChunk(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carry one part of the folded configuration at a generation."""

    host: HostId
    address: str
    generation: Generation
    index: int
    count: int
    data: bytes


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Announce that a host is about to write a generation; sequence is that of its last heartbeat."""

    host: HostId
    incarnation: Incarnation
    address: str
    sequence: int
    generation: Generation


class ProposalSeen(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Confirm that a host has noted a proposal."""

    host: HostId
    seat: Seat
    proposer_incarnation: Incarnation
    generation: Generation


class Evidence(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Carry one host's cumulative counters of a rollout; receivers join them by maximum."""

    evidence: RolloutEvidence


class AllowanceNotices(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Carry in-flight allowances: those that changed or are cold, or in answer to a request all of them."""

    notices: tuple[AllowanceNotice, ...]
    is_answer: bool


class AllowanceRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Ask a host for all allowances that it knows."""

    address: str


Message: TypeAlias = (
    Heartbeat
    | Entries
    | EntriesRequest
    | BaseChunk
    | Proposal
    | ProposalSeen
    | Evidence
    | AllowanceNotices
    | AllowanceRequest
)


class Codec:
    """Encode messages with a digest under the shared token, and check it on the way back."""

    def __init__(self, token: str) -> None:
        self._key = token.encode()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Return the bytes to send; raise MessageRejectedError if they are too many."""
        payload = self._encoder.encode(message)
        if len(payload) + DIGEST_BYTES > MESSAGE_LIMIT_BYTES:
            raise MessageRejectedError(f"{type(message).__name__} of {len(payload)} bytes exceeds the limit")
        return self._digest(payload) + payload

    def decode(self, data: bytes) -> Message:
        """Return the message; raise MessageRejectedError if it is too large, not authentic or malformed."""
        if not DIGEST_BYTES < len(data) <= MESSAGE_LIMIT_BYTES:
            raise MessageRejectedError(f"{len(data)} bytes are outside the limits")
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(data[:DIGEST_BYTES], self._digest(payload)):
            raise MessageRejectedError("the digest does not match")
        try:
            message: Message = self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise MessageRejectedError(str(error)) from error
        return message

    def _digest(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:DIGEST_BYTES]
