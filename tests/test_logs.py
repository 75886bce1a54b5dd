"""Tests of the non-blocking log handler and of the latency percentiles."""

import json
import os
import unittest

import logbook

from dragonflydyke import latencies, logs


class NonBlockingHandlerTest(unittest.TestCase):
    """Guards against logging that blocks the event loop or fills memory."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = logs.NonBlockingHandler(self.writer, logbook.INFO)
        self.logger = logs.get_logger("test")

    def read(self) -> list[str]:
        """Returns the lines that were written to the pipe."""
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_lines_over_the_rate_limit_are_dropped_and_counted(self) -> None:
        """Guards against lines that are dropped without being counted."""
        with self.handler.applicationbound():
            for number in range(1_000):
                self.logger.info(f"line {number}")
            # A negative amount refills the token bucket, so that the last line
            # is accepted; a blocking write would hang, as nothing is read yet.
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

    def test_handler_does_not_block_when_the_pipe_is_full(self) -> None:
        """Guards against a reader that stalls stopping the whole process."""
        with self.handler.applicationbound():
            for _ in range(200):
                self.handler._bucket.take(-1.0)
                self.logger.info("x" * 10_000)
        self.assertTrue(self.read())


class LatencyTest(unittest.TestCase):
    """Guards against wrong counts and tail percentiles in the metrics."""

    def test_count_and_99th_percentile(self) -> None:
        """Guards against a tail latency that is off by more than 10 ms."""
        recorded = latencies.LatencyHistograms()
        for number in range(1, 101):
            recorded.record("request.r1", number / 100)
        lines = dict(
            line.split(" ") for line in recorded.format_text().splitlines()
        )
        self.assertEqual(lines["request.r1.count"], "100")
        self.assertAlmostEqual(int(lines["request.r1.p99_ms"]), 990, delta=10)
