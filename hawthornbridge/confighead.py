"""The configuration's keys in the store: the head with recent entries, and the compacted base in chunks."""

from dataclasses import dataclass
from typing import TypeAlias

import anyio
import msgspec

from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.ids import Generation, OperationId
from hawthornbridge.model import Catalogue, Entry
from hawthornbridge.store import (
    ABSENT,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    Missing,
    ReadOutcome,
    Revision,
    Store,
    Unavailable,
    WriteOutcome,
)

__all__ = ["HEAD_KEY", "ConfigurationKeys", "ConfigurationState", "Head", "HeadRead", "Unreadable", "needs_compaction"]

HEAD_KEY = Key("config/head")
# Below the store's limit of 1 MB for a value.
CHUNK_BYTES = 900_000
# Each watcher reads the head about once a second, so compaction keeps the head small.
COMPACTION_MIN_ENTRIES = 32
COMPACTION_MIN_BYTES = 32_768
# At 4,200 changes a day, operation ids are retained for 12 hours; each one takes about 60 bytes of the base.
RETAINED_OPERATIONS = 2_048
WRITE_TIMEOUT_S = 2.0


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """An accepted operation and the generation that its change got."""

    operation_id: OperationId
    generation: Generation


class ConfigurationState(msgspec.Struct, frozen=True):
    """The configuration at one generation, and the recently accepted operations, used to detect repeated calls."""

    catalogue: Catalogue = msgspec.field(default_factory=Catalogue)
    operations: tuple[Operation, ...] = ()

    @property
    def generation(self) -> Generation:
        """Return the generation of the last entry that was applied."""
        return self.catalogue.generation

    def apply(self, entry: Entry) -> "ConfigurationState":
        """Return the state after one more entry; raise ChangeRejectedError if it does not fit."""
        operation = Operation(entry.operation_id, entry.generation)
        return ConfigurationState(self.catalogue.apply(entry), (*self.operations, operation)[-RETAINED_OPERATIONS:])

    def accepted_as(self, operation_id: OperationId) -> Generation | None:
        """Return the generation that an operation's change got, if the operation is still retained."""
        return next(
            (operation.generation for operation in self.operations if operation.operation_id == operation_id), None
        )


class Head(msgspec.Struct, frozen=True):
    """The latest generation, the location of the base, and the entries since the base."""

    generation: Generation = Generation(0)
    base: Generation = Generation(0)
    chunks: int = 0
    entries: tuple[Entry, ...] = ()

    def append(self, entry: Entry) -> "Head":
        """Return the head with one more entry."""
        return Head(entry.generation, self.base, self.chunks, (*self.entries, entry))


@dataclass(frozen=True, slots=True)
class HeadRead:
    """A head as read, with its revision; asked_s is the time of the request."""

    head: Head
    revision: Revision
    asked_s: float
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Report that a value in the store could not be decoded as a configuration."""

    detail: str


HeadOutcome: TypeAlias = HeadRead | Unavailable | Unreadable

_head_decoder = msgspec.json.Decoder(Head)
_state_decoder = msgspec.json.Decoder(ConfigurationState)


def needs_compaction(read: HeadRead) -> bool:
    """Return whether the entries of a head should be compacted into a new base."""
    return len(read.head.entries) >= COMPACTION_MIN_ENTRIES or read.size_bytes >= COMPACTION_MIN_BYTES


def encode_state(folded: ConfigurationState) -> bytes:
    """Encode a configuration state; equal states give the same bytes."""
    return msgspec.json.encode(folded)


def decode_state(data: bytes) -> ConfigurationState:
    """Decode a configuration state; raise one of DECODE_ERRORS if the data is invalid."""
    return _state_decoder.decode(data)


class ConfigurationKeys:
    """Read and write the configuration's keys."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self, timeout_s: float) -> HeadOutcome:
        """Read the head."""
        asked_s = anyio.current_time()
        outcome: ReadOutcome = Unavailable(f"no answer within {timeout_s:.1f} s")
        with anyio.move_on_after(timeout_s):
            outcome = await self._store.get(HEAD_KEY)
        return _decoded(outcome, asked_s)

    async def watch(self, after: Revision, wait_s: float) -> HeadOutcome | None:
        """Wait for a head with a higher revision; return None if none came in time."""
        asked_s = anyio.current_time()
        # A store that answers later than requested must not keep this host from reading.
        with anyio.move_on_after(wait_s * 1.5):
            outcome = await self._store.watch(HEAD_KEY, after, wait_s)
            if isinstance(outcome, Found | Missing | Unavailable):
                return _decoded(outcome, asked_s)
        return None

    async def write(self, head: Head, expected: Revision) -> WriteOutcome:
        """Replace the head if its revision is the expected one."""
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            return await self._store.compare_and_swap(HEAD_KEY, msgspec.json.encode(head), expected)
        return Ambiguous(f"no answer within {WRITE_TIMEOUT_S:.1f} s")

    async def read_base(self, head: Head) -> ConfigurationState | Unavailable | Unreadable:
        """Read the base that a head refers to."""
        if head.base == 0:
            return ConfigurationState()
        data = b""
        for number in range(head.chunks):
            outcome = await self._store.get(_chunk_key(head.base, number))
            match outcome:
                case Found():
                    data += outcome.value
                case Missing():
                    # A later compaction replaced the head and then deleted this base.
                    return Unavailable(f"base {head.base} was deleted by a later compaction")
                case Unavailable():
                    return outcome
        try:
            return decode_state(data)
        except DECODE_ERRORS as error:
            return Unreadable(f"base {head.base}: {error}")

    async def compact(self, read: HeadRead, folded: ConfigurationState) -> bool:
        """Write a base at the head's generation, point the head to it, and delete the previous base."""
        head = read.head
        if folded.generation != head.generation:
            return False
        data = encode_state(folded)
        parts = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
        for number, part in enumerate(parts):
            if not await self._write_chunk(_chunk_key(head.generation, number), part):
                return False
        compacted = Head(head.generation, head.generation, len(parts))
        if not isinstance(await self.write(compacted, read.revision), Applied):
            return False
        for number in range(head.chunks):
            key = _chunk_key(head.base, number)
            outcome = await self._store.get(key)
            if isinstance(outcome, Found):
                await self._store.delete(key, outcome.revision)
        return True

    async def _write_chunk(self, key: Key, part: bytes) -> bool:
        match await self._store.compare_and_swap(key, part, ABSENT):
            case Applied():
                return True
            case Conflict(Found(value=value)):
                # An earlier attempt at the same generation may have written this chunk.
                return value == part
            case Ambiguous():
                outcome = await self._store.get(key)
                return isinstance(outcome, Found) and outcome.value == part
            case _:
                return False


def _chunk_key(generation: Generation, number: int) -> Key:
    return Key(f"config/base/{generation}/{number}")


def _decoded(outcome: ReadOutcome, asked_s: float) -> HeadOutcome:
    match outcome:
        case Missing():
            return HeadRead(Head(), ABSENT, asked_s, 0)
        case Unavailable():
            return outcome
        case Found():
            try:
                head = _head_decoder.decode(outcome.value)
            except DECODE_ERRORS as error:
                return Unreadable(f"head: {error}")
            return HeadRead(head, outcome.revision, asked_s, len(outcome.value))
