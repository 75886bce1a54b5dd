"""Tests of the load generator."""

import asyncio
import json
import pathlib
import tempfile
import unittest

import tornado.httpserver
import tornado.testing
import tornado.web

from dragonflydyke.load import main, model, open_loop, results, workloads

_STREAM = (
    b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
    b'data: {"choices":[],"dragonflydyke":{"version":"m@v1","cost":7}}\n\n'
    b"data: [DONE]\n\n"
)
_REJECTION = {"error": {"code": "overloaded", "execution": "not run"}}


class _Handler(tornado.web.RequestHandler):
    def post(self) -> None:
        name = json.loads(self.request.body)["model"]
        if name == "full":
            self.set_status(503)
            self.write(_REJECTION)
        elif name == "cut":
            self.write(_STREAM.removesuffix(b"data: [DONE]\n\n"))
        else:
            self.write(_STREAM)


class ScheduleTest(unittest.TestCase):
    """Guards against schedules that differ between compared policies."""

    def test_equal_seeds_give_equal_arrivals(self) -> None:
        workload = workloads.WORKLOADS["office_mix"]
        first, same, other = (
            workloads.build_schedule(
                workload, rate=20.0, duration_s=10.0, seed=seed, account_count=3
            )
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, same)
        self.assertNotEqual(first, other)

    def test_rate_rises_tenfold(self) -> None:
        arrivals = workloads.build_schedule(
            workloads.WORKLOADS["shift_start"],
            rate=50.0,
            duration_s=40.0,
            seed=1,
        )
        before = sum(a.at_s < 10.0 for a in arrivals) / 10.0
        after = sum(a.at_s >= 12.0 for a in arrivals) / 28.0
        self.assertAlmostEqual(before, 50.0, delta=10.0)
        self.assertAlmostEqual(after, 500.0, delta=30.0)


_PROGRAM_TIMEOUT_S = 60.0


class SenderTest(tornado.testing.AsyncHTTPTestCase):
    """Guards against wrong outcomes and latencies in the records."""

    def get_app(self) -> tornado.web.Application:
        return tornado.web.Application([(r"/.*", _Handler)])

    async def send(self, *arrivals: model.Arrival) -> list[model.RequestRecord]:
        sender = open_loop.OpenLoopSender([self.get_url("")], ["key"], 20.0)
        try:
            return await sender.send_schedule(arrivals)
        finally:
            sender.close()

    @tornado.testing.gen_test
    async def test_outcomes(self) -> None:
        completed, rejected, truncated = await self.send(
            *(model.Arrival(0.0, "c", name) for name in ("m", "full", "cut"))
        )
        self.assertEqual(
            (completed.outcome, completed.version, completed.cost),
            ("completed", "m@v1", 7),
        )
        self.assertIsNotNone(completed.first_token_s)
        self.assertEqual(
            (rejected.outcome, rejected.execution), ("overloaded", "not run")
        )
        self.assertIsNone(rejected.first_token_s)
        self.assertEqual(truncated.outcome, "answer_incomplete")

    @tornado.testing.gen_test
    async def test_latency_from_intended_start(self) -> None:
        # Guards against coordinated omission: a sender that is behind schedule
        # must count the delay as latency.
        (record,) = await self.send(model.Arrival(-5.0, "c", "m"))
        self.assertGreaterEqual(record.first_token_s, 5.0)
        self.assertGreaterEqual(record.total_s, 5.0)
        self.assertLess(record.answer_s, record.total_s)

    # Importing matplotlib and drawing take longer than the default timeout of
    # five seconds on a busy machine.
    @tornado.testing.gen_test(timeout=_PROGRAM_TIMEOUT_S)
    async def test_program(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            (path / "key").write_text("key\n")
            code = await asyncio.to_thread(
                main.main,
                [
                    *("run", "--url", self.get_url("/"), "--duration", "0.5"),
                    *("--key-file", str(path / "key"), "--quiet"),
                    *("--json", str(path / "result.json")),
                    *("--plot", str(path / "plot.png")),
                ],
            )
            self.assertEqual(code, 0)
            content = json.loads((path / "result.json").read_text())
            self.assertTrue(content["records"])
            self.assertEqual(content["settings"]["workload"], "line_questions")
            self.assertGreater((path / "plot.png").stat().st_size, 0)

    @tornado.testing.gen_test
    async def test_json_result(self) -> None:
        records = await self.send(model.Arrival(0.0, "c", "m"))
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "result.json"
            results.write_json(path, {"seed": 1}, records)
            content = json.loads(path.read_text())
        self.assertEqual(content["classes"][-1]["completed"], 1)
        self.assertEqual(content["records"][0]["outcome"], "completed")
