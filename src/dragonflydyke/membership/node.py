"""Membership of one router in the fleet."""

import asyncio
import dataclasses
import secrets

from dragonflydyke import logs, metrics, objects
from dragonflydyke.membership import (
    announcements,
    confirmations,
    exchange,
    keys,
    peer_reports,
    permit,
    poller,
    relays,
    reports,
    state,
    writer,
)
from dragonflydyke.protocol import node_pb2

EXCHANGE_PERIOD_S = 1.0
# Non-relay nodes read the platform themselves if their relays report no newer
# confirmation. 2 s then remain until the serving permit would end.
_LOCAL_POLL_AGE_S = 2.0
_INCARNATION_BITS = 64

_logger = logs.get_logger("membership.node")


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Identity of this node and its seed peers.

    Attributes:
        vm: Name of the VM as in the platform's VM list.
        data_centre: Name of the data centre of the VM.
        inner_address: `host:port` at which other routers reach this node.
        seed_peers: Inner addresses from which state is fetched if the platform
            is unavailable at the start.
    """

    vm: str
    data_centre: str
    inner_address: str
    seed_peers: tuple[str, ...] = ()


class Membership:
    """Membership of this node in the fleet; serves the calls of its peers.

    Attributes:
        identity: Identity of this node in its reports.
        state: Control objects in force on this node.
        peer_tracker: Reports of the other routers and the VM list.
        permit: Decides whether this node may serve requests.
        writer: Writes changes of the configuration.
        keys: Creates and rotates the session keys.
        peer_exchange: Clients of the other routers.
    """

    __slots__ = (
        "_alive_vms",
        "_announcement_tracker",
        "_confirmation_tracker",
        "_counters",
        "_poller",
        "_reports",
        "_settings",
        "_tasks",
        "identity",
        "keys",
        "peer_exchange",
        "peer_tracker",
        "permit",
        "state",
        "writer",
    )

    def __init__(
        self,
        settings: MembershipSettings,
        object_store: objects.ObjectStore,
        connect: exchange.Connect,
        *,
        parse: state.Parse,
        check_transition: writer.CheckTransition,
        counters: metrics.Counters,
        sources: reports.ReportSources | None = None,
        parse_proposed: state.Parse | None = None,
    ) -> None:
        """Creates a membership; requires a running event loop.

        Args:
            settings: Identity of this node and its seed peers.
            object_store: Object API of the platform.
            connect: Returns the client of an inner address.
            parse: Parses the mapping of an accepted document.
            check_transition: Raises if the change from one document to another
                is not allowed.
            counters: Receives the counters of all components.
            sources: Demands and version counts for the reports.
            parse_proposed: Validates and parses the mapping of a proposed
                document; None uses `parse`.
        """
        self._settings = settings
        self._counters = counters
        self.identity = _build_identity(settings)
        self.state = state.StateStore(counters, parse)
        self.peer_tracker = peer_reports.PeerTracker(settings.vm, counters)
        self.keys = keys.KeyRingManager(object_store, self.state, counters)
        self._announcement_tracker = announcements.AnnouncementTracker()
        self._confirmation_tracker = confirmations.ConfirmationTracker(
            self.state
        )
        self.permit = permit.ServingPermit(
            settings.vm,
            self.state,
            self._confirmation_tracker,
            self.peer_tracker,
            self._announcement_tracker,
            counters,
        )
        self._reports = reports.ReportBuilder(
            self.identity,
            self.state,
            self._confirmation_tracker,
            self.peer_tracker,
            self._announcement_tracker,
            self.permit,
            sources or reports.ReportSources(),
        )
        self._poller, self.peer_exchange = self._build_poller_and_exchange(
            object_store, connect
        )
        self.writer = writer.ConfigurationWriter(
            settings.vm,
            object_store,
            self.peer_tracker,
            self._announcement_tracker,
            parse=parse,
            parse_proposed=parse_proposed or parse,
            check_transition=check_transition,
            announce=self._announce,
            adopt=self._adopt_written_revision,
            find_revision=lambda: self.state.revision,
            counters=counters,
        )
        self._alive_vms: frozenset[str] = frozenset({settings.vm})
        self._tasks: list[asyncio.Task[None]] = []

    def _build_poller_and_exchange(
        self, object_store: objects.ObjectStore, connect: exchange.Connect
    ) -> tuple[poller.ControlPoller, exchange.PeerExchange]:
        control_poller = poller.ControlPoller(
            object_store,
            self.state,
            self._confirmation_tracker,
            self.peer_tracker,
            self.keys,
            self._counters,
        )
        peer_exchange = exchange.PeerExchange(
            connect,
            self.state,
            self._confirmation_tracker,
            self.peer_tracker,
            self._reports,
            self._counters,
        )
        return control_poller, peer_exchange

    @property
    def leaving(self) -> bool:
        """Whether this node reports that it is about to stop."""
        return self._reports.leaving

    def confirmed_age_s(self) -> float | None:
        """Returns the seconds since the newest valid confirmation, or None."""
        return self._confirmation_tracker.newest_age(
            asyncio.get_running_loop().time()
        )

    def live_incarnations(self) -> frozenset[int]:
        """Returns the incarnations of this router and of its direct peers.

        Only peers with a recent report count.
        """
        now_s = asyncio.get_running_loop().time()
        direct = self.peer_tracker.direct_reports(now_s).values()
        return frozenset(
            (self.identity.incarnation, *(r.report.incarnation for r in direct))
        )

    async def start(self) -> None:
        """Reads the platform or the seed peers, and starts the periodic tasks.

        Returns even if neither responded. The permit decides when this node may
        serve.
        """
        await self._poller.poll_vms()
        await self._poller.poll()
        if self.state.current is None:
            await self._fetch_from_seeds()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._poller.run(self._is_poll_due)),
            loop.create_task(self._run_exchange()),
        ]
        for task in self._tasks:
            task.add_done_callback(_log_task_failure)

    def set_leaving(self) -> None:
        """Makes this node report the state `leaving` from now on."""
        if not self._reports.leaving:
            self._reports.leaving = True
            _logger.info("leaving")

    async def stop(self) -> None:
        """Reports to the peers that this node leaves, and stops all tasks."""
        self.set_leaving()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            *(
                self.peer_exchange.exchange(address, name)
                for address, name in self._exchange_targets().items()
            )
        )
        await self.writer.stop()
        await self.peer_exchange.close()

    async def exchange(
        self, report: node_pb2.NodeReport
    ) -> node_pb2.NodeReport:
        """Serves the `Exchange` call."""
        now_s = asyncio.get_running_loop().time()
        not_before_s = self._reports.bound_request_time(report, now_s)
        if report.vm != self._settings.vm:
            self.peer_exchange.process_request(
                report, not_before_s, report.inner_address
            )
        return self._reports.build(report.vm)

    async def announce_change(
        self, announcement: node_pb2.ChangeAnnouncement
    ) -> node_pb2.ChangeAcknowledgement:
        """Serves the `AnnounceChange` call."""
        now_s = asyncio.get_running_loop().time()
        self._announcement_tracker.record(announcement, now_s)
        self._counters.increment("announce.received")
        written = announcement.resolved and announcement.written
        if written and announcement.revision > self.state.revision:
            received = self.peer_tracker.newest_report(announcement.acceptor)
            if received is not None:
                self.peer_exchange.start_fetch(received.report.inner_address)
        return node_pb2.ChangeAcknowledgement(
            vm=self._settings.vm, revision=self.state.revision
        )

    async def fetch_state(
        self, request: node_pb2.FetchStateRequest
    ) -> node_pb2.StateBundle:
        """Serves the `FetchState` call."""
        return exchange.build_bundle(
            request,
            self.state,
            self._confirmation_tracker,
            self.peer_tracker.vms,
        )

    def _is_poll_due(self) -> bool:
        if self._settings.vm in self.peer_tracker.relays():
            return True
        now_s = asyncio.get_running_loop().time()
        age_s = self._confirmation_tracker.newest_age(now_s)
        return age_s is None or age_s > _LOCAL_POLL_AGE_S

    async def _run_exchange(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            next_s = loop.time() + EXCHANGE_PERIOD_S
            try:
                await self._exchange_once()
            except Exception as error:
                # If this task ended, the node would send no reports until its
                # restart.
                self._counters.increment("exchange.fault")
                _logger.error("exchange failed", error=repr(error))
            await asyncio.sleep(max(0.0, next_s - loop.time()))

    async def _exchange_once(self) -> None:
        for address, name in self._exchange_targets().items():
            if not self.peer_exchange.has_called_recently(address):
                self.peer_exchange.start_exchange(address, name)
        if self.state.current is None:
            self.peer_exchange.spawn(self._fetch_from_seeds())
        await self.peer_exchange.close_clients_except(self._known_addresses())
        self._log_alive_changes(asyncio.get_running_loop().time())
        self.permit.current_rule()  # Logs a change even without requests.

    def _exchange_targets(self) -> dict[str, str]:
        """Returns the VM names of the targets by inner address.

        Seed peers have empty names.
        """
        listed = self.peer_tracker.entry_vms()
        addresses = {vm.name: vm.inner_address for vm in listed}
        chosen = relays.select_exchange_targets(
            self._settings.vm,
            self._settings.data_centre,
            listed,
            lambda name: self.peer_exchange.is_reachable(addresses[name]),
        )
        targets = {vm.inner_address: vm.name for vm in chosen}
        if not listed:
            targets = {address: "" for address in self._seed_addresses()}
        return targets

    def _seed_addresses(self) -> tuple[str, ...]:
        own = self._settings.inner_address
        return tuple(a for a in self._settings.seed_peers if a != own)

    def _known_addresses(self) -> frozenset[str]:
        listed = {vm.inner_address for vm in self.peer_tracker.entry_vms()}
        reported = {
            received.report.inner_address
            for received in self.peer_tracker.direct_reports(
                asyncio.get_running_loop().time()
            ).values()
        }
        return frozenset(listed | reported | set(self._seed_addresses()))

    async def _fetch_from_seeds(self) -> None:
        await asyncio.gather(
            *(
                self.peer_exchange.fetch(address)
                for address in self._seed_addresses()
            )
        )

    async def _announce(
        self,
        announcement: node_pb2.ChangeAnnouncement,
        names: frozenset[str] | None,
    ) -> frozenset[str]:
        addresses = [
            vm.inner_address
            for vm in self.peer_tracker.entry_vms()
            if vm.name != self._settings.vm
            and (names is None or vm.name in names)
        ]
        return await self.peer_exchange.announce(announcement, addresses)

    async def _adopt_written_revision(
        self, stored: objects.StoredObject | None
    ) -> None:
        if stored is not None:
            # Keeps the control version, since other control objects may have
            # been written before this one; the next poll reads them.
            self.state.adopt((stored,), self.state.control_version)
        self.peer_exchange.spawn(self._poller.poll())

    def _log_alive_changes(self, now_s: float) -> None:
        alive = self.peer_tracker.alive_vms(now_s)
        for name in sorted(alive - self._alive_vms):
            _logger.info("peer alive", peer=name)
        for name in sorted(self._alive_vms - alive):
            _logger.warning("no recent report from peer", peer=name)
        self._alive_vms = alive


def _build_identity(settings: MembershipSettings) -> reports.NodeIdentity:
    return reports.NodeIdentity(
        settings.vm,
        settings.data_centre,
        settings.inner_address,
        secrets.randbits(_INCARNATION_BITS) or 1,
    )


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _logger.critical("membership task failed", error=repr(task.exception()))
