"""Queue of requests that wait for capacity at a backend server."""

import asyncio
import bisect
import dataclasses
import itertools
from collections.abc import Callable

from dragonflydyke import metrics

# The estimated load of other nodes decays over time without an event, so
# capacity can become available without a notification.
_RECHECK_INTERVAL_S = 0.5
_MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, order=True)
class _QueuedRequest:
    """A waiting request; the order of the fields is the order of service.

    Attributes:
        priority: Smaller values are served first.
        finish_tag: Virtual finish time in the fair queueing of accounts.
        sequence_number: Order of arrival, which breaks ties.
        load_changed: Set when the request is to re-check for capacity.
    """

    priority: int
    finish_tag: float
    sequence_number: int
    load_changed: asyncio.Event = dataclasses.field(compare=False)


class CapacityQueue:
    """Queues requests by priority, and fairly among client accounts.

    Among requests of equal priority, accounts are served by start-time fair
    queueing with a cost of 1 per request. Requests with the same key wait for
    the same capacity, so only the first of them checks for it.
    """

    __slots__ = (
        "_counters",
        "_last_finish_tags",
        "_queues",
        "_sequence_numbers",
        "_virtual_time",
    )

    def __init__(self, counters: metrics.Counters) -> None:
        self._counters = counters
        self._queues: dict[str, list[_QueuedRequest]] = {}
        self._sequence_numbers = itertools.count()
        self._virtual_time = 0.0
        self._last_finish_tags: dict[str, float] = {}

    async def wait(
        self,
        key: str,
        account: str,
        priority: int,
        has_capacity: Callable[[], bool],
        until_s: float,
    ) -> bool:
        """Waits until a backend server has capacity.

        The capacity is not reserved: the calling coroutine must use it before
        it awaits anything else.

        Args:
            key: Identifies the capacity that the request waits for.
            account: Name of the client account, for fair queueing.
            priority: Requests with smaller values are served first.
            has_capacity: Returns whether a server has capacity now.
            until_s: Loop time at which the wait is given up.

        Returns:
            True if there is capacity, False if there was none in time.
        """
        if key not in self._queues and has_capacity():
            return True
        self._counters.increment("hold.begun")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        queued = self._enqueue(key, account, priority)
        try:
            while not self._is_first(key, queued) or not has_capacity():
                if loop.time() >= until_s:
                    self._counters.increment("hold.expired")
                    return False
                await _wait_for_load_change(queued, until_s)
            return True
        finally:
            self._dequeue(key, queued)
            waited_s = loop.time() - started_s
            self._counters.record_timing("hold.waited", waited_s * _MS_PER_S)

    def notify(self) -> None:
        """Makes the first request of each key re-check for capacity.

        Must be called whenever the load of a server has changed.
        """
        for queue in self._queues.values():
            queue[0].load_changed.set()

    def count_queued(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def _enqueue(self, key: str, account: str, priority: int) -> _QueuedRequest:
        # An idle account starts at the current virtual time, so that it does
        # not accumulate credit.
        finish_tag = (
            max(self._virtual_time, self._last_finish_tags.get(account, 0.0))
            + 1.0
        )
        self._last_finish_tags[account] = finish_tag
        queued = _QueuedRequest(
            priority, finish_tag, next(self._sequence_numbers), asyncio.Event()
        )
        bisect.insort(self._queues.setdefault(key, []), queued)
        return queued

    def _is_first(self, key: str, queued: _QueuedRequest) -> bool:
        return self._queues[key][0] is queued

    def _dequeue(self, key: str, queued: _QueuedRequest) -> None:
        self._virtual_time = max(self._virtual_time, queued.finish_tag - 1.0)
        queue = self._queues[key]
        queue.remove(queued)
        if queue:
            # The request that was removed uses its capacity before the next
            # one checks.
            asyncio.get_running_loop().call_soon(self.notify)
        else:
            del self._queues[key]
        if not self._queues:
            # Nobody waits, so no account is ahead of another. The tags of
            # accounts that are gone would stay for good.
            self._last_finish_tags.clear()
            self._virtual_time = 0.0


async def _wait_for_load_change(queued: _QueuedRequest, until_s: float) -> None:
    now_s = asyncio.get_running_loop().time()
    queued.load_changed.clear()
    try:
        async with asyncio.timeout_at(
            min(until_s, now_s + _RECHECK_INTERVAL_S)
        ):
            await queued.load_changed.wait()
    except TimeoutError:
        return
