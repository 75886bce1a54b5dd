"""Tests of the metrics sent to statsd and of the log formats."""

import contextlib
import io
import json
import socket
import unittest

from dragonflydyke import logs, metrics


class CountersTest(unittest.TestCase):
    """Guards against increments that are lost or sent twice."""

    def test_flush_sends_each_increment_once(self) -> None:
        """Guards against a second flush that repeats the counters.

        Also guards against characters that statsd reserves.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(10)
            host, port = server.getsockname()
            counters = metrics.connect_counters(host, port, "test")
            counters.increment("refusal.not confirmed")
            counters.increment("refusal.not confirmed", 2)
            counters.set_gauge("request.in_progress", 4)
            counters.record_timing("request.duration", 1.5)
            counters.flush()
            lines = server.recv(4_096).decode().splitlines()
            self.assertIn("test.refusal.not_confirmed:3|c", lines)
            self.assertIn("test.request.in_progress:4|g", lines)
            self.assertTrue(
                any(
                    line.startswith("test.request.duration:1.5")
                    for line in lines
                )
            )
            counters.flush()
            self.assertNotIn("|c", server.recv(4_096).decode())
        self.assertEqual(counters.total("refusal.not_confirmed"), 3)


class LogFormatTest(unittest.TestCase):
    """Guards against log lines that a log collector cannot parse."""

    def _log(self, output_format: str) -> str:
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            handler = logs.configure("info", output_format)
            try:
                logger = logs.get_logger("test")
                logger.debug("dropped")
                logger.notice('peer "lost"', peer="router-1", error=OSError(1))
            finally:
                handler.pop_application()
        return output.getvalue()

    def test_json_line_has_all_fields(self) -> None:
        """Guards against quotes in a message producing invalid JSON.

        Also guards against records below the configured level.
        """
        lines = self._log("json").splitlines()
        self.assertEqual(len(lines), 1)
        entry = json.loads(lines[0])
        self.assertEqual(entry["message"], 'peer "lost"')
        self.assertEqual(entry["peer"], "router-1")
        self.assertEqual(entry["level"], "notice")

    def test_text_line_has_message_and_fields(self) -> None:
        """Guards against a text format that leaves out the fields."""
        self.assertIn('peer "lost" peer=router-1', self._log("text"))
