"""Tests of the statements of client accounts."""

import dataclasses
import unittest

from dragonflydyke.billing import journal, ledger, model
from tests.builders import bills, objects


class StatementTest(unittest.IsolatedAsyncioTestCase):
    """Guards against retries that are charged twice or not at all."""

    async def test_failed_attempt_does_not_replace_its_retry(self) -> None:
        platform = objects.InMemoryObjectStore()
        completed = bills.build_bill(1)
        completed.sequence = 1
        failed = dataclasses.replace(
            completed,
            outcome=model.Outcome.FAILED,
            cost=0,
            finished_at_ms=completed.finished_at_ms - 10,
            sequence=0,
        )
        later = dataclasses.replace(
            completed,
            finished_at_ms=completed.finished_at_ms + 10,
            sequence=2,
        )
        await platform.create(
            journal.LEDGER_KIND,
            "0000000000000007.0",
            {"bills": [b.to_mapping() for b in (failed, completed, later)]},
        )
        (statement,) = await ledger.LedgerReader(platform).read()
        self.assertEqual([b.sequence for b in statement.bills], [1])
        self.assertEqual(statement.cost, completed.cost)
        self.assertEqual(len(statement.repeated), 2)

    async def test_reads_all_pages_of_the_ledger(self) -> None:
        # Guards against a reader that stops after the first page of a ledger.
        platform = objects.InMemoryObjectStore()
        for number in range(23):
            await platform.create(
                journal.LEDGER_KIND,
                f"0000000000000007.{number}",
                {"bills": [bills.build_bill(number).to_mapping()]},
            )
        (statement,) = await ledger.LedgerReader(platform).read()
        self.assertEqual(len(statement.bills), 23)
        self.assertGreater(platform.reads, 4)
