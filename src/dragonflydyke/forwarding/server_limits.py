"""Limits on the requests of all nodes to one backend server; no I/O.

Designed for servers that accept a rate far below what the nodes send together:
a server in need that names a limit, and a cold server, which would crash. Nodes
do not observe each other's requests, so each one sends only in its own slots:
with N nodes and a limit of L requests a second, a node has one slot every N / L
seconds. The slots of the nodes are spread evenly by their rank among the
registered nodes and by the time of day. A slot expires, so that the nodes
cannot use many slots that were saved up at the same time.

A server process has at most one limit for each reason, and a request needs a
slot of each of them. With slots that are valid for V seconds, N nodes that
agree on their ranks send at most L * (W + V) + 1 requests in W seconds.
"""

import collections
import dataclasses
import enum
import math
import time
from collections.abc import Callable, Collection, Sequence

from dragonflydyke import logs
from dragonflydyke.forwarding import directory, model

# Time in seconds for which a slot of a limit that a server names can be used.
_STATED_VALIDITY_S = 2.0
# A server that names no requests at all still gets one now and then, as only
# its responses tell that the limit is over.
_MIN_STATED_PER_S = 0.1
# Number of nodes to assume before the registered ones are known.
_ASSUMED_NODES = 256
# Time after which a node whose rank is not settled asks again for a slot.
_UNSETTLED_DELAY_S = 1.0

_LOGGER = logs.get_logger("limits")


class LimitReason(enum.StrEnum):
    """Why a server has a limit; the values are log fields."""

    STATED = "stated"
    COLD = "cold"


# A server crashes at a rate above this limit, so that its slots are used only
# while the ranks of the nodes are known to agree.
_STRICT_REASONS = frozenset((LimitReason.COLD,))


@dataclasses.dataclass(slots=True, frozen=True)
class RateLimit:
    """A limit on the requests of all nodes.

    Attributes:
        rate_per_s: Requests a second.
        validity_s: Seconds for which a slot can be used.
    """

    rate_per_s: float
    validity_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class FleetPosition:
    """Rank of this node, from 0, among the nodes, and their number."""

    rank: int = 0
    nodes: int = _ASSUMED_NODES


@dataclasses.dataclass(slots=True)
class _LimitState:
    """A limit, and the times of day of the recent requests.

    Attributes:
        reason: Why there is a limit.
        limit: The limit.
        is_in_force: Whether it holds now. A cold server may become warm and
            cold again within a second, so that its requests count meanwhile.
        starts: Times of the requests for which a slot may still be valid.
    """

    reason: LimitReason
    limit: RateLimit
    is_in_force: bool = True
    starts: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def drop_expired(self, now_s: float) -> None:
        """Drops the requests whose slots have expired."""
        first_s = now_s - self.limit.validity_s
        while self.starts and self.starts[0] <= first_s:
            self.starts.popleft()
        # A clock that was set back would keep the slots occupied until then.
        while self.starts and self.starts[-1] > now_s + self.limit.validity_s:
            self.starts.pop()


