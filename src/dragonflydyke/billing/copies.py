"""Copies of bills on other VMs while the platform does not have them."""

import asyncio
import collections
import dataclasses
import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.billing import model
from dragonflydyke.protocol import node_pb2

REQUIRED_HOLDERS = 2
HOLD_TIMEOUT_S = 0.5
# A holder that failed is passed over for this time while others are left.
_AVOID_S = 5.0
_NOTIFY_DELAY_S = 1.0
_NOTIFY_ATTEMPTS = 10
# Keeps a request well below the 4 MB limit of a gRPC message.
MAX_BILLS_PER_REQUEST = 2_000

_log = logs.get_logger("billing.copies")


class HolderPeer(Protocol):
    """Another VM that can hold copies."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def incarnation(self) -> int:
        """Incarnation of its router; a restart loses the copies."""

    @property
    def data_centre(self) -> str:
        """Data centre of the VM."""

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        """Sends bills to hold; raises DragonflydykeError on failure."""


@dataclasses.dataclass(slots=True)
class Origin:
    """The router whose bills are copied."""

    incarnation: int
    vm: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class _Copies:
    """Where one bill was sent, and who confirmed to hold it."""

    sent_to: set[str] = dataclasses.field(default_factory=set)
    held_by: set[tuple[str, int]] = dataclasses.field(default_factory=set)


class CopySender:
    """Sends copies to two holders and tells them what is written."""

    __slots__ = (
        "_avoid_until",
        "_copies",
        "_counters",
        "_notify_handles",
        "_origin",
        "_peers",
        "_tasks",
        "_written",
    )

    def __init__(
        self,
        peers: Callable[[], Sequence[HolderPeer]],
        origin: Origin,
        counters: metrics.Counters,
    ) -> None:
        """Creates a sender.

        Args:
            peers: Returns the other VMs that are heard at present.
            origin: This router.
            counters: Receives `bill.copies.<event>`.
        """
        self._peers = peers
        self._origin = origin
        self._counters = counters
        self._avoid_until: dict[str, float] = {}
        self._copies: dict[int, _Copies] = {}
        self._written: dict[str, list[int]] = collections.defaultdict(list)
        self._notify_handles: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def candidates(self) -> list[HolderPeer]:
        """Returns possible holders, preferred ones first.

        With two or more VMs in other data centres, only these qualify;
        otherwise the VMs of the own data centre complete them. The order is
        stable, so that few holders have copies of one origin.
        """
        peers = [p for p in self._peers() if p.vm != self._origin.vm]
        peers.sort(key=self._rank)
        own = self._origin.data_centre
        other = [p for p in peers if p.data_centre != own]
        if len(other) < REQUIRED_HOLDERS:
            other += [p for p in peers if p.data_centre == own]
        now_s = asyncio.get_running_loop().time()
        other.sort(key=lambda p: self._avoid_until.get(p.vm, 0.0) > now_s)
        return other

    async def send(self, bills: Sequence[model.Bill]) -> set[int]:
        """Copies bills until two holders have each of them.

        Args:
            bills: At most MAX_BILLS_PER_REQUEST bills.

        Returns:
            The sequences that two present holders have.
        """
        tried: set[tuple[str, int]] = set()
        while assigned := self._assign(bills, tried):
            await asyncio.gather(
                *(self._copy(peer, part) for peer, part in assigned)
            )
        return self.find_held(bill.sequence for bill in bills)

    def find_held(self, sequences: Iterable[int]) -> set[int]:
        """Returns those of the sequences that two present holders have."""
        present = {(p.vm, p.incarnation) for p in self.candidates()}
        return {
            sequence
            for sequence in sequences
            if sequence in self._copies
            and len(self._copies[sequence].held_by & present)
            >= REQUIRED_HOLDERS
        }

    def notify_written(self, written: Iterable[int]) -> None:
        """Tells the holders of the given bills to drop them.

        The notification travels with the next copies, or on its own after a
        second.
        """
        loop = asyncio.get_running_loop()
        for sequence in written:
            copies = self._copies.pop(sequence, None)
            for vm in copies.sent_to if copies else ():
                self._written[vm].append(sequence)
                if vm not in self._notify_handles:
                    self._notify_handles[vm] = loop.call_later(
                        _NOTIFY_DELAY_S, self._start_notify, vm, 1
                    )

    def close(self) -> None:
        """Cancels all notifications under way."""
        for handle in self._notify_handles.values():
            handle.cancel()
        self._notify_handles.clear()
        for task in self._tasks:
            task.cancel()

    def _rank(self, peer: HolderPeer) -> bytes:
        text = f"{self._origin.incarnation:016x}{peer.vm}"
        return hashlib.sha256(text.encode()).digest()

    def _assign(
        self, bills: Sequence[model.Bill], tried: set[tuple[str, int]]
    ) -> list[tuple[HolderPeer, list[model.Bill]]]:
        """Returns which untried peers get which bills, and marks them tried."""
        candidates = self.candidates()
        present = {(p.vm, p.incarnation) for p in candidates}
        missing: dict[int, int] = {}
        for bill in bills:
            copies = self._copies.setdefault(bill.sequence, _Copies())
            count = REQUIRED_HOLDERS - len(copies.held_by & present)
            missing[bill.sequence] = count
        assigned = []
        for peer in candidates:
            identity = (peer.vm, peer.incarnation)
            if identity in tried:
                continue
            part = [
                bill
                for bill in bills
                if missing[bill.sequence] > 0
                and identity not in self._copies[bill.sequence].held_by
            ]
            if part:
                assigned.append((peer, part))
                tried.add(identity)
            for bill in part:
                missing[bill.sequence] -= 1
        return assigned

    async def _copy(self, peer: HolderPeer, bills: list[model.Bill]) -> None:
        sent = [
            self._copies.setdefault(bill.sequence, _Copies()) for bill in bills
        ]
        for copies in sent:
            copies.sent_to.add(peer.vm)
        identity = (peer.vm, peer.incarnation)
        if await self._call(peer, [bill.to_message() for bill in bills]):
            for copies in sent:
                copies.held_by.add(identity)

    async def _call(
        self, peer: HolderPeer, bills: Sequence[node_pb2.Bill]
    ) -> bool:
        written = self._written.pop(peer.vm, [])
        request = node_pb2.HoldBillsRequest(
            origin=self._origin.incarnation,
            origin_vm=self._origin.vm,
            bills=bills,
            written=written,
        )
        try:
            async with asyncio.timeout(HOLD_TIMEOUT_S):
                reply = await peer.hold_bills(request, HOLD_TIMEOUT_S)
        except (errors.DragonflydykeError, TimeoutError) as error:
            self._counters.increment("bill.copies.failed")
            _log.debug("holder did not answer", vm=peer.vm, cause=error)
            self._avoid(peer)
            self._written[peer.vm] += written
            return False
        if reply.held < len(bills):
            self._counters.increment("bill.copies.refused")
            self._avoid(peer)
            return False
        self._counters.increment("bill.copies.held", len(bills))
        self._avoid_until.pop(peer.vm, None)
        return True

    def _avoid(self, peer: HolderPeer) -> None:
        now_s = asyncio.get_running_loop().time()
        self._avoid_until[peer.vm] = now_s + _AVOID_S

    def _start_notify(self, vm: str, attempt: int) -> None:
        del self._notify_handles[vm]
        task = asyncio.create_task(self._notify(vm, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify(self, vm: str, attempt: int) -> None:
        if not self._written.get(vm):
            return
        peer = next((p for p in self._peers() if p.vm == vm), None)
        if peer is not None and await self._call(peer, ()):
            return
        if attempt >= _NOTIFY_ATTEMPTS:
            # Harmless: a recovery excludes what is in the journal. The holder
            # keeps these copies until then.
            self._written.pop(vm, None)
            return
        if vm not in self._notify_handles:
            self._notify_handles[vm] = asyncio.get_running_loop().call_later(
                _NOTIFY_DELAY_S * attempt, self._start_notify, vm, attempt + 1
            )
