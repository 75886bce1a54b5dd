"""Restarts activities of a node that end at an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflydyke import logs, metrics

# An activity that fails each time logs and lists once in this time.
RESTART_DELAY_S = 1.0

_LOGGER = logs.get_logger("node")


async def keep_running(
    run: Callable[[], Awaitable[None]], counters: metrics.Counters
) -> None:
    """Runs an activity, again after each unexpected error, until cancelled.

    A node whose activity had ended would serve what it knew then for good.

    Args:
        run: Starts the activity, which ends only with an error.
        counters: Receives `activity.failed`.
    """
    while True:
        try:
            await run()
        except Exception as error:
            counters.increment("activity.failed")
            _LOGGER.error(
                "activity failed and is started again",
                activity=getattr(run, "__qualname__", repr(run)),
                error=repr(error),
            )
        await asyncio.sleep(RESTART_DELAY_S)
