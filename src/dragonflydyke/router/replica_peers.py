"""Other routers as holders of copies of bills, and recovery after them."""

import asyncio
from collections.abc import Sequence

from dragonflydyke import metrics
from dragonflydyke.billing import replicas
from dragonflydyke.membership import node
from dragonflydyke.protocol import client as inner_client
from dragonflydyke.protocol import node_pb2

ORIGIN_TIMEOUT_S = 10.0
_ROUND_INTERVAL_S = 1.0


class ReplicaPeer:
    """A heard router that can hold copies of bills."""

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
        """Sends bills to hold; raises DragonflydykeError on failure."""
        return await self._client.hold_bills(request, timeout_s=timeout_s)


def list_replica_peers(member: node.Membership) -> Sequence[ReplicaPeer]:
    """Returns the heard routers that are not leaving."""
    now_s = asyncio.get_running_loop().time()
    leaving = member.contacts.leaving_vms()
    return [
        ReplicaPeer(
            contact.report, member.peers.peer(contact.report.inner_address)
        )
        for name, contact in member.contacts.heard_contacts(now_s).items()
        if name not in leaving
    ]


class BillRecovery:
    """Has the bills of silent origins recovered."""

    __slots__ = ("_counters", "_holder", "_last_heard_s", "_member", "_tasks")

    def __init__(
        self,
        member: node.Membership,
        replica_store: replicas.ReplicaStore,
        counters: metrics.Counters,
    ) -> None:
        self._member = member
        self._holder = replica_store
        self._counters = counters
        self._last_heard_s: dict[int, float] = {}
        self._tasks: set[asyncio.Task[int]] = set()

    async def run(self) -> None:
        """Checks all origins once a second until cancelled."""
        while True:
            self.check_origins()
            await asyncio.sleep(_ROUND_INTERVAL_S)

    def check_origins(self) -> None:
        """Starts a recovery for each origin that has been silent."""
        now_s = asyncio.get_running_loop().time()
        heard = {
            contact.report.incarnation
            for contact in self._member.contacts.heard_contacts(now_s).values()
        }
        origins = self._holder.origins()
        for origin in origins:
            if origin in heard or origin not in self._last_heard_s:
                self._last_heard_s[origin] = now_s
            elif now_s - self._last_heard_s[origin] >= ORIGIN_TIMEOUT_S:
                self._start(origin)
        for origin in set(self._last_heard_s).difference(origins):
            del self._last_heard_s[origin]

    def _start(self, origin: int) -> None:
        self._counters.increment("bill.recovery_started")
        task = asyncio.create_task(self._holder.recover(origin))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
