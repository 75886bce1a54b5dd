"""Timeout of a response that depends on its progress and not on its size.

A configuration may take seconds over a narrow link. With a timeout on the whole
response, a node behind such a link would never read it, and would treat a store
that responds as one that is away.
"""

import asyncio
import io
from collections.abc import Callable

from tornado import httpclient, simple_httpclient

# Limit on a response that arrives ever so slowly, in seconds.
MAX_DURATION_S = 15.0


class Transfer:
    """Receives the body of one response."""

    __slots__ = (
        "_chunks",
        "_is_abandoned",
        "_max_pause_s",
        "_on_start",
        "_progressed_s",
    )

    def __init__(
        self, max_pause_s: float, on_start: Callable[[], None] = lambda: None
    ) -> None:
        """Creates a transfer that has not begun.

        Args:
            max_pause_s: Seconds without progress after which it has failed.
            on_start: Called when the body begins to arrive.
        """
        self._chunks: list[bytes] = []
        self._on_start = on_start
        self._is_abandoned = False
        self._max_pause_s = max_pause_s
        self._progressed_s = 0.0

    def receive(self, chunk: bytes) -> None:
        """Takes a part of the body.

        Raises:
            ConnectionAbortedError: If the transfer has failed before, which
                closes the connection.
        """
        if self._is_abandoned:
            raise ConnectionAbortedError("the transfer has been given up")
        if not self._chunks:
            self._on_start()
        self._chunks.append(chunk)
        self._progressed_s = asyncio.get_running_loop().time()

    async def complete(
        self, response: asyncio.Future[httpclient.HTTPResponse], wait_s: float
    ) -> httpclient.HTTPResponse:
        """Returns the response with its body once all of it has arrived.

        Args:
            response: The response, whose body is passed to `receive`.
            wait_s: Seconds for which the peer may delay the response.

        Raises:
            HTTPTimeoutError: If there was no progress for too long.
            HTTPError: If the exchange failed otherwise.
            OSError: If the connection failed.
        """
        loop = asyncio.get_running_loop()
        response.add_done_callback(_retrieve_error)
        self._progressed_s = loop.time() + wait_s
        try:
            while not response.done():
                rest_s = self._progressed_s + self._max_pause_s - loop.time()
                if rest_s <= 0:
                    raise simple_httpclient.HTTPTimeoutError(
                        f"no progress for {self._max_pause_s:.1f} s after"
                        f" {sum(map(len, self._chunks))} bytes"
                    )
                await asyncio.wait((response,), timeout=rest_s)
        finally:
            self._is_abandoned = not response.done()
        received = response.result()
        received.buffer = io.BytesIO(b"".join(self._chunks))
        # The request, which the response refers to, keeps this object.
        self._chunks.clear()
        return received


def _retrieve_error(response: asyncio.Future[httpclient.HTTPResponse]) -> None:
    """Marks the error of an exchange that was given up as retrieved."""
    if not response.cancelled():
        response.exception()
