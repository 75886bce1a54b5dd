"""An event loop with real I/O whose clock can skip time."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

_POLL_S = 0.001
# Step in which `pass_time` advances the clock.
_STEP_S = 0.1


class SkippingLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock runs in real time and can skip time.

    Tests skip time to exceed a deadline at an exact point of an exchange,
    independently of the speed of the machine.
    """

    _skipped_s = 0.0

    def time(self) -> float:
        """Returns the time in seconds, including the skipped time."""
        return super().time() + self._skipped_s

    def skip(self, seconds: float) -> None:
        """Advances the clock; timers that become due run next."""
        self._skipped_s += seconds


class SkippingTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs in a SkippingLoop, available as `self.loop`."""

    loop: SkippingLoop

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        self._asyncioRunner = asyncio.Runner(
            debug=False, loop_factory=SkippingLoop
        )

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SkippingLoop)
        self.loop = loop

    async def pass_time(self, seconds: float, pause_s: float) -> None:
        """Advances the clock in steps that let calls complete.

        Args:
            seconds: Time by the clock of the loop.
            pause_s: Real time that a step leaves to the calls.
        """
        until_s = self.loop.time() + seconds
        while self.loop.time() < until_s:
            self.loop.skip(_STEP_S)
            await asyncio.sleep(pause_s)


async def wait_until(condition: Callable[[], object]) -> None:
    """Polls a condition, for state without an event, until it holds."""
    for _ in itertools.count():
        if condition():
            return
        await asyncio.sleep(_POLL_S)
