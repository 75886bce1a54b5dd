"""Append-only journal in which the bills of one incarnation are stored."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from dragonflydyke import errors, metrics, objects
from dragonflydyke.billing import model, sequences

LEDGER_KIND = "ledger"
# Half of the size limit of the platform, because the size is estimated without
# the enclosing object.
MAX_ENTRY_BYTES = 500_000


def format_entry_name(incarnation: int, index: int) -> str:
    """Returns the object name of a journal entry."""
    return f"{incarnation:016x}.{index}"


def parse_entry_name(name: str) -> tuple[int, int]:
    """Returns the incarnation and index of a journal entry.

    Raises:
        ValueError: If the name is not that of a journal entry.
    """
    incarnation, _, index = name.partition(".")
    return int(incarnation, 16), int(index)


class Journal:
    """Appends bills to the journal of an incarnation, each exactly once.

    Several routers may append to the same journal concurrently. An entry with
    index k is created only after all entries below k have been read, and only
    with bills that are in none of them; the platform rejects a second entry
    with the same index. Each entry contains a summary of the journal up to and
    including itself (`complete_below`, `end`), so that reading the last entry
    is usually enough.
    """

    __slots__ = (
        "_closed_at",
        "_counters",
        "_incarnation",
        "_known_sequences",
        "_loaded",
        "_lock",
        "_next_index",
        "_objects",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        incarnation: int,
        counters: metrics.Counters,
        *,
        is_new: bool = False,
    ) -> None:
        """Initialises the journal.

        Args:
            objects_client: The platform.
            incarnation: Incarnation whose bills are appended.
            counters: Receives `bill.journal.<event>`.
            is_new: Whether the journal is known to have no entries; if so,
                it is not read from the platform first.
        """
        self._objects = objects_client
        self._incarnation = incarnation
        self._counters = counters
        self._loaded = is_new
        self._lock = asyncio.Lock()
        self._next_index = 0
        self._closed_at = -1
        self._known_sequences = sequences.SequenceSet()

    def __contains__(self, sequence: int) -> bool:
        """Returns whether a bill is known to be in the journal.

        Args:
            sequence: Sequence of the bill.
        """
        return sequence in self._known_sequences

    async def append_missing(self, bills: Iterable[model.Bill]) -> None:
        """Writes at most one entry, with the first of the missing bills.

        The caller limits the rate of writes, and repeats the call until every
        bill is `in` the journal: an entry may be full, or another router may
        have created the entry with the same index.

        Args:
            bills: Bills of this incarnation; those in the journal are skipped.

        Raises:
            DragonflydykeError: If the platform did not respond; the call can
                safely be repeated.
        """
        async with self._lock:
            await self._load_if_needed()
            chunk = self._select_missing(bills)
            if chunk:
                await self._create_entry({"bills": chunk})

    async def close(self, count: int) -> None:
        """Marks the journal as complete if it has exactly `count` bills.

        Args:
            count: Number of bills that the incarnation recorded.

        Raises:
            DragonflydykeError: If the platform did not respond.
        """
        async with self._lock:
            await self._load_if_needed()
            # On a conflict, `_create_entry` applies the entry of another writer
            # instead, so the loop checks again.
            while self._closed_at != count:
                if self._known_sequences.complete_below != count:
                    return
                await self._create_entry({"bills": [], "closed_at": count})

    def _select_missing(
        self, bills: Iterable[model.Bill]
    ) -> list[dict[str, Any]]:
        chunk: list[dict[str, Any]] = []
        selected: set[int] = set()
        size = 0
        for bill in bills:
            if (
                bill.sequence in self._known_sequences
                or bill.sequence in selected
            ):
                continue
            errors.check_invariant(
                bill.incarnation == self._incarnation,
                f"bill of incarnation {bill.incarnation} appended to journal "
                f"{self._incarnation}",
            )
            mapping = bill.to_mapping()
            size += len(json.dumps(mapping, separators=(",", ":"))) + 1
            if chunk and size > MAX_ENTRY_BYTES:
                break
            chunk.append(mapping)
            selected.add(bill.sequence)
        chunk.sort(key=lambda mapping: mapping["sequence"])
        return chunk

    async def _create_entry(self, value: dict[str, Any]) -> None:
        after = self._add_sequences(value["bills"])
        value["complete_below"] = after.complete_below
        value["end"] = after.end
        name = format_entry_name(self._incarnation, self._next_index)
        try:
            await self._objects.create(LEDGER_KIND, name, value)
        except objects.ConflictError as error:
            self._counters.increment("bill.journal.conflict")
            present = error.current or await self._objects.get(
                LEDGER_KIND, name
            )
            if present is None:
                raise
            value = present.value
        except objects.OutcomeUnknownError:
            self._counters.increment("bill.journal.answer_lost")
            present = await self._objects.get(LEDGER_KIND, name)
            # The write may still be in flight. It and the next create have
            # the same index, so one of the two fails with a conflict.
            if present is None:
                raise
            value = present.value
        self._apply_entry(value)

    def _add_sequences(
        self, bills: Iterable[dict[str, Any]]
    ) -> sequences.SequenceSet:
        after = self._known_sequences.copy()
        for bill in bills:
            after.add(bill["sequence"])
        return after

    def _apply_entry(self, value: dict[str, Any]) -> None:
        for bill in value["bills"]:
            sequence = bill["sequence"]
            errors.check_invariant(
                sequence not in self._known_sequences,
                f"sequence {sequence} is already in journal "
                f"{self._incarnation:016x}, index {self._next_index}",
            )
            self._known_sequences.add(sequence)
        self._closed_at = value.get("closed_at", -1)
        self._next_index += 1

    async def _load_if_needed(self) -> None:
        if self._loaded:
            return
        last = await self._find_last_index()
        if last >= 0:
            await self._load_sequences(last)
        self._next_index = last + 1
        self._loaded = True

    async def _find_last_index(self) -> int:
        """Returns the index of the last entry, -1 if there is none.

        Finds it by exponential search, which needs few reads.
        """
        missing = 1
        while await self._read_entry(missing - 1) is not None:
            missing *= 2
        present = missing // 2 - 1
        missing -= 1
        while missing - present > 1:
            middle = (present + missing) // 2
            if await self._read_entry(middle) is None:
                missing = middle
            else:
                present = middle
        return present

    async def _load_sequences(self, last: int) -> None:
        """Loads the sequences of the journal.

        Reads entries backwards until all sequences above the contiguous range
        of the last entry are loaded.

        Args:
            last: Index of the last entry.
        """
        entry = await self._read_entry(last)
        assert entry is not None
        present = sequences.SequenceSet(entry["complete_below"])
        index = last
        while entry is not None and entry["end"] > present.complete_below:
            for bill in entry["bills"]:
                present.add(bill["sequence"])
            index -= 1
            entry = await self._read_entry(index) if index >= 0 else None
        self._known_sequences = present

    async def _read_entry(self, index: int) -> dict[str, Any] | None:
        name = format_entry_name(self._incarnation, index)
        stored = await self._objects.get(LEDGER_KIND, name)
        return stored.value if stored else None
