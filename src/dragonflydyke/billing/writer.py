"""Writes the bills of this router to its journal on the platform."""

import asyncio
import dataclasses
import enum
import itertools
import random
from collections.abc import Callable, Sequence

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.billing import journal, model, pacing, replication

DURABILITY_TIMEOUT_S = 2.0
# Bills recorded within this time are replicated in one batch.
REPLICATION_DELAY_S = 0.01
# Up to this flush interval a bill reaches the platform so soon that replication
# brings no benefit.
MAX_INTERVAL_WITHOUT_REPLICATION_S = 0.1
# At shorter flush intervals, bills are replicated only if the oldest pending
# one is older than this, which shows that the platform is slow.
MAX_UNREPLICATED_AGE_S = 0.25
_REPLICATION_RETRY_S = 0.5

_log = logs.get_logger("billing.writer")


class Durability(enum.Enum):
    """Where a bill is stored when `record` returns.

    Attributes:
        WRITTEN: On the platform.
        REPLICATED: On two other VMs.
        LOCAL_ONLY: Only in the memory of this router for certain.
    """

    WRITTEN = "written"
    REPLICATED = "held"
    LOCAL_ONLY = "held_alone"


@dataclasses.dataclass(slots=True, frozen=True)
class FlushResult:
    """Outcome of `flush_all`.

    Attributes:
        durability: WRITTEN if every bill is on the platform, REPLICATED if
            two other VMs have each bill that is not, else LOCAL_ONLY.
        unwritten: Number of bills not known to be on the platform.
        local_only: Number of these bills that only this router is certain to
            have.
    """

    durability: Durability
    unwritten: int
    local_only: int


@dataclasses.dataclass(slots=True)
class _PendingBill:
    bill: model.Bill
    recorded_at_s: float
    durable: asyncio.Future[Durability]
    is_replicated: bool = False