class ServerLimits:
    """The limits of server processes, by reason.

    Attributes:
        position: Position of this node among all nodes.
        is_position_settled: Returns whether all nodes that use their slots
            agree on the nodes. Slots of cold servers are not used otherwise.
    """

    __slots__ = ("_find_time", "_limits", "is_position_settled", "position")

    def __init__(self, find_time: Callable[[], float] = time.time) -> None:
        """Creates an empty list of limits.

        Args:
            find_time: Returns the time of day in seconds, which nodes share.
        """
        self._find_time = find_time
        self._limits: dict[tuple[str, int], dict[LimitReason, _LimitState]] = {}
        self.position = FleetPosition()
        self.is_position_settled: Callable[[], bool] = lambda: True

    @property
    def has_limits(self) -> bool:
        """Whether any server has a limit."""
        return any(
            state.is_in_force
            for states in self._limits.values()
            for state in states.values()
        )

    def record_response(
        self, server: directory.ServerEntry, limit_per_s: float | None
    ) -> None:
        """Records the limit in a response of a server.

        Args:
            server: The server.
            limit_per_s: Requests a second that it accepts from all nodes
                together, None if it named no limit.
        """
        limit = None
        if limit_per_s is not None:
            limit = RateLimit(
                max(limit_per_s, _MIN_STATED_PER_S), _STATED_VALIDITY_S
            )
        states = self._limits.get(server.process, {})
        present = states.get(LimitReason.STATED)
        if limit == (present.limit if present else None):
            return
        if limit is not None:
            self._put(server, LimitReason.STATED, limit)
        else:
            del states[LimitReason.STATED]
        _LOGGER.notice(
            "server limit changed",
            server=server.name,
            limit_per_s=limit_per_s,
            rank=self.position.rank,
            nodes=self.position.nodes,
        )

    def set_cold(
        self, server: directory.ServerEntry, limit: RateLimit, *, is_cold: bool
    ) -> None:
        """Sets the limit of a server that is cold now, or may become so.

        Args:
            server: The server.
            limit: Limit while it is cold.
            is_cold: Whether it is cold.
        """
        state = self._put(server, LimitReason.COLD, limit)
        state.is_in_force = is_cold

    def lift_cold(self, server: directory.ServerEntry) -> None:
        """Drops the limit of a server whose pool has no cold servers."""
        self._limits.get(server.process, {}).pop(LimitReason.COLD, None)

    def _put(
        self,
        server: directory.ServerEntry,
        reason: LimitReason,
        limit: RateLimit,
    ) -> _LimitState:
        states = self._limits.setdefault(server.process, {})
        state = states.get(reason)
        if state is None:
            state = states[reason] = _LimitState(reason, limit)
        state.limit = limit
        return state

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
        states = self._list_in_force(server)
        if not states:
            return True
        now_s = self._find_time()
        return all(self._has_slot(server, state, now_s) for state in states)

    def record_start(self, server: directory.ServerEntry) -> None:
        """Records that a request is sent to a server."""
        now_s = self._find_time()
        for state in self._limits.get(server.process, {}).values():
            state.drop_expired(now_s)
            state.starts.append(now_s)

    def find_delay_s(self, servers: Sequence[directory.ServerEntry]) -> float:
        """Returns the seconds until one of the servers allows a request."""
        now_s = self._find_time()
        delays = [
            max(
                self._find_allowed_s(server, state, now_s) - now_s
                for state in states
            )
            for server in servers
            if (states := self._list_in_force(server))
        ]
        return max(0.0, min(delays, default=0.0))

    def find_phase(self, server: directory.ServerEntry) -> float:
        """Returns the place of this node among the nodes at a server, 0..1.

        The hash keeps the slots of a node at different servers apart.
        """
        position = self.position
        phase = position.rank / position.nodes
        return (phase + model.hash_fraction(server.name)) % 1.0

    def _list_in_force(
        self, server: directory.ServerEntry
    ) -> list[_LimitState]:
        states = self._limits.get(server.process)
        if not states:
            return []
        return [state for state in states.values() if state.is_in_force]

    def _is_usable(self, state: _LimitState) -> bool:
        return state.reason not in _STRICT_REASONS or self.is_position_settled()

    def _has_slot(
        self, server: directory.ServerEntry, state: _LimitState, now_s: float
    ) -> bool:
        """Returns whether a slot of a limit is valid and was not used."""
        if not self._is_usable(state):
            return False
        state.drop_expired(now_s)
        return len(state.starts) < self._count_valid(server, state, now_s)

    def _find_interval_s(self, state: _LimitState) -> float:
        return self.position.nodes / state.limit.rate_per_s

    def _count_slots(
        self, server: directory.ServerEntry, state: _LimitState, at_s: float
    ) -> int:
        """Returns the number of this node's slots that began by a time."""
        phase = self.find_phase(server)
        return math.floor(at_s / self._find_interval_s(state) - phase)

    def _count_valid(
        self, server: directory.ServerEntry, state: _LimitState, at_s: float
    ) -> int:
        """Returns the number of this node's slots that are valid at a time."""
        begun = self._count_slots(server, state, at_s)
        first_s = at_s - state.limit.validity_s
        return begun - self._count_slots(server, state, first_s)

    def _find_allowed_s(
        self, server: directory.ServerEntry, state: _LimitState, now_s: float
    ) -> float:
        """Returns the time at which a limit allows the next request."""
        if not self._is_usable(state):
            return now_s + _UNSETTLED_DELAY_S
        if self._has_slot(server, state, now_s):
            return now_s
        slot = self._count_slots(server, state, now_s) + 1
        phase = self.find_phase(server)
        next_s = (slot + phase) * self._find_interval_s(state)
        valid = self._count_valid(server, state, next_s)
        if not state.starts or len(state.starts) < valid:
            return next_s
        return max(next_s, state.starts[0] + state.limit.validity_s)
