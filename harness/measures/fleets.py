"""Measurements of fleets of control nodes.

Measures resource usage by role, the time that configuration changes take, and
the load on the platform during and after an outage.
"""

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
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeTiming:
    """Durations of one configuration change.

    Attributes:
        accept_s: Seconds until the node that applies the change accepted it,
            as seen by the operator.
        in_force_s: Seconds from the acceptance until the last node adopted it.
        median_s: Seconds from the acceptance until the median node adopted it.
    """

    accept_s: float
    in_force_s: float
    median_s: float


@dataclasses.dataclass(slots=True)
class FleetResults:
    """Results for a fleet of one size.

    Attributes:
        nodes: Number of nodes in the fleet.
        ordinary: Mean of the nodes that are not relays; None if all are.
        relay: Mean of the relays.
        reads_per_s: Platform reads per second of the whole fleet.
        changes: Durations of the applied changes.
        outage_reads_per_s: Platform reads per second during an outage, all of
            them rejected.
        burst_reads_per_s: Highest rate of platform reads after the outage.
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
    """Control nodes and the platform emulator that they use."""

    __slots__ = (
        "_backend_vms",
        "_directory",
        "_document",
        "_nodes",
        "platform",
    )

    def __init__(
        self,
        size: int,
        directory: pathlib.Path,
        document: dict[str, Any],
        backend_vms: int = 0,
    ) -> None:
        """Creates a fleet without starting it.

        Args:
            size: Number of nodes.
            directory: Existing directory for logs and snapshots.
            document: Initial configuration.
            backend_vms: Number of backend servers in the VM list.
        """
        self._directory = directory
        self._document = document
        self._backend_vms = backend_vms
        self.platform = platforms.PlatformProcess(directory)
        self._nodes = [self._create_node(index) for index in range(size)]

    async def measure(self, window_s: float, changes: int) -> FleetResults:
        """Starts the fleet, measures it and stops it.

        Args:
            window_s: Seconds over which the rates are measured.
            changes: Number of configuration changes to apply.
        """
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
        start_limit = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start(node: _Node) -> None:
            async with start_limit:
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
        # A first accepted change shows that a majority of the nodes is
        # connected.
        await self._measure_change()
        # Waits until all gRPC channels are open and reports have reached their
        # final size, which grows with the fleet.
        await asyncio.sleep(3.0)
        before = await self.platform.read_call_counts()
        started_s = time.monotonic()
        node_samples = await samples.measure_rates(
            ((n.process, n.output) for n in self._nodes), window_s
        )
        after = await self.platform.read_call_counts()
        seconds = time.monotonic() - started_s
        relay_names = self._select_relay_names()
        nodes_with_samples = list(zip(self._nodes, node_samples, strict=True))
        ordinary_samples = [
            s for n, s in nodes_with_samples if n.name not in relay_names
        ]
        change_timings = [await self._measure_change() for _ in range(changes)]
        outage_reads_per_s, burst_reads_per_s = await self._measure_outage()
        return FleetResults(
            nodes=len(self._nodes),
            ordinary=samples.average(ordinary_samples)
            if ordinary_samples
            else None,
            relay=samples.average(
                [s for n, s in nodes_with_samples if n.name in relay_names]
            ),
            reads_per_s=(after.get("GET", 0) - before.get("GET", 0)) / seconds,
            changes=change_timings,
            outage_reads_per_s=outage_reads_per_s,
            burst_reads_per_s=burst_reads_per_s,
        )

    async def _measure_change(self) -> ChangeTiming:
        """Applies a change at a relay and waits until all nodes adopted it.

        In fleets of more than 24 nodes an ordinary node rejects changes,
        because it receives reports about fewer than half of the VMs; see
        docs/CAPACITY.md, section 4.
        """
        relay = min(self._select_relay_names())
        acceptor = next(n for n in self._nodes if n.name == relay)
        record = await self._apply_until_accepted(acceptor)
        async with asyncio.timeout(_CHANGE_TIMEOUT_S):
            adopted_at_s = [
                await self._wait_until_adopted(node, record["accepted"])
                for node in self._nodes
            ]
        adopted_at_s.sort()
        return ChangeTiming(
            accept_s=record["at_s"] - record["started_s"],
            in_force_s=adopted_at_s[-1] - record["at_s"],
            median_s=adopted_at_s[len(adopted_at_s) // 2] - record["at_s"],
        )

    async def _apply_until_accepted(self, acceptor: _Node) -> dict[str, Any]:
        read_count = len(probe.read_records(acceptor.output))
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                os.kill(acceptor.process.pid, signal.SIGUSR2)
                while not (
                    outcomes := [
                        record
                        for record in probe.read_records(acceptor.output)[
                            read_count:
                        ]
                        if "accepted" in record or "refused" in record
                    ]
                ):
                    await asyncio.sleep(_POLL_INTERVAL_S)
                if "accepted" in outcomes[-1]:
                    return outcomes[-1]
                read_count = len(probe.read_records(acceptor.output))
                await asyncio.sleep(1.0)

    async def _wait_until_adopted(self, node: _Node, revision: int) -> float:
        while True:
            for record in probe.read_records(node.output):
                if record.get("adopted") == revision:
                    return float(record["at_s"])  # type: ignore[arg-type]
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _measure_outage(self) -> tuple[float, float]:
        """Measures platform reads during and after an outage.

        Returns:
            The mean reads per second during the outage and the highest rate
            after it.
        """
        await self.platform.set_behaviour(outage=True)
        # The rate is measured after the confirmations of ordinary nodes have
        # expired.
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
        # Each rate covers four steps, so that a delayed step is not counted as
        # a burst.
        burst = max(
            (c2 - c1) / (t2 - t1)
            for (t1, c1), (t2, c2) in zip(counts, counts[4:], strict=False)
        )
        return (during - before) / _OUTAGE_S, burst
