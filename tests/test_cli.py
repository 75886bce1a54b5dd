"""Tests of the command-line interface with an admin API in the same process."""

import asyncio
import io
import json
import os
import pathlib
import re
import socket
import struct
import tempfile
import unittest
from typing import Any
from unittest import mock
from urllib import parse

from cleo.io.outputs import buffered_output
from tornado import testing

from dragonflydyke import configuration, errors
from dragonflydyke.cli import client as admin_client
from dragonflydyke.cli import main, operations, output
from dragonflydyke.cli.exit_codes import ExitCode
from dragonflydyke.configuration import loader
from tests.builders import admin as builders
from tests.builders import documents


class CommandLineTest(unittest.IsolatedAsyncioTestCase):
    """Guards against exit codes and output that mislead a script."""

    async def asyncSetUp(self) -> None:
        self.server = builders.AdminServer()
        self.addAsyncCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = pathlib.Path(folder.name)
        self.mapping = configuration.to_mapping(documents.build_document())
        self._write_files()
        variables = {"DRAGONFLYDYKE_OPERATOR_KEY": builders.OPERATOR_KEY}
        patch = mock.patch.dict(os.environ, variables)
        patch.start()
        self.addCleanup(patch.stop)

    def _write_files(self) -> None:
        text = output.format_yaml(self.mapping)
        (self.files / "all.yaml").write_text(text)

    async def _run(
        self, *arguments: str, server: str = ""
    ) -> tuple[int, str, str]:
        return await self._run_locally(
            *arguments, "--server", server or self.server.url
        )

    async def _run_locally(self, *command_line: str) -> tuple[int, str, str]:
        out = buffered_output.BufferedOutput()
        err = buffered_output.BufferedOutput()
        code = await asyncio.to_thread(main.main, list(command_line), out, err)
        return code, out.fetch(), err.fetch()

    async def _run_json(self, *arguments: str) -> Any:
        code, out, err = await self._run(*arguments, "--output", "json")
        self.assertEqual(code, ExitCode.OK, err)
        return json.loads(out)

    async def test_get_returns_the_applied_document_unchanged(self) -> None:
        """Guards against YAML output of `get` that cannot be applied again."""
        code, out, _ = await self._run("apply", str(self.files))
        self.assertEqual((code, out), (ExitCode.OK, "revision 1 applied\n"))
        stored = await self._run_json("get")
        self.assertEqual(stored["document"], self.mapping)
        _, text, _ = await self._run("get")
        (self.files / "all.yaml").write_text(text)
        loaded = configuration.load_files([self.files])
        self.assertEqual(configuration.to_mapping(loaded), self.mapping)

    async def test_one_of_two_concurrent_applies_is_rejected(self) -> None:
        """Guards against an apply that overwrites a concurrent change."""
        results = await asyncio.gather(
            *(
                self._run("apply", str(self.files), "--base-revision", "0")
                for _ in range(2)
            )
        )
        codes = sorted(result[0] for result in results)
        self.assertEqual(codes, [ExitCode.OK, ExitCode.CONFLICT])
        self.assertEqual(len(self.server.writer.revisions), 1)

    async def test_change_with_a_lost_response_is_read_back(self) -> None:
        """Guards against reporting an applied change as failed."""
        self.server.writer.lose_responses = 1
        result = await self._run_json("apply", str(self.files))
        self.assertEqual(result["revision"], 1)
        self.assertTrue(result["read_back"])

    async def test_write_is_not_retried_after_a_connection_reset(self) -> None:
        """Guards against applying the files twice through the next server."""

        async def reset(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split()[1]
            query = parse.parse_qs(parse.urlsplit(target).query)
            if head.startswith("POST"):
                length = re.search(r"Content-Length: (\d+)", head)
                assert length is not None
                body = await reader.readexactly(int(length[1]))
                await self.server.writer.apply(
                    json.loads(body), f"ada#{query['change_token'][0]}", 0
                )
            # A linger time of 0 s makes close send a TCP reset, which the
            # client sees as an OSError.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        listener, port = testing.bind_unused_port()
        resetting_server = await asyncio.start_server(reset, sock=listener)
        self.addAsyncCleanup(resetting_server.wait_closed)
        self.addCleanup(resetting_server.close)
        code, out, err = await self._run(
            "apply",
            str(self.files),
            "--server",
            f"http://127.0.0.1:{port}",
        )
        self.assertEqual(code, ExitCode.OK, err)
        self.assertIn("response was lost", out)
        self.assertEqual(len(self.server.writer.revisions), 1)

    async def test_unresolved_outcome_is_reported_as_unknown(self) -> None:
        """Guards against reporting success or rejection without evidence.

        The change and its response are lost, so that reading back finds
        neither the change nor a conflicting one before the timeout.
        """
        self.server.writer.lose_requests = 2
        client = admin_client.AdminClient(
            [self.server.url], builders.OPERATOR_KEY
        )
        self.addCleanup(client.close)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await operations.apply_configuration(
                client, self.mapping, "ada", 0, 0.0
            )
        self.assertIs(caught.exception.execution, errors.Execution.UNKNOWN)
        with mock.patch.object(operations, "SETTLE_TIMEOUT_S", 0.0):
            code, _, err = await self._run("apply", str(self.files))
        self.assertEqual(code, ExitCode.OUTCOME_UNKNOWN, err)

    async def test_lost_change_is_a_conflict_if_another_was_applied(
        self,
    ) -> None:
        """Guards against exit code 5 although the outcome is known.

        After another change to the same base revision, the lost one can no
        longer take effect.
        """
        self.server.writer.lose_requests = 1
        apply = self.server.writer.apply

        async def lose_change_and_apply_another(*arguments: Any) -> Any:
            try:
                return await apply(*arguments)
            finally:
                await apply(self.mapping, "other")

        with mock.patch.object(
            self.server.writer, "apply", lose_change_and_apply_another
        ):
            code, _, err = await self._run("apply", str(self.files))
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn("other", err)

    async def test_exit_codes_of_rejections_and_usage_errors(self) -> None:
        """Guards against a wrong exit code and an empty error output."""
        missing = str(self.files / "missing.yaml")
        for expected, arguments in (
            (ExitCode.REJECTED, ("apply", missing)),
            (ExitCode.REJECTED, ("get", "--revision", "9")),
            (ExitCode.USAGE, ("get", "--revision", "x")),
            (ExitCode.USAGE, ("get", "--output", "xml")),
            (ExitCode.USAGE, ("get", "--operator-key-file", missing)),
            (ExitCode.USAGE, ("get", "--unknown")),
        ):
            with self.subTest(arguments=arguments):
                code, _, err = await self._run(*arguments)
                self.assertEqual(code, expected, err)
                self.assertTrue(err)

    async def test_next_server_is_tried_after_a_refused_connection(
        self,
    ) -> None:
        """Guards against failing while one of several routers is down."""
        listener, port = testing.bind_unused_port()
        listener.close()
        closed_url = f"http://127.0.0.1:{port}"
        code, _, _ = await self._run("status", "--server", closed_url)
        self.assertEqual(code, ExitCode.OK)
        code, _, err = await self._run("status", server=closed_url)
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn(closed_url, err)

    async def test_wait_returns_when_all_vms_have_the_revision(self) -> None:
        """Guards against success while a listed VM lacks the revision."""
        await self._run("apply", str(self.files))
        result = await self._run_json("wait")
        self.assertEqual(result, {"revision": 1})
        self.server.fleet.revisions = [1, None]
        code, _, err = await self._run("wait", "--timeout", "0")
        self.assertEqual(code, ExitCode.TIMEOUT)
        self.assertIn("vm-1", err)

    async def test_validate_separates_errors_from_warnings(self) -> None:
        """Guards against a pipeline that stops, or goes on, by mistake."""
        path = str(self.files)
        # The document has a data centre without servers, and more.
        code, out, _ = await self._run_locally("validate", path)
        self.assertEqual(code, ExitCode.OK, out)
        self.assertIn("warning [data_centre_unserved] data_centres[1]", out)
        code, out, _ = await self._run_locally(
            "validate", path, "--strict", "--output", "json"
        )
        self.assertEqual(code, ExitCode.REJECTED)
        report = json.loads(out)
        self.assertTrue(report["valid"])
        self.assertEqual(
            {found["severity"] for found in report["findings"]}, {"warning"}
        )
        self.mapping["classes"][0]["deadline_s"] = -1
        self._write_files()
        code, out, _ = await self._run_locally("validate", path)
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("error [invalid] classes[0].deadline_s: must be", out)

    async def test_unreadable_input_gives_one_error(self) -> None:
        """Guards against a traceback, and against reading without limit."""
        file = self.files / "all.yaml"
        for content, expected in (
            (b"a: " + b"[" * 100_000, "nested too deeply"),
            (b"#" * (loader.MAX_FILE_BYTES + 1), "is larger than"),
            (b"\xff", "can't decode"),
            (b"a: [", "expected"),
        ):
            with self.subTest(expected=expected):
                file.write_bytes(content)
                code, out, err = await self._run_locally(
                    "validate", str(file), "--output", "json"
                )
                self.assertEqual(code, ExitCode.USAGE)
                (found,) = json.loads(out)["findings"]
                self.assertEqual(found["code"], "unreadable")
                self.assertIn(expected, err)
                code, _, _ = await self._run("diff", str(file))
                self.assertEqual(code, ExitCode.USAGE)

    async def test_diff_shows_and_rejects_a_forbidden_change(self) -> None:
        """Guards against a diff that succeeds where apply would fail."""
        versions = self.mapping["models"][0]["versions"]
        versions[0]["state"] = "withdrawn"
        self._write_files()
        await self._run("apply", str(self.files))
        versions[0]["state"] = "active"
        self._write_files()
        code, out, err = await self._run("diff", str(self.files))
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("~ models[planner-small].versions[v1].state", out)
        self.assertIn("cannot become active again", err)

    async def test_bills_check_fails_on_gaps(self) -> None:
        """Guards against exit code 0 when the ledger has gaps."""
        result = await self._run_json("bills", "--client-account", "a")
        self.assertEqual([b["cost"] for b in result["bills"]], [7])
        self.assertEqual((await self._run("bills", "--check"))[0], ExitCode.OK)
        self.server.bills.gaps = ["incarnation x: 7"]
        code, out, _ = await self._run("bills", "--check")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertEqual(out, "gap: incarnation x: 7\n")

    async def test_rotate_session_keys_shows_the_newest_key(self) -> None:
        """Guards against showing an old key id after a rotation."""
        result = await self._run_json("rotate-session-keys")
        self.assertEqual(result["key_ids"], ["key-1", "key-2"])
        _, out, _ = await self._run("rotate-session-keys")
        self.assertEqual(out, "session keys rotated, newest key-3, 3 keys\n")

    async def test_tables_show_headings_and_rows(self) -> None:
        """Guards against commands whose text output lacks its table."""
        for command, expected in (
            ("status", "vm-1"),
            ("roll-outs", "running"),
            ("bills", "completed"),
            ("history", "REVISION"),
            ("counters", "VALUE"),
        ):
            code, out, err = await self._run(command)
            self.assertEqual(code, ExitCode.OK, err)
            self.assertIn(expected, out)

    async def test_counters_are_filtered_by_prefix(self) -> None:
        """Guards against an operator not finding the counter of an alert."""
        self.server.counters.increment("refusal.overloaded", 3)
        self.server.counters.increment("retry.backend_failed")
        shown = await self._run_json("counters", "--prefix", "refusal.")
        self.assertEqual(
            shown, {"counters": {"refusal.overloaded": 3}, "gauges": {}}
        )

    def test_hash_key_ignores_the_line_ending(self) -> None:
        """Guards against a hash that depends on how the key is piped in."""
        for text in ("demo-key", "demo-key\n", "demo-key\r\n"):
            out = buffered_output.BufferedOutput()
            with mock.patch("sys.stdin", io.StringIO(text)):
                code = main.main(["hash-key"], out, out)
            self.assertEqual(code, ExitCode.OK)
            self.assertEqual(
                out.fetch().strip(), documents.hash_key("demo-key")
            )
