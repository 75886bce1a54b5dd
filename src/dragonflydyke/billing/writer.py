"""Writes the bills of this router to its journal."""

import asyncio
import dataclasses
import enum
import itertools
import random
from collections.abc import Callable, Sequence

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.billing import copies, journal, model, pacing

SAFE_TIMEOUT_S = 2.0
COPY_DELAY_S = 0.01
# Up to this interval the platform has a bill sooner than copies would help.
MAX_INTERVAL_WITHOUT_COPIES_S = 0.1
WRITE_PATIENCE_S = 0.25
_COPY_RETRY_S = 0.5

_log = logs.get_logger("billing.writer")


class Safety(enum.Enum):
    """Where a bill was when `record` returned."""

    WRITTEN = "written"
    HELD = "held"
    HELD_ALONE = "held_alone"


@dataclasses.dataclass(slots=True, frozen=True)
class FlushResult:
    """Outcome of `flush_all`.

    Attributes:
        safety: WRITTEN if every bill is in the platform, HELD if every other
            bill is held by two other VMs, HELD_ALONE if neither came true in
            time.
        unwritten: Bills that are not known to be in the platform.
        alone: Those of them that only this router has for certain.
    """

    safety: Safety
    unwritten: int
    alone: int


@dataclasses.dataclass(slots=True)
class _Pending:
    bill: model.Bill
    recorded_at_s: float
    safe: asyncio.Future[Safety]
    is_held: bool = False


