"""One soak: load and faults side by side, then the checks."""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import tempfile
from typing import Any

from tests.soak import faults, load, site

# All nodes serve again within this time after the last fault; the users'
# bound on the recovery is 12 s.
_RECOVERY_S = 12.0
_PROBE_PAUSE_S = 0.1
_OK = 200


@dataclasses.dataclass(slots=True)
class SoakFigures:
    """What a soak saw.

    Attributes:
        seed: Seed of the run.
        outcomes: Attempts by kind and status.
        faults: Faults by name.
        violations: Broken promises.
        logs: Folder with the logs, empty if all promises were kept.
    """

    seed: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    violations: list[str]
    logs: str = ""

    def describe(self) -> dict[str, Any]:
        """Returns the figures for the output."""
        return dataclasses.asdict(self)


async def run_soak(seed: int, seconds: float, nodes: int = 3) -> SoakFigures:
    """Runs one soak and checks its promises.

    Args:
        seed: Seed of load and faults.
        seconds: Duration of the faults.
        nodes: Number of router processes.
    """
    source = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    running = site.Site(folder, nodes, source)
    injector: faults.FaultInjector | None = None
    try:
        await running.start()
        traffic = load.Load(running, source)
        injector = faults.FaultInjector(running, random.Random(seed + 1))
        traffic.start()
        injector.start()
        await _watch_processes(running, seconds)
        await injector.stop()
        await traffic.stop()
        await _check_recovery(running, traffic)
        running.book.check_runs()
    finally:
        await running.stop()
    found = SoakFigures(
        seed=seed,
        outcomes=dict(running.book.outcomes),
        faults=dict(injector.counts),
        violations=running.book.violations,
    )
    if found.violations:
        found.logs = str(folder)
    else:
        shutil.rmtree(folder)
    return found


async def _watch_processes(running: site.Site, seconds: float) -> None:
    """Waits for a time and reports processes that end by themselves."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        for node in running.nodes:
            if node.has_ended:
                running.book.report(f"{node.vm} ended by itself")
                await node.start()
        await asyncio.sleep(_PROBE_PAUSE_S)


async def _check_recovery(running: site.Site, traffic: load.Load) -> None:
    """Checks that each node serves the newest route after the faults."""
    for node in running.nodes:
        try:
            async with asyncio.timeout(_RECOVERY_S):
                while await traffic.probe(node, f"v{running.version}") != _OK:
                    await asyncio.sleep(_PROBE_PAUSE_S)
        except TimeoutError:
            running.book.report(
                f"{node.vm} does not serve version {running.version}"
            )
