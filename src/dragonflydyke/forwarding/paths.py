"""Choice between a direct connection to a server and one through a neighbour.

A server that accepts no connection is down, or the link between this node and
it is. Several of them at the same time suggest the link. From then on a
connection is opened directly and through a neighbour, and the first one that is
open is used. The direct one has a head start where it worked lately, and ends
the suspicion when it works again.
"""

import asyncio
import datetime
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

from tornado import iostream, tcpclient

from dragonflydyke import logs, metrics, settings
from dragonflydyke.forwarding import tunnels

# Servers without a connection that suggest that the link of this node is down.
_MIN_UNREACHABLE = 2
# Time for which a failed connection counts, in seconds. As long as the link is
# down, each request through a neighbour also tries the direct connection.
_MEMORY_S = 10.0
# A server in the same region accepts a connection within milliseconds.
_HEAD_START_S = 0.05
# Seconds for which one neighbour is asked for a connection.
TUNNEL_TIMEOUT_S = 0.2
# Time for which a neighbour that did not help is not asked, in seconds.
_NEIGHBOUR_BACK_OFF_S = 3.0
# Neighbours that are asked for one connection.
_MAX_NEIGHBOURS = 3
# Neighbours that helped are preferred; several share the load.
_MAX_PREFERRED = 4

_LOGGER = logs.get_logger("paths")


class Neighbours:
    """The other nodes, as ways to servers; times are loop times."""

    __slots__ = ("_addresses", "_avoided_until_s", "_helpful", "_random")

    def __init__(self, source: random.Random) -> None:
        """Creates an empty list.

        Args:
            source: Random source that spreads the load over the neighbours.
        """
        self._addresses: list[settings.Address] = []
        self._avoided_until_s: dict[settings.Address, float] = {}
        self._helpful: dict[settings.Address, None] = {}
        self._random = source

    def replace(
        self, name: str, addresses: Mapping[str, settings.Address]
    ) -> None:
        """Replaces the known nodes; `name` is this node."""
        self._addresses = [
            addresses[other] for other in sorted(addresses) if other != name
        ]
        known = set(self._addresses)
        for address in self._avoided_until_s.keys() - known:
            del self._avoided_until_s[address]
        for address in self._helpful.keys() - known:
            del self._helpful[address]

    def list_candidates(self, now_s: float) -> list[settings.Address]:
        """Returns the neighbours to ask for a connection, in order."""
        usable = [
            address
            for address in self._addresses
            if self._avoided_until_s.get(address, -math.inf) <= now_s
        ]
        self._random.shuffle(usable)
        usable.sort(key=lambda address: address not in self._helpful)
        return usable[:_MAX_NEIGHBOURS]

    def record(
        self, address: settings.Address, now_s: float, *, helped: bool
    ) -> None:
        """Records whether a neighbour opened a connection."""
        if not helped:
            self._helpful.pop(address, None)
            self._avoided_until_s[address] = now_s + _NEIGHBOUR_BACK_OFF_S
            return
        self._avoided_until_s.pop(address, None)
        if len(self._helpful) < _MAX_PREFERRED:
            self._helpful[address] = None


