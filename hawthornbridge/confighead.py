"""The configuration's keys in the store: the head with recent entries, and the folded base in chunks."""

from dataclasses import dataclass
from typing import TypeAlias

import anyio
import msgspec

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

__all__ = ["HEAD_KEY", "ConfigurationKeys", "Folded", "Head", "HeadRead", "Unreadable", "needs_compaction"]

HEAD_KEY = Key("config/head")
# Values in the store may have 1 MB.
CHUNK_BYTES = 900_000
# The head is read about once a second by each watcher, so it is kept small.
COMPACTED_ENTRIES = 32
COMPACTED_BYTES = 32_768
# At 4,200 changes a day this keeps operation ids for 12 hours; an id takes about 60 bytes of the base.
OPERATIONS_KEPT = 2_048
WRITE_TIMEOUT_S = 2.0


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """Hold the generation that an operation was accepted as."""

    operation_id: OperationId
    generation: Generation


class Folded(msgspec.Struct, frozen=True):
    """Hold the configuration at one generation, and the operations that were accepted recently."""

    catalogue: Catalogue = msgspec.field(default_factory=Catalogue)
    operations: tuple[Operation, ...] = ()

    @property
    def generation(self) -> Generation:
        """Return the generation of the last entry folded in."""
        return self.catalogue.generation

    def apply(self, entry: Entry) -> "Folded":
        """Return the state after one more entry; raise ChangeRejectedError if it does not fit."""
        operation = Operation(entry.operation_id, entry.generation)
        return Folded(self.catalogue.apply(entry), (*self.operations, operation)[-OPERATIONS_KEPT:])

    def accepted_as(self, operation_id: OperationId) -> Generation | None:
        """Return the generation that an operation was accepted as, if it is still remembered."""
        return next(
            (operation.generation for operation in self.operations if operation.operation_id == operation_id), None
        )


class Head(msgspec.Struct, frozen=True):
    """Hold the latest generation, where the base is, and the entries since the base."""

    generation: Generation = Generation(0)
    base: Generation = Generation(0)
    chunks: int = 0
    entries: tuple[Entry, ...] = ()

    def append(self, entry: Entry) -> "Head":
        """Return the head with one more entry."""
        return Head(entry.generation, self.base, self.chunks, (*self.entries, entry))


@dataclass(frozen=True, slots=True)
class HeadRead:
    """Hold a head with its revision; asked_s is when it was asked for."""

    head: Head
    revision: Revision
    asked_s: float
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Say that the store holds something that is no configuration."""

    detail: str


HeadOutcome: TypeAlias = HeadRead | Unavailable | Unreadable

_head_decoder = msgspec.json.Decoder(Head)
_folded_decoder = msgspec.json.Decoder(Folded)


def needs_compaction(read: HeadRead) -> bool:
    """Return whether the entries of a head should be folded into a new base."""
    return len(read.head.entries) >= COMPACTED_ENTRIES or read.size_bytes >= COMPACTED_BYTES


def encode_folded(folded: Folded) -> bytes:
    """Encode a folded configuration; the same one always gives the same bytes."""
    return msgspec.json.encode(folded)


def decode_folded(data: bytes) -> Folded:
    """Decode a folded configuration; raise msgspec.MsgspecError if it is none."""
    return _folded_decoder.decode(data)


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
        # A store that holds the answer back longer than asked must not stop this host from reading.
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

    async def read_base(self, head: Head) -> Folded | Unavailable | Unreadable:
        """Read the base that a head refers to."""
        if head.base == 0:
            return Folded()
        data = b""
        for number in range(head.chunks):
            outcome = await self._store.get(_chunk_key(head.base, number))
            match outcome:
                case Found():
                    data += outcome.value
                case Missing():
                    # A later compaction has deleted it; the head has moved on.
                    return Unavailable(f"base {head.base} is gone")
                case Unavailable():
                    return outcome
        try:
            return decode_folded(data)
        except msgspec.MsgspecError as error:
            return Unreadable(f"base {head.base}: {error}")

    async def compact(self, read: HeadRead, folded: Folded) -> bool:
        """Write a base at the head's generation, let the head refer to it, and delete the base before it."""
        head = read.head
        if folded.generation != head.generation:
            return False
        data = encode_folded(folded)
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
                # An earlier attempt at the same generation wrote it.
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
            except msgspec.MsgspecError as error:
                return Unreadable(f"head: {error}")
            return HeadRead(head, outcome.revision, asked_s, len(outcome.value))
