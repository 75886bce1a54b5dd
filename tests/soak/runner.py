"""Runs one soak: concurrent load and faults, then the checks."""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import tempfile
from typing import Any

from tests.soak import deployment, faults, load

# All nodes must serve again within this time after the last fault; 12 s is the
# limit that the users state.
_RECOVERY_S = 12.0
_PROBE_INTERVAL_S = 0.1
_OK = 200


@dataclasses.dataclass(slots=True)
class SoakResult:
    """Result of a soak.

    Attributes:
        seed: Seed of the run.
        outcomes: Number of attempts by kind and status.
        faults: Number of injected faults by name.
        violations: Violated invariants.
        logs: Folder with the logs, empty if there are no violations.
    """

    seed: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    violations: list[str]
    logs: str = ""

    def describe(self) -> dict[str, Any]:
        """Returns the fields as a dictionary for the output."""
        return dataclasses.asdict(self)


async def run_soak(seed: int, seconds: float, nodes: int = 3) -> SoakResult:
    """Runs one soak and checks its invariants.

    Args:
        seed: Seed of load and faults.
        seconds: Seconds for which faults are injected.
        nodes: Number of router processes.
    """
    source = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak_deployment = deployment.SoakDeployment(folder, nodes, source)
    injector: faults.FaultInjector | None = None
    try:
        await soak_deployment.start()
        load_generator = load.LoadGenerator(soak_deployment, source)
        injector = faults.FaultInjector(
            soak_deployment,
            random.Random(seed + 1),
            # Separate, so that the other faults of a seed stay the same.
            random.Random(seed + 2),
            random.Random(seed + 3),
            random.Random(seed + 4),
            random.Random(seed + 5),
        )
        load_generator.start()
        injector.start()
        await _watch_processes(soak_deployment, seconds)
        await injector.stop()
        await load_generator.stop()
        await _check_recovery(soak_deployment, load_generator)
        soak_deployment.request_log.check_runs()
    finally:
        await soak_deployment.stop()
    result = SoakResult(
        seed=seed,
        outcomes=dict(soak_deployment.request_log.outcomes),
        faults=dict(injector.counts),
        violations=soak_deployment.request_log.violations,
    )
    if result.violations:
        result.logs = str(folder)
    else:
        shutil.rmtree(folder)
    return result


async def _watch_processes(
    soak_deployment: deployment.SoakDeployment, seconds: float
) -> None:
    """Reports and restarts processes that exit unexpectedly for a time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        for node in soak_deployment.nodes:
            if node.has_exited_unexpectedly:
                soak_deployment.request_log.report_violation(
                    f"{node.vm} exited unexpectedly"
                )
                await node.start()
        await asyncio.sleep(_PROBE_INTERVAL_S)


async def _check_recovery(
    soak_deployment: deployment.SoakDeployment,
    load_generator: load.LoadGenerator,
) -> None:
    """Checks that each node serves the newest route after the faults."""
    for node in soak_deployment.nodes:
        try:
            async with asyncio.timeout(_RECOVERY_S):
                while (
                    await load_generator.probe(
                        node, f"v{soak_deployment.version}"
                    )
                    != _OK
                ):
                    await asyncio.sleep(_PROBE_INTERVAL_S)
        except TimeoutError:
            soak_deployment.request_log.report_violation(
                f"{node.vm} does not serve version {soak_deployment.version}"
            )
