"""Holds copies of other routers' bills and writes them if those die."""

import asyncio
import random
from collections.abc import Callable

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.billing import journal, model, pacing
from dragonflydyke.protocol import node_pb2

# About 20 MB with 200 bytes per copy, a third of the control budget.
DEFAULT_MAX_BILLS = 100_000

_log = logs.get_logger("billing.holders")


class BillHolder:
    """Copies of bills, by the incarnation of their origin.

    Copies are kept in their transmitted form, which is the smallest.
    """

    __slots__ = (
        "_bills",
        "_count",
        "_counters",
        "_generator",
        "_max_bills",
        "_node_count",
        "_objects",
        "_recoveries",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        counters: metrics.Counters,
        *,
        node_count: Callable[[], int],
        max_bills: int = DEFAULT_MAX_BILLS,
        generator: random.Random | None = None,
    ) -> None:
        """Creates a holder.

        Args:
            objects_client: The platform.
            counters: Receives `bill.holder.<event>`.
            node_count: Returns the number of routers in the fleet.
            max_bills: Copies held at most; more are refused.
            generator: Source of jitter.
        """
        self._objects = objects_client
        self._counters = counters
        self._node_count = node_count
        self._max_bills = max_bills
        self._generator = generator or random.Random()
        self._bills: dict[int, dict[int, bytes]] = {}
        self._count = 0
        self._recoveries: dict[int, asyncio.Task[int]] = {}

    def hold(
        self, request: node_pb2.HoldBillsRequest
    ) -> node_pb2.HoldBillsReply:
        """Drops written copies and holds new ones, all of them or none.

        Returns:
            The number of bills held; 0 if there is no room.
        """
        held = self._bills.setdefault(request.origin, {})
        for sequence in request.written:
            if held.pop(sequence, None) is not None:
                self._count -= 1
        new = [b for b in request.bills if b.sequence not in held]
        if self._count + len(new) > self._max_bills:
            self._counters.increment("bill.holder.refused", len(new))
            new = []
            accepted = 0
        else:
            accepted = len(request.bills)
        for bill in new:
            held[bill.sequence] = bill.SerializeToString()
        self._count += len(new)
        self._forget_empty(request.origin)
        self._counters.set_gauge("bill.holder.held", self._count)
        return node_pb2.HoldBillsReply(held=accepted)

    def held(self) -> int:
        """Returns the number of copies held."""
        return self._count

    def origins(self) -> tuple[int, ...]:
        """Returns the incarnations of which copies are held."""
        return tuple(self._bills)

    async def recover(self, origin: int) -> int:
        """Appends the copies of an origin to its journal and drops them.

        To be called when the origin has not been heard for 10 s. Retries
        until the platform answers; a second call joins the first. An origin
        that is alive after all is not harmed.

        Returns:
            The number of copies that are now in the journal.
        """
        task = self._recoveries.get(origin)
        if task is None:
            task = asyncio.create_task(self._recover(origin))
            self._recoveries[origin] = task
            task.add_done_callback(lambda _: self._recoveries.pop(origin, None))
        return await asyncio.shield(task)

    async def recover_all(self, timeout_s: float) -> int:
        """Writes all copies before a graceful shutdown, which drops them.

        An origin may be dead already, and the other holder may stop next.

        Returns:
            The number of copies that are still held.
        """
        tasks = [
            asyncio.create_task(self.recover(origin))
            for origin in self.origins()
        ]
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=timeout_s)
            for task in late:
                task.cancel()
        return self._count

    async def close(self) -> None:
        """Cancels all recoveries."""
        tasks = list(self._recoveries.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _recover(self, origin: int) -> int:
        if origin not in self._bills:
            return 0
        _log.notice("recovering bills", origin=f"{origin:016x}")
        target = journal.Journal(self._objects, origin, self._counters)
        recovered = 0
        failures = 0
        while origin in self._bills:
            # Holders of the same origin start at different times, so that
            # most of them find the bills written already.
            delay_s = pacing.flush_interval_s(self._node_count())
            delay_s *= self._generator.uniform(1.0, 2.0)
            try:
                await target.append_once(self._parse(origin))
                failures = 0
            except errors.DragonflydykeError:
                self._counters.increment("bill.holder.recovery_failed")
                failures += 1
                delay_s = pacing.back_off_s(
                    failures, self._node_count(), self._generator
                )
            recovered += self._drop_written(origin, target)
            if origin in self._bills:
                await asyncio.sleep(delay_s)
        self._counters.increment("bill.holder.recovered", recovered)
        _log.notice("recovered bills", count=recovered)
        return recovered

    def _parse(self, origin: int) -> list[model.Bill]:
        return [
            model.parse_message(node_pb2.Bill.FromString(copy))
            for copy in self._bills[origin].values()
        ]

    def _drop_written(self, origin: int, target: journal.Journal) -> int:
        held = self._bills.get(origin, {})
        written = [sequence for sequence in held if sequence in target]
        for sequence in written:
            del held[sequence]
        self._count -= len(written)
        self._forget_empty(origin)
        return len(written)

    def _forget_empty(self, origin: int) -> None:
        if not self._bills.get(origin, True):
            del self._bills[origin]
