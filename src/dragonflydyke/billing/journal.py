"""Journal of one incarnation: the only way in which bills are stored."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from dragonflydyke import errors, metrics, objects
from dragonflydyke.billing import model, sequences

LEDGER_KIND = "ledger"
# Half of what the platform accepts, as the size is counted without framing.
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
    """Appends bills to the journal of an incarnation, each of them once.

    Several nodes may append to the same journal. Index k is created only
    after all entries below k are known, and only with bills that are in none
    of them. Each entry summarises the journal up to itself
    (`complete_below`, `end`), so the last entry usually suffices.
    """

    __slots__ = (
        "_closed_at",
        "_counters",
        "_incarnation",
        "_loaded",
        "_lock",
        "_next_index",
        "_objects",
        "_present",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        incarnation: int,
        counters: metrics.Counters,
        *,
        is_new: bool = False,
    ) -> None:
        """Creates a journal.

        Args:
            objects_client: The platform.
            incarnation: Incarnation whose bills are appended.
            counters: Receives `bill.journal.<event>`.
            is_new: Whether the journal is known to have no entries, which
                saves the origin reading it.
        """
        self._objects = objects_client
        self._incarnation = incarnation
        self._counters = counters
        self._loaded = is_new
        self._lock = asyncio.Lock()
        self._next_index = 0
        self._closed_at = -1
        self._present = sequences.SequenceSet()

    def __contains__(self, sequence: int) -> bool:
        """Returns whether a bill is known to be in the journal."""
        return sequence in self._present

    async def append_once(self, bills: Iterable[model.Bill]) -> None:
        """Writes at most one entry with the first of the missing bills.

        The caller paces the writes and repeats the call until `in` finds all
        bills: an entry may be full, or belong to another writer.

        Raises:
            DragonflydykeError: If the platform did not answer; the call may
                be repeated.
        """
        async with self._lock:
            await self._load()
            chunk = self._select(bills)
            if chunk:
                await self._create({"bills": chunk})

    async def close(self, count: int) -> None:
        """Marks the journal as ended if it has exactly `count` bills.

        Raises:
            DragonflydykeError: If the platform did not answer.
        """
        async with self._lock:
            await self._load()
            # A conflict adopts the entry of another writer instead.
            while self._closed_at != count:
                if self._present.complete_below != count:
                    return
                await self._create({"bills": [], "closed_at": count})

    def _select(self, bills: Iterable[model.Bill]) -> list[dict[str, Any]]:
        chunk: list[dict[str, Any]] = []
        selected: set[int] = set()
        size = 0
        for bill in bills:
            if bill.sequence in self._present or bill.sequence in selected:
                continue
            errors.check_invariant(
                bill.incarnation == self._incarnation,
                f"bill of {bill.incarnation} in journal {self._incarnation}",
            )
            mapping = bill.to_mapping()
            size += len(json.dumps(mapping, separators=(",", ":"))) + 1
            if chunk and size > MAX_ENTRY_BYTES:
                break
            chunk.append(mapping)
            selected.add(bill.sequence)
        chunk.sort(key=lambda mapping: mapping["sequence"])
        return chunk

    async def _create(self, value: dict[str, Any]) -> None:
        after = self._summarise(value["bills"])
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
            # A write that is still under way makes the next create of the
            # same index conflict, or conflicts itself.
            if present is None:
                raise
            value = present.value
        self._absorb(value)

    def _summarise(
        self, bills: Iterable[dict[str, Any]]
    ) -> sequences.SequenceSet:
        after = self._present.copy()
        for bill in bills:
            after.add(bill["sequence"])
        return after

    def _absorb(self, value: dict[str, Any]) -> None:
        for bill in value["bills"]:
            sequence = bill["sequence"]
            errors.check_invariant(
                sequence not in self._present,
                f"sequence {sequence} is twice in journal "
                f"{self._incarnation:016x}, again at index {self._next_index}",
            )
            self._present.add(sequence)
        self._closed_at = value.get("closed_at", -1)
        self._next_index += 1

    async def _load(self) -> None:
        if self._loaded:
            return
        last = await self._find_last()
        if last >= 0:
            await self._read_back(last)
        self._next_index = last + 1
        self._loaded = True

    async def _find_last(self) -> int:
        """Returns the last index, found by doubling and bisection."""
        missing = 1
        while await self._read(missing - 1) is not None:
            missing *= 2
        present = missing // 2 - 1
        missing -= 1
        while missing - present > 1:
            middle = (present + missing) // 2
            if await self._read(middle) is None:
                missing = middle
            else:
                present = middle
        return present

    async def _read_back(self, last: int) -> None:
        """Reads the entries that can hold bills above the complete run."""
        entry = await self._read(last)
        assert entry is not None
        present = sequences.SequenceSet(entry["complete_below"])
        index = last
        while entry is not None and entry["end"] > present.complete_below:
            for bill in entry["bills"]:
                present.add(bill["sequence"])
            index -= 1
            entry = await self._read(index) if index >= 0 else None
        self._present = present

    async def _read(self, index: int) -> dict[str, Any] | None:
        name = format_entry_name(self._incarnation, index)
        stored = await self._objects.get(LEDGER_KIND, name)
        return stored.value if stored else None
