"""Hedged requests: a second attempt at another server if the first is slow."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from dragonflydyke.gateway import attempts, relays, services


@dataclasses.dataclass(slots=True, frozen=True)
class PreparedAttempt:
    """A started attempt and the request to send with it."""

    attempt: attempts.BackendAttempt
    request: services.BackendRequest


class HedgedAttempts:
    """Uses the attempt that produces a response first and cancels the other.

    Call `wait_until_cancelled` before recording the bill, because the bill
    lists the cancelled attempt with the tokens that its engine had produced.
    """

    __slots__ = ("_cancellation_tasks",)

    def __init__(self) -> None:
        self._cancellation_tasks: list[asyncio.Task[None]] = []

    async def run(
        self,
        first: PreparedAttempt,
        start_second: Callable[[], PreparedAttempt | None],
        hedge_delay_s: float | None,
    ) -> attempts.BackendAttempt:
        """Runs one or two attempts until one of them has its first chunk.

        Args:
            first: The first attempt.
            start_second: Starts the second attempt, or returns None if there
                is none.
            hedge_delay_s: Seconds after which the second attempt is started;
                None for never.

        Returns:
            The attempt that was first; its response is open and its first
            chunk is buffered.

        Raises:
            DragonflydykeError: The error of the first attempt, if all failed.
        """
        running = {
            asyncio.create_task(_await_first_chunk(first)): first.attempt
        }
        try:
            await asyncio.wait(running, timeout=hedge_delay_s)
            if not any(task.done() for task in running):
                second = start_second()
                if second is not None:
                    task = asyncio.create_task(_await_first_chunk(second))
                    running[task] = second.attempt
            return await self._wait_for_winner(running)
        except BaseException:
            for task in running:
                task.cancel()
            await asyncio.wait(running)
            raise

    async def wait_until_cancelled(self) -> None:
        """Waits until the cancelled attempts have recorded their outcome."""
        if self._cancellation_tasks:
            await asyncio.wait(self._cancellation_tasks)

    async def _wait_for_winner(
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
                    self._cancel_others(winner, running)
                    return running[winner]
        first = next(iter(running))
        first.result()
        raise asyncio.CancelledError

    def _cancel_others(
        self,
        winner: asyncio.Task[None],
        running: dict[asyncio.Task[None], attempts.BackendAttempt],
    ) -> None:
        for task, attempt in running.items():
            if task is winner:
                continue
            if not task.done():
                attempt.record_hedge_lost()
                task.cancel()
                self._cancellation_tasks.append(task)
            elif task.exception() is None:
                cancellation = asyncio.create_task(_cancel_attempt(attempt))
                self._cancellation_tasks.append(cancellation)


async def _await_first_chunk(prepared: PreparedAttempt) -> None:
    async with contextlib.AsyncExitStack() as stack:
        attempt = await stack.enter_async_context(prepared.attempt)
        response = await attempt.open(prepared.request)
        await relays.check_status(attempt, response)
        await attempt.buffer_first_chunk()
        # The attempt stays open; its user closes it by `async with`.
        stack.pop_all()


async def _cancel_attempt(attempt: attempts.BackendAttempt) -> None:
    error = asyncio.CancelledError()
    await attempt.__aexit__(type(error), error, None)
