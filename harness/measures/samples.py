"""Rates of resource usage of processes between two snapshots."""

import asyncio
import dataclasses
import os
import pathlib
import signal
from collections.abc import Iterable, Sequence

from harness import processes
from harness.measures import probe

_SNAPSHOT_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
MIB = 1_048_576


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Rates of one process, or the mean of several.

    Attributes:
        core_percent: Processor time in percent of one core.
        resident_mib: Resident memory at the second snapshot.
        private_mib: The part of it that is not shared with other processes.
        traffic_kb_s: Kilobytes per second, sent and received.
        threads: Number of threads at the second snapshot.
        calls_per_s: Increments per second by name of the counter.
    """

    core_percent: float
    resident_mib: float
    private_mib: float
    traffic_kb_s: float
    threads: float
    calls_per_s: dict[str, float]


def compute_rates(before: probe.Snapshot, after: probe.Snapshot) -> Sample:
    """Returns the rates between two snapshots."""
    seconds = after.at_s - before.at_s
    return Sample(
        core_percent=100 * (after.processor_s - before.processor_s) / seconds,
        resident_mib=after.resident_bytes / MIB,
        private_mib=after.private_bytes / MIB,
        traffic_kb_s=(after.traffic_bytes - before.traffic_bytes)
        / seconds
        / 1000,
        threads=after.threads,
        calls_per_s={
            name: (count - before.counts.get(name, 0)) / seconds
            for name, count in after.counts.items()
        },
    )


def average(samples: Sequence[Sample]) -> Sample:
    """Returns the mean of one or more samples.

    Raises:
        ZeroDivisionError: If there are no samples.
    """
    count = len(samples)
    names = {name for sample in samples for name in sample.calls_per_s}
    means = {
        field.name: sum(getattr(s, field.name) for s in samples) / count
        for field in dataclasses.fields(Sample)
        if field.name != "calls_per_s"
    }
    return Sample(
        **means,
        calls_per_s={
            name: sum(s.calls_per_s.get(name, 0.0) for s in samples) / count
            for name in names
        },
    )


async def take_snapshots(
    measured_processes: Iterable[tuple[processes.ManagedProcess, pathlib.Path]],
) -> list[probe.Snapshot]:
    """Makes each process write a snapshot.

    Args:
        measured_processes: Processes and their snapshot files.

    Returns:
        The new snapshots in the order of the processes.

    Raises:
        TimeoutError: If a process does not write a snapshot in time.
    """
    entries = list(measured_processes)
    counts_before = [len(probe.read_snapshots(path)) for _, path in entries]
    for process, _ in entries:
        os.kill(process.pid, signal.SIGUSR1)
    result = []
    async with asyncio.timeout(_SNAPSHOT_TIMEOUT_S):
        for (_, path), count in zip(entries, counts_before, strict=True):
            while len(snapshots := probe.read_snapshots(path)) <= count:
                await asyncio.sleep(_POLL_INTERVAL_S)
            result.append(snapshots[-1])
    return result


async def measure_rates(
    measured_processes: Iterable[tuple[processes.ManagedProcess, pathlib.Path]],
    window_s: float,
) -> list[Sample]:
    """Returns the rates of each process over a time window.

    Args:
        measured_processes: Processes and their snapshot files.
        window_s: Length of the window in seconds.
    """
    entries = list(measured_processes)
    before = await take_snapshots(entries)
    await asyncio.sleep(window_s)
    after = await take_snapshots(entries)
    return [compute_rates(b, a) for b, a in zip(before, after, strict=True)]
