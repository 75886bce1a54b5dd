"""A router node: components, startup and graceful shutdown."""

import asyncio
import dataclasses
import random
import signal
from collections.abc import Callable, Mapping
from typing import Protocol

from tornado import httpserver, httputil, tcpclient

from dragonflydyke import logs, metrics, settings, transport
from dragonflydyke.forwarding import (
    brittle_servers,
    cold_servers,
    contexts,
    controller,
    cost_records,
    crash_reports,
    directory,
    evacuations,
    execution,
    failure_domains,
    locations,
    messages,
    model,
    paths,
    planner,
    quarantine,
    regions,
    registry,
    reports,
    response_memory,
    rollouts,
    selection,
    server,
    server_limits,
    server_statements,
    supervision,
    tunnels,
)
from dragonflydyke.objects import freshness, peer_groups, replicas, watchers
from dragonflydyke.scheduling import costs

# The load balancer stops sending clients after two failed readiness checks, a
# second apart, and clients then use their open connections a little longer.
_DEREGISTRATION_S = 2.6
_STOP_MARGIN_S = 0.5
# The rest of the time is left to requests that were accepted late.
_MAX_DEREGISTRATION_SHARE = 0.5
# Time for a probe and the lists after a connection was lost.
_RELIST_S = 0.5
# Places of the kinds in the list of watchers.
_POLICY_WATCHER = 0
_SERVER_WATCHER = 1
_ROLLOUT_WATCHER = 2
# Ages that the log of each request states, with the places of their watchers.
_LOGGED_AGES = {
    "policy_age_s": _POLICY_WATCHER,
    "servers_age_s": _SERVER_WATCHER,
    "rollouts_age_s": _ROLLOUT_WATCHER,
}
_OK = 200
_UNAVAILABLE = 503
# Limits of the addresses for checks and metrics.
_TEXT_IDLE_S = 60.0
_TEXT_BODY_S = 5.0
_TEXT_MAX_BYTES = 16_384

