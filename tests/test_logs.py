"""Tests of the bounded log and of the latency histograms."""

import json
import os
import unittest

import logbook

from dragonflydyke import latencies, logs


class BoundedLogTest(unittest.TestCase):
    """Guards against a log that blocks the loop or grows without bound."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = logs.NonBlockingHandler(self.writer, logbook.INFO)
        self.logger = logs.get_logger("test")

    def read(self) -> list[str]:
        """Returns the lines that were written."""
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_lines_over_the_rate_are_dropped_and_counted(self) -> None:
        with self.handler.applicationbound():
            for number in range(1_000):
                self.logger.info(f"line {number}")
            # Nothing reads; a further line would block if it could.
            self.handler._bucket.take(-1_000.0)
            self.logger.info("last")
        lines = self.read()
        self.assertLess(len(lines), 500)
        counts = [
            json.loads(line)["count"]
            for line in lines
            if line.startswith('{"message": "log lines dropped"')
        ]
        self.assertEqual(sum(counts) + len(lines) - len(counts), 1_001)
        self.assertIn("last", lines[-1])

    def test_log_that_nobody_reads_does_not_block(self) -> None:
        with self.handler.applicationbound():
            for _ in range(200):
                self.handler._bucket.take(-1.0)
                self.logger.info("x" * 10_000)
        self.assertTrue(self.read())


class LatencyTest(unittest.TestCase):
    """Guards against a metrics page without the tail."""

    def test_percentiles(self) -> None:
        book = latencies.Latencies()
        for number in range(1, 101):
            book.record("request.r1", number / 100)
        lines = dict(line.split(" ") for line in book.describe().splitlines())
        self.assertEqual(lines["request.r1.count"], "100")
        self.assertAlmostEqual(int(lines["request.r1.p99_ms"]), 990, delta=10)
