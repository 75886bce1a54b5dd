"""Tests of the history of a request in the logs of nodes."""

import json
import pathlib
import tempfile
import unittest

from cleo.io.outputs import buffered_output

from dragonflydyke.cli import main
from dragonflydyke.cli.exit_codes import ExitCode


class ExplainTest(unittest.TestCase):
    """Guards against a history that lacks lines or mixes requests."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write_log(self, name: str, *lines: str) -> str:
        """Writes a log and returns its path."""
        path = self.folder / name
        path.write_text("".join(f"{line}\n" for line in lines))
        return str(path)

    def run_explain(self, *arguments: str) -> tuple[int, str, str]:
        """Returns exit code, output and errors."""
        out = buffered_output.BufferedOutput()
        err = buffered_output.BufferedOutput()
        code = main.main(["explain", *arguments], out, err)
        return code, out.fetch(), err.fetch()

    def test_lines_of_all_nodes_are_shown_in_order(self) -> None:
        first = self.write_log(
            "a.log",
            _build_line(3, "r1", "request ended", outcome="delivered"),
            _build_line(1, "r1", "attempt", server="s1"),
            _build_line(2, "r11", "attempt", server="s2"),
        )
        second = self.write_log(
            "b.log",
            "starting r1",
            "12.5 node-2 " + _build_line(2, "r1", "attempt", server="s3"),
            '{"request": "r1", cut',
        )
        code, out, _ = self.run_explain("r1", first, second)
        self.assertEqual(code, ExitCode.OK)
        lines = out.splitlines()
        self.assertEqual(
            [line.split(" ")[0] for line in lines], ["1", "2", "3"]
        )
        self.assertIn("attempt: server=s3 log=b.log", lines[1])

    def test_unknown_request_is_reported(self) -> None:
        log = self.write_log("a.log", _build_line(1, "r1", "attempt"))
        code, out, _ = self.run_explain("r2", log)
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("no line on request r2", out)

    def test_missing_log_is_named(self) -> None:
        code, _, err = self.run_explain("r1", str(self.folder / "none.log"))
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("none.log", err)


def _build_line(time: int, request_id: str, message: str, **fields: str) -> str:
    return json.dumps(
        {"time": str(time), "message": message, "request": request_id} | fields
    )
