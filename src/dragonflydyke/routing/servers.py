"""Selection of backend servers by load, distance and health."""

import asyncio
import dataclasses
import enum
import hashlib
import math
import random
from collections.abc import Collection, Sequence

from dragonflydyke import errors, logs, metrics
from dragonflydyke.configuration import model
from dragonflydyke.routing import outliers, selection

MAX_SUBSET_SERVERS = 12
# The rest of the subset is farther away, so that a data centre whose servers
# are full or gone has others to turn to.
_MAX_NEAREST_SERVERS = 8
_REPORT_DECAY_S = 2.0
_FAR = 1_000
# A report that is younger than this still has most of its weight.
_REPORT_INTERVAL_S = 2.0
# Servers are in use for this time after they were candidates for a request.
_IN_USE_S = 10.0
_SERVICE_TIME_SMOOTHING = 0.1
_USUAL_LATENCY_SMOOTHING = 0.05
# Differences between shorter times are noise of the network.
_MIN_LATENCY_S = 0.05
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0

_LOGGER = logs.get_logger("routing")


class AttemptEnd(enum.Enum):
    """How an attempt at a backend server ended, as far as it is at fault."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class _Load:
    in_progress: int = 0
    foreign: float = 0.0
    reported_at_s: float | None = None
    asked_at_s: float = -math.inf
    wanted_at_s: float = -math.inf
    service_time_s: float | None = None


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
        "_leaving_vms",
        "_loads",
        "_outliers",
        "_picks",
        "_random",
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
    ) -> None:
        """Creates a pool.

        Args:
            data_centre: Data centre of this node.
            vm: Name of this node, which selects its subsets of servers.
            counters: Counters of the process.
            source: Source of random choices; tests give a seeded one.
        """
        self._data_centre = data_centre
        self._vm = vm
        self._counters = counters
        self._random = source or random.Random()
        self._loads: dict[str, _Load] = {}
        self._picks = 0
        self._outliers = outliers.OutlierDetector()
        self._leaving_vms: frozenset[str] = frozenset()
        self._usual_latencies_s: dict[str, float] = {}
        self._subsets: dict[str, _Subset] = {}
        self._distances: dict[str, int] = {data_centre: 0}

    def set_leaving_vms(self, names: Collection[str]) -> None:
        """Sets the VMs whose backend servers receive no new work."""
        self._leaving_vms = frozenset(names)

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
        servers = self._select_subset(_list_servers(in_force, served))
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
        self._note_wanted(candidates)
        usable = self._list_usable(candidates, exclude)
        tiers: dict[int, list[model.BackendServer]] = {}
        for server in usable:
            if self._load_share(server) < 1.0:
                tiers.setdefault(self._distance(server), []).append(server)
        if tiers:
            return self._choose(tiers[min(tiers)])
        return self._choose(usable) if usable else None

    def predict_wait_s(self, server: model.BackendServer) -> float:
        """Returns the seconds that new work would wait at a server."""
        load = self._loads.get(server.name)
        if load is None or load.service_time_s is None:
            return 0.0
        ahead = self._estimate(server) + 1 - server.slots
        return max(0.0, ahead) * load.service_time_s / server.slots

    def check_admission(
        self, server: model.BackendServer, remaining_s: float
    ) -> None:
        """Refuses work that would miss its deadline in a queue.

        Args:
            server: The picked server, the best there is.
            remaining_s: Seconds until the deadline.

        Raises:
            DragonflydykeError: `overloaded`, not run.
        """
        wait_s = self.predict_wait_s(server)
        if wait_s <= 0.0:
            return
        needed_s = wait_s + (self._loads[server.name].service_time_s or 0.0)
        if needed_s <= remaining_s:
            return
        retry_after_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        raise errors.DragonflydykeError(
            "overloaded",
            "The backend servers are full and the deadline would pass in "
            "their queue; retry later or with a longer deadline.",
            step=errors.Step.ADMIT,
            peer=server.name,
            status=503,
            retry_after_s=retry_after_s,
        )

    def take_due_reports(
        self, servers: Sequence[model.BackendServer], idle_limit: int
    ) -> list[model.BackendServer]:
        """Returns the servers to ask for a load report now.

        Servers in use come first, then those with the oldest report. Without
        requests there are at most `idle_limit`; each request since the last
        call adds one, so that the cost stays in proportion to the traffic.
        """
        now_s = asyncio.get_running_loop().time()
        loads = {
            s.name: self._loads.setdefault(s.name, _Load()) for s in servers
        }
        due = [
            server
            for server in servers
            if now_s - loads[server.name].asked_at_s >= _REPORT_INTERVAL_S
        ]
        due.sort(
            key=lambda s: (
                now_s - loads[s.name].wanted_at_s > _IN_USE_S,
                loads[s.name].asked_at_s,
            )
        )
        taken = due[: idle_limit + self._picks]
        self._picks = 0
        for server in taken:
            loads[server.name].asked_at_s = now_s
        return taken

    def record_load(
        self, server: str, running: int, waiting: int, age_s: float = 0.0
    ) -> None:
        """Records the load that a server reported `age_s` seconds ago."""
        load = self._loads.setdefault(server, _Load())
        load.foreign = max(0, running + waiting - load.in_progress)
        load.reported_at_s = asyncio.get_running_loop().time() - age_s

    def begin(
        self,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer] = (),
        kind: str = "",
    ) -> "Placement":
        """Counts an attempt at a server until the placement is ended.

        Args:
            server: Where the attempt goes.
            candidates: Servers with the same work.
            kind: Kind of work, whose times to the first byte are comparable.
        """
        self._loads.setdefault(server.name, _Load()).in_progress += 1
        return Placement(self, server, candidates, kind)

    def in_progress(self, server: str) -> int:
        """Returns the number of own requests in progress at a server."""
        load = self._loads.get(server)
        return load.in_progress if load else 0

    def _end(self, placement: "Placement", end: AttemptEnd) -> None:
        now_s = asyncio.get_running_loop().time()
        name = placement.server.name
        load = self._loads[name]
        load.in_progress -= 1
        errors.check_invariant(
            load.in_progress >= 0, f"requests in progress at {name} below 0"
        )
        if end is AttemptEnd.CANCELLED and placement.latency_s is None:
            return
        if end is AttemptEnd.COMPLETED:
            taken_s = now_s - placement.started_s
            before = load.service_time_s
            change = taken_s - (before or 0.0)
            load.service_time_s = (
                taken_s
                if before is None
                else before + _SERVICE_TIME_SMOOTHING * change
            )
        if self._outliers.record(
            name,
            now_s,
            failed=end is AttemptEnd.FAILED,
            latency=self._normalize_latency(placement),
            peers=[server.name for server in placement.candidates],
        ):
            self._counters.increment("server.ejected")
            _LOGGER.notice("backend server ejected as outlier", server=name)

    def _normalize_latency(self, placement: "Placement") -> float | None:
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

    def _note_wanted(self, candidates: Sequence[model.BackendServer]) -> None:
        now_s = asyncio.get_running_loop().time()
        self._picks += 1
        for server in candidates:
            self._loads.setdefault(server.name, _Load()).wanted_at_s = now_s

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
        if len(servers) == 1:
            return servers[0]
        pair = self._random.sample(servers, 2)
        return min(pair, key=self._load_with_next)

    def _load_with_next(self, server: model.BackendServer) -> float:
        # Counting the next request prefers the larger of two idle servers.
        return (self._estimate(server) + 1) / max(server.slots, 1)

    def _load_share(self, server: model.BackendServer) -> float:
        return self._estimate(server) / max(server.slots, 1)

    def _estimate(self, server: model.BackendServer) -> float:
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        if load.reported_at_s is None:
            return load.in_progress
        age_s = asyncio.get_running_loop().time() - load.reported_at_s
        fresh = math.exp(-max(0.0, age_s) / _REPORT_DECAY_S)
        return load.in_progress + load.foreign * fresh

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


class Placement:
    """An attempt at a server, from dispatch to its end."""

    __slots__ = (
        "_ended",
        "_pool",
        "candidates",
        "kind",
        "latency_s",
        "server",
        "started_s",
    )

    def __init__(
        self,
        pool: ServerPool,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
        kind: str,
    ) -> None:
        self._pool = pool
        self.kind = kind
        self._ended = False
        self.server = server
        self.candidates = candidates
        self.latency_s: float | None = None
        self.started_s = asyncio.get_running_loop().time()

    def record_first_byte(self) -> None:
        """Records the time to the first byte of the answer."""
        if self.latency_s is None:
            now_s = asyncio.get_running_loop().time()
            self.latency_s = now_s - self.started_s

    def end(self, end: AttemptEnd) -> None:
        """Ends the attempt; further calls have no effect."""
        if not self._ended:
            self._ended = True
            self._pool._end(self, end)


def _list_servers(
    in_force: selection.InForce, served: str
) -> tuple[model.BackendServer, ...]:
    model_name, version_name = model.split_version_id(served)
    if version_name:
        return in_force.document.servers_for(model_name, version_name)
    return in_force.document.servers_for_service(served)


def _rank(vm: str, server: str) -> bytes:
    return hashlib.sha256(f"{vm}\0{server}".encode()).digest()
