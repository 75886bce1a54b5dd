"""An event loop with virtual time that only tests advance."""

import asyncio
import unittest


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock moves only by `advance`."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1_000.0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def _run_once(self) -> None:
        # A ready callback keeps the selector from blocking in real time until
        # a timer is due that only `advance` makes due.
        if not self._ready and not self._stopping:
            self.call_soon(lambda: None)
        super()._run_once()

    async def advance(self, seconds: float, step_s: float = 0.05) -> None:
        """Advances the clock and runs the timers that become due.

        Args:
            seconds: Time by which to advance the clock.
            step_s: Maximum step, so that periodic timers run in each period.
        """
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            self._now_s = min(self._now_s + step_s, end_s)
            await run_ready_tasks()


async def run_ready_tasks(iterations: int = 20) -> None:
    """Runs tasks that are ready, without advancing the clock."""
    for _ in range(iterations):
        await asyncio.sleep(0)


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs in a VirtualLoop, available as `self.loop`.

    Only for code without real I/O.
    """

    loop: VirtualLoop

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        self._asyncioRunner = asyncio.Runner(
            debug=False, loop_factory=VirtualLoop
        )

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        self.loop = loop
