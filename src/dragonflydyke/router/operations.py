"""Adapters of the membership and the ledger to the admin API."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dragonflydyke import admin, billing, errors
from dragonflydyke.billing import ledger, model
from dragonflydyke.membership import node, writer


class ConfigurationAccess:
    """Applies and reads configurations for the admin API."""

    __slots__ = ("_writer",)

    def __init__(self, configuration_writer: writer.ConfigurationWriter):
        self._writer = configuration_writer

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> admin.AppliedChange:
        """Validates and applies a configuration.

        Args:
            mapping: The complete document.
            applied_by: Stored with the revision, unchanged.
            base_revision: Revision that must be the current one: 0 if there
                must be none yet, None if any is accepted.
        """
        change = await self._writer.apply(mapping, applied_by, base_revision)
        return admin.AppliedChange(change.revision, change.change_id)

    async def read(self, revision: int | None = None) -> admin.StoredRevision:
        """Reads a revision from the platform.

        Args:
            revision: Number of the revision, None for the current one.

        Raises:
            DragonflydykeError: `revision_not_found` if it does not exist.
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
        """Returns the latest revisions, newest first."""
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
    """Inconsistencies of the ledger.

    Attributes:
        gaps: Journals with missing bills or entries.
        duplicates: Journals with duplicate bills.
    """

    gaps: tuple[ledger.JournalProblem, ...]
    duplicates: tuple[ledger.JournalProblem, ...]


class LedgerAccess:
    """Reads bills and checks the ledger for the admin API."""

    __slots__ = ("_membership", "_reader")

    def __init__(
        self, reader: billing.LedgerReader, membership: node.Membership
    ) -> None:
        self._reader = reader
        self._membership = membership

    async def read(self, account: str | None = None) -> Iterable[model.Bill]:
        """Returns the charged bills, one for each bill_id.

        Args:
            account: Name of a client account, None for all.
        """
        statements = await self._reader.read(account)
        return [bill for entry in statements for bill in entry.bills]

    async def check(self) -> LedgerFaults:
        """Checks all journals for missing and duplicate bills."""
        report = await self._reader.check(self._membership.live_incarnations())
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
