"""An event loop whose time tests pause and advance."""

import asyncio
import unittest


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock that stands still until it is advanced."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1_000.0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def _run_once(self) -> None:
        # Without this, the selector would wait in real time for a timer that
        # only `advance` can make due.
        if not self._ready and not self._stopping:
            self.call_soon(lambda: None)
        super()._run_once()

    async def advance(self, seconds: float, step_s: float = 0.05) -> None:
        """Moves the clock forward and runs everything that becomes due.

        Args:
            seconds: How far to move the clock.
            step_s: Largest single move, so that periodic work runs each time.
        """
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            self._now_s = min(self._now_s + step_s, end_s)
            await run_ready_tasks()


async def run_ready_tasks(iterations: int = 20) -> None:
    """Lets tasks that are ready run, without moving the clock."""
    for _ in range(iterations):
        await asyncio.sleep(0)


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose loop is a VirtualLoop, as `self.loop`.

    Only for code that does no real input or output.
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
