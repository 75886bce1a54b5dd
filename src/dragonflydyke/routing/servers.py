"""Selection of backend servers by load, distance and health."""

import asyncio
import dataclasses
import hashlib
import random
from collections.abc import Collection, Sequence

from dragonflydyke import errors, logs, metrics
from dragonflydyke.configuration import model
from dragonflydyke.routing import (
    capacity_queue,
    loads,
    outliers,
    polling,
    selection,
    server_attempts,
    server_pauses,
    strategies,
)

MAX_SUBSET_SERVERS = 12
# The rest of the subset is farther away, so that there are other servers when
# all servers of the nearest data centre are full or unavailable.
_MAX_NEAREST_SERVERS = 8
_UNLISTED_DISTANCE = 1_000
_BASELINE_LATENCY_SMOOTHING = 0.05
# Differences between shorter latencies are network noise.
_MIN_LATENCY_S = 0.05
# Hedging earlier would spend the hedge budget on normal variation of latency.
_HEDGE_FACTOR = 1.5
# The configuration does not tell one process of a server from the next, so a
# server that said that it leaves is tried again after this time.
_LEAVING_MEMORY_S = 60.0
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0

_LOGGER = logs.get_logger("routing")


@dataclasses.dataclass(slots=True)
class _Subset:
    revision: int
    servers: tuple[model.BackendServer, ...]


