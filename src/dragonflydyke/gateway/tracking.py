"""Tracking of requests in progress, for a graceful shutdown."""

import asyncio
import enum
from collections.abc import Callable

from dragonflydyke import errors

_RETRY_AFTER_S = 0.0


class AcceptanceState(enum.Enum):
    """Whether the router accepts new requests."""

    ACCEPTING = "accepting"
    DRAINING = "draining"
    CLOSED = "closed"


class RequestTracker:
    """Counts requests from their headers to the last byte of the response.

    As a context manager it counts one request while the context is active.

    Attributes:
        state: While draining, responses ask clients to close their keep-alive
            connections. When closed, new requests are rejected.
    """

    __slots__ = ("_count", "_idle", "state")

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.state = AcceptanceState.ACCEPTING

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

    def start_request(self) -> Callable[[], None]:
        """Counts a request as in progress.

        Returns:
            A function that ends the count; further calls have no effect.
        """
        self.__enter__()
        is_counted = True

        def release() -> None:
            nonlocal is_counted
            if is_counted:
                is_counted = False
                self.__exit__()

        return release

    def check_accepting(self) -> None:
        """Checks that new requests are accepted.

        Raises:
            DragonflydykeError: `router_leaving`, not run, if the router is
                about to exit.
        """
        if self.state is AcceptanceState.CLOSED:
            raise errors.DragonflydykeError(
                "router_leaving",
                "This router is stopping; send the request again on a new "
                "connection.",
                step=errors.Step.ADMIT,
                status=503,
                retry_after_s=_RETRY_AFTER_S,
            )

    async def wait_until_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()
