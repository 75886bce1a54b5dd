"""Selection of backend servers by load, distance and health."""

import asyncio
import dataclasses
import hashlib
import random
from collections.abc import Collection, Sequence

from dragonflydyke import errors, logs, metrics
from dragonflydyke.configuration import model
from dragonflydyke.routing import (
    holding,
    loads,
    outliers,
    placements,
    polling,
    selection,
    strategies,
)

MAX_SUBSET_SERVERS = 12
# The rest of the subset is farther away, so that a data centre whose servers
# are full or gone has others to turn to.
_MAX_NEAREST_SERVERS = 8
_FAR = 1_000
_USUAL_LATENCY_SMOOTHING = 0.05
# Differences between shorter times are noise of the network.
_MIN_LATENCY_S = 0.05
# Hedging earlier would spend the budget on ordinary variation.
_HEDGE_FACTOR = 1.5
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0

_LOGGER = logs.get_logger("routing")


@dataclasses.dataclass(slots=True)
class _Subset:
    revision: int
    servers: tuple[model.BackendServer, ...]


class ServerPool:
    """Load, health and choice of the backend servers that this node uses.

    Times are those of the running event loop.
    """

    __slots__ = (
        "_counters",
        "_data_centre",
        "_distances",
        "_held",
        "_leaving_vms",
        "_loads",
        "_outliers",
        "_random",
        "_schedule",
        "_strategy",
        "_subsets",
        "_usual_latencies_s",
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
            source: Source of random choices; tests give a seeded one.
            server_choice: Name of the strategy, one of `strategies.NAMES`.
        """
        self._data_centre = data_centre
        self._vm = vm
        self._counters = counters
        self._random = source or random.Random()
        self._strategy = strategies.build_strategy(server_choice, self._random)
        self._loads = loads.LoadBook()
        self._schedule = polling.ReportSchedule()
        self._outliers = outliers.OutlierDetector()
        self._leaving_vms: frozenset[str] = frozenset()
        self._usual_latencies_s: dict[str, float] = {}
        self._subsets: dict[str, _Subset] = {}
        self._distances: dict[str, int] = {data_centre: 0}
        self._held = holding.HoldQueue(counters)

    def set_leaving_vms(self, names: Collection[str]) -> None:
        """Sets the VMs whose backend servers receive no new work."""
        self._leaving_vms = frozenset(names)

    def set_vm_count(self, count: int) -> None:
        """Sets the number of nodes that share the servers."""
        self._loads.set_vm_count(count)

    def candidates(
        self, in_force: selection.InForce, served: str
    ) -> tuple[model.BackendServer, ...]:
        """Returns the subset of servers that this node uses.

        Args:
            in_force: Configuration in force.
            served: `model@version` or the name of a service.
        """
        cached = self._subsets.get(served)
        if cached is not None and cached.revision == in_force.revision:
            return cached.servers
        self._set_distances(in_force.document)
        known = _list_servers(in_force, served)
        servers = self._select_subset(known)
        self._loads.reserved_share = in_force.document.policy.reserved_share
        for server in servers:
            share = len(servers) / len(known)
            self._loads.set_subset_share(server.name, share)
        self._subsets[served] = _Subset(in_force.revision, servers)
        return servers

    def pick(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str] = (),
    ) -> model.BackendServer | None:
        """Returns the server for the next attempt, or None if there is none.

        Args:
            candidates: Servers with the work in question.
            exclude: Names of servers that were tried before.
        """
        self._schedule.note_candidates(candidates)
        if self._strategy.is_plain:
            return self._pick_plain(candidates, exclude)
        usable = self._list_usable(candidates, exclude)
        free = [s for s in usable if self._loads.share(s) < 1.0]
        if free:
            return self._choose_nearest(free)
        return self._choose(usable) if usable else None

    def pick_with_room(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
    ) -> model.BackendServer | None:
        """Returns a server with room for work that may wait, or None.

        Args:
            candidates: Servers with the work in question.
            exclude: Names of servers that were tried before.
            request_class: Class of the work.
        """
        self._schedule.note_candidates(candidates)
        return self._find_room(candidates, exclude, request_class)

    def _find_room(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
    ) -> model.BackendServer | None:
        if self._strategy.is_plain:
            return self._pick_plain(candidates, exclude)
        usable = self._list_usable(candidates, exclude)
        room = [s for s in usable if self._loads.has_room(s, request_class)]
        return self._choose_nearest(room) if room else None

    async def hold(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
        request_class: model.RequestClass,
        account: str,
        until_s: float,
    ) -> bool:
        """Holds work that may wait until a server has room for it.

        The caller must pick and begin without awaiting anything in between.

        Args:
            candidates: Servers with the work in question, at least one.
            exclude: Names of servers that were tried before.
            request_class: Class of the work.
            account: Client account, which gets a fair share.
            until_s: Loop time until which the work is held.

        Returns:
            False if there was no room in time.
        """
        names = ",".join(server.name for server in candidates)
        return await self._held.wait(
            f"{request_class.long} {names}",
            account,
            request_class.priority,
            lambda: (
                self._is_hopeless(candidates, exclude)
                or self._find_room(candidates, exclude, request_class)
                is not None
            ),
            until_s,
        )

    def held(self) -> int:
        """Returns the number of requests that are held back."""
        return self._held.count()

    def _is_hopeless(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> bool:
        # Waiting does not help when no server takes work; picking then
        # reports why.
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

    def _pick_plain(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> model.BackendServer | None:
        usable = [
            server
            for server in candidates
            if not self._is_leaving(server) and server.name not in exclude
        ]
        if not usable:
            return None
        return self._strategy.choose(
            usable, lambda s: self.in_progress(s.name) / max(s.slots, 1)
        )

    def compute_hedge_delay_s(self, kind: str) -> float | None:
        """Returns after which time without a byte a server is slow.

        Args:
            kind: Kind of work.

        Returns:
            Seconds, or None if the usual time of the kind is not known.
        """
        usual_s = self._usual_latencies_s.get(kind)
        if usual_s is None or self._strategy.is_plain:
            return None
        return usual_s * _HEDGE_FACTOR

    def predict_wait_s(
        self, server: model.BackendServer, *, long: bool = False
    ) -> float:
        """Returns the seconds that new work would wait at a server."""
        return self._loads.predict_wait_s(server, long=long)

    def check_admission(
        self,
        server: model.BackendServer,
        remaining_s: float,
        *,
        long: bool = False,
        queue_share: float = 1.0,
    ) -> None:
        """Refuses work that would miss its deadline in a queue.

        Args:
            server: The picked server, the best there is.
            remaining_s: Seconds until the deadline.
            long: Whether it is long work.
            queue_share: Longest wait as a share of the remaining time.

        Raises:
            DragonflydykeError: `overloaded`, not run.
        """
        wait_s = self.predict_wait_s(server, long=long)
        if wait_s <= 0.0 or self._strategy.is_plain:
            return
        needed_s = wait_s + self._loads.service_time_s(server, long=long)
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

    def take_due_reports(
        self, servers: Sequence[model.BackendServer], idle_limit: int
    ) -> list[model.BackendServer]:
        """Returns the servers to ask for a load report now.

        Args:
            servers: All servers that this node uses.
            idle_limit: Largest number without requests.
        """
        return self._schedule.take_due(servers, idle_limit)

    def record_load(
        self, server: str, running: int, waiting: int, age_s: float = 0.0
    ) -> None:
        """Records the load that a server reported `age_s` seconds ago."""
        self._loads.record_report(server, running + waiting, age_s)
        self._held.wake()

    def begin(
        self,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer] = (),
        kind: str = "",
        *,
        long: bool = False,
    ) -> placements.Placement:
        """Counts an attempt at a server until the placement is ended.

        Args:
            server: Where the attempt goes.
            candidates: Servers with the same work.
            kind: Kind of work, whose times to the first byte are comparable.
            long: Whether it counts against the slots for long work.
        """
        # Nothing is awaited between the choice of a server and this.
        errors.check_invariant(
            not self._is_leaving(server), f"{server.name} is leaving"
        )
        crowding = self._loads.begin(server, long=long)
        return placements.Placement(
            self, server, candidates, kind, long=long, crowding=crowding
        )

    def in_progress(self, server: str) -> int:
        """Returns the number of own requests in progress at a server."""
        return self._loads.in_progress(server)

    def end_placement(
        self, placement: placements.Placement, end: placements.AttemptEnd
    ) -> None:
        """Accounts for an attempt; called by the placement, once."""
        now_s = asyncio.get_running_loop().time()
        name = placement.server.name
        self._loads.end(name, long=placement.long)
        self._held.wake()
        if (
            end is placements.AttemptEnd.CANCELLED
            and placement.latency_s is None
        ):
            return
        if end is placements.AttemptEnd.COMPLETED:
            taken_s = (now_s - placement.started_s) / placement.crowding
            self._loads.record_service_time(name, taken_s, long=placement.long)
        if self._outliers.record(
            name,
            now_s,
            failed=end is placements.AttemptEnd.FAILED,
            latency=self._normalize_latency(placement),
            peers=[server.name for server in placement.candidates],
        ):
            self._counters.increment("server.ejected")
            _LOGGER.notice("backend server ejected as outlier", server=name)

    def _normalize_latency(
        self, placement: placements.Placement
    ) -> float | None:
        """Returns the latency as a multiple of the usual one of its kind.

        Otherwise a server that happens to get long work looks slow.
        """
        if placement.latency_s is None:
            return None
        latency_s = max(placement.latency_s, _MIN_LATENCY_S)
        usual_s = self._usual_latencies_s.get(placement.kind, latency_s)
        change_s = latency_s - usual_s
        self._usual_latencies_s[placement.kind] = (
            usual_s + _USUAL_LATENCY_SMOOTHING * change_s
        )
        return latency_s / usual_s

    def _list_usable(
        self,
        candidates: Sequence[model.BackendServer],
        exclude: Collection[str],
    ) -> list[model.BackendServer]:
        now_s = asyncio.get_running_loop().time()
        working = [s for s in candidates if not self._is_leaving(s)]
        names = [server.name for server in working]
        ejected = self._outliers.ejected(names, now_s)
        usable = [
            server
            for server in working
            if server.name not in ejected and server.name not in exclude
        ]
        returned = [
            server
            for server in usable
            if self._random.random() < self._outliers.weight(server.name, now_s)
        ]
        return returned or usable

    def _is_leaving(self, server: model.BackendServer) -> bool:
        if server.state is model.ServerState.LEAVING:
            return True
        return bool(server.vm) and server.vm in self._leaving_vms

    def _choose(
        self, servers: Sequence[model.BackendServer]
    ) -> model.BackendServer:
        return self._strategy.choose(servers, self._loads.share_with_next)

    def _distance(self, server: model.BackendServer) -> int:
        return self._distances.get(server.data_centre, _FAR)

    def _set_distances(self, document: model.Document) -> None:
        own = document.data_centre(self._data_centre)
        near = own.near if own else ()
        self._distances = {name: i + 1 for i, name in enumerate(near)}
        self._distances[self._data_centre] = 0

    def _select_subset(
        self, servers: Sequence[model.BackendServer]
    ) -> tuple[model.BackendServer, ...]:
        ranked = sorted(
            servers,
            key=lambda s: (self._distance(s), _rank(self._vm, s.name)),
        )
        if not ranked:
            return ()
        nearest = self._distance(ranked[0])
        near = [s for s in ranked if self._distance(s) == nearest]
        far = ranked[len(near) :]
        room = MAX_SUBSET_SERVERS - min(len(near), _MAX_NEAREST_SERVERS)
        far = far[:room]
        return tuple(near[: MAX_SUBSET_SERVERS - len(far)] + far)


def _list_servers(
    in_force: selection.InForce, served: str
) -> tuple[model.BackendServer, ...]:
    model_name, version_name = model.split_version_id(served)
    if version_name:
        return in_force.document.engines_for_version(model_name, version_name)
    return in_force.document.servers_for_service(served)


def _rank(vm: str, server: str) -> bytes:
    return hashlib.sha256(f"{vm}\0{server}".encode()).digest()