class BillWriter:
    """Records bills durably.

    Bills stay pending in memory until they are on the platform.
    """

    __slots__ = (
        "_counters",
        "_failures",
        "_flush_requested",
        "_flush_task",
        "_flushing_all",
        "_generator",
        "_incarnation",
        "_journal",
        "_next_sequence",
        "_next_write_s",
        "_node_count",
        "_pending",
        "_replication_task",
        "_replicator",
        "_unreplicated",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        replica_peers: Callable[[], Sequence[replication.ReplicaPeer]],
        incarnation: int,
        counters: metrics.Counters,
        *,
        vm_name: str,
        data_centre: str,
        node_count: Callable[[], int],
        generator: random.Random | None = None,
    ) -> None:
        """Initialises the writer.

        Args:
            objects_client: The platform.
            replica_peers: Returns the reachable routers on other VMs.
            incarnation: Random 64-bit number that identifies this router
                process; must not have a journal yet.
            counters: Receives `bill.<event>`.
            vm_name: Name of this VM.
            data_centre: Data centre of this VM.
            node_count: Returns the number of routers in the fleet.
            generator: Source of jitter.
        """
        self._journal = journal.Journal(
            objects_client, incarnation, counters, is_new=True
        )
        self._replicator = replication.BillReplicator(
            replica_peers,
            replication.Origin(incarnation, vm_name, data_centre),
            counters,
        )
        self._incarnation = incarnation
        self._counters = counters
        self._node_count = node_count
        self._generator = generator or random.Random()
        self._next_sequence = 0
        self._next_write_s = 0.0
        self._failures = 0
        self._flushing_all = False
        self._flush_requested = asyncio.Event()
        self._pending: dict[int, _PendingBill] = {}
        self._unreplicated: dict[int, _PendingBill] = {}
        self._flush_task: asyncio.Task[None] | None = None
        self._replication_task: asyncio.Task[None] | None = None

    async def record(self, bill: model.Bill) -> Durability:
        """Records a bill and waits until it is durable.

        Sets the incarnation and sequence of the bill. The bill is written
        even if the calling task is cancelled.

        Returns:
            Where the bill is stored; LOCAL_ONLY if it is not durable after two
            seconds.
        """
        pending = self._add(bill)
        try:
            async with asyncio.timeout(DURABILITY_TIMEOUT_S):
                # The future is still used after a timeout of this call.
                return await asyncio.shield(pending.durable)
        except TimeoutError:
            if pending.durable.done():
                return pending.durable.result()
            self._counters.increment("bill.held_alone")
            _log.warning("bill has no replicas yet", bill_id=bill.bill_id)
            return Durability.LOCAL_ONLY

    def pending_count(self) -> int:
        """Returns the number of bills not known to be on the platform."""
        return len(self._pending)

    async def flush_all(self, timeout_s: float) -> FlushResult:
        """Writes all pending bills before a graceful shutdown.

        Returns early with REPLICATED only after a write has failed; while the
        platform works, it waits for the write, which is more durable than
        replicas. Marks the journal as complete when all bills are written.

        Args:
            timeout_s: Longest time to wait in seconds.
        """
        self._flushing_all = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        self._flush_requested.set()
        self._start_background_tasks()
        while self._pending and loop.time() < deadline_s:
            all_replicated = all(
                entry.is_replicated for entry in self._pending.values()
            )
            if all_replicated and self._failures:
                break
            await asyncio.sleep(min(0.02, deadline_s - loop.time()))
        if not self._pending and self._next_sequence:
            await self._close_journal(deadline_s)
        self._flushing_all = False
        return self._build_flush_result()

    async def close(self) -> None:
        """Stops all background work; call after `flush_all`."""
        tasks = [t for t in (self._flush_task, self._replication_task) if t]
        for task in tasks:
            task.cancel()
        self._replicator.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add(self, bill: model.Bill) -> _PendingBill:
        loop = asyncio.get_running_loop()
        bill.incarnation = self._incarnation
        bill.sequence = self._next_sequence
        self._next_sequence += 1
        pending = _PendingBill(bill, loop.time(), loop.create_future())
        self._pending[bill.sequence] = pending
        self._unreplicated[bill.sequence] = pending
        self._counters.increment("bill.recorded")
        self._start_background_tasks()
        return pending

    def _start_background_tasks(self) -> None:
        if not self._pending:
            return
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        if self._replication_task is None or self._replication_task.done():
            self._replication_task = asyncio.create_task(
                self._replicate_pending()
            )

    def _build_flush_result(self) -> FlushResult:
        local_only = sum(
            not entry.is_replicated for entry in self._pending.values()
        )
        durability = Durability.WRITTEN
        if self._pending:
            durability = (
                Durability.LOCAL_ONLY if local_only else Durability.REPLICATED
            )
        return FlushResult(durability, len(self._pending), local_only)

    async def _close_journal(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._journal.close(self._next_sequence)
        except (errors.DragonflydykeError, TimeoutError) as error:
            _log.warning(
                "could not mark the journal as complete", cause=str(error)
            )

    async def _flush(self) -> None:
        """Writes one journal entry per interval while bills are pending.

        The first bill after an idle interval is written at once, because its
        caller waits for it; the rate limit is kept by the delay after the
        write.
        """
        loop = asyncio.get_running_loop()
        await self._wait_for_next_write(
            max(0.0, self._next_write_s - loop.time())
        )
        while self._pending:
            delay_s = pacing.compute_flush_interval_s(self._node_count())
            self._next_write_s = loop.time() + delay_s
            if not await self._write_once():
                delay_s = pacing.compute_backoff_s(
                    self._failures, self._node_count(), self._generator
                )
                self._requeue_lost_replicas()
                self._next_write_s = loop.time() + delay_s
            if self._pending:
                await self._wait_for_next_write(
                    max(0.0, self._next_write_s - loop.time())
                )

    async def _wait_for_next_write(self, delay_s: float) -> None:
        """Waits for the delay or until `flush_all` requests a write."""
        try:
            async with asyncio.timeout(delay_s):
                await self._flush_requested.wait()
        except TimeoutError:
            return
        self._flush_requested.clear()

    def _requeue_lost_replicas(self) -> None:
        """Replicates bills again whose replicas are lost or unreachable."""
        replicated = [
            s for s, entry in self._pending.items() if entry.is_replicated
        ]
        for sequence in set(replicated) - self._replicator.find_replicated(
            replicated
        ):
            entry = self._pending[sequence]
            entry.is_replicated = False
            self._unreplicated[sequence] = entry
            self._counters.increment("bill.copies.lost")
        self._start_background_tasks()

    async def _write_once(self) -> bool:
        try:
            await self._journal.append_missing(
                [entry.bill for entry in self._pending.values()]
            )
        except errors.DragonflydykeError as error:
            self._record_write_failure(error)
        except Exception as error:
            # An unexpected error in one write must not stop all billing of
            # this router.
            self._counters.increment("bill.flush_fault")
            _log.exception("unexpected error while writing bills")
            self._record_write_failure(error)
        else:
            if self._failures:
                _log.notice("writing of bills recovered", after=self._failures)
            self._failures = 0
        self._resolve_written()
        return not self._failures

    def _record_write_failure(self, error: Exception) -> None:
        self._counters.increment("bill.flush_failed")
        self._failures += 1
        if self._failures == 1:
            _log.warning(
                "could not write bills, retrying",
                cause=str(error),
                pending=len(self._pending),
            )

    def _resolve_written(self) -> None:
        written = [s for s in self._pending if s in self._journal]
        for sequence in written:
            entry = self._pending.pop(sequence)
            self._unreplicated.pop(sequence, None)
            if not entry.durable.done():
                entry.durable.set_result(Durability.WRITTEN)
        self._counters.increment("bill.written", len(written))
        self._counters.set_gauge("bill.pending", len(self._pending))
        self._replicator.notify_written(written)

    def _is_replication_due(self) -> bool:
        interval_s = pacing.compute_flush_interval_s(self._node_count())
        if (
            interval_s > MAX_INTERVAL_WITHOUT_REPLICATION_S
            or self._flushing_all
        ):
            return True
        return self._oldest_age_s() >= MAX_UNREPLICATED_AGE_S

    def _oldest_age_s(self) -> float:
        oldest = next(iter(self._pending.values()), None)
        if oldest is None:
            return 0.0
        return asyncio.get_running_loop().time() - oldest.recorded_at_s

    async def _replicate_pending(self) -> None:
        """Replicates bills in batches while the platform is too slow."""
        while self._unreplicated:
            await asyncio.sleep(REPLICATION_DELAY_S)
            while self._unreplicated and not self._is_replication_due():
                wait_s = MAX_UNREPLICATED_AGE_S - self._oldest_age_s()
                await asyncio.sleep(max(REPLICATION_DELAY_S, wait_s))
            if self._unreplicated and not await self._replicate_batch():
                await asyncio.sleep(_REPLICATION_RETRY_S)

    async def _replicate_batch(self) -> bool:
        """Replicates a batch; returns whether any bill of it is replicated."""
        batch = dict(
            itertools.islice(
                self._unreplicated.items(), replication.MAX_BILLS_PER_REQUEST
            )
        )
        try:
            replicated = await self._replicator.replicate(
                [e.bill for e in batch.values()]
            )
        except Exception:
            self._counters.increment("bill.copy_fault")
            _log.exception("unexpected error while replicating bills")
            return False
        for sequence in replicated:
            entry = batch[sequence]
            self._unreplicated.pop(sequence, None)
            entry.is_replicated = True
            if not entry.durable.done():
                entry.durable.set_result(Durability.REPLICATED)
        # The notification that followed the write does not cover bills that
        # were written while they were being replicated.
        self._replicator.notify_written(
            sequence for sequence in batch if sequence not in self._pending
        )
        return bool(replicated)