class ServerPool:
    """Tracks and selects the backend servers that this node uses.

    Servers are selected by load, distance and health. Times are loop times of
    the running event loop.
    """

    __slots__ = (
        "_baseline_latencies_s",
        "_capacity_queue",
        "_counters",
        "_data_centre",
        "_distances",
        "_leaving_until_s",
        "_leaving_vms",
        "_loads",
        "_outliers",
        "_pauses",
        "_random",
        "_revision",
        "_schedule",
        "_strategy",
        "_subsets",
        "_vm",
    )

    def __init__(
        self,
        data_centre: str,
        vm: str,
        counters: metrics.Counters,
        *,
        source: random.Random | None = None,
        server_choice: str = strategies.DEFAULT,
    ) -> None:
        """Creates a pool.

        Args:
            data_centre: Data centre of this node.
            vm: Name of this node, which selects its subsets of servers.
            counters: Counters of the process.
            source: Source of random choices; tests pass a seeded one.
            server_choice: Name of the strategy, one of `strategies.NAMES`.
        """
        self._data_centre = data_centre
        self._vm = vm
        self._counters = counters
        self._random = source or random.Random()
        self._strategy = strategies.build_strategy(server_choice, self._random)
        self._loads = loads.LoadTracker()
        self._schedule = polling.LoadReportSchedule()
        self._outliers = outliers.OutlierDetector()
        self._leaving_vms: frozenset[str] = frozenset()
        # Loop times until which servers that said so count as leaving.
        self._leaving_until_s: dict[str, float] = {}
        self._pauses = server_pauses.ServerPauses()
        self._baseline_latencies_s: dict[str, float] = {}
        self._revision: int | None = None
        self._subsets: dict[str, _Subset] = {}
        self._distances: dict[str, int] = {data_centre: 0}
        self._capacity_queue = capacity_queue.CapacityQueue(counters)

    def set_leaving_vms(self, names: Collection[str]) -> None:
        """Sets the VMs whose backend servers receive no new work."""
        self._leaving_vms = frozenset(names)

    def record_statement(
        self,
        server: model.BackendServer,
        *,
        leaves: bool,
        pause_s: float | None,
    ) -> None:
        """Records what a server said of itself in a response.

        Args:
            server: The server.
            leaves: Whether it accepts no further requests.
            pause_s: Seconds for which it wants no requests, None if it did not
                say so.
        """
        now_s = asyncio.get_running_loop().time()
        if leaves:
            if now_s >= self._leaving_until_s.get(server.name, 0.0):
                self._counters.increment("statement.leaving")
                _LOGGER.notice("server leaves", server=server.name)
            self._leaving_until_s[server.name] = now_s + _LEAVING_MEMORY_S
        if pause_s is not None:
            self._counters.increment("statement.pause")
            self._pauses.record((server.name, 0), pause_s, now_s)

    def set_vm_count(self, count: int) -> None:
        """Sets the number of nodes that share the servers."""
        self._loads.set_vm_count(count)

    def list_candidates(
        self, in_force: selection.InForce, served: str
    ) -> tuple[model.BackendServer, ...]:
        """Returns the subset of servers that this node uses for some work.

        The subset is kept until the revision of the configuration changes.

        Args:
            in_force: Configuration in force.
            served: The work: a `model@version` or the name of a service.
        """
        cached = self._subsets.get(served)
        if cached is not None and cached.revision == in_force.revision:
            return cached.servers
        if in_force.revision != self._revision:
            self._revision = in_force.revision
            self._retain_servers(in_force.document)
        self._set_distances(in_force.document)
        all_servers = _list_servers(in_force, served)
        servers = self._select_subset(all_servers)
        self._loads.reserved_share = in_force.document.policy.reserved_share
        for server in servers:
            share = len(servers) / len(all_servers)
            self._loads.set_subset_share(server.name, share)
        self._subsets[served] = _Subset(in_force.revision, servers)
        return servers

    def select_server(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str] = (),
    ) -> model.BackendServer | None:
        """Returns the server for the next attempt, or None if there is none.

        Args:
            candidates: Servers that can do the work.
            exclude: Names of servers that were tried before.
        """
        self._schedule.record_candidates(candidates)
        if self._strategy.is_baseline:
            return self._select_by_baseline(candidates, exclude)
        usable = self._list_usable(candidates, exclude)
        free = [s for s in usable if self._loads.compute_load_per_slot(s) < 1.0]
        if free:
            return self._choose_nearest(free)
        return self._choose(usable) if usable else None

    def select_with_capacity(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
    ) -> model.BackendServer | None:
        """Returns a server with capacity for deferrable work, or None.

        Args:
            candidates: Servers that can do the work.
            exclude: Names of servers that were tried before.
            request_class: Class of the work.
        """
        self._schedule.record_candidates(candidates)
        return self._find_with_capacity(candidates, exclude, request_class)

    def _find_with_capacity(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
    ) -> model.BackendServer | None:
        if self._strategy.is_baseline:
            return self._select_by_baseline(candidates, exclude)
        usable = self._list_usable(candidates, exclude)
        available = [
            s for s in usable if self._loads.has_capacity(s, request_class)
        ]
        return self._choose_nearest(available) if available else None

    async def wait_for_capacity(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
        account: str,
        until_s: float,
    ) -> bool:
        """Queues deferrable work until a server has capacity for it.

        The capacity is not reserved: the calling coroutine must select a server
        and start the attempt without awaiting anything in between.

        Args:
            candidates: Servers that can do the work, at least one.
            exclude: Names of servers that were tried before.
            request_class: Class of the work.
            account: Name of the client account, for fair queueing.
            until_s: Loop time at which the wait is given up.

        Returns:
            True if there is capacity or no server is eligible at all, False if
            there was no capacity in time.
        """
        names = ",".join(server.name for server in candidates)
        return await self._capacity_queue.wait(
            f"{request_class.long} {names}",
            account,
            request_class.priority,
            lambda: (
                self._has_no_eligible_server(candidates, exclude)
                or self._find_with_capacity(candidates, exclude, request_class)
                is not None
            ),
            until_s,
        )

    def count_queued(self) -> int:
        """Returns the number of requests that wait for capacity."""
        return self._capacity_queue.count_queued()

    def _has_no_eligible_server(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> bool:
        # Waiting does not help when no server accepts work; the selection that
        # follows reports the reason.
        return not any(
            not self._is_leaving(server) and server.name not in exclude
            for server in candidates
        )

    def _choose_nearest(
        self, servers: Sequence[model.BackendServer]
    ) -> model.BackendServer:
        nearest = min(self._distance(server) for server in servers)
        return self._choose(
            [s for s in servers if self._distance(s) == nearest]
        )

    def _select_by_baseline(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> model.BackendServer | None:
        now_s = asyncio.get_running_loop().time()
        usable = [
            server
            for server in candidates
            if self._accepts_requests(server, now_s)
            and server.name not in exclude
        ]
        if not usable:
            return None
        return self._strategy.choose(
            usable, lambda s: self.count_in_progress(s.name) / max(s.slots, 1)
        )

    def compute_hedge_delay_s(self, kind: str) -> float | None:
        """Returns the time without a byte after which a request is hedged.

        Args:
            kind: Kind of work.

        Returns:
            Seconds, or None if the kind of work has no baseline latency yet.
        """
        baseline_s = self._baseline_latencies_s.get(kind)
        if baseline_s is None or self._strategy.is_baseline:
            return None
        return baseline_s * _HEDGE_FACTOR

    def predict_wait_s(
        self, server: model.BackendServer, *, long: bool = False
    ) -> float:
        """Returns the predicted queueing time of a new request in seconds."""
        return self._loads.predict_wait_s(server, long=long)

    def check_admission(
        self,
        server: model.BackendServer,
        remaining_s: float,
        *,
        long: bool = False,
        queue_share: float = 1.0,
    ) -> None:
        """Rejects work that would miss its deadline in the queue of a server.

        Args:
            server: The selected server.
            remaining_s: Seconds until the deadline.
            long: Whether it is long work.
            queue_share: Maximum wait as a share of the remaining time.

        Raises:
            DragonflydykeError: `overloaded` (503, not run, with
                `retry_after_s`).
        """
        wait_s = self.predict_wait_s(server, long=long)
        if wait_s <= 0.0 or self._strategy.is_baseline:
            return
        needed_s = wait_s + self._loads.get_service_time_s(server, long=long)
        if needed_s <= remaining_s and wait_s <= queue_share * remaining_s:
            return
        retry_after_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        raise errors.DragonflydykeError(
            "overloaded",
            "The backend servers are full and the request would wait too "
            "long in their queue; retry later or with a longer deadline.",
            step=errors.Step.ADMIT,
            peer=server.name,
            status=503,
            retry_after_s=retry_after_s,
        )

    def select_servers_to_poll(
        self, servers: Sequence[model.BackendServer], idle_limit: int
    ) -> list[model.BackendServer]:
        """Returns the servers whose load report is to be read now.

        Args:
            servers: All servers that this node uses.
            idle_limit: Maximum number of servers without requests.
        """
        return self._schedule.select_due(servers, idle_limit)

    def record_load_report(
        self, server: str, running: int, waiting: int, age_s: float = 0.0
    ) -> None:
        """Records the load that a server reported `age_s` seconds ago."""
        self._loads.record_report(server, running + waiting, age_s)
        self._capacity_queue.notify()

    def start_attempt(
        self,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer] = (),
        kind: str = "",
        *,
        long: bool = False,
    ) -> server_attempts.ServerAttempt:
        """Starts an attempt, which counts as load until it is finished.

        Args:
            server: Server that the request is sent to.
            candidates: Servers that can do the same work.
            kind: Kind of work, whose times to the first byte are comparable.
            long: Whether the attempt counts against the slots for long work.

        Raises:
            InvariantError: If the server is leaving.
        """
        # Nothing is awaited between the selection of the server and this call,
        # so the server cannot have started to leave in between.
        errors.check_invariant(
            not self._is_leaving(server), f"{server.name} is leaving"
        )
        self._pauses.record_start(
            (server.name, 0), asyncio.get_running_loop().time()
        )
        oversubscription = self._loads.start_request(server, long=long)
        return server_attempts.ServerAttempt(
            self,
            server,
            candidates,
            kind,
            long=long,
            oversubscription=oversubscription,
        )

    def count_in_progress(self, server: str) -> int:
        """Returns this node's number of requests in progress at a server."""
        return self._loads.count_in_progress(server)

    def record_attempt_outcome(
        self,
        attempt: server_attempts.ServerAttempt,
        outcome: server_attempts.AttemptOutcome,
    ) -> None:
        """Records the outcome of an attempt; called once, by the attempt."""
        now_s = asyncio.get_running_loop().time()
        name = attempt.server.name
        self._loads.finish_request(name, long=attempt.long)
        self._capacity_queue.notify()
        if (
            outcome is server_attempts.AttemptOutcome.CANCELLED
            and attempt.first_byte_latency_s is None
        ):
            return
        if outcome is server_attempts.AttemptOutcome.COMPLETED:
            taken_s = (now_s - attempt.started_s) / attempt.oversubscription
            self._loads.record_service_time(name, taken_s, long=attempt.long)
        if self._outliers.record(
            name,
            now_s,
            failed=outcome is server_attempts.AttemptOutcome.FAILED,
            latency=self._normalize_latency(attempt),
            peers=[server.name for server in attempt.candidates],
        ):
            self._counters.increment("server.ejected")
            _LOGGER.notice("backend server ejected as outlier", server=name)

    def _normalize_latency(
        self, attempt: server_attempts.ServerAttempt
    ) -> float | None:
        """Returns the latency as a multiple of the baseline of its kind.

        Without normalisation, a server that happens to get long work would be
        classified as slow.
        """
        if attempt.first_byte_latency_s is None:
            return None
        latency_s = max(attempt.first_byte_latency_s, _MIN_LATENCY_S)
        baseline_s = self._baseline_latencies_s.get(attempt.kind, latency_s)
        change_s = latency_s - baseline_s
        self._baseline_latencies_s[attempt.kind] = (
            baseline_s + _BASELINE_LATENCY_SMOOTHING * change_s
        )
        return latency_s / baseline_s

    def _list_usable(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> list[model.BackendServer]:
        now_s = asyncio.get_running_loop().time()
        remaining = [
            server
            for server in candidates
            if self._accepts_requests(server, now_s)
        ]
        names = [server.name for server in remaining]
        ejected = self._outliers.find_ejected(names, now_s)
        usable = [
            server
            for server in remaining
            if server.name not in ejected and server.name not in exclude
        ]
        sampled = [
            server
            for server in usable
            if self._random.random()
            < self._outliers.compute_recovery_weight(server.name, now_s)
        ]
        return sampled or usable

    def _accepts_requests(
        self, server: model.BackendServer, now_s: float
    ) -> bool:
        """Returns whether a server accepts requests as far as it says so."""
        return (
            not self._is_leaving(server)
            and now_s >= self._leaving_until_s.get(server.name, 0.0)
            and not self._pauses.find_delay_s((server.name, 0), now_s)
        )

    def _is_leaving(self, server: model.BackendServer) -> bool:
        if server.state is model.ServerState.LEAVING:
            return True
        return bool(server.vm) and server.vm in self._leaving_vms

    def _choose(
        self, servers: Sequence[model.BackendServer]
    ) -> model.BackendServer:
        return self._strategy.choose(
            servers, self._loads.compute_load_per_slot_with_next
        )

    def _distance(self, server: model.BackendServer) -> int:
        return self._distances.get(server.data_centre, _UNLISTED_DISTANCE)

    def _retain_servers(self, document: model.Document) -> None:
        """Forgets the servers that are not in a new configuration."""
        names = {server.name for server in document.backend_servers}
        self._loads.retain(names)
        self._outliers.retain(names)
        self._schedule.retain(names)

    def _set_distances(self, document: model.Document) -> None:
        local = document.data_centre(self._data_centre)
        near = local.near if local else ()
        self._distances = {name: i + 1 for i, name in enumerate(near)}
        self._distances[self._data_centre] = 0

    def _select_subset(
        self, servers: Sequence[model.BackendServer]
    ) -> tuple[model.BackendServer, ...]:
        ranked = sorted(
            servers,
            key=lambda s: (self._distance(s), _compute_rank(self._vm, s.name)),
        )
        if not ranked:
            return ()
        nearest = self._distance(ranked[0])
        near = [s for s in ranked if self._distance(s) == nearest]
        far = ranked[len(near) :]
        far_limit = MAX_SUBSET_SERVERS - min(len(near), _MAX_NEAREST_SERVERS)
        far = far[:far_limit]
        return tuple(near[: MAX_SUBSET_SERVERS - len(far)] + far)


def _list_servers(
    in_force: selection.InForce, served: str
) -> tuple[model.BackendServer, ...]:
    model_name, version_name = model.split_version_id(served)
    if version_name:
        return in_force.document.engines_for_version(model_name, version_name)
    return in_force.document.servers_for_service(served)


def _compute_rank(vm: str, server: str) -> bytes:
    return hashlib.sha256(f"{vm}\0{server}".encode()).digest()
