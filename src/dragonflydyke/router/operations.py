"""What the admin API needs, on top of the membership and the ledger."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dragonflydyke import admin, billing, errors
from dragonflydyke.billing import ledger, model
from dragonflydyke.membership import node, writer


class ConfigurationAccess:
    """Applies and reads configurations for operators."""

    __slots__ = ("_writer",)

    def __init__(self, configuration_writer: writer.ConfigurationWriter):
        self._writer = configuration_writer

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> admin.AppliedChange:
        """Validates and applies a configuration."""
        change = await self._writer.apply(mapping, applied_by, base_revision)
        return admin.AppliedChange(change.revision, change.change_id)

    async def read(self, revision: int | None = None) -> admin.StoredRevision:
        """Reads a revision, or the current one, from the platform.

        Raises:
            DragonflydykeError: `revision_not_found` if there is none.
        """
        change = await self._writer.read(revision)
        if change is None:
            name = "any" if revision is None else str(revision)
            raise errors.DragonflydykeError(
                "revision_not_found",
                f"there is no configuration revision ({name});"
                " see `dragonflydyke history`",
                step=errors.Step.READ_PLATFORM,
                status=404,
            )
        return admin.StoredRevision(
            revision=change.revision,
            document=change.document,
            applied_at_ms=change.applied_at_ms,
            applied_by=change.applied_by,
            change_id=change.change_id,
        )

    async def history(self) -> Sequence[admin.RevisionSummary]:
        """Returns the newest revisions, newest first."""
        return [
            admin.RevisionSummary(
                revision=change.revision,
                applied_at_ms=change.applied_at_ms,
                applied_by=change.applied_by,
                change_id=change.change_id,
            )
            for change in await self._writer.history()
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class LedgerFaults:
    """Journals with missing bills, and journals with duplicates."""

    gaps: tuple[ledger.JournalProblem, ...]
    duplicates: tuple[ledger.JournalProblem, ...]


class LedgerAccess:
    """Reads bills for operators."""

    __slots__ = ("_member", "_reader")

    def __init__(
        self, reader: billing.LedgerReader, member: node.Membership
    ) -> None:
        self._reader = reader
        self._member = member

    async def read(self, account: str | None = None) -> Iterable[model.Bill]:
        """Returns the bills of one or all accounts, each bill_id once."""
        statements = await self._reader.read(account)
        return [bill for entry in statements for bill in entry.bills]

    async def check(self) -> LedgerFaults:
        """Returns the journals that miss bills or hold one twice."""
        report = await self._reader.check(self._member.live_incarnations())
        return LedgerFaults(
            gaps=tuple(
                problem
                for problem in report.problems
                if problem.missing_indexes
                or problem.missing_sequences
                or problem.end_missing
            ),
            duplicates=tuple(
                problem
                for problem in report.problems
                if problem.duplicate_sequences
            ),
        )
