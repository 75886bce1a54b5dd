"""Limits that backend servers name on the requests of all nodes; no I/O.

Designed for a server in need that names a rate far below what the nodes send
together. Nodes do not observe each other's requests, so each one sends only in
its own slots: with N nodes and a limit of L requests a second, a node has one
slot every N / L seconds. The slots of the nodes are spread evenly by their rank
among the registered nodes and by the time of day. A slot expires, so that the
nodes cannot use many slots that were saved up at the same time.
"""

import collections
import dataclasses
import math
import time
from collections.abc import Callable, Collection, Sequence

from dragonflydyke import logs
from dragonflydyke.forwarding import directory, model

# Time in seconds for which a slot can be used.
_SLOT_VALIDITY_S = 2.0
# A server that names no requests at all still gets one now and then, as only
# its responses tell that the limit is over.
_MIN_LIMIT_PER_S = 0.1
# Number of nodes to assume before the registered ones are known.
_ASSUMED_NODES = 256

_LOGGER = logs.get_logger("limits")


@dataclasses.dataclass(slots=True, frozen=True)
class FleetPosition:
    """Rank of this node, from 0, among the nodes, and their number."""

    rank: int = 0
    nodes: int = _ASSUMED_NODES


@dataclasses.dataclass(slots=True)
class _LimitState:
    """A limit in force, and the times of day of the recent requests."""

    limit_per_s: float
    starts: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class ServerLimits:
    """The limits that servers named in their newest responses.

    Attributes:
        position: Position of this node among all nodes.
    """

    __slots__ = ("_find_time", "_limits", "position")

    def __init__(self, find_time: Callable[[], float] = time.time) -> None:
        """Creates an empty list of limits.

        Args:
            find_time: Returns the time of day in seconds, which nodes share.
        """
        self._find_time = find_time
        self._limits: dict[tuple[str, int], _LimitState] = {}
        self.position = FleetPosition()

    @property
    def has_limits(self) -> bool:
        """Whether any server has a limit."""
        return bool(self._limits)

    def record_response(
        self, server: directory.ServerEntry, limit_per_s: float | None
    ) -> None:
        """Records the limit in a response of a server.

        Args:
            server: The server.
            limit_per_s: Requests a second that it accepts from all nodes
                together, None if it named no limit.
        """
        process = (server.name, server.started_ms)
        state = self._limits.get(process)
        if limit_per_s == (state.limit_per_s if state else None):
            return
        if limit_per_s is None:
            del self._limits[process]
        elif state is None:
            self._limits[process] = _LimitState(limit_per_s)
        else:
            state.limit_per_s = limit_per_s
        _LOGGER.notice(
            "server limit changed",
            server=server.name,
            limit_per_s=limit_per_s,
            rank=self.position.rank,
            nodes=self.position.nodes,
        )

    def retain(self, processes: Collection[tuple[str, int]]) -> None:
        """Drops the limits of all other server processes."""
        for process in self._limits.keys() - set(processes):
            del self._limits[process]

    def list_allowed(
        self, servers: Sequence[directory.ServerEntry]
    ) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers to which this node may send a request now."""
        return tuple(server for server in servers if self.allows(server))

    def allows(self, server: directory.ServerEntry) -> bool:
        """Returns whether this node may send a request to a server now."""
        state = self._find_state(server)
        if state is None:
            return True
        now_s = self._find_time()
        first_s = now_s - _SLOT_VALIDITY_S
        while state.starts and state.starts[0] <= first_s:
            state.starts.popleft()
        return len(state.starts) < self._count_valid(server, state, now_s)

    def record_start(self, server: directory.ServerEntry) -> None:
        """Records that a request is sent to a server."""
        state = self._find_state(server)
        if state is not None:
            state.starts.append(self._find_time())

    def find_delay_s(self, servers: Sequence[directory.ServerEntry]) -> float:
        """Returns the seconds until one of the servers allows a request."""
        now_s = self._find_time()
        delays = [
            self._find_allowed_s(server, state, now_s) - now_s
            for server in servers
            if (state := self._find_state(server)) is not None
        ]
        return max(0.0, min(delays, default=0.0))

    def _find_state(self, server: directory.ServerEntry) -> _LimitState | None:
        return self._limits.get((server.name, server.started_ms))

    def _find_interval_s(self, state: _LimitState) -> float:
        return self.position.nodes / max(state.limit_per_s, _MIN_LIMIT_PER_S)

    def _count_slots(
        self, server: directory.ServerEntry, state: _LimitState, at_s: float
    ) -> int:
        """Returns the number of this node's slots that began by a time."""
        phase = self._find_phase(server)
        return math.floor(at_s / self._find_interval_s(state) - phase)

    def _count_valid(
        self, server: directory.ServerEntry, state: _LimitState, at_s: float
    ) -> int:
        """Returns the number of this node's slots that are valid at a time."""
        begun = self._count_slots(server, state, at_s)
        return begun - self._count_slots(server, state, at_s - _SLOT_VALIDITY_S)

    def _find_allowed_s(
        self, server: directory.ServerEntry, state: _LimitState, now_s: float
    ) -> float:
        """Returns the time at which the server allows the next request."""
        slot = self._count_slots(server, state, now_s) + 1
        phase = self._find_phase(server)
        next_s = (slot + phase) * self._find_interval_s(state)
        valid = self._count_valid(server, state, next_s)
        if not state.starts or len(state.starts) < valid:
            return next_s
        return max(next_s, state.starts[0] + _SLOT_VALIDITY_S)

    def _find_phase(self, server: directory.ServerEntry) -> float:
        # The hash keeps the slots of a node at different servers apart.
        position = self.position
        return position.rank / position.nodes + model.hash_fraction(server.name)
