"""An event loop with real input and output whose clock can be moved on."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

_POLL_S = 0.001


class SkippingLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock runs as usual and can skip time.

    Lets tests exceed a deadline at a certain point of an exchange, however
    slowly the machine gets there.
    """

    _skipped_s = 0.0

    def time(self) -> float:
        """Returns the time in seconds, with what was skipped."""
        return super().time() + self._skipped_s

    def skip(self, seconds: float) -> None:
        """Moves the clock on; timers that become due run next."""
        self._skipped_s += seconds


class SkippingTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose loop is a SkippingLoop, as `self.loop`."""

    loop: SkippingLoop

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        self._asyncioRunner = asyncio.Runner(
            debug=False, loop_factory=SkippingLoop
        )

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SkippingLoop)
        self.loop = loop


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds that has no event of its own."""
    for _ in itertools.count():
        if condition():
            return
        await asyncio.sleep(_POLL_S)
