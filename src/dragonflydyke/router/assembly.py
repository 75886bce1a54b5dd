"""Construction and life cycle of a router."""

import asyncio
import pathlib
import ssl
from collections.abc import Coroutine
from typing import Any

from tornado import httpserver, netutil

from dragonflydyke import (
    admin,
    backends,
    billing,
    configuration,
    gateway,
    idempotency,
    limits,
    logs,
    metrics,
    objects,
    routing,
    settings,
)
from dragonflydyke.gateway import connections, tracking
from dragonflydyke.membership import node, reports
from dragonflydyke.protocol import client as inner_client
from dragonflydyke.protocol import node_pb2
from dragonflydyke.protocol import server as inner_server
from dragonflydyke.rollouts import counts, driver, lease, ratings
from dragonflydyke.router import (
    certificates,
    checks,
    engines,
    fleet,
    operations,
    options,
    replica_peers,
)
from dragonflydyke.sessions import tokens

_MAINTENANCE_INTERVAL_S = 1.0
_INNER_GRACE_S = 1.0
_FLUSH_TIMEOUT_S = 30.0
_CLAIM_TIMEOUT_S = 5.0
# Operators send documents of up to 2 MB, which take seconds on a slow link.
_ADMIN_IDLE_S = 75.0
_ADMIN_BODY_S = 60.0
_ADMIN_MAX_HEADER_BYTES = 32_768

_log = logs.get_logger("router")


class _NodeHandlers:
    """Dispatches the calls of other routers to the components.

    The gRPC server is started before the membership is created, because the
    membership reports the bound port. `attach` adds the components afterwards.
    """

    __slots__ = ("_replica_store", "announce_change", "exchange", "fetch_state")

    def attach(
        self, membership: node.Membership, replica_store: billing.ReplicaStore
    ) -> None:
        """Sets the components that serve the calls.

        Must be called before the first call arrives.

        Args:
            membership: Serves `Exchange`, `AnnounceChange` and `FetchState`.
            replica_store: Serves `HoldBills`.
        """
        self._replica_store = replica_store
        self.exchange = membership.exchange
        self.announce_change = membership.announce_change
        self.fetch_state = membership.fetch_state

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest
    ) -> node_pb2.HoldBillsReply:
        """Serves `HoldBills`."""
        return self._replica_store.store(request)


