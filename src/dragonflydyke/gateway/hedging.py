"""A second attempt at another server when the first one is slow."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from dragonflydyke.gateway import attempts, relays, services


@dataclasses.dataclass(slots=True, frozen=True)
class Contender:
    """An attempt that has begun and the request to send with it."""

    attempt: attempts.BackendAttempt
    request: services.BackendRequest


class Race:
    """Takes the attempt whose answer begins first and cancels the other.

    The bill must wait for `settle`, because it lists the cancelled attempt
    with the tokens that the engine had produced.
    """

    __slots__ = ("_losers",)

    def __init__(self) -> None:
        self._losers: list[asyncio.Task[None]] = []

    async def run(
        self,
        first: Contender,
        begin_second: Callable[[], Contender | None],
        after_s: float | None,
    ) -> attempts.BackendAttempt:
        """Returns the attempt that won, open and with its first chunk read.

        Args:
            first: The first attempt.
            begin_second: Begins the second one, or returns None.
            after_s: Seconds after which the second begins; None for never.

        Raises:
            DragonflydykeError: Of the first attempt, if all failed.
        """
        running = {asyncio.create_task(_prime(first)): first.attempt}
        try:
            await asyncio.wait(running, timeout=after_s)
            if not any(task.done() for task in running):
                second = begin_second()
                if second is not None:
                    task = asyncio.create_task(_prime(second))
                    running[task] = second.attempt
            return await self._take_winner(running)
        except BaseException:
            for task in running:
                task.cancel()
            await asyncio.wait(running)
            raise

    async def settle(self) -> None:
        """Waits until the cancelled attempts are accounted for."""
        if self._losers:
            await asyncio.wait(self._losers)

    async def _take_winner(
        self,
        running: dict[asyncio.Task[None], attempts.BackendAttempt],
    ) -> attempts.BackendAttempt:
        pending = set(running)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for winner in running:
                if winner in done and winner.exception() is None:
                    self._drop_others(winner, running)
                    return running[winner]
        first = next(iter(running))
        first.result()
        raise asyncio.CancelledError

    def _drop_others(
        self,
        winner: asyncio.Task[None],
        running: dict[asyncio.Task[None], attempts.BackendAttempt],
    ) -> None:
        for task, attempt in running.items():
            if task is winner:
                continue
            if not task.done():
                attempt.lose()
                task.cancel()
                self._losers.append(task)
            elif task.exception() is None:
                closing = asyncio.create_task(_close(attempt))
                self._losers.append(closing)


async def _prime(contender: Contender) -> None:
    async with contextlib.AsyncExitStack() as stack:
        attempt = await stack.enter_async_context(contender.attempt)
        answer = await attempt.open(contender.request)
        await relays.check_status(attempt, answer)
        await attempt.prime()
        # The winner stays open; it is closed by its own context.
        stack.pop_all()


async def _close(attempt: attempts.BackendAttempt) -> None:
    error = asyncio.CancelledError()
    await attempt.__aexit__(type(error), error, None)
