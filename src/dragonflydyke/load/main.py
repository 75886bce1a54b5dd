"""Command-line program dragonflydyke-load."""

import asyncio
import pathlib
import sys
from collections.abc import Sequence

from cleo import application
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import argv_input

import dragonflydyke
from dragonflydyke.load import model, open_loop, plot, results, workloads

_EXIT_FAILURE = 1
_EXIT_USAGE = 2


class _RunCommand(command.Command):
    name = "run"
    description = (
        "Sends a workload to routers and prints latencies and outcomes."
    )
    options = [
        option("url", None, "Public URL of a router.", False, multiple=True),
        option(
            "key-file",
            None,
            "File with the bearer key of a client account.",
            False,
            multiple=True,
        ),
        option(
            "workload",
            None,
            f"One of {', '.join(workloads.WORKLOADS)}.",
            False,
            default="line_questions",
        ),
        option(
            "rate",
            None,
            "Requests per second at the start.",
            False,
            default="10",
        ),
        option("duration", None, "Seconds.", False, default="10"),
        option("seed", None, "Seed of the schedule.", False, default="1"),
        option(
            "timeout",
            None,
            "Timeout of a request in seconds.",
            False,
            default="120",
        ),
        option(
            "json",
            None,
            "File to which the results are written as JSON.",
            False,
        ),
        option(
            "plot",
            None,
            "File for a plot; needs the optional dependency plot.",
            False,
        ),
    ]

    def handle(self) -> int:
        """Returns 0 if every request got a response, 1 if not, 2 on misuse."""
        try:
            records = self._send_workload()
        except (KeyError, ValueError, OSError) as error:
            self.line_error(f"invalid options: {error}")
            return _EXIT_USAGE
        self.line(results.format_table(results.summarize_classes(records)))
        if self.option("plot"):
            try:
                plot.draw_latencies(pathlib.Path(self.option("plot")), records)
            except ImportError:
                self.line_error(
                    "--plot needs matplotlib; install dragonflydyke[plot]"
                )
                return _EXIT_USAGE
        lost = any(record.outcome == "no_response" for record in records)
        return _EXIT_FAILURE if lost else 0

    def _send_workload(self) -> list[model.RequestRecord]:
        urls = [url.rstrip("/") for url in self.option("url")]
        keys = [
            pathlib.Path(name).read_text().strip()
            for name in self.option("key-file")
        ]
        if not urls or not keys:
            raise ValueError("give at least one --url and one --key-file")
        settings = {
            "workload": self.option("workload"),
            "rate": float(self.option("rate")),
            "duration_s": float(self.option("duration")),
            "seed": int(self.option("seed")),
        }
        if settings["workload"] not in workloads.WORKLOADS:
            raise ValueError(f"unknown workload {settings['workload']}")
        arrivals = workloads.build_schedule(
            workloads.WORKLOADS[settings["workload"]],
            rate=settings["rate"],
            duration_s=settings["duration_s"],
            seed=settings["seed"],
            account_count=len(keys),
        )
        timeout_s = float(self.option("timeout"))
        records = asyncio.run(_send_schedule(urls, keys, timeout_s, arrivals))
        if self.option("json"):
            path = pathlib.Path(self.option("json"))
            results.write_json(path, settings, records)
        return records


async def _send_schedule(
    urls: list[str],
    keys: list[str],
    timeout_s: float,
    arrivals: list[model.Arrival],
) -> list[model.RequestRecord]:
    sender = open_loop.OpenLoopSender(urls, keys, timeout_s)
    try:
        return await sender.send_schedule(arrivals)
    finally:
        sender.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program and returns its exit code.

    Args:
        arguments: Command line without the program name; None for sys.argv.
    """
    frame = application.Application(
        "dragonflydyke-load", dragonflydyke.__version__
    )
    frame.auto_exits(False)
    frame.add(_RunCommand())
    if arguments is None:
        return frame.run()
    return frame.run(argv_input.ArgvInput(["dragonflydyke-load", *arguments]))


if __name__ == "__main__":
    sys.exit(main())
