"""Token buckets and demand windows; all times are loop times in seconds."""

import collections


class TokenBucket:
    """Token bucket whose rate may change at any time.

    The level may become negative when more was used than was estimated.
    """

    __slots__ = ("_burst_s", "_capacity", "_level", "_min_capacity", "_rate")

    def __init__(self, burst_s: float, min_capacity: float) -> None:
        """Creates a full bucket.

        Args:
            burst_s: Capacity as seconds of the rate.
            min_capacity: Capacity below which no request would ever pass.
        """
        self._burst_s = burst_s
        self._min_capacity = min_capacity
        self._rate = 0.0
        self._capacity = min_capacity
        self._level: float | None = None

    def refill(self, rate: float, elapsed_s: float) -> None:
        """Adds what has accrued, and sets the rate per second."""
        self._capacity = max(self._min_capacity, rate * self._burst_s)
        if self._level is None:
            self._level = self._capacity
        level = self._level + elapsed_s * rate
        self._level = min(self._capacity, level)
        self._rate = rate

    def compute_wait_s(self, amount: float) -> float:
        """Returns the seconds until an amount can be taken, 0 if it can.

        An amount over the capacity can be taken from a full bucket.
        """
        lacking = min(amount, self._capacity) - (self._level or 0.0)
        # Rounding must not leave a bucket short of full for ever.
        if lacking <= 1e-9 * self._capacity:
            return 0.0
        return lacking / self._rate if self._rate > 0 else float("inf")

    def take(self, amount: float) -> None:
        """Takes an amount; a negative one gives back."""
        self._level = min(self._capacity, (self._level or 0.0) - amount)


class DemandWindow:
    """Mean rate over a sliding window."""

    __slots__ = ("_entries", "_sum", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._entries: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Adds demand; entries within a hundredth of the window are merged."""
        self._sum += amount
        if self._entries:
            newest = self._entries[-1]
            if now_s - newest[0] < self._window_s / 100:
                newest[1] += amount
                return
        self._entries.append([now_s, amount])

    def rate(self, now_s: float) -> float:
        """Returns the mean demand per second over the window."""
        while self._entries and self._entries[0][0] <= now_s - self._window_s:
            self._sum -= self._entries.popleft()[1]
        if not self._entries:
            self._sum = 0.0
        return self._sum / self._window_s