class BillWriter:
    """Records bills and makes them safe.

    Bills stay pending, in memory, until they are in the platform.
    """

    __slots__ = (
        "_copies",
        "_copy_task",
        "_counters",
        "_failures",
        "_flush_task",
        "_flushing_all",
        "_generator",
        "_hurry",
        "_incarnation",
        "_journal",
        "_next_sequence",
        "_next_write_s",
        "_node_count",
        "_pending",
        "_uncopied",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        holders: Callable[[], Sequence[copies.HolderPeer]],
        incarnation: int,
        counters: metrics.Counters,
        *,
        vm_name: str,
        data_centre: str,
        node_count: Callable[[], int],
        generator: random.Random | None = None,
    ) -> None:
        """Creates a writer.

        Args:
            objects_client: The platform.
            holders: Returns the other VMs that are heard at present.
            incarnation: Random 64-bit number of this process start; it must
                not have a journal yet.
            counters: Receives `bill.<event>`.
            vm_name: Name of this VM.
            data_centre: Data centre of this VM.
            node_count: Returns the number of routers in the fleet.
            generator: Source of jitter.
        """
        self._journal = journal.Journal(
            objects_client, incarnation, counters, is_new=True
        )
        self._copies = copies.CopySender(
            holders, copies.Origin(incarnation, vm_name, data_centre), counters
        )
        self._incarnation = incarnation
        self._counters = counters
        self._node_count = node_count
        self._generator = generator or random.Random()
        self._next_sequence = 0
        self._next_write_s = 0.0
        self._failures = 0
        self._flushing_all = False
        self._hurry = asyncio.Event()
        self._pending: dict[int, _Pending] = {}
        self._uncopied: dict[int, _Pending] = {}
        self._flush_task: asyncio.Task[None] | None = None
        self._copy_task: asyncio.Task[None] | None = None

    async def record(self, bill: model.Bill) -> Safety:
        """Takes charge of a bill and waits until it is safe.

        Sets the incarnation and sequence of the bill. The bill is written
        even if the caller is cancelled.

        Returns:
            Where the bill is; HELD_ALONE after two seconds.
        """
        pending = self._add(bill)
        try:
            async with asyncio.timeout(SAFE_TIMEOUT_S):
                # The future outlives this call when the bill is held alone.
                return await asyncio.shield(pending.safe)
        except TimeoutError:
            if pending.safe.done():
                return pending.safe.result()
            self._counters.increment("bill.held_alone")
            return Safety.HELD_ALONE

    def pending(self) -> int:
        """Returns the number of bills not known to be in the platform."""
        return len(self._pending)

    async def flush_all(self, timeout_s: float) -> FlushResult:
        """Writes everything before a graceful shutdown.

        Returns early with HELD only after a write has failed; with a working
        platform it waits for the write, which is safer than copies. When all
        is written, marks the journal as ended.
        """
        self._flushing_all = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        self._hurry.set()
        self._wake()
        while self._pending and loop.time() < deadline_s:
            held = all(entry.is_held for entry in self._pending.values())
            if held and self._failures:
                break
            await asyncio.sleep(min(0.02, deadline_s - loop.time()))
        if not self._pending and self._next_sequence:
            await self._close_journal(deadline_s)
        self._flushing_all = False
        return self._describe()

    async def close(self) -> None:
        """Stops all background work; call after `flush_all`."""
        tasks = [t for t in (self._flush_task, self._copy_task) if t]
        for task in tasks:
            task.cancel()
        self._copies.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add(self, bill: model.Bill) -> _Pending:
        loop = asyncio.get_running_loop()
        bill.incarnation = self._incarnation
        bill.sequence = self._next_sequence
        self._next_sequence += 1
        pending = _Pending(bill, loop.time(), loop.create_future())
        self._pending[bill.sequence] = pending
        self._uncopied[bill.sequence] = pending
        self._counters.increment("bill.recorded")
        self._wake()
        return pending

    def _wake(self) -> None:
        if not self._pending:
            return
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        if self._copy_task is None or self._copy_task.done():
            self._copy_task = asyncio.create_task(self._copy())

    def _describe(self) -> FlushResult:
        alone = sum(not entry.is_held for entry in self._pending.values())
        safety = Safety.WRITTEN
        if self._pending:
            safety = Safety.HELD_ALONE if alone else Safety.HELD
        return FlushResult(safety, len(self._pending), alone)

    async def _close_journal(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._journal.close(self._next_sequence)
        except (errors.DragonflydykeError, TimeoutError) as error:
            _log.warning("journal not marked as ended", cause=str(error))

    async def _flush(self) -> None:
        """Writes one entry per interval while bills are pending.

        The first bill after a quiet interval is written at once: the caller
        waits for it, and the pace is kept by waiting after the write.
        """
        loop = asyncio.get_running_loop()
        await self._pause(max(0.0, self._next_write_s - loop.time()))
        while self._pending:
            delay_s = pacing.flush_interval_s(self._node_count())
            self._next_write_s = loop.time() + delay_s
            if not await self._write_once():
                delay_s = pacing.back_off_s(
                    self._failures, self._node_count(), self._generator
                )
                self._requeue_lost_copies()
                self._next_write_s = loop.time() + delay_s
            if self._pending:
                await self._pause(max(0.0, self._next_write_s - loop.time()))

    async def _pause(self, delay_s: float) -> None:
        """Waits, but not longer than until `flush_all` asks for a write."""
        try:
            async with asyncio.timeout(delay_s):
                await self._hurry.wait()
        except TimeoutError:
            return
        self._hurry.clear()

    def _requeue_lost_copies(self) -> None:
        """Queues bills again whose holders were restarted or replaced."""
        held = [s for s, entry in self._pending.items() if entry.is_held]
        for sequence in set(held) - self._copies.find_held(held):
            entry = self._pending[sequence]
            entry.is_held = False
            self._uncopied[sequence] = entry
            self._counters.increment("bill.copies.lost")
        self._wake()

    async def _write_once(self) -> bool:
        try:
            await self._journal.append_once(
                [entry.bill for entry in self._pending.values()]
            )
        except errors.DragonflydykeError as error:
            self._fail(error)
        except Exception as error:
            # A fault in one write must not stop the billing of this router.
            self._counters.increment("bill.flush_fault")
            _log.exception("bills not written")
            self._fail(error)
        else:
            if self._failures:
                _log.notice("bills are written again", after=self._failures)
            self._failures = 0
        self._resolve_written()
        return not self._failures

    def _fail(self, error: Exception) -> None:
        self._counters.increment("bill.flush_failed")
        self._failures += 1
        if self._failures == 1:
            _log.warning(
                "bills not written, retrying",
                cause=str(error),
                pending=len(self._pending),
            )

    def _resolve_written(self) -> None:
        written = [s for s in self._pending if s in self._journal]
        for sequence in written:
            entry = self._pending.pop(sequence)
            self._uncopied.pop(sequence, None)
            if not entry.safe.done():
                entry.safe.set_result(Safety.WRITTEN)
        self._counters.increment("bill.written", len(written))
        self._counters.set_gauge("bill.pending", len(self._pending))
        self._copies.notify_written(written)

    def _copies_due(self) -> bool:
        interval_s = pacing.flush_interval_s(self._node_count())
        if interval_s > MAX_INTERVAL_WITHOUT_COPIES_S or self._flushing_all:
            return True
        return self._oldest_age_s() >= WRITE_PATIENCE_S

    def _oldest_age_s(self) -> float:
        oldest = next(iter(self._pending.values()), None)
        if oldest is None:
            return 0.0
        return asyncio.get_running_loop().time() - oldest.recorded_at_s

    async def _copy(self) -> None:
        """Copies bills in batches when the platform is too slow for them."""
        while self._uncopied:
            await asyncio.sleep(COPY_DELAY_S)
            while self._uncopied and not self._copies_due():
                wait_s = WRITE_PATIENCE_S - self._oldest_age_s()
                await asyncio.sleep(max(COPY_DELAY_S, wait_s))
            if self._uncopied and not await self._copy_batch():
                await asyncio.sleep(_COPY_RETRY_S)

    async def _copy_batch(self) -> bool:
        """Returns whether any bill of the batch is held now."""
        batch = dict(
            itertools.islice(
                self._uncopied.items(), copies.MAX_BILLS_PER_REQUEST
            )
        )
        try:
            held = await self._copies.send([e.bill for e in batch.values()])
        except Exception:
            self._counters.increment("bill.copy_fault")
            _log.exception("bills not copied")
            return False
        for sequence in held:
            entry = batch[sequence]
            self._uncopied.pop(sequence, None)
            entry.is_held = True
            if not entry.safe.done():
                entry.safe.set_result(Safety.HELD)
        # Bills written while they were being sent are unknown to the
        # notification that followed the write.
        self._copies.notify_written(
            sequence for sequence in batch if sequence not in self._pending
        )
        return bool(held)