class ServerConnector:
    """Opens connections to servers, directly or through a neighbour."""

    __slots__ = (
        "_client",
        "_counters",
        "_find_region",
        "_is_suspicious",
        "_neighbours",
        "_tasks",
        "_unreachable_s",
    )

    def __init__(
        self,
        client: tcpclient.TCPClient,
        neighbours: Neighbours,
        counters: metrics.Counters,
        find_region: Callable[[], str] = lambda: "",
    ) -> None:
        """Creates a connector without any suspicion.

        Args:
            client: Opens direct connections.
            neighbours: The other nodes.
            counters: Receives `path.direct_lost`, `path.tunnel.used` and
                `path.tunnel.failed`.
            find_region: Returns the region of this node.
        """
        self._client = client
        self._neighbours = neighbours
        self._counters = counters
        self._find_region = find_region
        self._is_suspicious = False
        # Loop time of the newest failure of a direct connection, by server.
        self._unreachable_s: dict[settings.Address, float] = {}
        self._tasks: set[asyncio.Task[iostream.IOStream]] = set()

    def is_unreachable(self, address: settings.Address, now_s: float) -> bool:
        """Returns whether a direct connection to a server failed lately."""
        failed_s = self._unreachable_s.get(address, -math.inf)
        return now_s - failed_s < _MEMORY_S

    async def connect(
        self,
        host: str,
        port: int,
        *,
        timeout: datetime.timedelta,
        **options: Any,
    ) -> iostream.IOStream:
        """Opens a connection to a server.

        Args:
            host: Address of the server.
            port: Port of the server.
            timeout: Time within which the connection has to be open.
            **options: Options of a direct connection, see `TCPClient.connect`.
                Connections with TLS are always direct.

        Raises:
            OSError: If the server cannot be reached.
            StreamClosedError: If the connection was refused.
            TimeoutError: If no connection was open in time.
        """
        address = settings.Address(host, port)
        timeout_s = timeout.total_seconds()
        direct = self._start_direct(address, timeout_s, options)
        if options.get("ssl_options") or not self._suspects_link():
            return await _await_or_cancel(direct)
        return await self._race(address, direct)

    async def connect_directly(
        self, address: settings.Address
    ) -> iostream.IOStream:
        """Opens a connection for another node, which never takes a tunnel.

        Raises:
            OSError: If the server cannot be reached.
            StreamClosedError: If the connection was refused.
            TimeoutError: If no connection was open in time.
        """
        task = self._start_direct(address, TUNNEL_TIMEOUT_S, {})
        return await _await_or_cancel(task)

    def _suspects_link(self) -> bool:
        now_s = _now_s()
        for address, failed_s in list(self._unreachable_s.items()):
            if now_s - failed_s >= _MEMORY_S:
                del self._unreachable_s[address]
        is_suspicious = len(self._unreachable_s) >= _MIN_UNREACHABLE
        if is_suspicious != self._is_suspicious:
            self._is_suspicious = is_suspicious
            _LOGGER.notice(
                "direct connections to servers fail"
                if is_suspicious
                else "direct connections to servers work again",
                unreachable=len(self._unreachable_s),
            )
        return is_suspicious

    def _start_direct(
        self,
        address: settings.Address,
        timeout_s: float,
        options: Mapping[str, Any],
    ) -> asyncio.Task[iostream.IOStream]:
        task = asyncio.create_task(
            self._connect_directly(address, timeout_s, options)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _connect_directly(
        self,
        address: settings.Address,
        timeout_s: float,
        options: Mapping[str, Any],
    ) -> iostream.IOStream:
        try:
            stream = await self._client.connect(
                address.host,
                address.port,
                timeout=datetime.timedelta(seconds=timeout_s),
                **options,
            )
        except OSError:
            self._counters.increment("path.direct_lost")
            self._unreachable_s[address] = _now_s()
            raise
        self._unreachable_s.pop(address, None)
        return stream

    async def _race(
        self,
        address: settings.Address,
        direct: asyncio.Task[iostream.IOStream],
    ) -> iostream.IOStream:
        """Returns the first of a direct connection and one by a neighbour."""
        head_start_s = _HEAD_START_S
        if self.is_unreachable(address, _now_s()):
            head_start_s = 0.0
        await asyncio.wait((direct,), timeout=head_start_s)
        if direct.done() and direct.exception() is None:
            return direct.result()
        tunnel = asyncio.create_task(self._open_tunnel(address))
        try:
            await asyncio.wait(
                (direct, tunnel), return_when=asyncio.FIRST_COMPLETED
            )
            if direct.done() and direct.exception() is None:
                tunnel.add_done_callback(_close_result)
                tunnel.cancel()
                return direct.result()
            try:
                stream = await tunnel
            except OSError:
                return await _await_or_cancel(direct)
        except asyncio.CancelledError:
            for task in (direct, tunnel):
                task.add_done_callback(_close_result)
                task.cancel()
            raise
        # It goes on, since its outcome tells whether the link is up again.
        direct.add_done_callback(_close_result)
        self._counters.increment("path.tunnel.used")
        return stream

    async def _open_tunnel(
        self, address: settings.Address
    ) -> iostream.IOStream:
        error: Exception = ConnectionError("no neighbour is known")
        for neighbour in self._neighbours.list_candidates(_now_s()):
            try:
                stream = await tunnels.open_tunnel(
                    neighbour, address, self._find_region(), TUNNEL_TIMEOUT_S
                )
            except OSError as failure:
                error = failure
                _LOGGER.info(
                    "neighbour gave no connection",
                    neighbour=str(neighbour),
                    server=str(address),
                    error=repr(failure),
                )
                self._neighbours.record(neighbour, _now_s(), helped=False)
                continue
            self._neighbours.record(neighbour, _now_s(), helped=True)
            return stream
        self._counters.increment("path.tunnel.failed")
        raise error


async def _await_or_cancel(
    task: asyncio.Task[iostream.IOStream],
) -> iostream.IOStream:
    """Returns the result of a task, which ends with the caller."""
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_close_result)
        task.cancel()
        raise


def _close_result(task: asyncio.Task[iostream.IOStream]) -> None:
    """Closes a connection that is not needed any more."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