class Router:
    """One router: client API, inner protocol, admin API and control loops."""

    __slots__ = (
        "_admin_certificate",
        "_backends",
        "_bills",
        "_claims",
        "_connections",
        "_counters",
        "_driver",
        "_gateway",
        "_inner",
        "_inner_key",
        "_limiter",
        "_membership",
        "_objects",
        "_pool",
        "_public_certificate",
        "_public_server",
        "_rating_client",
        "_replica_store",
        "_sampler",
        "_settings",
        "_tasks",
        "_tls",
        "_version_counts",
    )

    def __init__(self, values: options.RouterSettings) -> None:
        """Creates the components that need no network addresses.

        Must be called while the event loop is running.

        Args:
            values: Validated settings.
        """
        self._settings = values
        self._counters = _create_counters(values)
        self._inner_key = values.inner_key_file.read_text().strip()
        self._tls = _read_inner_tls(values)
        self._public_certificate = _load_certificate(
            values.public_tls_certificate,
            values.public_tls_key,
            self._counters,
        )
        self._admin_certificate = _load_certificate(
            values.admin_tls_certificate, values.admin_tls_key, self._counters
        )
        self._objects = objects.ObjectClient(
            values.platform_url, counters=self._counters
        )
        self._backends = backends.BackendClient(self._counters)
        self._limiter = limits.AccountLimiter(self._counters)
        self._version_counts = counts.VersionCounts()
        self._pool = routing.ServerPool(
            values.data_centre,
            values.vm_name,
            self._counters,
            server_choice=values.server_choice,
        )
        self._claims = idempotency.ClaimRegistry(
            self._objects, values.vm_name, self._counters
        )
        self._rating_client = (
            ratings.RatingClient(values.rating_url, self._counters)
            if values.rating_url
            else None
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Binds all addresses and starts serving requests.

        Returns:
            The bound addresses as `public host:port inner host:port ...`.
        """
        values = self._settings
        handlers = _NodeHandlers()
        self._inner = inner_server.NodeServer(
            handlers,
            inner_key=self._inner_key,
            counters=self._counters,
            tls=self._tls,
        )
        inner_port = await self._inner.start(values.inner_address)
        inner = settings.Address(values.inner_address.host, inner_port)
        # Created after the server is bound, because the membership reports the
        # bound port to other routers.
        self._create_components(values.advertised_inner_address or inner)
        handlers.attach(self._membership, self._replica_store)
        await self._membership.start()
        admin_server = httpserver.HTTPServer(
            admin.build_application(self._create_admin_services()),
            ssl_options=_get_context(self._admin_certificate),
            idle_connection_timeout=_ADMIN_IDLE_S,
            body_timeout=_ADMIN_BODY_S,
            max_header_size=_ADMIN_MAX_HEADER_BYTES,
        )
        admin_address = _listen(admin_server, values.admin_address)
        self._connections = connections.NewConnectionTracker(
            gateway.build_application(self._gateway)
        )
        self._public_server = gateway.build_server(
            self._connections,
            ssl_options=_get_context(self._public_certificate),
        )
        public_address = _listen(self._public_server, values.public_address)
        self._start_tasks()
        return f"public {public_address} inner {inner} admin {admin_address}"

    async def drain(self) -> None:
        """Shuts down gracefully, without interrupting requests in progress.

        The readiness check fails first, so that the load balancer sends clients
        to other routers before the public address is closed.
        """
        _log.notice("draining", requests=self._gateway.tracker.count)
        tracker = self._gateway.tracker
        self._membership.set_leaving()
        tracker.state = tracking.AcceptanceState.DRAINING
        await asyncio.sleep(self._settings.drain_s)
        self._public_server.stop()
        await self._connections.wait_for_first_requests()
        try:
            async with asyncio.timeout(self._settings.shutdown_s):
                await tracker.wait_until_idle()
        except TimeoutError:
            _log.error(
                "shutdown timeout exceeded with requests in progress",
                requests=tracker.count,
            )
        # There is no await in between, so no request can have started since.
        tracker.state = tracking.AcceptanceState.CLOSED
        result = await self._bills.flush_all(_FLUSH_TIMEOUT_S)
        _log.notice(
            "bills flushed",
            safety=result.durability.value,
            unwritten=result.unwritten,
        )
        discarded = await self._replica_store.recover_all(_FLUSH_TIMEOUT_S)
        if discarded:
            _log.error(
                "discarded replicas of bills that could not be written",
                count=discarded,
            )
        await self._claims.close(_CLAIM_TIMEOUT_S)

    async def stop(self) -> None:
        """Stops all background tasks; call it after `drain`."""
        await self._driver.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._sampler is not None:
            await self._sampler.stop()
        await self._public_server.close_all_connections()
        await self._bills.close()
        await self._replica_store.close()
        await self._membership.stop()
        await self._inner.stop(_INNER_GRACE_S)
        await self._backends.close()
        self._objects.close()
        self._counters.flush()

    def _create_components(self, inner: settings.Address) -> None:
        values = self._settings
        self._membership = node.Membership(
            node.MembershipSettings(
                vm=values.vm_name,
                data_centre=values.data_centre,
                inner_address=str(inner),
                seed_peers=tuple(str(entry) for entry in values.seed_peers),
            ),
            self._objects,
            self._create_peer_client,
            parse=configuration.parse_accepted,
            parse_proposed=configuration.parse,
            check_transition=configuration.check_transition,
            counters=self._counters,
            sources=reports.ReportSources(
                demands=self._limiter.report_demands,
                version_counts=lambda: fleet.build_version_counts(
                    self._version_counts
                ),
            ),
        )
        self._membership.state.subscribe(
            lambda control: self._claims.follow_version(control.control_version)
        )
        self._membership.state.subscribe(
            lambda control: self._version_counts.apply_configuration(
                control.document.roll_outs
            )
        )
        self._replica_store = billing.ReplicaStore(
            self._objects, self._counters, node_count=self._count_routers
        )
        self._bills = billing.BillWriter(
            self._objects,
            lambda: replica_peers.list_replica_peers(self._membership),
            self._membership.identity.incarnation,
            self._counters,
            vm_name=values.vm_name,
            data_centre=values.data_centre,
            node_count=self._count_routers,
        )
        self._gateway = self._create_gateway_services()
        self._driver = self._create_rollout_driver()
        self._sampler = None
        if self._rating_client is not None:
            self._sampler = ratings.RatingSampler(
                self._rating_client, self._version_counts, self._counters
            )
            self._gateway.sampler = self._sampler

    def _create_gateway_services(self) -> gateway.GatewayServices:
        cascade_check = None
        if self._rating_client is not None:
            cascade_check = checks.RatingCheck(
                self._rating_client, self._counters
            )
        return gateway.GatewayServices(
            vm=self._settings.vm_name,
            incarnation=self._membership.identity.incarnation,
            state=self._membership.state,
            permit=self._membership.permit,
            backends=self._backends,
            pool=self._pool,
            limiter=self._limiter,
            sessions=tokens,
            claims=self._claims,
            bills=self._bills,
            counters=self._counters,
            check=cascade_check,
            version_counts=self._version_counts,
        )

    def _create_rollout_driver(self) -> driver.RolloutDriver:
        identity = self._membership.identity
        held_lease = lease.Lease(
            "rollout",
            f"{identity.vm}/{identity.incarnation:016x}",
            self._objects,
            self._counters,
        )
        return driver.RolloutDriver(
            identity.vm,
            held_lease,
            self._objects,
            fleet.RolloutView(self._membership, self._version_counts),
            engines.EngineControl(self._backends),
            self._counters,
        )

    def _create_admin_services(self) -> admin.AdminServices:
        return admin.AdminServices(
            configuration=operations.ConfigurationAccess(
                self._membership.writer
            ),
            fleet=fleet.FleetStatusProvider(self._membership),
            roll_outs=lambda: fleet.list_roll_outs(self._membership),
            bills=operations.LedgerAccess(
                billing.LedgerReader(self._objects), self._membership
            ),
            session_keys=self._membership.keys,
            counters=self._counters,
            operator_key_hashes=self._settings.operator_key_hashes,
        )

    def _start_tasks(self) -> None:
        load_poller = engines.LoadReportPoller(
            self._membership, self._pool, self._backends, self._counters
        )
        recovery = replica_peers.BillRecovery(
            self._membership, self._replica_store, self._counters
        )
        self._start_task(load_poller.run())
        self._start_task(recovery.run())
        self._start_task(self._run_maintenance())
        self._driver.start()
        if self._sampler is not None:
            self._sampler.start()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)

    async def _run_maintenance(self) -> None:
        """Updates components with the state of the fleet; sends counters."""
        while True:
            fleet.update_limits(self._membership, self._limiter)
            for certificate in (
                self._public_certificate,
                self._admin_certificate,
            ):
                if certificate is not None:
                    certificate.reload_if_changed()
            self._pool.set_leaving_vms(
                self._membership.peer_tracker.leaving_vms()
            )
            self._pool.set_vm_count(self._count_routers())
            self._counters.set_gauge("hold.count", self._pool.count_queued())
            self._counters.set_gauge(
                "request.in_progress", self._gateway.tracker.count
            )
            self._counters.set_gauge(
                "bill.pending", self._bills.pending_count()
            )
            self._counters.flush()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _count_routers(self) -> int:
        return max(1, len(self._membership.peer_tracker.entry_vms()))

    def _create_peer_client(self, address: str) -> inner_client.PeerClient:
        return inner_client.PeerClient(
            address,
            inner_key=self._inner_key,
            counters=self._counters,
            tls=self._tls,
        )


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.critical("control loop failed", error=repr(task.exception()))


def _create_counters(values: options.RouterSettings) -> metrics.Counters:
    address = values.statsd_address
    if address is None:
        return metrics.Counters()
    return metrics.connect_counters(
        address.host, address.port, values.statsd_prefix
    )


def _listen(server: httpserver.HTTPServer, address: settings.Address) -> str:
    sockets = netutil.bind_sockets(address.port, address.host)
    server.add_sockets(sockets)
    return f"{address.host}:{sockets[0].getsockname()[1]}"


def _load_certificate(
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
    counters: metrics.Counters,
) -> certificates.ServerCertificate | None:
    if certificate is None:
        return None
    return certificates.ServerCertificate(certificate, key, counters)


def _get_context(
    certificate: certificates.ServerCertificate | None,
) -> ssl.SSLContext | None:
    return None if certificate is None else certificate.context


def _read_inner_tls(
    values: options.RouterSettings,
) -> inner_server.Tls | None:
    paths: tuple[pathlib.Path | None, ...] = (
        values.inner_tls_certificate,
        values.inner_tls_key,
        values.inner_tls_authority,
    )
    names = ("certificate", "key", "authority")
    missing = [n for n, p in zip(names, paths, strict=True) if p is None]
    if len(missing) == len(paths):
        return None
    if missing:
        raise settings.SettingsError(
            f"inner-tls-{missing[0]}",
            "is required together with the other inner TLS files",
        )
    certificate, key, authority = (
        path.read_bytes() for path in paths if path is not None
    )
    return inner_server.Tls(certificate, key, authority)
