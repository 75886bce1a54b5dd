"""Calls to the other routers: reports, announcements and state fetches."""

import asyncio
import json
import math
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.membership import (
    confirmations,
    peer_reports,
    reports,
    state,
)
from dragonflydyke.protocol import node_pb2

EXCHANGE_TIMEOUT_S = 1.0
# A request from a peer within this time replaces the exchange that this node
# would start. Slightly less than the exchange period, so that one of the two
# nodes keeps sending requests.
_RECENT_REQUEST_S = 0.9
_ANNOUNCE_TIMEOUT_S = 1.0
# A unary call shows no progress, so that its timeout covers the largest state
# over a narrow link. A peer that failed holds one of the fetches meanwhile.
_FETCH_TIMEOUT_S = 15.0
# More than one, so that a fetch from a failed peer does not block a fetch from
# another one.
_MAX_FETCHES = 3
_UNREACHABLE_RETRY_S = 5.0
_MS_PER_S = 1_000

_logger = logs.get_logger("membership.exchange")


class Peer(Protocol):
    """Client of another router, as membership requires it."""

    async def exchange(
        self, report: node_pb2.NodeReport, *, timeout_s: float
    ) -> node_pb2.NodeReport:
        """Sends a report and returns the peer's report."""

    async def announce_change(
        self, announcement: node_pb2.ChangeAnnouncement, *, timeout_s: float
    ) -> node_pb2.ChangeAcknowledgement:
        """Announces a change or its outcome."""

    async def fetch_state(
        self, request: node_pb2.FetchStateRequest, *, timeout_s: float
    ) -> node_pb2.StateBundle:
        """Fetches the peer's control objects."""

    async def close(self) -> None:
        """Closes the connection."""


Connect = Callable[[str], Peer]


