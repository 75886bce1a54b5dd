"""Model of nodes that send requests to servers that may fall over."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from dragonflydyke import metrics
from dragonflydyke.forwarding import brittle_servers, directory
from tests.builders import forwarding

# Time between a node and a server, one way.
_TRANSIT_S = 0.001
_DOWN_S = 3.0
# Servers say that they are brittle for this long before they fall over.
_NOTICE_S = 3.0
# Load during that time, as a multiple of what the servers can do.
_CALM_LOAD = 0.2
_MAX_DISPATCHES = 5


@dataclasses.dataclass(slots=True, frozen=True)
class FleetLoad:
    """Nodes, servers and the load of a run.

    Attributes:
        nodes: Number of nodes.
        servers: Number of servers.
        slots: Requests that a server processes at the same time.
        queue: Requests that wait at a server beside them.
        service_s: Mean duration of a request in seconds.
        tolerated: Rejections a second that a server tolerates.
        load: Arriving work as a multiple of what the servers can do, after
            the time in which they say that they are brittle.
        duration_s: Duration of the run in seconds.
    """

    nodes: int
    servers: int
    slots: int
    queue: int
    service_s: float
    tolerated: int
    load: float
    duration_s: float = 15.0

    def find_rate_per_s(self, at_s: float) -> float:
        """Returns the requests a second at all nodes together."""
        load = _CALM_LOAD if at_s < _NOTICE_S else self.load
        return load * self.servers * self.slots / self.service_s


@dataclasses.dataclass(slots=True)
class _Server:
    entry: directory.ServerEntry
    busy: int = 0
    down_until_s: float = 0.0
    rejected_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class BrittleFleet:
    """Plays a load; requests that are rejected try further servers.

    Attributes:
        falls: How often servers fell over.
        served: Requests that a server finished.
        requests: All requests.
    """

    def __init__(self, load: FleetLoad, seed: int, *, limited: bool) -> None:
        """Creates an idle fleet.

        Args:
            load: What to play.
            seed: Seed of the random numbers.
            limited: Whether the nodes limit their requests.
        """
        self.falls = 0
        self.served = 0
        self.requests = 0
        self._load = load
        self._random = random.Random(seed)
        self._servers = [
            _Server(
                forwarding.build_server_entry(
                    f"s{number}", pool="plain", slots=load.slots
                )
            )
            for number in range(load.servers)
        ]
        self._nodes = [
            brittle_servers.BrittleServers(
                lambda: load.nodes,
                metrics.Counters(),
                random.Random(seed + number),
            )
            if limited
            else None
            for number in range(load.nodes)
        ]
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def play(self) -> None:
        """Plays the load."""
        load = self._load
        at_s = 0.0
        while at_s < load.duration_s:
            self._schedule(at_s, self._arrive)
            rate_per_s = load.find_rate_per_s(at_s)
            at_s += self._random.expovariate(rate_per_s)
        while self._events:
            now_s, _, act = heapq.heappop(self._events)
            act(now_s)

    def _schedule(self, at_s: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), act))

    def _arrive(self, now_s: float) -> None:
        self.requests += 1
        self._dispatch(now_s, self._random.choice(self._nodes), frozenset())

    def _dispatch(
        self,
        now_s: float,
        node: brittle_servers.BrittleServers | None,
        tried: frozenset[str],
    ) -> None:
        if len(tried) >= _MAX_DISPATCHES:
            return
        usable = [
            server
            for server in self._servers
            if server.entry.name not in tried
            and (node is None or not node.find_delay_s(server.entry, now_s))
        ]
        if not usable:
            return
        server = self._random.choice(usable)
        if node is not None:
            node.record_start(server.entry, now_s)
        entry = server.entry
        self._schedule(
            now_s + _TRANSIT_S,
            lambda at_s: self._receive(at_s, node, server, entry, tried),
        )

    def _receive(
        self,
        now_s: float,
        node: brittle_servers.BrittleServers | None,
        server: _Server,
        entry: directory.ServerEntry,
        tried: frozenset[str],
    ) -> None:
        load = self._load
        is_down = now_s < server.down_until_s
        if not is_down and server.busy < load.slots + load.queue:
            # A queued request is processed when others end.
            rounds = 1 if server.busy < load.slots else 2
            server.busy += 1
            end_s = now_s + rounds * self._random.expovariate(
                1 / load.service_s
            )
            self._schedule(
                end_s, lambda at_s: self._end(at_s, node, server, entry)
            )
            return
        if not is_down:
            self._reject(now_s, server)
        self._schedule(
            now_s + _TRANSIT_S,
            lambda at_s: self._retry(
                at_s, node, entry, tried, rejected=not is_down
            ),
        )

    def _reject(self, now_s: float, server: _Server) -> None:
        server.rejected_s.append(now_s)
        while server.rejected_s[0] <= now_s - 1.0:
            server.rejected_s.popleft()
        if len(server.rejected_s) > self._load.tolerated:
            self.falls += 1
            server.rejected_s.clear()
            server.busy = 0
            server.entry = dataclasses.replace(
                server.entry, started_ms=server.entry.started_ms + 1
            )
            server.down_until_s = now_s + _DOWN_S

    def _retry(
        self,
        now_s: float,
        node: brittle_servers.BrittleServers | None,
        entry: directory.ServerEntry,
        tried: frozenset[str],
        *,
        rejected: bool,
    ) -> None:
        if node is not None:
            if rejected:
                self._tell(node, entry, now_s, rejected=True)
            node.record_end(entry, now_s)
        self._dispatch(now_s, node, tried | {entry.name})

    def _end(
        self,
        now_s: float,
        node: brittle_servers.BrittleServers | None,
        server: _Server,
        entry: directory.ServerEntry,
    ) -> None:
        # The process may have ended, which the node sees as a lost connection.
        is_served = server.entry == entry
        server.busy -= is_served
        self.served += is_served
        if node is not None:
            if is_served:
                self._tell(node, entry, now_s, rejected=False)
            node.record_end(entry, now_s)

    def _tell(
        self,
        node: brittle_servers.BrittleServers,
        entry: directory.ServerEntry,
        now_s: float,
        *,
        rejected: bool,
    ) -> None:
        node.record_response(
            entry, self._load.tolerated, now_s, rejected=rejected
        )
