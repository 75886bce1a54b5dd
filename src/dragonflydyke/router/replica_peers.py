"""Other routers as peers for the replication and recovery of bills."""

import asyncio
from collections.abc import Sequence

from dragonflydyke import metrics
from dragonflydyke.billing import replicas
from dragonflydyke.membership import node
from dragonflydyke.protocol import client as inner_client
from dragonflydyke.protocol import node_pb2

ORIGIN_TIMEOUT_S = 10.0
_CHECK_INTERVAL_S = 1.0


class ReplicaPeer:
    """A reachable router that can store replicas of bills."""

    __slots__ = ("_client", "data_centre", "incarnation", "vm")

    def __init__(
        self, report: node_pb2.NodeReport, client: inner_client.PeerClient
    ) -> None:
        self.vm = report.vm
        self.data_centre = report.data_centre
        self.incarnation = report.incarnation
        self._client = client

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        """Sends bills to replicate and sequences to delete.

        Raises:
            DragonflydykeError: If the call failed.
        """
        return await self._client.hold_bills(request, timeout_s=timeout_s)


def list_replica_peers(membership: node.Membership) -> Sequence[ReplicaPeer]:
    """Returns the reachable routers that are not leaving."""
    now_s = asyncio.get_running_loop().time()
    leaving = membership.peer_tracker.leaving_vms()
    return [
        ReplicaPeer(
            contact.report,
            membership.peer_exchange.get_client(contact.report.inner_address),
        )
        for name, contact in membership.peer_tracker.direct_reports(
            now_s
        ).items()
        if name not in leaving
    ]


class BillRecovery:
    """Starts the recovery of bills whose origin has stopped sending reports."""

    __slots__ = (
        "_counters",
        "_last_reachable_s",
        "_membership",
        "_replica_store",
        "_tasks",
    )

    def __init__(
        self,
        membership: node.Membership,
        replica_store: replicas.ReplicaStore,
        counters: metrics.Counters,
    ) -> None:
        self._membership = membership
        self._replica_store = replica_store
        self._counters = counters
        self._last_reachable_s: dict[int, float] = {}
        self._tasks: set[asyncio.Task[int]] = set()

    async def run(self) -> None:
        """Checks all origins once per second until cancelled."""
        while True:
            self.check_origins()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def check_origins(self) -> None:
        """Starts a recovery for each origin without reports for 10 s."""
        now_s = asyncio.get_running_loop().time()
        reachable = {
            contact.report.incarnation
            for contact in self._membership.peer_tracker.direct_reports(
                now_s
            ).values()
        }
        origins = self._replica_store.origins()
        for origin in origins:
            if origin in reachable or origin not in self._last_reachable_s:
                self._last_reachable_s[origin] = now_s
            elif now_s - self._last_reachable_s[origin] >= ORIGIN_TIMEOUT_S:
                self._start_recovery(origin)
        for origin in set(self._last_reachable_s).difference(origins):
            del self._last_reachable_s[origin]

    def _start_recovery(self, origin: int) -> None:
        self._counters.increment("bill.recovery_started")
        task = asyncio.create_task(self._replica_store.recover(origin))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
