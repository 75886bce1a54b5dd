"""Assembly of a router from its components."""

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
    peers,
)
from dragonflydyke.sessions import tokens

_MAINTENANCE_INTERVAL_S = 1.0
_INNER_GRACE_S = 1.0
_FLUSH_TIMEOUT_S = 30.0
_CLAIM_TIMEOUT_S = 5.0

_log = logs.get_logger("router")


class _InnerHandlers:
    """Serves the calls of other routers."""

    __slots__ = ("_holder", "announce_change", "exchange", "fetch_state")

    def attach(
        self, member: node.Membership, holder: billing.BillHolder
    ) -> None:
        """Sets the components that answer; before any call arrives."""
        self._holder = holder
        self.exchange = member.exchange
        self.announce_change = member.announce_change
        self.fetch_state = member.fetch_state

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest
    ) -> node_pb2.HoldBillsReply:
        """Serves `HoldBills`."""
        return self._holder.hold(request)


class Router:
    """One router: caller API, inner protocol, admin API and control loops."""

    __slots__ = (
        "_admin_certificate",
        "_backends",
        "_bills",
        "_claims",
        "_connections",
        "_counters",
        "_driver",
        "_gateway",
        "_holder",
        "_inner",
        "_inner_key",
        "_limiter",
        "_member",
        "_objects",
        "_pool",
        "_public_certificate",
        "_public_server",
        "_rating_client",
        "_sampler",
        "_settings",
        "_tasks",
        "_tls",
        "_version_counts",
    )

    def __init__(self, values: options.RouterSettings) -> None:
        """Assembles a router; call it on the running loop.

        Args:
            values: Checked settings.
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
        """Binds all addresses and starts serving.

        Returns:
            The bound addresses as `public host:port inner host:port ...`.
        """
        values = self._settings
        handlers = _InnerHandlers()
        self._inner = inner_server.NodeServer(
            handlers,
            inner_key=self._inner_key,
            counters=self._counters,
            tls=self._tls,
        )
        inner_port = await self._inner.start(values.inner_address)
        inner = settings.Address(values.inner_address.host, inner_port)
        # The membership reports the bound port, so it can be made only now.
        self._create_components(values.advertised_inner_address or inner)
        handlers.attach(self._member, self._holder)
        await self._member.start()
        admin_server = httpserver.HTTPServer(
            admin.build_application(self._create_admin_services()),
            ssl_options=_read_context(self._admin_certificate),
        )
        admin_address = _listen(admin_server, values.admin_address)
        self._connections = connections.ConnectionWatch(
            gateway.build_application(self._gateway)
        )
        self._public_server = gateway.build_server(
            self._connections,
            ssl_options=_read_context(self._public_certificate),
        )
        public_address = _listen(self._public_server, values.public_address)
        self._start_tasks()
        return f"public {public_address} inner {inner} admin {admin_address}"

    async def drain(self) -> None:
        """Stops gracefully: no request in progress is cut off.

        Readiness fails first, so that the balancer sends callers elsewhere
        before the public address closes.
        """
        _log.notice("draining", requests=self._gateway.tracker.count)
        tracker = self._gateway.tracker
        self._member.set_leaving()
        tracker.state = tracking.AcceptanceState.DRAINING
        await asyncio.sleep(self._settings.drain_s)
        self._public_server.stop()
        await self._connections.wait_first_requests()
        try:
            async with asyncio.timeout(self._settings.shutdown_s):
                await tracker.wait_idle()
        except TimeoutError:
            _log.error(
                "shutdown time over with requests in progress",
                requests=tracker.count,
            )
        # Without a wait in between, no request can have begun since.
        tracker.state = tracking.AcceptanceState.CLOSED
        result = await self._bills.flush_all(_FLUSH_TIMEOUT_S)
        _log.notice(
            "bills flushed",
            safety=result.safety.value,
            unwritten=result.unwritten,
        )
        left = await self._holder.recover_all(_FLUSH_TIMEOUT_S)
        if left:
            _log.error("copies of bills dropped", count=left)
        await self._claims.close(_CLAIM_TIMEOUT_S)

    async def stop(self) -> None:
        """Ends all background work after `drain`."""
        await self._driver.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._sampler is not None:
            await self._sampler.stop()
        await self._public_server.close_all_connections()
        await self._bills.close()
        await self._holder.close()
        await self._member.stop()
        await self._inner.stop(_INNER_GRACE_S)
        await self._backends.close()
        self._objects.close()
        self._counters.flush()

    def _create_components(self, inner: settings.Address) -> None:
        values = self._settings
        self._member = node.Membership(
            node.MembershipSettings(
                vm=values.vm_name,
                data_centre=values.data_centre,
                inner_address=str(inner),
                seed_peers=tuple(str(entry) for entry in values.seed_peers),
            ),
            self._objects,
            self._connect,
            parse=configuration.parse_accepted,
            parse_proposed=configuration.parse,
            check_transition=configuration.check_transition,
            counters=self._counters,
            sources=reports.ReportSources(
                demands=self._limiter.demands,
                version_counts=lambda: fleet.build_version_counts(
                    self._version_counts
                ),
            ),
        )
        self._holder = billing.BillHolder(
            self._objects, self._counters, node_count=self._count_nodes
        )
        self._bills = billing.BillWriter(
            self._objects,
            lambda: peers.list_holders(self._member),
            self._member.identity.incarnation,
            self._counters,
            vm_name=values.vm_name,
            data_centre=values.data_centre,
            node_count=self._count_nodes,
        )
        self._gateway = self._create_gateway_services()
        self._driver = self._create_driver()
        self._sampler = None
        if self._rating_client is not None:
            self._sampler = ratings.RatingSampler(
                self._rating_client, self._version_counts, self._counters
            )
            self._gateway.sampler = self._sampler

    def _create_gateway_services(self) -> gateway.GatewayServices:
        check = None
        if self._rating_client is not None:
            check = checks.RatingCheck(self._rating_client, self._counters)
        return gateway.GatewayServices(
            vm=self._settings.vm_name,
            incarnation=self._member.identity.incarnation,
            state=self._member.state,
            permit=self._member.permit,
            backends=self._backends,
            pool=self._pool,
            limiter=self._limiter,
            sessions=tokens,
            claims=self._claims,
            bills=self._bills,
            counters=self._counters,
            check=check,
            version_counts=self._version_counts,
        )

    def _create_driver(self) -> driver.RollOutDriver:
        identity = self._member.identity
        held_lease = lease.Lease(
            "rollout",
            f"{identity.vm}/{identity.incarnation:016x}",
            self._objects,
            self._counters,
        )
        return driver.RollOutDriver(
            identity.vm,
            held_lease,
            self._objects,
            fleet.RollOutView(self._member, self._version_counts),
            engines.EngineControl(self._backends),
            self._counters,
        )

    def _create_admin_services(self) -> admin.AdminServices:
        return admin.AdminServices(
            configuration=operations.ConfigurationAccess(self._member.writer),
            fleet=fleet.FleetStatusProvider(self._member),
            roll_outs=lambda: fleet.list_roll_outs(self._member),
            bills=operations.LedgerAccess(
                billing.LedgerReader(self._objects), self._member
            ),
            session_keys=self._member.keys,
            counters=self._counters,
            operator_key_hashes=self._settings.operator_key_hashes,
        )

    def _start_tasks(self) -> None:
        observer = engines.LoadObserver(
            self._member, self._pool, self._backends, self._counters
        )
        recovery = peers.BillRecovery(
            self._member, self._holder, self._counters
        )
        self._start(observer.run())
        self._start(recovery.run())
        self._start(self._maintain())
        self._driver.start()
        if self._sampler is not None:
            self._sampler.start()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_report_failure)
        self._tasks.append(task)

    async def _maintain(self) -> None:
        """Passes on what membership knows, and sends the counters."""
        while True:
            fleet.update_limits(self._member, self._limiter)
            for certificate in (
                self._public_certificate,
                self._admin_certificate,
            ):
                if certificate is not None:
                    certificate.reload_if_changed()
            self._pool.set_leaving_vms(self._member.contacts.leaving_vms())
            self._pool.set_vm_count(self._count_nodes())
            self._counters.set_gauge("hold.count", self._pool.held())
            self._counters.set_gauge(
                "request.in_progress", self._gateway.tracker.count
            )
            self._counters.set_gauge("bill.pending", self._bills.pending())
            self._counters.flush()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _count_nodes(self) -> int:
        return max(1, len(self._member.contacts.entry_vms()))

    def _connect(self, address: str) -> inner_client.PeerClient:
        return inner_client.PeerClient(
            address,
            inner_key=self._inner_key,
            counters=self._counters,
            tls=self._tls,
        )


def _report_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.critical("control loop ended", error=repr(task.exception()))


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


def _read_context(
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
