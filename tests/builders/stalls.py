"""Time in which the process of a test does not run."""

import asyncio
import time

_INTERVAL_S = 0.01
# Delays of timers below this are usual.
_MIN_STALL_S = 0.1


class StallMeter:
    """Sums the time in which the event loop of the test stood still.

    For limits in real time on another process. A test that also serves the
    store or the servers of that process holds it up while it stands still.

    Attributes:
        total_s: Seconds in which the loop stood still.
    """

    __slots__ = ("_task", "total_s")

    def __init__(self) -> None:
        """Starts to measure; `stop` must follow."""
        self.total_s = 0.0
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ends the measurement."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(_INTERVAL_S)
            delay_s = time.monotonic() - started_s - _INTERVAL_S
            if delay_s >= _MIN_STALL_S:
                self.total_s += delay_s
                print(f"the test stood still for {delay_s:.3f} s")
