"""Requests in progress, so that a stop can wait for them."""

import asyncio


class RequestTracker:
    """Counts requests in progress."""

    __slots__ = ("_count", "_idle")

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    def __enter__(self) -> None:
        self._count += 1
        self._idle.clear()

    def __exit__(self, *exception: object) -> None:
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Returns when no request is in progress."""
        await self._idle.wait()