_LOGGER = logs.get_logger("node")


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """By how much all nodes together may exceed the rate of a cold server.

    Attributes:
        overshoot: Factor on the requests that a cold server accepts in 1 s.
        slack: Requests in 1 s that are allowed beyond that.
    """

    overshoot: float
    slack: float


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings of a node.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre of the VM.
        front: Address for clients.
        ready: Address for readiness checks.
        metrics: Address for metrics.
        peers: Address for datagrams of other nodes, and for connections that
            they open to servers through this node.
        store_url: URL of the store without a path.
        grace_s: Seconds between SIGTERM and SIGKILL.
        exposure: Limit on the requests during a rollout that a bad version may
            receive.
        contact_s: Seconds after a fault in which the limits do not apply.
        drain_s: Seconds within which a draining server stops receiving
            requests.
        apply_s: Seconds within which a configuration takes effect.
        machine: Memory and descriptors of this VM.
        cold_limit: Limit on the requests to a cold server, None if this
            deployment has none.
        evacuation_s: Seconds within which an evacuation of a data centre takes
            effect, None if this deployment has no evacuations.
        regions: Region of each data centre.
    """

    vm: str
    data_centre: str
    front: settings.Address
    ready: settings.Address
    metrics: settings.Address
    peers: settings.Address
    store_url: str
    grace_s: float
    exposure: rollouts.ExposureLimit
    contact_s: float
    drain_s: float
    apply_s: float
    machine: model.MachineLimits = model.MachineLimits()
    cold_limit: ColdLimit | None = None
    evacuation_s: float | None = None
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def max_age_s(self) -> float:
        """Seconds within which every change in the store takes effect."""
        limits_s = [self.drain_s, self.apply_s]
        if self.cold_limit is not None:
            # An older list would make all servers count as cold.
            limits_s.append(cold_servers.MAX_LIST_AGE_S)
        if self.evacuation_s is not None:
            limits_s.append(self.evacuation_s)
        return min(limits_s)

    @property
    def watch_timing(self) -> watchers.WatchTiming:
        """Timing of the watches that meets the limits of this deployment.

        A change can be confirmed in the moment of a fault, so that the limit on
        the change and the time after the fault run concurrently.
        """
        return watchers.WatchTiming(max(self.contact_s, self.max_age_s))

    @property
    def max_silence_s(self) -> float:
        """Seconds after which a silent connection to the store is closed.

        The store is then listed again before the limits apply.
        """
        return self.watch_timing.max_detection_delay_s - _RELIST_S


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectKinds:
    """Names of the kinds of objects that a node watches."""

    policies: str
    servers: str
    rollouts: str
    crashes: str
    evacuations: str


class NodeStore(
    replicas.WatchableStore,
    controller.RolloutStore,
    crash_reports.CrashStore,
    registry.NodeStore,
    Protocol,
):
    """Operations of the store that a node uses."""


class Node:
    """One router process."""

    __slots__ = (
        "_connector",
        "_cost_recorder",
        "_costs",
        "_counters",
        "_crash_reporter",
        "_directory",
        "_evacuations",
        "_forwarder",
        "_freshness",
        "_has_crashes",
        "_has_evacuations",
        "_has_rollouts",
        "_is_draining",
        "_limits",
        "_quarantine",
        "_random",
        "_regions",
        "_registry",
        "_reload",
        "_retry_gate",
        "_rollout_controller",
        "_server",
        "_settings",
        "_statements",
        "_stopped",
        "_tunnels",
        "_watchers",
    )

    def __init__(
        self,
        values: NodeSettings,
        store: NodeStore,
        kinds: ObjectKinds,
        codec: messages.HeaderCodec,
        report_codec: reports.ReportCodec,
        counters: metrics.Counters,
        reload: Callable[[], NodeSettings],
    ) -> None:
        """Creates a node.

        Args:
            values: Settings at startup.
            store: Store with configuration, servers and rollouts.
            kinds: Names of the kinds of objects in the store.
            codec: Translates requests and responses to headers.
            report_codec: Decodes reports of engines.
            counters: Counters of the process.
            reload: Reads the settings again; raises SettingsError.
        """
        self._random = random.Random()
        self._reload = reload
        self._settings = values
        self._counters = counters
        self._directory = directory.Directory()
        self._evacuations = evacuations.Evacuations(counters)
        self._regions = regions.Regions(values.regions)
        self._retry_gate = watchers.StoreRetryGate(
            self._random,
            lambda: store.probe(kinds.rollouts),
            values.watch_timing,
        )
        self._rollout_controller = controller.RolloutController(
            values.vm,
            store,
            counters,
            self._random,
            values.exposure,
            self._is_store_available,
            lambda: self._limits.position.nodes,
        )
        self._quarantine = quarantine.RequestQuarantine()
        self._crash_reporter = crash_reports.CrashReporter(
            self._quarantine,
            store,
            counters,
            self._random,
            self._is_store_available,
        )
        self._limits = server_limits.ServerLimits()
        self._statements = server_statements.ServerStatements(
            self._directory,
            self._limits,
            brittle_servers.BrittleServers(
                lambda: self._limits.position.nodes, counters, self._random
            ),
            counters,
        )
        group = peer_groups.PeerGroup()
        neighbours = paths.Neighbours(self._random)
        self._connector = paths.ServerConnector(
            tcpclient.TCPClient(transport.AddressResolver()),
            neighbours,
            counters,
            self._find_region,
        )
        self._tunnels = tunnels.TunnelServer(
            self._check_tunnel, self._connector.connect_directly, counters
        )
        self._registry = registry.NodeRegistry(
            values.vm,
            values.peers,
            store,
            self._limits,
            (group, neighbours),
            counters,
            self._random,
            self._is_store_available,
        )
        self._costs = costs.CostModel()
        self._cost_recorder = cost_records.CostRecorder(self._costs, counters)
        self._has_rollouts = False
        self._has_crashes = False
        # Without evacuations in this deployment there is nothing to wait for.
        self._has_evacuations = values.evacuation_s is None
        reader = replicas.ReplicaReader(store, kinds.rollouts, values.max_age_s)
        self._watchers = self._build_watchers(reader, kinds)
        self._statements.cold = self._build_cold_servers()
        self._freshness = freshness.FreshnessMonitor(
            reader,
            self._watchers,
            self._retry_gate,
            values.max_age_s,
            self._random,
            group,
        )
        self._forwarder = execution.Forwarder(
            self._build_services(codec, report_codec)
        )
        self._forwarder.find_ages = self._find_ages
        self._server = server.ForwardingServer(
            self._forwarder, codec, values.machine, counters
        )
        self._is_draining = False
        self._stopped = asyncio.Event()

    def _build_services(
        self, codec: messages.HeaderCodec, report_codec: reports.ReportCodec
    ) -> contexts.ForwardingServices:
        data_centre = self._settings.data_centre
        return contexts.ForwardingServices(
            store_knowledge=self._freshness,
            codec=codec,
            directory=self._directory,
            locations=locations.LocationFilter(
                self._evacuations, self._regions
            ),
            rollout_controller=self._rollout_controller,
            selector=selection.ServerSelector(
                data_centre, self._random, self._costs.speeds
            ),
            planner=planner.EscalationPlanner(
                data_centre,
                reports.ReportReader(report_codec, self._counters),
                self._random,
                self._costs,
            ),
            costs=self._costs,
            cost_recorder=self._cost_recorder,
            quarantine=self._quarantine,
            crash_reporter=self._crash_reporter,
            statements=self._statements,
            failure_domains=failure_domains.FailureDomains(self._counters),
            response_memory=response_memory.ResponseMemory(),
            counters=self._counters,
            tcp_client=self._connector,
        )

    def _build_cold_servers(self) -> cold_servers.ColdServers | None:
        limit = self._settings.cold_limit
        if limit is None:
            return None
        return cold_servers.ColdServers(
            limit.overshoot,
            limit.slack,
            self._find_cold_start,
            self._watchers[_SERVER_WATCHER].find_age_s,
            self._limits.find_phase,
            self._counters,
            self._evacuations.find_ended_s,
        )

    def _find_ages(self, now_s: float) -> dict[str, float | None]:
        """Returns the seconds since the time up to which a kind is known."""
        return {
            name: self._watchers[place].find_age_s(now_s)
            for name, place in _LOGGED_AGES.items()
        }

    def _find_region(self) -> str:
        data_centre = self._settings.data_centre
        return self._settings.regions.get(data_centre, "")

    def _check_tunnel(
        self, address: settings.Address, region: str
    ) -> tunnels.Refusal | None:
        """Returns why another node gets no connection to an address.

        Args:
            address: Address of a server.
            region: Region of the other node. Requests may be bound to it.
        """
        server = self._directory.find_at(str(address))
        if server is None or region != self._find_region():
            return tunnels.Refusal.FORBIDDEN
        if not self._statements.is_accepting(
            server
        ) or self._evacuations.is_evacuated(server.backend.data_centre):
            return tunnels.Refusal.UNAVAILABLE
        now_s = asyncio.get_running_loop().time()
        if self._connector.is_unreachable(address, now_s):
            return tunnels.Refusal.UNREACHABLE
        return None

    def _find_cold_start(self, pool: str) -> model.ColdStart | None:
        """Returns what a cold server accepts by the policy in force."""
        policy = self._forwarder.policy
        found = policy.pools.get(pool) if policy is not None else None
        return found.cold_start if found is not None else None

    def _is_store_available(self) -> bool:
        return not self._retry_gate.is_unavailable

    def _build_watchers(
        self, reader: replicas.ReplicaReader, kinds: ObjectKinds
    ) -> list[watchers.KindWatcher]:
        listeners = [
            (kinds.policies, self._apply_policy),
            (kinds.servers, self._apply_servers),
            (kinds.rollouts, self._apply_rollouts),
            (kinds.crashes, self._apply_crashes),
        ]
        if self._settings.evacuation_s is not None:
            listeners.append((kinds.evacuations, self._apply_evacuations))
        return [
            watchers.KindWatcher(
                reader,
                kind,
                listener,
                self._counters,
                self._retry_gate,
                self._settings.watch_timing,
            )
            for kind, listener in listeners
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send clients to this node."""
        return (
            not self._is_draining
            and self._forwarder.policy is not None
            and self._directory.updated_s is not None
            and self._has_rollouts
            and self._has_crashes
            and self._has_evacuations
        )

    async def run(self) -> None:
        """Serves requests until SIGTERM and a graceful shutdown."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._start_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        activities = [watcher.run for watcher in self._watchers]
        activities.append(self._freshness.run)
        activities.append(self._rollout_controller.run)
        activities.append(self._crash_reporter.run)
        activities.append(self._registry.run)
        tasks = [
            loop.create_task(supervision.keep_running(run, self._counters))
            for run in activities
        ]
        await self._freshness.open(self._settings.peers)
        self._tunnels.listen_at(self._settings.peers)
        self._server.listen(self._settings.front)
        _serve_text(self._settings.ready, self._describe_readiness)
        _serve_text(self._settings.metrics, self._describe_metrics)
        _LOGGER.notice(
            "started",
            vm=self._settings.vm,
            data_centre=self._settings.data_centre,
            front=str(self._settings.front),
            metrics=str(self._settings.metrics),
        )
        await self._stopped.wait()
        for task in tasks:
            task.cancel()
        self._freshness.close()
        self._tunnels.stop()
        await self._server.stop()
        _LOGGER.notice("stopped")

    def _reload_settings(self) -> None:
        """Reloads the settings; address changes require a restart."""
        try:
            values = self._reload()
        except settings.SettingsError as error:
            _LOGGER.error("reload failed; settings kept", error=str(error))
            return
        _LOGGER.notice("reloaded", changed=values != self._settings)
        self._settings = values
        self._regions.by_data_centre = values.regions

    def _start_shutdown(self) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        self._server.is_draining = True
        _LOGGER.notice("stopping", active=self._server.active)
        asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        time_left_s = self._settings.grace_s - _STOP_MARGIN_S
        until_s = loop.time() + time_left_s
        self._forwarder.stop_s = until_s
        await asyncio.sleep(
            min(_DEREGISTRATION_S, time_left_s * _MAX_DEREGISTRATION_SHARE)
        )
        self._forwarder.is_closing = True
        self._server.close_idle()
        self._tunnels.is_closing = True
        await self._server.wait_idle(until_s)
        await self._tunnels.wait_idle(until_s)
        self._stopped.set()

    def _apply_policy(
        self, view: watchers.KindSnapshot, after_gap: bool
    ) -> None:
        del after_gap
        current = self._forwarder.policy
        policy: model.ForwardingPolicy | None = next(iter(view.records), None)
        if policy is None:
            return
        if current is not None and policy.version <= current.version:
            return
        self._forwarder.policy = policy
        cost_records.configure(self._costs, policy)
        _LOGGER.notice(
            "configuration in force",
            version=policy.version,
            routes=len(policy.routes),
            accounts=len(policy.accounts),
        )

    def _apply_servers(
        self, view: watchers.KindSnapshot, after_gap: bool
    ) -> None:
        self._directory.update(
            view.records, view.confirmed_s, after_outage=after_gap
        )
        self._statements.retain(self._directory.list_all())
        self._costs.speeds.retain(
            [entry.name for entry in self._directory.list_all()]
        )

    def _apply_rollouts(
        self, view: watchers.KindSnapshot, after_gap: bool
    ) -> None:
        del after_gap
        self._rollout_controller.update(
            view.records, view.confirmed_s, view.version
        )
        self._has_rollouts = True

    def _apply_crashes(
        self, view: watchers.KindSnapshot, after_gap: bool
    ) -> None:
        del after_gap
        self._quarantine.replace_stored(
            view.records, view.confirmed_s, view.version
        )
        self._has_crashes = True

    def _apply_evacuations(
        self, view: watchers.KindSnapshot, after_gap: bool
    ) -> None:
        del after_gap
        self._evacuations.update(
            view.records,
            view.confirmed_s,
            view.version,
            self._find_data_centres(),
        )
        self._has_evacuations = True

    def _find_data_centres(self) -> frozenset[str] | None:
        """Returns the known data centres, None before any list of them."""
        stated = self._settings.regions.keys()
        if not stated and self._directory.updated_s is None:
            return None
        servers = self._directory.list_all()
        listed = {server.backend.data_centre for server in servers}
        return frozenset({self._settings.data_centre, *stated, *listed})

    def _describe_readiness(self) -> tuple[int, str]:
        return (_OK, "ready\n") if self.is_ready else (_UNAVAILABLE, "no\n")

    def _describe_metrics(self) -> tuple[int, str]:
        totals = self._counters.totals()
        lines = [f"{name} {totals[name]}\n" for name in sorted(totals)]
        durations = self._forwarder.latencies.format_text()
        prediction_errors = self._cost_recorder.errors.format_text()
        return _OK, "".join(lines) + durations + prediction_errors


def _serve_text(
    address: settings.Address, describe: Callable[[], tuple[int, str]]
) -> None:
    """Responds to all requests to an address with a short text."""

    def handle(request: httputil.HTTPServerRequest) -> None:
        status, text = describe()
        body = text.encode()
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, "-")
        headers = httputil.HTTPHeaders(
            {"Content-Length": str(len(body)), "Content-Type": "text/plain"}
        )
        assert request.connection is not None
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    # Clients are checks and collectors of metrics, which send no bodies.
    httpserver.HTTPServer(
        handle,
        idle_connection_timeout=_TEXT_IDLE_S,
        body_timeout=_TEXT_BODY_S,
        max_header_size=_TEXT_MAX_BYTES,
        max_body_size=_TEXT_MAX_BYTES,
        max_buffer_size=4 * _TEXT_MAX_BYTES,
    ).listen(address.port, address.host)
