"""Clients of a soak, which check every response that they receive."""

import asyncio
import itertools
import random

from tests.builders import forwarding
from tests.soak import deployment, request_log

_CLIENT_COUNT = 8
_DEADLINE_S = 3.0
# Time for which a client waits beyond its deadline.
_EXTRA_TIMEOUT_S = 1.0
_DELAY_BETWEEN_CONNECTIONS_S = 0.02
_MAX_REQUESTS_PER_CONNECTION = 6

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LoadGenerator:
    """Sends requests of all kinds to all nodes until it is stopped."""

    def __init__(
        self,
        soak_deployment: deployment.SoakDeployment,
        source: random.Random,
    ) -> None:
        self._deployment = soak_deployment
        self._random = source
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False

    def start(self) -> None:
        """Starts the clients."""
        self._tasks = [
            asyncio.create_task(self._run_client())
            for _ in range(_CLIENT_COUNT)
        ]

    async def stop(self) -> None:
        """Waits until each client has finished its last request."""
        self._is_stopped = True
        await asyncio.gather(*self._tasks)

    async def _run_client(self) -> None:
        while not self._is_stopped:
            node = self._random.choice(self._deployment.nodes)
            await self._use_connection(node)
            await asyncio.sleep(_DELAY_BETWEEN_CONNECTIONS_S)

    async def _use_connection(self, node: deployment.RouterProcess) -> None:
        """Sends requests on one connection until it fails or is closed."""
        try:
            async with asyncio.timeout(_EXTRA_TIMEOUT_S):
                connection = await asyncio.open_connection(
                    node.host, node.front_port
                )
        except (OSError, TimeoutError):
            return
        for _ in range(_MAX_REQUESTS_PER_CONNECTION):
            kind = self._random.choice(list(request_log.RequestKind))
            if not await self._send(node, connection, kind):
                break
            if self._is_stopped:
                break
        connection[1].close()

    async def _send(
        self,
        node: deployment.RouterProcess,
        connection: Connection,
        kind: request_log.RequestKind,
    ) -> bool:
        """Sends one request; returns whether the connection can be reused."""
        request_id = f"r{next(self._numbers)}"
        self._deployment.request_log.record_sent(request_id, kind, node.vm)
        return await self._exchange(request_id, connection, kind, kind.value)

    async def probe(self, node: deployment.RouterProcess, route: str) -> int:
        """Returns the status for a route that a node may not have yet."""
        request_id = f"r{next(self._numbers)}"
        log = self._deployment.request_log
        kind = request_log.RequestKind.IDEMPOTENT
        log.record_sent(request_id, kind, node.vm, is_probe=True)
        connection = await asyncio.open_connection(node.host, node.front_port)
        await self._exchange(request_id, connection, kind, route)
        connection[1].close()
        return log.records[request_id].status

    async def _exchange(
        self,
        request_id: str,
        connection: Connection,
        kind: request_log.RequestKind,
        route: str,
    ) -> bool:
        log = self._deployment.request_log
        try:
            connection[1].write(_write_request(request_id, route))
            async with asyncio.timeout(_DEADLINE_S + _EXTRA_TIMEOUT_S):
                response = await forwarding.read_response(connection[0])
        except (OSError, EOFError, TimeoutError):
            log.record_response(request_id, 0)
            return False
        if not response.is_complete:
            log.record_response(request_id, 0)
            return False
        log.record_response(request_id, response.status)
        self._check_response(request_id, kind, response)
        return "close" not in response.headers.get("Connection", "")

    def _check_response(
        self,
        request_id: str,
        kind: request_log.RequestKind,
        response: forwarding.ClientResponse,
    ) -> None:
        log = self._deployment.request_log
        if response.headers.get("Attempt-Id", request_id) != request_id:
            log.report_violation(
                f"{request_id} received the response to another request"
            )
        if response.status != 200:
            return
        if "Runner-Seal" not in response.headers:
            log.report_violation(
                f"{request_id} received an unsigned success response"
            )
        expected = request_id.encode()
        if kind is request_log.RequestKind.STREAM:
            expected = b"".join(
                f"id: {number}\ndata: {request_id}\n\n".encode()
                for number in range(1, deployment.EVENTS + 1)
            )
        if response.body != expected:
            log.report_violation(f"{request_id} got {response.body[-120:]!r}")


def _write_request(request_id: str, route: str) -> bytes:
    return (
        f"POST /{route}/1 HTTP/1.1\r\n"
        f"Host: {forwarding.HOST}\r\n"
        f"Attempt-Id: {request_id}\r\n"
        f"Deadline-Ms: {int(_DEADLINE_S * 1_000)}\r\n"
        f"Authorization: Token {forwarding.KEY}\r\n"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()
