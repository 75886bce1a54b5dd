"""Pace of journal writes, so that the fleet stays within its budget."""

import random

# The platform sustains several hundred writes/s, shared with other uses.
FLEET_WRITES_PER_S = 200
MIN_FLUSH_INTERVAL_S = 0.05
MAX_BACK_OFF_S = 10.0
# Bounds the exponent; the back-off has reached its maximum long before.
_MAX_DOUBLINGS = 10


def flush_interval_s(node_count: int) -> float:
    """Returns the seconds between two journal writes of one node."""
    return max(MIN_FLUSH_INTERVAL_S, node_count / FLEET_WRITES_PER_S)


def back_off_s(
    failures: int, node_count: int, generator: random.Random
) -> float:
    """Returns the seconds to wait after consecutive failed writes.

    Never shorter than the flush interval, so that a fleet that retries
    together stays within its budget.
    """
    interval_s = flush_interval_s(node_count)
    longest_s = max(MAX_BACK_OFF_S, interval_s)
    delay_s = min(longest_s, interval_s * 2 ** min(failures, _MAX_DOUBLINGS))
    return max(interval_s, delay_s * generator.uniform(0.5, 1.0))
