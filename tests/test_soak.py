"""Short seeded soak of router processes, and regressions found by soaks."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from tests.soak import request_log, runner

_ROUTER = pathlib.Path(__file__).resolve().parent.parent / "deploy/router.py"
_FAULT_DURATION_S = 8.0
_EXIT_USAGE = 2
# Seeds of soaks that violated an invariant, each with its cause:
# 106, 108: a reload signal during startup terminated the process.
# 37330: a pause that nodes were not told, as its responses were lost, counted.
_SEEDS = (106, 108, 37330)
_NOW_S = 100.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards the guarantees to clients under concurrent faults."""

    async def test_invariants_hold_under_faults(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = await runner.run_soak(seed, _FAULT_DURATION_S)
                print(result.describe())
                self.assertEqual(result.violations, [], result.logs)
                served = sum(
                    count
                    for outcome, count in result.outcomes.items()
                    if outcome.endswith(" 200")
                )
                self.assertGreater(served, 0)


class StatementLogTest(unittest.TestCase):
    """Guards against soaks that blame a node for what it was not told."""

    def setUp(self) -> None:
        self.violations: list[str] = []
        self.log = request_log.StatementLog(self.violations.append)

    def check_arrivals(self) -> None:
        """Lets requests arrive within the time of a statement."""
        for _ in range(5):
            self.log.check_arrival("plain-5", "node-1", _NOW_S + 1.0)

    def test_requests_against_a_statement_are_reported(self) -> None:
        self.log.record("plain-5", "node-1", _NOW_S, _NOW_S + 3.0)
        self.check_arrivals()
        self.assertEqual(len(self.violations), 3)

    def test_statement_over_a_disturbed_link_does_not_count(self) -> None:
        """Seed 37330: all responses with the pause were lost."""
        self.log.record("plain-5", "node-1", _NOW_S, _NOW_S + 3.0)
        with self.log.disturb_link("plain-5"):
            self.log.record("plain-5", "node-1", _NOW_S, _NOW_S + 3.0)
            self.check_arrivals()
        self.check_arrivals()
        self.assertEqual(self.violations, [])

    def test_statement_after_a_disturbance_counts(self) -> None:
        with self.log.disturb_link("plain-5"):
            pass
        self.test_requests_against_a_statement_are_reported()


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against signals that arrive during startup."""

    async def test_reload_signal_during_startup_is_ignored(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            # Reading the settings from a FIFO blocks the startup.
            os.mkfifo(path)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROUTER),
                stderr=asyncio.subprocess.DEVNULL,
                env=os.environ | {"DRAGONFLYDYKE_CONFIG": str(path)},
            )
            with await asyncio.to_thread(path.open, "w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("{}")
            self.assertEqual(await process.wait(), _EXIT_USAGE)
