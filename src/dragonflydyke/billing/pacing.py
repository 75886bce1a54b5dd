"""Rate limiting of journal writes.

The routers write to a shared platform and together must stay within a budget.
"""

import random

# The platform sustains several hundred writes per second, which the routers
# share with its other users.
FLEET_WRITES_PER_S = 200
MIN_FLUSH_INTERVAL_S = 0.05
MAX_BACKOFF_S = 10.0
# Limits the exponent; the backoff reaches its maximum well before this.
_MAX_DOUBLINGS = 10


def compute_flush_interval_s(node_count: int) -> float:
    """Returns the seconds between two journal writes of one router.

    Args:
        node_count: Number of routers in the fleet.
    """
    return max(MIN_FLUSH_INTERVAL_S, node_count / FLEET_WRITES_PER_S)


def compute_backoff_s(
    failures: int, node_count: int, generator: random.Random
) -> float:
    """Returns the exponential backoff in seconds, with jitter.

    The result is never shorter than the flush interval, so that routers that
    all retry at the same time stay within the write budget of the fleet.

    Args:
        failures: Number of consecutive failed writes.
        node_count: Number of routers in the fleet.
        generator: Source of jitter.
    """
    interval_s = compute_flush_interval_s(node_count)
    max_delay_s = max(MAX_BACKOFF_S, interval_s)
    delay_s = min(max_delay_s, interval_s * 2 ** min(failures, _MAX_DOUBLINGS))
    return max(interval_s, delay_s * generator.uniform(0.5, 1.0))
