"""Polling of load reports from engines, and orders to engines."""

import asyncio
import time
from collections.abc import Iterable

from dragonflydyke import backends, errors, metrics, routing
from dragonflydyke.configuration import model
from dragonflydyke.membership import node
from dragonflydyke.rollouts import orders

LOAD_INTERVAL_S = 0.5
# Maximum number of reports per poll while there are no requests. Four reports
# per second take 0.4 % of a core; reading all servers of 20 versions would mean
# up to 120 reports per second.
_IDLE_REPORTS = 2
_CALL_TIMEOUT_S = 1.0
_MS_PER_S = 1_000
_ORDER_KINDS = {
    orders.OrderKind.LOAD: backends.OrderKind.LOAD,
    orders.OrderKind.UNLOAD: backends.OrderKind.UNLOAD,
}


class LoadReportPoller:
    """Polls the load reports of the servers that this router uses."""

    __slots__ = ("_client", "_counters", "_membership", "_pool")

    def __init__(
        self,
        membership: node.Membership,
        pool: routing.ServerPool,
        client: backends.BackendClient,
        counters: metrics.Counters,
    ) -> None:
        self._membership = membership
        self._pool = pool
        self._client = client
        self._counters = counters

    async def run(self) -> None:
        """Polls periodically until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def poll(self) -> None:
        """Reads the load reports that are due."""
        due_servers = self._pool.select_servers_to_poll(
            self._list_servers(), _IDLE_REPORTS
        )
        await asyncio.gather(
            *(self._read_report(server) for server in due_servers)
        )

    def _list_servers(self) -> list[model.BackendServer]:
        in_force = self._membership.state.current
        if in_force is None:
            return []
        servers_in_use = {
            server.name: server
            for entry in in_force.document.models
            for version in entry.versions
            for server in self._pool.list_candidates(
                in_force, model.version_id(entry.name, version.name)
            )
        }
        return list(servers_in_use.values())

    async def _read_report(self, server: model.BackendServer) -> None:
        deadline = asyncio.get_running_loop().time() + _CALL_TIMEOUT_S
        try:
            report = await self._client.fetch_load(server, deadline=deadline)
        except errors.DragonflydykeError:
            self._counters.increment("load_report.unavailable")
            return
        age_s = max(0.0, time.time() - report.as_of_ms / _MS_PER_S)
        self._pool.record_load_report(
            server.name, report.running, report.waiting, age_s
        )


class EngineControl:
    """Sends the orders of the rollout driver to engines."""

    __slots__ = ("_client",)

    def __init__(self, client: backends.BackendClient) -> None:
        self._client = client

    async def read_loaded(self, server: model.BackendServer) -> Iterable[str]:
        """Returns the `model@version` names that an engine has loaded.

        Raises:
            DragonflydykeError: If the engine did not respond.
        """
        deadline = asyncio.get_running_loop().time() + _CALL_TIMEOUT_S
        report = await self._client.fetch_load(server, deadline=deadline)
        return report.versions

    async def send_order(self, order: orders.Order, fencing: int) -> None:
        """Sends an order with the fencing token of the lease.

        Args:
            order: The order and the server that receives it.
            fencing: Fencing token, so that engines can reject outdated orders.

        Raises:
            DragonflydykeError: If the engine rejected it or did not respond.
        """
        deadline = asyncio.get_running_loop().time() + _CALL_TIMEOUT_S
        await self._client.send_order(
            order.server,
            backends.EngineOrder(
                _ORDER_KINDS[order.kind], order.version, fencing
            ),
            deadline=deadline,
        )
