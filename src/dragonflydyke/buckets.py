"""Token buckets and sliding windows; all times are loop times in seconds."""

import collections


class TokenBucket:
    """Token bucket whose refill rate may change at any time.

    The level becomes negative when a request used more than was estimated.
    """

    __slots__ = ("_burst_s", "_capacity", "_level", "_min_capacity", "_rate")

    def __init__(self, burst_s: float, min_capacity: float) -> None:
        """Creates a full bucket.

        Args:
            burst_s: Capacity in seconds of the refill rate.
            min_capacity: Minimum capacity; with less, no request would ever
                pass.
        """
        self._burst_s = burst_s
        self._min_capacity = min_capacity
        self._rate = 0.0
        self._capacity = min_capacity
        self._level: float | None = None

    def refill(self, rate: float, elapsed_s: float) -> None:
        """Adds what has accrued since the last call.

        Args:
            rate: Refill rate per second, which also sets the capacity.
            elapsed_s: Seconds since the last call.
        """
        self._capacity = max(self._min_capacity, rate * self._burst_s)
        if self._level is None:
            self._level = self._capacity
        level = self._level + elapsed_s * rate
        self._level = min(self._capacity, level)
        self._rate = rate

    def compute_wait_s(self, amount: float) -> float:
        """Returns the seconds until an amount can be taken, 0 if it can now.

        An amount above the capacity can be taken when the bucket is full. The
        result is infinite if the bucket is not refilled.
        """
        deficit = min(amount, self._capacity) - (self._level or 0.0)
        # The tolerance keeps rounding errors from making a full bucket appear
        # incomplete for ever.
        if deficit <= 1e-9 * self._capacity:
            return 0.0
        return deficit / self._rate if self._rate > 0 else float("inf")

    def take(self, amount: float) -> None:
        """Takes an amount; a negative amount is returned to the bucket."""
        self._level = min(self._capacity, (self._level or 0.0) - amount)


class DemandWindow:
    """Mean rate of demand over a sliding window."""

    __slots__ = ("_entries", "_sum", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._entries: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Adds demand.

        Entries within a hundredth of the window are merged, which limits the
        memory.

        Args:
            now_s: Current loop time.
            amount: Amount of demand.
        """
        self._sum += amount
        if self._entries:
            newest = self._entries[-1]
            if now_s - newest[0] < self._window_s / 100:
                newest[1] += amount
                return
        self._entries.append([now_s, amount])

    def compute_rate(self, now_s: float) -> float:
        """Returns the mean demand per second over the window."""
        while self._entries and self._entries[0][0] <= now_s - self._window_s:
            self._sum -= self._entries.popleft()[1]
        if not self._entries:
            self._sum = 0.0
        return self._sum / self._window_s
