"""Reads all journals: statements and checks."""

import collections
import dataclasses
from collections.abc import AsyncIterator, Collection, Iterable

from dragonflydyke import objects
from dragonflydyke.billing import journal, model

# Entries may have up to 1 MB, and a list must fit the client's body limit.
_PAGE_ENTRIES = 5
_OUTCOME_RANKS = {
    model.Outcome.COMPLETED: 0,
    model.Outcome.CANCELLED: 1,
    model.Outcome.FAILED: 2,
}


@dataclasses.dataclass(slots=True)
class Statement:
    """What a client account owes.

    Attributes:
        client_account: The account.
        bills: One bill per bill_id, completed ones first.
        repeated: Other bills with a bill_id already counted.
    """

    client_account: str
    bills: list[model.Bill] = dataclasses.field(default_factory=list)
    repeated: list[model.Bill] = dataclasses.field(default_factory=list)

    @property
    def cost(self) -> int:
        """Sum of the counted bills in micro-units of currency."""
        return sum(bill.cost for bill in self.bills)


@dataclasses.dataclass(slots=True, frozen=True)
class JournalProblem:
    """What is wrong with one journal.

    Attributes:
        incarnation: The journal.
        missing_indexes: Entries that are missing before the last one.
        missing_sequences: Bills that are missing before the last one.
        duplicate_sequences: Bills that are in the journal twice.
        end_missing: Whether the journal of a dead incarnation has no mark of
            its end, so that bills may be missing after the last one.
    """

    incarnation: int
    missing_indexes: tuple[int, ...] = ()
    missing_sequences: tuple[int, ...] = ()
    duplicate_sequences: tuple[int, ...] = ()
    end_missing: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class LedgerReport:
    """Result of a check of all journals."""

    journals: int
    bills: int
    problems: tuple[JournalProblem, ...]


@dataclasses.dataclass(slots=True)
class _Contents:
    indexes: set[int] = dataclasses.field(default_factory=set)
    bills: list[model.Bill] = dataclasses.field(default_factory=list)
    closed_at: int = -1


class LedgerReader:
    """Reads the bills of all incarnations from the platform."""

    __slots__ = ("_objects",)

    def __init__(self, objects_client: objects.ObjectStore) -> None:
        self._objects = objects_client

    async def read(self, account: str | None = None) -> list[Statement]:
        """Returns the statements of all accounts, or of one.

        Of several bills with one bill_id the earliest completed one counts,
        else the earliest cancelled one, else the earliest.

        Raises:
            PlatformUnavailableError: If the platform did not answer.
        """
        contents = await self._read_journals()
        bills = [b for entry in contents.values() for b in entry.bills]
        if account is not None:
            bills = [b for b in bills if b.client_account == account]
        return _build_statements(bills)

    async def check(
        self, live_incarnations: Collection[int] = ()
    ) -> LedgerReport:
        """Looks for lost and duplicate bills.

        Args:
            live_incarnations: Running routers, whose journals need no end.

        Raises:
            PlatformUnavailableError: If the platform did not answer.
        """
        contents = await self._read_journals()
        problems = [
            _check_journal(incarnation, entry, incarnation in live_incarnations)
            for incarnation, entry in sorted(contents.items())
        ]
        return LedgerReport(
            journals=len(contents),
            bills=sum(len(entry.bills) for entry in contents.values()),
            problems=tuple(p for p in problems if p is not None),
        )

    async def _read_journals(self) -> dict[int, _Contents]:
        journals: dict[int, _Contents] = collections.defaultdict(_Contents)
        async for stored in self._list_entries():
            incarnation, index = journal.parse_entry_name(stored.name)
            contents = journals[incarnation]
            contents.indexes.add(index)
            contents.bills += (
                model.parse_bill(value, incarnation)
                for value in stored.value["bills"]
            )
            contents.closed_at = max(
                contents.closed_at, stored.value.get("closed_at", -1)
            )
        return journals

    async def _list_entries(self) -> AsyncIterator[objects.StoredObject]:
        since = 0
        while True:
            listed = await self._objects.list(
                journal.LEDGER_KIND, since=since, limit=_PAGE_ENTRIES
            )
            for stored in listed.objects:
                yield stored
            if listed.complete:
                return
            since = listed.version


def _build_statements(bills: Iterable[model.Bill]) -> list[Statement]:
    statements: dict[str, Statement] = {}
    counted: set[tuple[str, str]] = set()
    for bill in sorted(bills, key=_rank):
        statement = statements.setdefault(
            bill.client_account, Statement(bill.client_account)
        )
        identity = (bill.client_account, bill.bill_id)
        if identity in counted:
            statement.repeated.append(bill)
        else:
            counted.add(identity)
            statement.bills.append(bill)
    return [statements[name] for name in sorted(statements)]


def _rank(bill: model.Bill) -> tuple[int, int, int, int]:
    """Orders bills so that the first of each bill_id is the one to count.

    A failed try is not billed, so it must not take the place of the retry
    that answered.
    """
    return (
        _OUTCOME_RANKS[bill.outcome],
        bill.finished_at_ms,
        bill.incarnation,
        bill.sequence,
    )


def _check_journal(
    incarnation: int, contents: _Contents, is_live: bool
) -> JournalProblem | None:
    counts = collections.Counter(bill.sequence for bill in contents.bills)
    end = max(counts, default=-1) + 1
    end = max(end, contents.closed_at)
    last_index = max(contents.indexes)
    problem = JournalProblem(
        incarnation,
        tuple(i for i in range(last_index) if i not in contents.indexes),
        tuple(s for s in range(end) if s not in counts),
        tuple(s for s, count in sorted(counts.items()) if count > 1),
        end_missing=not is_live and contents.closed_at != end,
    )
    found = dataclasses.replace(problem, incarnation=0) != JournalProblem(0)
    return problem if found else None
