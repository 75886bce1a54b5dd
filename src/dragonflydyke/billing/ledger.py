"""Statements of client accounts and consistency checks of all journals."""

import collections
import dataclasses
from collections.abc import AsyncIterator, Collection, Iterable

from dragonflydyke import objects
from dragonflydyke.billing import journal, model

# An entry may have up to 1 MB, and a page must stay within the body limit of
# the HTTP client.
_ENTRIES_PER_PAGE = 5
_OUTCOME_ORDER = {
    model.Outcome.COMPLETED: 0,
    model.Outcome.CANCELLED: 1,
    model.Outcome.FAILED: 2,
}


@dataclasses.dataclass(slots=True)
class Statement:
    """Bills that are charged to a client account.

    Attributes:
        client_account: The account.
        bills: The charged bills, one per bill_id, completed ones first.
        repeated: Further bills with the same bill_id, which are not charged.
    """

    client_account: str
    bills: list[model.Bill] = dataclasses.field(default_factory=list)
    repeated: list[model.Bill] = dataclasses.field(default_factory=list)

    @property
    def cost(self) -> int:
        """Sum of the charged bills in micro-units of currency."""
        return sum(bill.cost for bill in self.bills)


@dataclasses.dataclass(slots=True, frozen=True)
class JournalProblem:
    """Inconsistencies of one journal.

    Attributes:
        incarnation: Router process whose journal it is.
        missing_indexes: Indexes of missing entries before the last entry.
        missing_sequences: Sequences of missing bills before the last bill.
        duplicate_sequences: Sequences that occur more than once.
        end_missing: Whether the journal of a stopped router lacks the mark of
            its end, so that bills after the last one may be missing.
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
class _JournalContents:
    indexes: set[int] = dataclasses.field(default_factory=set)
    bills: list[model.Bill] = dataclasses.field(default_factory=list)
    closed_at: int = -1


class LedgerReader:
    """Reads the bills of all incarnations from the platform."""

    __slots__ = ("_objects",)

    def __init__(self, objects_client: objects.ObjectStore) -> None:
        self._objects = objects_client

    async def read(self, account: str | None = None) -> list[Statement]:
        """Returns the statements of all client accounts, or of one.

        Of several bills with the same bill_id, only one is charged: the
        earliest completed bill, else the earliest cancelled bill, else the
        earliest failed bill.

        Args:
            account: Name of a client account, None for all.

        Raises:
            PlatformUnavailableError: If the platform did not respond.
        """
        contents = await self._read_journals()
        bills = [b for entry in contents.values() for b in entry.bills]
        if account is not None:
            bills = [b for b in bills if b.client_account == account]
        return _build_statements(bills)

    async def check(
        self, live_incarnations: Collection[int] = ()
    ) -> LedgerReport:
        """Checks all journals for missing and duplicate bills.

        Args:
            live_incarnations: Incarnations of the running routers, whose
                journals need no mark of the end.

        Raises:
            PlatformUnavailableError: If the platform did not respond.
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

    async def _read_journals(self) -> dict[int, _JournalContents]:
        journals: dict[int, _JournalContents] = collections.defaultdict(
            _JournalContents
        )
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
                journal.LEDGER_KIND, since=since, limit=_ENTRIES_PER_PAGE
            )
            for stored in listed.objects:
                yield stored
            if listed.complete:
                return
            since = listed.version


def _build_statements(bills: Iterable[model.Bill]) -> list[Statement]:
    statements: dict[str, Statement] = {}
    charged: set[tuple[str, str]] = set()
    for bill in sorted(bills, key=_charging_order):
        statement = statements.setdefault(
            bill.client_account, Statement(bill.client_account)
        )
        identity = (bill.client_account, bill.bill_id)
        if identity in charged:
            statement.repeated.append(bill)
        else:
            charged.add(identity)
            statement.bills.append(bill)
    return [statements[name] for name in sorted(statements)]


def _charging_order(bill: model.Bill) -> tuple[int, int, int, int]:
    """Returns a sort key by which the charged bill of each bill_id is first.

    A failed request is not charged, so its bill must not displace that of the
    retry that succeeded.
    """
    return (
        _OUTCOME_ORDER[bill.outcome],
        bill.finished_at_ms,
        bill.incarnation,
        bill.sequence,
    )


def _check_journal(
    incarnation: int, contents: _JournalContents, is_live: bool
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
    faulty = dataclasses.replace(problem, incarnation=0) != JournalProblem(0)
    return problem if faulty else None
