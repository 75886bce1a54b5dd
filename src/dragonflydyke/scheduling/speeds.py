"""Relative speed of servers; no I/O.

Designed for pools of up to 30 servers whose speeds differ by more than two to
one, and of which each is slower by a factor of 2.5 for 15% of the time, in
periods of 600 ms. A node sees a server again only every few seconds, so it
cannot follow these periods. It uses a weighted median, which a single slow
response does not move once there are others, and lets old responses fade.
"""

import collections
import math
from collections.abc import Collection

# Number of responses that are remembered for each server.
_MAX_SAMPLES = 9
# Time after which a response counts half. It is much longer than a slow period,
# and short enough that a server that recovers is used again soon.
_HALF_LIFE_S = 10.0
# Weight of the assumption that a server has the usual speed, in responses.
_PRIOR_WEIGHT = 3.0
# Servers of one pool differ by less; a larger ratio is a server in trouble,
# which the detection of outliers handles.
_MIN_RATIO = 0.4
_MAX_RATIO = 2.5


class SpeedTracker:
    """Learns how long servers take, relative to others of their pool.

    Times are loop times in seconds.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        """Creates a tracker for which all servers have the usual speed."""
        self._samples: dict[str, collections.deque[tuple[float, float]]] = {}

    def find_factor(self, server_name: str, now_s: float) -> float:
        """Returns the time that a server takes as a multiple of the usual.

        Returns:
            1.0 at the usual speed, 2.0 if the server takes twice as long.
        """
        weighted = sorted(
            (logarithm, 0.5 ** (max(0.0, now_s - time_s) / _HALF_LIFE_S))
            for time_s, logarithm in self._samples.get(server_name, ())
        )
        total = sum(weight for _, weight in weighted)
        below = 0.0
        for logarithm, weight in weighted:
            below += weight
            if below >= total / 2:
                return math.exp(logarithm * total / (total + _PRIOR_WEIGHT))
        return 1.0

    def observe(self, server_name: str, ratio: float, now_s: float) -> None:
        """Records a response that took `ratio` times as long as usual."""
        if not ratio > 0:
            return
        samples = self._samples.setdefault(
            server_name, collections.deque(maxlen=_MAX_SAMPLES)
        )
        bounded = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        samples.append((now_s, math.log(bounded)))

    def retain(self, server_names: Collection[str]) -> None:
        """Forgets all servers except those that are given."""
        for name in self._samples.keys() - set(server_names):
            del self._samples[name]
