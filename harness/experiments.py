"""Compares the decisions of the router with baseline policies.

Each experiment starts one deployment per policy after the other, sends the same
requests to each with scripted faults, and prints the median and the range over
the seeds.
"""

import argparse
import asyncio
import dataclasses
import os
import pathlib
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from dragonflydyke.load import model, open_loop, workloads
from harness import deployment, experiment_documents, experiment_figures

_KEY = "demo-key"
_TIMEOUT_S = 90.0
_BEST_MODEL = "planner-large"
_UNLIMITED_TOKENS = 1_000_000
# Time in which the engine emulators report their load once before a run.
_LOAD_REPORT_DELAY_S = 2.5
_STRAGGLER_FACTOR = 10.0

Fault = Callable[[deployment.Deployment], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """A policy of server and model selection to compare.

    Attributes:
        name: Name in the printed table.
        server_choice: Value of the router setting `--server-choice`.
        always_best_model: Whether every request names the best model.
    """

    name: str
    server_choice: str
    always_best_model: bool = False


BASELINES = (
    Policy("random", "random"),
    Policy("round robin", "round_robin"),
    Policy("least outstanding", "least_outstanding"),
)
BEST = Policy("always best model", "least_outstanding", always_best_model=True)
ROUTER = Policy("router", "power_of_two")


@dataclasses.dataclass(slots=True, frozen=True)
class Experiment:
    """Workload, deployment, faults and figures of one experiment.

    Attributes:
        workload: Name of the workload.
        rate: Requests per second at the start.
        duration_s: Length of the schedule in seconds.
        engines: Number of engine emulators.
        compute_figures: Returns the figures of one run.
        policies: Policies to compare.
        slots: Number of slots of each engine.
        fault: Scripted faults during the run.
        compare_fault: Whether each seed is also run without the fault.
        rollouts: Steps and stop condition of a rollout to a bad version, by
            policy name.
        policy_settings: Settings of the configuration section `policy`.
    """

    workload: str
    rate: float
    duration_s: float
    engines: int
    compute_figures: Callable[
        [Sequence[model.RequestRecord]], experiment_figures.Figures
    ]
    policies: tuple[Policy, ...] = (*BASELINES, ROUTER)
    slots: int = 8
    fault: Fault | None = None
    compare_fault: bool = False
    rollouts: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    policy_settings: dict[str, float] = dataclasses.field(default_factory=dict)


async def _slow_down_one_engine(running: deployment.Deployment) -> None:
    await asyncio.sleep(3.0)
    await running.control_emulator(
        "engine-1", slow_factor=_STRAGGLER_FACTOR, slow_for_s=6.0
    )


async def _kill_router(running: deployment.Deployment) -> None:
    await asyncio.sleep(4.0)
    list(running.routers.values())[-1].process.kill()


def _build_rollout(
    steps: list[dict[str, float]], samples: int
) -> dict[str, Any]:
    stop = {"min_samples": samples, "min_rating": 0.8, "max_error_share": 0.1}
    return {
        "name": "to-v2",
        "model": "planner-small",
        "from_version": "v1",
        "to_version": "v2",
        "steps": steps,
        "stop": stop,
    }


EXPERIMENTS = {
    "overhead": Experiment(
        "line_questions",
        36.0,
        10.0,
        2,
        experiment_figures.compute_latencies,
        (ROUTER,),
    ),
    "latency": Experiment(
        "short_among_long",
        6.0,
        12.0,
        4,
        experiment_figures.compute_short_classes,
    ),
    # At the peak, short requests need two thirds of the slots, and long
    # requests that started before the peak run as long as it lasts.
    "crest": Experiment(
        "shift_start",
        10.0,
        10.0,
        4,
        experiment_figures.compute_short_classes,
        policy_settings={"reserved_share": 0.6},
    ),
    "blocking": Experiment(
        "short_among_long",
        50.0,
        8.0,
        4,
        experiment_figures.compute_short_classes,
    ),
    "capacity": Experiment(
        "line_questions",
        145.0,
        12.0,
        2,
        experiment_figures.compute_short_classes,
    ),
    "stragglers": Experiment(
        "line_questions",
        60.0,
        10.0,
        10,
        experiment_figures.compute_latencies,
        slots=4,
        fault=_slow_down_one_engine,
        compare_fault=True,
    ),
    "cost": Experiment(
        "office_mix",
        12.0,
        10.0,
        4,
        experiment_figures.compute_cost,
        (BEST, ROUTER),
    ),
    "roll_out": Experiment(
        "line_questions",
        60.0,
        10.0,
        4,
        experiment_figures.compute_exposure,
        (
            Policy("one step, no stop", "power_of_two"),
            Policy("10 % at first", "power_of_two"),
            ROUTER,
        ),
        rollouts={
            "one step, no stop": _build_rollout(
                [{"share": 1.0, "hold_s": 60.0}], 100_000
            ),
            "10 % at first": _build_rollout(
                [
                    {"share": 0.1, "hold_s": 60.0},
                    {"share": 1.0, "hold_s": 60.0},
                ],
                20,
            ),
            "router": _build_rollout(
                [
                    {"share": 0.02, "hold_s": 60.0},
                    {"share": 1.0, "hold_s": 60.0},
                ],
                3,
            ),
        },
    ),
    "router_kill": Experiment(
        "line_questions",
        30.0,
        10.0,
        4,
        experiment_figures.compute_faults,
        (ROUTER,),
        fault=_kill_router,
    ),
}


def _build_arrivals(
    experiment: Experiment, policy: Policy, seed: int
) -> list[model.Arrival]:
    arrivals = workloads.build_schedule(
        workloads.WORKLOADS[experiment.workload],
        rate=experiment.rate,
        duration_s=experiment.duration_s,
        seed=seed,
    )
    if policy.always_best_model:
        arrivals = [
            a if a.is_call else dataclasses.replace(a, model=_BEST_MODEL)
            for a in arrivals
        ]
    return arrivals


class _PolicyRun:
    """Runs of several seeds with one policy on one deployment."""

    __slots__ = ("_experiment", "_policy", "_running")

    def __init__(
        self,
        experiment: Experiment,
        policy: Policy,
        running: deployment.Deployment,
    ) -> None:
        self._experiment = experiment
        self._policy = policy
        self._running = running

    async def prepare(self) -> None:
        """Sets the behaviour of the engines."""
        for name in self._running.backend_urls:
            if not name.startswith("engine"):
                continue
            await self._running.control_emulator(
                name,
                completion_tokens=_UNLIMITED_TOKENS,
                bad_versions=["planner-small@v2"],
            )
        await asyncio.sleep(_LOAD_REPORT_DELAY_S)

    async def run_seed(self, seed: int) -> experiment_figures.Figures:
        """Returns the figures of a seed through the routers."""
        arrivals = _build_arrivals(self._experiment, self._policy, seed)
        urls = [r.public_url for r in self._running.routers.values()]
        if not self._experiment.compare_fault:
            records = await self._send(arrivals, urls, self._experiment.fault)
            return self._experiment.compute_figures(records)
        clean = self._experiment.compute_figures(
            await self._send(arrivals, urls, None)
        )
        records = await self._send(arrivals, urls, self._experiment.fault)
        faulty = self._experiment.compute_figures(records)
        ratio = faulty["total p99 ms"] / max(clean["total p99 ms"], 1.0)
        return {
            "total p99 ms, no fault": clean["total p99 ms"],
            "p99 with fault / without": ratio,
            **faulty,
        }

    async def run_seed_directly(self, seed: int) -> experiment_figures.Figures:
        """Returns the figures of a seed without routers."""
        arrivals = [
            dataclasses.replace(a, model="planner-small@v1")
            for a in _build_arrivals(self._experiment, self._policy, seed)
        ]
        engines = self._running.backend_urls.items()
        urls = [url for name, url in engines if name.startswith("engine")]
        records = await self._send(arrivals, urls, None)
        return self._experiment.compute_figures(records)

    async def _send(
        self,
        arrivals: Sequence[model.Arrival],
        urls: Sequence[str],
        fault: Fault | None,
    ) -> list[model.RequestRecord]:
        is_rated = (
            self._experiment.compute_figures is experiment_figures.compute_cost
        )
        sender = open_loop.OpenLoopSender(
            urls, [_KEY], _TIMEOUT_S, keep_response_text=is_rated
        )
        script = asyncio.create_task(
            fault(self._running) if fault else asyncio.sleep(0)
        )
        try:
            records = await sender.send_schedule(arrivals)
            await script
        finally:
            script.cancel()
            sender.close()
        if is_rated:
            await self._rate([r for r in records if r.answer])
        return records

    async def _rate(self, records: Sequence[model.RequestRecord]) -> None:
        """Rates answers; the rating service rates equal answers equally."""
        for record in records:
            response = await self._running.http.call(
                "POST",
                f"{self._running.rating_url}/v1/ratings",
                body={"version": record.version, "answer": record.answer},
            )
            record.rating = response.json()["rating"]


async def _run_policy(
    name: str, experiment: Experiment, policy: Policy, seeds: Sequence[int]
) -> dict[str, list[experiment_figures.Figures]]:
    found: dict[str, list[experiment_figures.Figures]] = {policy.name: []}
    # The effects of a router kill or a stopped rollout are permanent, so each
    # seed needs a new deployment.
    restart_per_seed = bool(experiment.rollouts) or (
        experiment.fault is not None and not experiment.compare_fault
    )
    groups = [[seed] for seed in seeds] if restart_per_seed else [list(seeds)]
    for group in groups:
        with tempfile.TemporaryDirectory() as directory:
            options = deployment.DeploymentOptions(
                experiment_documents.FOLDER,
                engine_flags=("--prefill-ms", "1", "--decode-ms", "10"),
                router_flags=(
                    "--drain-s",
                    "0.2",
                    f"--server-choice={policy.server_choice}",
                ),
            )
            path = pathlib.Path(directory)
            planned = deployment.Deployment(path, options)
            experiment_documents.adapt(
                planned.document,
                engines=experiment.engines,
                slots=experiment.slots,
                policy_settings=experiment.policy_settings,
                rollout=experiment.rollouts.get(policy.name),
            )
            async with planned as running:
                run = _PolicyRun(experiment, policy, running)
                await run.prepare()
                for seed in group:
                    found[policy.name].append(await run.run_seed(seed))
                    if name == "overhead":
                        direct = await run.run_seed_directly(seed)
                        found.setdefault("direct", []).append(direct)
    return found


async def _run_experiment(
    name: str, seeds: Sequence[int], policies: Sequence[str]
) -> None:
    experiment = EXPERIMENTS[name]
    load = os.getloadavg()[0]
    print(
        f"\n### {name}\n\n{experiment.workload},"
        f" {experiment.rate:g} requests/s at the start,"
        f" {experiment.duration_s:g} s, {experiment.engines} engines with"
        f" {experiment.slots} slots, 3 routers, seeds"
        f" {', '.join(map(str, seeds))}; load average before {load:.1f}\n"
    )
    found: dict[str, list[experiment_figures.Figures]] = {}
    for policy in experiment.policies:
        if policies and policy.name not in policies:
            continue
        found |= await _run_policy(name, experiment, policy, seeds)
    names = list(next(iter(found.values()))[0])
    print(f"| policy | {' | '.join(names)} |")
    print(f"| --- |{' --- |' * len(names)}")
    for policy_name, runs in found.items():
        cells = [_format_median([run[n] for run in runs]) for n in names]
        print(f"| {policy_name} | {' | '.join(cells)} |", flush=True)


def _format_median(values: Sequence[float]) -> str:
    """Formats the median, and the range if there are several values."""
    middle = f"{statistics.median(values):.2f}"
    if len(values) == 1:
        return middle
    return f"{middle} ({min(values):.2f}..{max(values):.2f})"


async def _run(
    names: Sequence[str], seeds: Sequence[int], policies: Sequence[str]
) -> None:
    for name in names:
        await _run_experiment(name, seeds, policies)


def main() -> int:
    """Runs the experiments and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "measures",
        nargs="*",
        metavar="MEASURE",
        help=f"Any of {', '.join(EXPERIMENTS)}; all without an argument.",
    )
    parser.add_argument("--seeds", type=int, default=3, help="Number of seeds.")
    parser.add_argument(
        "--policies",
        help="Names of policies, comma-separated; all without this option.",
    )
    arguments = parser.parse_args()
    unknown = set(arguments.measures) - set(EXPERIMENTS)
    if unknown:
        parser.error(f"unknown measure {', '.join(sorted(unknown))}")
    seeds = range(1, arguments.seeds + 1)
    names = arguments.policies.split(",") if arguments.policies else ()
    asyncio.run(_run(arguments.measures or list(EXPERIMENTS), seeds, names))
    return 0


if __name__ == "__main__":
    sys.exit(main())