class PeerExchange:
    """Keeps a client for each peer and processes reports and responses."""

    __slots__ = (
        "_clients",
        "_confirmation_tracker",
        "_connect",
        "_counters",
        "_exchanging",
        "_fetching",
        "_last_failure_s",
        "_last_request_s",
        "_peer_tracker",
        "_reports",
        "_state",
        "_tasks",
    )

    def __init__(
        self,
        connect: Connect,
        state_store: state.StateStore,
        confirmation_tracker: confirmations.ConfirmationTracker,
        peer_tracker: peer_reports.PeerTracker,
        report_builder: reports.ReportBuilder,
        counters: metrics.Counters,
    ) -> None:
        """Creates an exchange without connections.

        Args:
            connect: Returns the client of an inner address.
            state_store: Adopts fetched control objects.
            confirmation_tracker: Receives the peers' confirmations.
            peer_tracker: Receives reports and, if it has none, the VM list.
            report_builder: Builds this node's reports.
            counters: Receives `exchange.<outcome>` and `fetch.<outcome>`.
        """
        self._connect = connect
        self._state = state_store
        self._confirmation_tracker = confirmation_tracker
        self._peer_tracker = peer_tracker
        self._reports = report_builder
        self._counters = counters
        self._clients: dict[str, Peer] = {}
        self._exchanging: set[str] = set()
        self._fetching: set[str] = set()
        self._last_failure_s: dict[str, float] = {}
        self._last_request_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def get_client(self, address: str) -> Peer:
        """Returns the client of an inner address, creating it if needed."""
        if address not in self._clients:
            self._clients[address] = self._connect(address)
        return self._clients[address]

    def is_reachable(self, address: str) -> bool:
        """Returns whether no exchange with a peer failed recently.

        A successful exchange clears an earlier failure.
        """
        failed_s = self._last_failure_s.get(address, -math.inf)
        return _now_s() - failed_s > _UNREACHABLE_RETRY_S

    def process_request(
        self, report: node_pb2.NodeReport, not_before_s: float, address: str
    ) -> None:
        """Processes the report of an exchange that a peer started.

        If the age of the request is known, this node does not need to start an
        exchange with the peer in the same period.

        Args:
            report: Report of the peer.
            not_before_s: Lower bound of the loop time at which the report was
                built; minus infinity if unknown.
            address: Inner address of the peer.
        """
        if not_before_s > -math.inf:
            self._last_request_s[address] = not_before_s
        self.process_report(report, not_before_s, address)

    def has_called_recently(self, address: str) -> bool:
        """Returns whether a peer sent a request in the last period."""
        requested_s = self._last_request_s.get(address, -math.inf)
        return _now_s() - requested_s < _RECENT_REQUEST_S

    def start_exchange(self, address: str, name: str = "") -> None:
        """Starts an exchange unless one with this peer is in flight."""
        if address in self._exchanging:
            self._counters.increment("exchange.still_running")
            return
        self._exchanging.add(address)
        self.spawn(self.exchange(address, name))

    def start_fetch(self, address: str) -> None:
        """Starts a fetch unless the limit of fetches in flight is reached."""
        if address in self._fetching or len(self._fetching) >= _MAX_FETCHES:
            return
        self._fetching.add(address)
        self.spawn(self.fetch(address))

    async def exchange(self, address: str, name: str = "") -> None:
        """Sends a report and processes the response; counts a failure."""
        sent_s = _now_s()
        report = self._reports.build(name)
        try:
            response = await self.get_client(address).exchange(
                report, timeout_s=EXCHANGE_TIMEOUT_S
            )
        except errors.DragonflydykeError:
            self._last_failure_s[address] = _now_s()
            self._counters.increment("exchange.failed")
            return
        finally:
            self._exchanging.discard(address)
        self._last_failure_s.pop(address, None)
        self._counters.increment("exchange.answered")
        # However delayed the response is, it was built after the request was
        # sent.
        self.process_report(response, sent_s, address)

    def process_report(
        self, report: node_pb2.NodeReport, not_before_s: float, address: str
    ) -> None:
        """Records a report and fetches the peer's state if it is newer.

        Args:
            report: Report of a peer.
            not_before_s: Lower bound of the loop time at which the report was
                built.
            address: Inner address of the peer.
        """
        self._peer_tracker.record(report, not_before_s, _now_s())
        if report.has_confirmation and not_before_s > -math.inf:
            age_s = report.confirmation_age_ms / _MS_PER_S
            self._confirmation_tracker.record(
                not_before_s - age_s, report.control_version
            )
        newer = report.control_version > self._state.control_version
        if newer or report.revision > self._state.revision:
            self.start_fetch(address)

    async def fetch(self, address: str) -> None:
        """Fetches and adopts a peer's control objects; counts a failure."""
        sent_s = _now_s()
        request = node_pb2.FetchStateRequest(
            since_control_version=self._state.control_version
        )
        try:
            bundle = await self.get_client(address).fetch_state(
                request, timeout_s=_FETCH_TIMEOUT_S
            )
        except errors.DragonflydykeError:
            self._counters.increment("fetch.failed")
            return
        finally:
            self._fetching.discard(address)
        self._counters.increment("fetch.answered")
        self._adopt(bundle, sent_s)

    async def announce(
        self,
        announcement: node_pb2.ChangeAnnouncement,
        addresses: Iterable[str],
    ) -> frozenset[str]:
        """Sends an announcement; returns the VMs that acknowledged it."""
        responses = await asyncio.gather(
            *(self._announce(address, announcement) for address in addresses)
        )
        return frozenset(name for name in responses if name)

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until it finishes or the exchange is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def close_clients_except(self, addresses: frozenset[str]) -> None:
        """Closes the clients of all other addresses.

        Clients with an exchange in flight are kept.
        """
        self._last_request_s = {
            address: requested_s
            for address, requested_s in self._last_request_s.items()
            if address in addresses
        }
        for address in tuple(self._clients):
            if address in addresses or address in self._exchanging:
                continue
            self._last_failure_s.pop(address, None)
            await self._clients.pop(address).close()

    async def close(self) -> None:
        """Cancels all calls and closes all clients."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer in tuple(self._clients.values()):
            await peer.close()
        self._clients.clear()

    async def _announce(
        self, address: str, announcement: node_pb2.ChangeAnnouncement
    ) -> str:
        try:
            response = await self.get_client(address).announce_change(
                announcement, timeout_s=_ANNOUNCE_TIMEOUT_S
            )
        except errors.DragonflydykeError:
            self._counters.increment("announce.failed")
            return ""
        return response.vm

    def _adopt(self, bundle: node_pb2.StateBundle, sent_s: float) -> None:
        try:
            stored = _parse_objects(bundle)
        except (ValueError, RecursionError) as error:
            self._counters.increment("fetch.unreadable")
            _logger.error("peer state cannot be parsed", error=repr(error))
            return
        deleted = set(self._state.stored).difference(bundle.object_names)
        try:
            self._state.adopt(stored, bundle.control_version, deleted)
        except errors.InvariantError:
            return  # Counted and logged by the state store.
        if self._peer_tracker.vms is None and bundle.vms:
            self._peer_tracker.set_vms(_parse_vms(bundle))
        if bundle.has_confirmation:
            age_s = bundle.confirmation_age_ms / _MS_PER_S
            self._confirmation_tracker.record(
                sent_s - age_s, bundle.control_version
            )

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._counters.increment("exchange.fault")
            _logger.error("call to peer failed", error=repr(task.exception()))


def build_bundle(
    request: node_pb2.FetchStateRequest,
    state_store: state.StateStore,
    confirmation_tracker: confirmations.ConfirmationTracker,
    vms: objects.VmList | None,
) -> node_pb2.StateBundle:
    """Returns the control objects in force that the client does not have."""
    bundle = node_pb2.StateBundle(
        control_version=state_store.control_version,
        revision=state_store.revision,
        object_names=tuple(state_store.stored),
    )
    for entry in state_store.stored.values():
        if entry.version > request.since_control_version:
            bundle.objects.add(
                name=entry.name,
                version=entry.version,
                value=json.dumps(entry.value).encode(),
            )
    for vm in vms.vms if vms else ():
        bundle.vms.add(
            name=vm.name,
            data_centre=vm.data_centre,
            role=vm.role,
            inner_address=vm.inner_address,
            state=vm.state,
        )
    age_s = confirmation_tracker.newest_age(_now_s())
    if age_s is not None:
        bundle.has_confirmation = True
        bundle.confirmation_age_ms = reports.to_age_ms(age_s)
    return bundle


def _parse_objects(
    bundle: node_pb2.StateBundle,
) -> tuple[objects.StoredObject, ...]:
    return tuple(
        objects.StoredObject(
            state.CONTROL_KIND,
            entry.name,
            entry.version,
            json.loads(entry.value),
        )
        for entry in bundle.objects
    )


def _parse_vms(bundle: node_pb2.StateBundle) -> objects.VmList:
    # Timestamp 0, so that any list read from the platform replaces this one.
    return objects.VmList(
        0,
        tuple(
            objects.ListedVm(
                vm.name, vm.data_centre, vm.role, vm.inner_address, vm.state
            )
            for vm in bundle.vms
        ),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
