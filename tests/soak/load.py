"""Callers of a soak, which check every answer that they get."""

import asyncio
import itertools
import random

from tests.builders import forwarding
from tests.soak import ledger, site

_CALLERS = 8
_DEADLINE_S = 3.0
# Time that a caller waits beyond its deadline before it gives up.
_PATIENCE_S = 1.0
_PAUSE_S = 0.02
# Requests that are sent on one connection at most.
_KEPT_REQUESTS = 6

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Load:
    """Sends requests of all kinds to all nodes until it is stopped."""

    def __init__(self, running: site.Site, source: random.Random) -> None:
        self._site = running
        self._random = source
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_over = False

    def start(self) -> None:
        """Starts the callers."""
        self._tasks = [
            asyncio.create_task(self._call()) for _ in range(_CALLERS)
        ]

    async def stop(self) -> None:
        """Waits until each caller has its last answer."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _call(self) -> None:
        while not self._is_over:
            node = self._random.choice(self._site.nodes)
            await self._use_connection(node)
            await asyncio.sleep(_PAUSE_S)

    async def _use_connection(self, node: site.RouterProcess) -> None:
        """Sends requests on one connection until it breaks or is closed."""
        try:
            async with asyncio.timeout(_PATIENCE_S):
                connection = await asyncio.open_connection(
                    node.host, node.front_port
                )
        except (OSError, TimeoutError):
            return
        for _ in range(_KEPT_REQUESTS):
            kind = self._random.choice(list(ledger.Kind))
            if not await self._send(node, connection, kind):
                break
            if self._is_over:
                break
        connection[1].close()

    async def _send(
        self,
        node: site.RouterProcess,
        connection: Connection,
        kind: ledger.Kind,
    ) -> bool:
        """Sends one request; returns whether the connection can be kept."""
        request_id = f"r{next(self._numbers)}"
        self._site.book.note_sent(request_id, kind, node.vm)
        return await self._exchange(request_id, connection, kind, kind.value)

    async def probe(self, node: site.RouterProcess, route: str) -> int:
        """Returns the status for a route that a node may not know yet."""
        request_id = f"r{next(self._numbers)}"
        book = self._site.book
        kind = ledger.Kind.IDEMPOTENT
        book.note_sent(request_id, kind, node.vm, is_probe=True)
        connection = await asyncio.open_connection(node.host, node.front_port)
        await self._exchange(request_id, connection, kind, route)
        connection[1].close()
        return book.entries[request_id].status

    async def _exchange(
        self,
        request_id: str,
        connection: Connection,
        kind: ledger.Kind,
        route: str,
    ) -> bool:
        book = self._site.book
        try:
            connection[1].write(_write_request(request_id, route))
            async with asyncio.timeout(_DEADLINE_S + _PATIENCE_S):
                answer = await forwarding.read_response(connection[0])
        except (OSError, EOFError, TimeoutError):
            book.note_answer(request_id, 0)
            return False
        if not answer.is_complete:
            book.note_answer(request_id, 0)
            return False
        book.note_answer(request_id, answer.status)
        self._check(request_id, kind, answer)
        return "close" not in answer.headers.get("Connection", "")

    def _check(
        self,
        request_id: str,
        kind: ledger.Kind,
        answer: forwarding.ClientResponse,
    ) -> None:
        book = self._site.book
        if answer.headers.get("Attempt-Id", request_id) != request_id:
            book.report(f"{request_id} got the answer of another request")
        if answer.status != 200:
            return
        if "Runner-Seal" not in answer.headers:
            book.report(f"{request_id} got a success without a signature")
        expected = request_id.encode()
        if kind is ledger.Kind.STREAM:
            expected = b"".join(
                f"id: {number}\ndata: {request_id}\n\n".encode()
                for number in range(1, site.EVENTS + 1)
            )
        if answer.body != expected:
            book.report(f"{request_id} got {answer.body[-120:]!r}")


def _write_request(request_id: str, route: str) -> bytes:
    return (
        f"POST /{route}/1 HTTP/1.1\r\n"
        f"Host: {forwarding.HOST}\r\n"
        f"Attempt-Id: {request_id}\r\n"
        f"Deadline-Ms: {int(_DEADLINE_S * 1_000)}\r\n"
        f"Authorization: Token {forwarding.KEY}\r\n"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()
