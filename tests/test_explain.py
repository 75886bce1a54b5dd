"""Tests of the `explain` command, which collects a request's log records."""

import json
import pathlib
import tempfile
import unittest

from cleo.io.outputs import buffered_output

from dragonflydyke.cli import main
from dragonflydyke.cli.exit_codes import ExitCode


class ExplainTest(unittest.TestCase):
    """Guards against missing records and records of other requests."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write_log(self, name: str, *lines: str) -> str:
        """Writes a log file and returns its path."""
        path = self.folder / name
        path.write_text("".join(f"{line}\n" for line in lines))
        return str(path)

    def run_explain(self, *arguments: str) -> tuple[int, str, str]:
        """Runs the command; returns exit code, output and error output."""
        out = buffered_output.BufferedOutput()
        err = buffered_output.BufferedOutput()
        code = main.main(["explain", *arguments], out, err)
        return code, out.fetch(), err.fetch()

    def test_records_of_all_nodes_are_sorted_by_time(self) -> None:
        """Guards against a prefixed or truncated line hiding records.

        Also guards against a match on a request id that merely starts with
        the given one.
        """
        first = self.write_log(
            "a.log",
            _format_log_line(3, "r1", "request ended", outcome="delivered"),
            _format_log_line(1, "r1", "attempt", server="s1"),
            _format_log_line(2, "r11", "attempt", server="s2"),
        )
        second = self.write_log(
            "b.log",
            "starting r1",
            "12.5 node-2 " + _format_log_line(2, "r1", "attempt", server="s3"),
            '{"request": "r1", cut',
        )
        code, out, _ = self.run_explain("r1", first, second)
        self.assertEqual(code, ExitCode.OK)
        lines = out.splitlines()
        self.assertEqual(
            [line.split(" ")[0] for line in lines], ["1", "2", "3"]
        )
        self.assertIn("attempt: server=s3 log=b.log", lines[1])

    def test_unknown_request_is_rejected(self) -> None:
        """Guards against an exit code 0 when no log has the request."""
        log = self.write_log("a.log", _format_log_line(1, "r1", "attempt"))
        code, out, _ = self.run_explain("r2", log)
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("no log line for request r2", out)

    def test_missing_log_file_is_named_in_the_error(self) -> None:
        """Guards against a missing file being treated as an empty log."""
        code, _, err = self.run_explain("r1", str(self.folder / "none.log"))
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("none.log", err)


def _format_log_line(
    time: int, request_id: str, message: str, **fields: str
) -> str:
    return json.dumps(
        {"time": str(time), "message": message, "request": request_id} | fields
    )
