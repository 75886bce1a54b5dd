"""Replication of bills to other VMs until the platform has stored them."""

import asyncio
import collections
import dataclasses
import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.billing import model
from dragonflydyke.protocol import node_pb2

REQUIRED_REPLICAS = 2
REPLICATION_TIMEOUT_S = 0.5
# For this long after a failure, other peers are preferred to the failed one.
_FAILED_PEER_AVOIDANCE_S = 5.0
_NOTIFY_DELAY_S = 1.0
_NOTIFY_ATTEMPTS = 10
# Keeps a request well below the 4 MB size limit of a gRPC message.
MAX_BILLS_PER_REQUEST = 2_000

_log = logs.get_logger("billing.copies")


class ReplicaPeer(Protocol):
    """Router on another VM that can store replicas of bills."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def incarnation(self) -> int:
        """Incarnation of the router process; a restart loses its replicas."""

    @property
    def data_centre(self) -> str:
        """Data centre of the VM."""

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        """Sends bills to replicate and sequences to delete.

        Raises:
            DragonflydykeError: If the call failed.
        """


@dataclasses.dataclass(slots=True)
class Origin:
    """Router whose bills are replicated.

    Attributes:
        incarnation: Incarnation of the router process.
        vm: Name of the VM.
        data_centre: Data centre of the VM.
    """

    incarnation: int
    vm: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class _ReplicaState:
    """Replication state of one bill.

    Attributes:
        sent_to: VMs to which the bill was sent.
        confirmed_by: VM and incarnation of the peers that confirmed storing it.
    """

    sent_to: set[str] = dataclasses.field(default_factory=set)
    confirmed_by: set[tuple[str, int]] = dataclasses.field(default_factory=set)


class BillReplicator:
    """Replicates bills to two peers and tells the peers when to delete them."""

    __slots__ = (
        "_avoid_until",
        "_counters",
        "_notify_handles",
        "_origin",
        "_peers",
        "_replica_states",
        "_tasks",
        "_written",
    )

    def __init__(
        self,
        peers: Callable[[], Sequence[ReplicaPeer]],
        origin: Origin,
        counters: metrics.Counters,
    ) -> None:
        """Initialises the replicator.

        Args:
            peers: Returns the reachable routers on other VMs.
            origin: This router.
            counters: Receives `bill.copies.<event>`.
        """
        self._peers = peers
        self._origin = origin
        self._counters = counters
        self._avoid_until: dict[str, float] = {}
        self._replica_states: dict[int, _ReplicaState] = {}
        self._written: dict[str, list[int]] = collections.defaultdict(list)
        self._notify_handles: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def list_candidates(self) -> list[ReplicaPeer]:
        """Returns the peers eligible as replicas, in order of preference.

        Peers in the origin's own data centre are eligible only if fewer than
        two peers exist in other data centres. The order is stable, so that the
        bills of one origin are spread over few replicas.
        """
        peers = [p for p in self._peers() if p.vm != self._origin.vm]
        peers.sort(key=self._rank_peer)
        own_data_centre = self._origin.data_centre
        eligible = [p for p in peers if p.data_centre != own_data_centre]
        if len(eligible) < REQUIRED_REPLICAS:
            eligible += [p for p in peers if p.data_centre == own_data_centre]
        now_s = asyncio.get_running_loop().time()
        eligible.sort(key=lambda p: self._avoid_until.get(p.vm, 0.0) > now_s)
        return eligible

    async def replicate(self, bills: Sequence[model.Bill]) -> set[int]:
        """Replicates bills until two peers have each of them.

        Tries each eligible peer at most once.

        Args:
            bills: At most MAX_BILLS_PER_REQUEST bills.

        Returns:
            The sequences that two reachable peers have confirmed.
        """
        tried: set[tuple[str, int]] = set()
        while assigned := self._assign_bills(bills, tried):
            await asyncio.gather(
                *(
                    self._replicate_to(peer, assigned_bills)
                    for peer, assigned_bills in assigned
                )
            )
        return self.find_replicated(bill.sequence for bill in bills)

    def find_replicated(self, sequences: Iterable[int]) -> set[int]:
        """Returns the subset of sequences that two reachable peers have."""
        reachable = {(p.vm, p.incarnation) for p in self.list_candidates()}
        return {
            sequence
            for sequence in sequences
            if sequence in self._replica_states
            and len(self._replica_states[sequence].confirmed_by & reachable)
            >= REQUIRED_REPLICAS
        }

    def notify_written(self, written: Iterable[int]) -> None:
        """Tells the replicas of bills that the platform has stored them.

        The notification is sent with the next replicated bills, or in a
        separate call after one second.

        Args:
            written: Sequences of the bills.
        """
        loop = asyncio.get_running_loop()
        for sequence in written:
            state = self._replica_states.pop(sequence, None)
            for vm in state.sent_to if state else ():
                self._written[vm].append(sequence)
                if vm not in self._notify_handles:
                    self._notify_handles[vm] = loop.call_later(
                        _NOTIFY_DELAY_S, self._start_notification, vm, 1
                    )

    def close(self) -> None:
        """Cancels all scheduled and running notifications."""
        for handle in self._notify_handles.values():
            handle.cancel()
        self._notify_handles.clear()
        for task in self._tasks:
            task.cancel()

    def _rank_peer(self, peer: ReplicaPeer) -> bytes:
        """Returns the sort key of a peer by rendezvous hashing."""
        text = f"{self._origin.incarnation:016x}{peer.vm}"
        return hashlib.sha256(text.encode()).digest()

    def _assign_bills(
        self, bills: Sequence[model.Bill], tried: set[tuple[str, int]]
    ) -> list[tuple[ReplicaPeer, list[model.Bill]]]:
        """Distributes the bills that lack replicas over the untried peers.

        Returns:
            The chosen peers with their bills; adds the peers to `tried`.
        """
        candidates = self.list_candidates()
        reachable = {(p.vm, p.incarnation) for p in candidates}
        missing_replicas: dict[int, int] = {}
        for bill in bills:
            state = self._replica_states.setdefault(
                bill.sequence, _ReplicaState()
            )
            count = REQUIRED_REPLICAS - len(state.confirmed_by & reachable)
            missing_replicas[bill.sequence] = count
        assigned = []
        for peer in candidates:
            identity = (peer.vm, peer.incarnation)
            if identity in tried:
                continue
            assigned_bills = [
                bill
                for bill in bills
                if missing_replicas[bill.sequence] > 0
                and identity
                not in self._replica_states[bill.sequence].confirmed_by
            ]
            if assigned_bills:
                assigned.append((peer, assigned_bills))
                tried.add(identity)
            for bill in assigned_bills:
                missing_replicas[bill.sequence] -= 1
        return assigned

    async def _replicate_to(
        self, peer: ReplicaPeer, bills: list[model.Bill]
    ) -> None:
        states = [
            self._replica_states.setdefault(bill.sequence, _ReplicaState())
            for bill in bills
        ]
        for state in states:
            state.sent_to.add(peer.vm)
        identity = (peer.vm, peer.incarnation)
        if await self._send_bills(peer, [bill.to_message() for bill in bills]):
            for state in states:
                state.confirmed_by.add(identity)

    async def _send_bills(
        self, peer: ReplicaPeer, bills: Sequence[node_pb2.Bill]
    ) -> bool:
        written = self._written.pop(peer.vm, [])
        request = node_pb2.HoldBillsRequest(
            origin=self._origin.incarnation,
            origin_vm=self._origin.vm,
            bills=bills,
            written=written,
        )
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                reply = await peer.hold_bills(request, REPLICATION_TIMEOUT_S)
        except (errors.DragonflydykeError, TimeoutError) as error:
            self._counters.increment("bill.copies.failed")
            _log.debug("replication to peer failed", vm=peer.vm, cause=error)
            self._record_failure(peer)
            self._written[peer.vm] += written
            return False
        if reply.held < len(bills):
            self._counters.increment("bill.copies.refused")
            self._record_failure(peer)
            return False
        self._counters.increment("bill.copies.held", len(bills))
        self._avoid_until.pop(peer.vm, None)
        return True

    def _record_failure(self, peer: ReplicaPeer) -> None:
        now_s = asyncio.get_running_loop().time()
        self._avoid_until[peer.vm] = now_s + _FAILED_PEER_AVOIDANCE_S

    def _start_notification(self, vm: str, attempt: int) -> None:
        del self._notify_handles[vm]
        task = asyncio.create_task(self._notify(vm, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify(self, vm: str, attempt: int) -> None:
        if not self._written.get(vm):
            return
        peer = next((p for p in self._peers() if p.vm == vm), None)
        if peer is not None and await self._send_bills(peer, ()):
            return
        if attempt >= _NOTIFY_ATTEMPTS:
            # The replica keeps these bills until it recovers them for this
            # origin. The recovery skips bills that are already in the journal,
            # so no bill is written twice.
            self._written.pop(vm, None)
            return
        if vm not in self._notify_handles:
            self._notify_handles[vm] = asyncio.get_running_loop().call_later(
                _NOTIFY_DELAY_S * attempt,
                self._start_notification,
                vm,
                attempt + 1,
            )
