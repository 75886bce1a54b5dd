"""A short seeded soak of router processes, and seeds that once failed."""

import unittest

from tests.soak import runner

_SECONDS = 8.0
# Seeds of soaks that broke a promise, each with its cause:
_SEEDS = (1,)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards the promises to callers against faults that overlap."""

    async def test_promises_hold_under_faults(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                found = await runner.run_soak(seed, _SECONDS)
                print(found.describe())
                self.assertEqual(found.violations, [], found.logs)
                served = sum(
                    count
                    for outcome, count in found.outcomes.items()
                    if outcome.endswith(" 200")
                )
                self.assertGreater(served, 0)
