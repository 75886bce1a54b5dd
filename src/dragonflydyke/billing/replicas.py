"""Storage and recovery of replicas of other routers' bills."""

import asyncio
import random
from collections.abc import Callable

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.billing import journal, model, pacing
from dragonflydyke.protocol import node_pb2

# About 20 MB with 200 bytes per replica: a third of the memory budget for
# control data.
DEFAULT_MAX_REPLICAS = 100_000

_log = logs.get_logger("billing.holders")


class ReplicaStore:
    """Replicas of bills, grouped by the incarnation of the origin router.

    If the origin fails, its replicas are written to its journal. They are kept
    in memory as serialised protobuf messages, the most compact form.
    """

    __slots__ = (
        "_count",
        "_counters",
        "_generator",
        "_max_replicas",
        "_node_count",
        "_objects",
        "_recoveries",
        "_replicas",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        counters: metrics.Counters,
        *,
        node_count: Callable[[], int],
        max_replicas: int = DEFAULT_MAX_REPLICAS,
        generator: random.Random | None = None,
    ) -> None:
        """Initialises the store.

        Args:
            objects_client: The platform.
            counters: Receives `bill.holder.<event>`.
            node_count: Returns the number of routers in the fleet.
            max_replicas: Capacity; replicas beyond it are rejected.
            generator: Source of jitter.
        """
        self._objects = objects_client
        self._counters = counters
        self._node_count = node_count
        self._max_replicas = max_replicas
        self._generator = generator or random.Random()
        self._replicas: dict[int, dict[int, bytes]] = {}
        self._count = 0
        self._recoveries: dict[int, asyncio.Task[int]] = {}

    def store(
        self, request: node_pb2.HoldBillsRequest
    ) -> node_pb2.HoldBillsReply:
        """Deletes written replicas and stores new ones, all of them or none.

        Returns:
            The number of bills stored, 0 if the capacity does not suffice.
        """
        replicas = self._replicas.setdefault(request.origin, {})
        for sequence in request.written:
            if replicas.pop(sequence, None) is not None:
                self._count -= 1
        new = [b for b in request.bills if b.sequence not in replicas]
        if self._count + len(new) > self._max_replicas:
            self._counters.increment("bill.holder.refused", len(new))
            new = []
            accepted = 0
        else:
            accepted = len(request.bills)
        for bill in new:
            replicas[bill.sequence] = bill.SerializeToString()
        self._count += len(new)
        self._remove_if_empty(request.origin)
        self._counters.set_gauge("bill.holder.held", self._count)
        return node_pb2.HoldBillsReply(held=accepted)

    def replica_count(self) -> int:
        """Returns the number of stored replicas."""
        return self._count

    def origins(self) -> tuple[int, ...]:
        """Returns the incarnations of the routers that have replicas here."""
        return tuple(self._replicas)

    async def recover(self, origin: int) -> int:
        """Appends the replicas of an origin to its journal and deletes them.

        Call this when the origin has sent no report for 10 s. Retries until
        the platform responds; concurrent calls share one recovery. Safe if
        the origin is still running, because the journal stores each bill
        once.

        Args:
            origin: Incarnation of the origin.

        Returns:
            The number of replicas that are now in the journal.
        """
        task = self._recoveries.get(origin)
        if task is None:
            task = asyncio.create_task(self._recover(origin))
            self._recoveries[origin] = task
            task.add_done_callback(lambda _: self._recoveries.pop(origin, None))
        return await asyncio.shield(task)

    async def recover_all(self, timeout_s: float) -> int:
        """Writes all replicas to the journals before a graceful shutdown.

        The shutdown discards the replicas. An origin may have failed already,
        and the router with the other replica may be the next to stop.

        Args:
            timeout_s: Longest time to wait in seconds.

        Returns:
            The number of replicas that could not be written.
        """
        tasks = [
            asyncio.create_task(self.recover(origin))
            for origin in self.origins()
        ]
        if tasks:
            _, unfinished = await asyncio.wait(tasks, timeout=timeout_s)
            for task in unfinished:
                task.cancel()
        return self._count

    async def close(self) -> None:
        """Cancels all recoveries."""
        tasks = list(self._recoveries.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _recover(self, origin: int) -> int:
        if origin not in self._replicas:
            return 0
        _log.notice("recovering bills from replicas", origin=f"{origin:016x}")
        origin_journal = journal.Journal(self._objects, origin, self._counters)
        recovered = 0
        failures = 0
        while origin in self._replicas:
            # Jitter spreads the recoveries of one origin on several routers,
            # so that most of them find the bills already written.
            delay_s = pacing.compute_flush_interval_s(self._node_count())
            delay_s *= self._generator.uniform(1.0, 2.0)
            try:
                await origin_journal.append_missing(
                    self._parse_replicas(origin)
                )
                failures = 0
            except errors.DragonflydykeError:
                self._counters.increment("bill.holder.recovery_failed")
                failures += 1
                delay_s = pacing.compute_backoff_s(
                    failures, self._node_count(), self._generator
                )
            recovered += self._remove_written(origin, origin_journal)
            if origin in self._replicas:
                await asyncio.sleep(delay_s)
        self._counters.increment("bill.holder.recovered", recovered)
        _log.notice("recovered bills from replicas", count=recovered)
        return recovered

    def _parse_replicas(self, origin: int) -> list[model.Bill]:
        return [
            model.parse_message(node_pb2.Bill.FromString(replica))
            for replica in self._replicas[origin].values()
        ]

    def _remove_written(
        self, origin: int, origin_journal: journal.Journal
    ) -> int:
        replicas = self._replicas.get(origin, {})
        written = [
            sequence for sequence in replicas if sequence in origin_journal
        ]
        for sequence in written:
            del replicas[sequence]
        self._count -= len(written)
        self._remove_if_empty(origin)
        return len(written)

    def _remove_if_empty(self, origin: int) -> None:
        if not self._replicas.get(origin, True):
            del self._replicas[origin]
