"""Messages between hosts, and their authenticated encoding."""

import hmac
from typing import Any, TypeAlias

import msgspec

from hawthornbridge.allowance import AllowanceNotice
from hawthornbridge.decodeerrors import DECODE_ERRORS
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
# Larger content is split into parts of this size, which leaves room for the other fields and the digest.
PART_LIMIT_BYTES = 49_152
# HMAC-SHA-256 truncated to 128 bits, as RFC 2104 permits.
DIGEST_BYTES = 16


class MessageRejectedError(Exception):
    """Message that is too large, not authentic or malformed."""


class MemberSummary(msgspec.Struct, frozen=True, array_like=True):
    """Address of a member, and the time since its last heartbeat."""

    host: HostId
    address: str
    age_ms: int


class PendingChange(msgspec.Struct, frozen=True, array_like=True):
    """Announced change whose outcome the sender does not know."""

    proposer: HostId
    generation: Generation


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """State of one host.

    store_age_ms is None while no contact with the store is known. echoes maps the echo key of each live process to the
    sequence of the last heartbeat received from it. in_flight counts the sender's sub-requests in failure domains that
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
    """Consecutive configuration entries."""

    host: HostId
    entries: tuple[Entry, ...]


class EntriesRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request for the entries after a generation, or for the chunks of a base from one chunk on."""

    host: HostId
    address: str
    after: Generation
    base: Generation
    chunk: int


class BaseChunk(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """One part of the folded configuration at a generation."""

    host: HostId
    address: str
    generation: Generation
    index: int
    count: int
    data: bytes


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Announcement that a host is about to write a generation; sequence is that of its last heartbeat."""

    host: HostId
    incarnation: Incarnation
    address: str
    sequence: int
    generation: Generation


class ProposalSeen(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Confirmation that a host has recorded a proposal."""

    host: HostId
    seat: Seat
    proposer_incarnation: Incarnation
    generation: Generation


class Evidence(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Cumulative counters of a rollout on one host; receivers merge them by maximum."""

    evidence: RolloutEvidence


class AllowanceNotices(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """In-flight allowances: changed and cold ones, or all of them in the answer to a request."""

    notices: tuple[AllowanceNotice, ...]
    is_answer: bool


class AllowanceRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Request for all allowances that a host knows."""

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
    """Codec that adds a digest under the shared token to messages, and checks it when it decodes them."""

    def __init__(self, token: str) -> None:
        self._key = token.encode()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Return the bytes to send; raise MessageRejectedError if they exceed the limit."""
        payload = self._encoder.encode(message)
        if len(payload) + DIGEST_BYTES > MESSAGE_LIMIT_BYTES:
            raise MessageRejectedError(f"{type(message).__name__} of {len(payload)} bytes exceeds the size limit")
        return self._digest(payload) + payload

    def decode(self, data: bytes) -> Message:
        """Return the message; raise MessageRejectedError if it is too large, not authentic or malformed."""
        if not DIGEST_BYTES < len(data) <= MESSAGE_LIMIT_BYTES:
            raise MessageRejectedError(f"{len(data)} bytes are outside the size limits for a message")
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(data[:DIGEST_BYTES], self._digest(payload)):
            raise MessageRejectedError("message digest does not match")
        try:
            message: Message = self._decoder.decode(payload)
        except DECODE_ERRORS as error:
            raise MessageRejectedError(str(error)) from error
        return message

    def _digest(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:DIGEST_BYTES]
