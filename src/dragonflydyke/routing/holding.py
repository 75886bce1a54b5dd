"""Requests that are held back until a backend server has room."""

import asyncio
import bisect
import dataclasses
import itertools
from collections.abc import Callable

from dragonflydyke import metrics

# The share of other nodes in the load fades without an event.
_RECHECK_S = 0.5
_MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, order=True)
class _Held:
    priority: int
    turn: float
    number: int
    changed: asyncio.Event = dataclasses.field(compare=False)


class HoldQueue:
    """Holds requests in order of priority, with fair shares of accounts.

    Requests with the same key wait for the same kind of room, so only the
    first of them has to look for it.
    """

    __slots__ = ("_counters", "_last_turns", "_numbers", "_queues", "_turn")

    def __init__(self, counters: metrics.Counters) -> None:
        self._counters = counters
        self._queues: dict[str, list[_Held]] = {}
        self._numbers = itertools.count()
        self._turn = 0.0
        self._last_turns: dict[str, float] = {}

    async def wait(
        self,
        key: str,
        account: str,
        priority: int,
        has_room: Callable[[], bool],
        until_s: float,
    ) -> bool:
        """Waits for room; the caller must use it without awaiting.

        Args:
            key: What the request waits for.
            account: Client account; held accounts take turns.
            priority: Smaller goes first.
            has_room: Whether a server has room now.
            until_s: Loop time until which the request is held.

        Returns:
            False if there was no room in time.
        """
        if key not in self._queues and has_room():
            return True
        self._counters.increment("hold.begun")
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        held = self._enter(key, account, priority)
        try:
            while not self._is_next(key, held) or not has_room():
                if loop.time() >= until_s:
                    self._counters.increment("hold.expired")
                    return False
                await _wait_for_change(held, until_s)
            return True
        finally:
            self._leave(key, held)
            taken_s = loop.time() - began_s
            self._counters.record_timing("hold.waited", taken_s * _MS_PER_S)

    def wake(self) -> None:
        """Lets the first requests look again; call it when load changed."""
        for queue in self._queues.values():
            queue[0].changed.set()

    def count(self) -> int:
        """Returns the number of held requests."""
        return sum(len(queue) for queue in self._queues.values())

    def _enter(self, key: str, account: str, priority: int) -> _Held:
        # An account that held nothing starts at the present turn, so that it
        # cannot save up turns.
        turn = max(self._turn, self._last_turns.get(account, 0.0)) + 1.0
        self._last_turns[account] = turn
        held = _Held(priority, turn, next(self._numbers), asyncio.Event())
        bisect.insort(self._queues.setdefault(key, []), held)
        return held

    def _is_next(self, key: str, held: _Held) -> bool:
        return self._queues[key][0] is held

    def _leave(self, key: str, held: _Held) -> None:
        self._turn = max(self._turn, held.turn - 1.0)
        queue = self._queues[key]
        queue.remove(held)
        if queue:
            # The one that left uses its room before the next one looks.
            asyncio.get_running_loop().call_soon(self.wake)
        else:
            del self._queues[key]


async def _wait_for_change(held: _Held, until_s: float) -> None:
    now_s = asyncio.get_running_loop().time()
    held.changed.clear()
    try:
        async with asyncio.timeout_at(min(until_s, now_s + _RECHECK_S)):
            await held.changed.wait()
    except TimeoutError:
        return
