"""Fleets of control processes: rates by role, changes, outages."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import time
from typing import Any

from dragonflydyke import objects
from dragonflydyke.membership import relays
from harness import processes
from harness.measures import documents, platforms, probe, samples

_MAX_CONCURRENT_STARTS = 10
_READY_TIMEOUT_S = 90.0
_CHANGE_TIMEOUT_S = 30.0
_OUTAGE_S = 3.0
_BURST_STEP_S = 0.25
_BURST_STEPS = 24
_POLL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeTiming:
    """One applied change.

    Attributes:
        accept_s: Time that the acceptor took, seen by the operator.
        in_force_s: Time from the acceptance to the last node.
        median_s: Time from the acceptance to the median node.
    """

    accept_s: float
    in_force_s: float
    median_s: float


@dataclasses.dataclass(slots=True)
class FleetResults:
    """What a fleet of one size showed.

    Attributes:
        nodes: Size of the fleet.
        ordinary: Mean of the nodes that are no relays; None if all are.
        relay: Mean of the relays.
        reads_per_s: Platform reads of the whole fleet.
        changes: Applied changes.
        outage_reads_per_s: Reads during an outage, each refused.
        burst_reads_per_s: Highest rate of reads after it.
    """

    nodes: int
    ordinary: samples.Sample | None
    relay: samples.Sample
    reads_per_s: float
    changes: list[ChangeTiming]
    outage_reads_per_s: float
    burst_reads_per_s: float


@dataclasses.dataclass(slots=True)
class _Node:
    name: str
    data_centre: str
    process: processes.ManagedProcess
    output: pathlib.Path


class ControlFleet:
    """A number of control nodes and their platform."""

    def __init__(
        self,
        size: int,
        directory: pathlib.Path,
        document: dict[str, Any],
        backend_vms: int = 0,
    ) -> None:
        """Describes a fleet.

        Args:
            size: Nodes.
            directory: For logs and snapshots; must exist.
            document: Configuration to begin with.
            backend_vms: Backend servers on the VM list.
        """
        self._directory = directory
        self._document = document
        self._backend_vms = backend_vms
        self.platform = platforms.PlatformProcess(directory)
        self._nodes = [self._create_node(index) for index in range(size)]

    async def measure(self, window_s: float, changes: int) -> FleetResults:
        """Starts the fleet, measures it and stops it."""
        try:
            await self._start()
            return await self._measure(window_s, changes)
        finally:
            await asyncio.gather(*(n.process.stop() for n in self._nodes))
            await self.platform.stop()

    def _create_node(self, index: int) -> _Node:
        name = f"entry-{index:03}"
        data_centre = documents.DATA_CENTRES[
            index % len(documents.DATA_CENTRES)
        ][0]
        output = self._directory / f"{name}.probe"
        process = processes.ManagedProcess(
            name, "harness.measures.control_node", (), self._directory
        )
        return _Node(name, data_centre, process, output)

    async def _start(self) -> None:
        await self.platform.start()
        await self.platform.create_configuration(self._document)
        gate = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start(node: _Node) -> None:
            async with gate:
                node.process = processes.ManagedProcess(
                    node.name,
                    "harness.measures.control_node",
                    (
                        f"--vm={node.name}",
                        f"--data-centre={node.data_centre}",
                        f"--platform-url={self.platform.url}",
                        f"--output={node.output}",
                        "--key=capacity",
                    ),
                    self._directory,
                )
                await node.process.start()

        await asyncio.gather(*(start(node) for node in self._nodes))
        vms = [
            platforms.describe_vm(
                node.name, node.data_centre, node.process.ready_line
            )
            for node in self._nodes
        ]
        vms += [
            platforms.describe_vm(
                f"backend-{index}", documents.DATA_CENTRES[0][0], "", "backend"
            )
            for index in range(self._backend_vms)
        ]
        await self.platform.publish_vms(vms)

    def _select_relay_names(self) -> frozenset[str]:
        return relays.select_relays(
            objects.ListedVm(n.name, n.data_centre, "entry", "", "live")
            for n in self._nodes
        )

    async def _measure(self, window_s: float, changes: int) -> FleetResults:
        # A first change proves that a majority is in contact.
        await self._measure_change()
        # Reports that grew with the fleet and new channels have settled.
        await asyncio.sleep(3.0)
        before = await self.platform.read_call_counts()
        started_s = time.monotonic()
        measured = await samples.measure_rates(
            ((n.process, n.output) for n in self._nodes), window_s
        )
        after = await self.platform.read_call_counts()
        seconds = time.monotonic() - started_s
        chosen = self._select_relay_names()
        pairs = list(zip(self._nodes, measured, strict=True))
        ordinary = [s for n, s in pairs if n.name not in chosen]
        applied = [await self._measure_change() for _ in range(changes)]
        outage, burst = await self._measure_outage()
        return FleetResults(
            nodes=len(self._nodes),
            ordinary=samples.average(ordinary) if ordinary else None,
            relay=samples.average([s for n, s in pairs if n.name in chosen]),
            reads_per_s=(after.get("GET", 0) - before.get("GET", 0)) / seconds,
            changes=applied,
            outage_reads_per_s=outage,
            burst_reads_per_s=burst,
        )

    async def _measure_change(self) -> ChangeTiming:
        """Applies a change at a relay and waits for all nodes.

        Above 24 nodes an ordinary node refuses, because it hears of fewer than
        half of the VMs; docs/CAPACITY.md, section 4.
        """
        relay = min(self._select_relay_names())
        acceptor = next(n for n in self._nodes if n.name == relay)
        line = await self._apply_until_accepted(acceptor)
        async with asyncio.timeout(_CHANGE_TIMEOUT_S):
            times = [
                await self._wait_adopted(node, line["accepted"])
                for node in self._nodes
            ]
        times.sort()
        return ChangeTiming(
            accept_s=line["at_s"] - line["started_s"],
            in_force_s=times[-1] - line["at_s"],
            median_s=times[len(times) // 2] - line["at_s"],
        )

    async def _apply_until_accepted(self, acceptor: _Node) -> dict[str, Any]:
        known = len(probe.read_records(acceptor.output))
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                os.kill(acceptor.process.pid, signal.SIGUSR2)
                while not (
                    new := [
                        line
                        for line in probe.read_records(acceptor.output)[known:]
                        if "accepted" in line or "refused" in line
                    ]
                ):
                    await asyncio.sleep(_POLL_S)
                if "accepted" in new[-1]:
                    return new[-1]
                known = len(probe.read_records(acceptor.output))
                await asyncio.sleep(1.0)

    async def _wait_adopted(self, node: _Node, revision: int) -> float:
        while True:
            for line in probe.read_records(node.output):
                if line.get("adopted") == revision:
                    return float(line["at_s"])  # type: ignore[arg-type]
            await asyncio.sleep(_POLL_S)

    async def _measure_outage(self) -> tuple[float, float]:
        """Returns read rates during an outage and at most after it."""
        await self.platform.set_behaviour(outage=True)
        # The rate once the confirmations are too old for ordinary nodes.
        await asyncio.sleep(_OUTAGE_S)
        before = (await self.platform.read_call_counts())["GET"]
        await asyncio.sleep(_OUTAGE_S)
        during = (await self.platform.read_call_counts())["GET"]
        await self.platform.set_behaviour(outage=False)
        counts = [(time.monotonic(), during)]
        for _ in range(_BURST_STEPS):
            await asyncio.sleep(_BURST_STEP_S)
            calls = (await self.platform.read_call_counts())["GET"]
            counts.append((time.monotonic(), calls))
        # Over four steps, so that a delayed step does not look like a burst.
        burst = max(
            (c2 - c1) / (t2 - t1)
            for (t1, c1), (t2, c2) in zip(counts, counts[4:], strict=False)
        )
        return (during - before) / _OUTAGE_S, burst
