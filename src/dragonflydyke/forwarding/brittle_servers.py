"""Requests to servers that fall over if they reject too many; no I/O.

A brittle server names the rejections a second beyond which it falls over. Its
load then meets the other servers, which become full and fall over in turn. By
the time at which a node sees a rejection, all other nodes may have sent a
request to the same full server, so two limits apply to a brittle server:

- A node has a share of the server's slots. It earns the share as slot-seconds
  and spends them while its requests are in flight, so that all nodes together
  rarely fill the server, without knowing how long requests take.
- After a rejection, a node sends nothing to the server for a pause that doubles
  with each further one. Then a single request finds out whether there is room.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Collection

from dragonflydyke import logs, metrics
from dragonflydyke.forwarding import directory

# Random arrivals at N slots exceed their mean by multiples of the square root
# of N; the slots that are left out take these.
_HEADROOM = 1.25
# Time for which unused slots can be used later. Nodes that had saved more would
# fill the server together when a burst begins.
_CREDIT_PERIOD_S = 0.05
# Nodes of a large fleet begin to use a new process within this time, one after
# the other, as one request of each of them would fill it.
_SPREAD_S = 4.0
# A request that hangs would otherwise use the share of the next minutes.
_MAX_DEBT_PERIOD_S = 10.0
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 8.0
# A pause is forgotten if there is no rejection for this long after it.
_FORGET_PAUSE_S = 10.0
# A full server rejects a request at once. One that does not has room.
_PROBE_S = 0.2
# Time for which a server counts as brittle because another one of its pool said
# so after the server's own newest statement.
_POOL_STATEMENT_S = 10.0
# Time after which a node asks again whether one of its requests has ended.
_BUSY_DELAY_S = 0.02

_LOGGER = logs.get_logger("limits")


@dataclasses.dataclass(slots=True)
class _Share:
    """Use of a server's slots by this node.

    Attributes:
        credit_s: Slot-seconds that it may use, negative if it used too many.
        updated_s: Loop time of that figure.
    """

    credit_s: float
    updated_s: float


@dataclasses.dataclass(slots=True)
class _Pause:
    """Pause after a rejection.

    Attributes:
        duration_s: Duration before jitter; the next one is twice as long.
        until_s: Loop time of its end.
        probe_s: Loop time of the first request since then, None before it.
    """

    duration_s: float
    until_s: float
    probe_s: float | None = None


@dataclasses.dataclass(slots=True)
class _ServerState:
    """What is known of a server process.

    Attributes:
        tolerated_per_s: Rejections a second that it tolerates, None if it is
            not brittle.
        spoken_s: Loop time of its newest response, None before the first.
        in_flight: Requests of this node at the server.
        share: Use of its slots, None while it is not brittle.
        pause: Pause after the newest rejection, None without one.
    """

    tolerated_per_s: float | None = None
    spoken_s: float | None = None
    in_flight: int = 0
    share: _Share | None = None
    pause: _Pause | None = None


class BrittleServers:
    """Limits on this node's requests to brittle servers.

    All times are loop times in seconds.
    """

    __slots__ = ("_count_nodes", "_counters", "_pools", "_random", "_states")

    def __init__(
        self,
        count_nodes: Callable[[], int],
        counters: metrics.Counters,
        source: random.Random,
    ) -> None:
        """Creates an empty list of brittle servers.

        Args:
            count_nodes: Returns the number of nodes that share the servers.
            counters: Receives `brittle.rejected`.
            source: Random source of the jitter.
        """
        self._count_nodes = count_nodes
        self._counters = counters
        self._random = source
        self._states: dict[tuple[str, int], _ServerState] = {}
        # Loop time at which a server of each pool last said that it is brittle.
        self._pools: dict[str, float] = {}

    def record_response(
        self,
        server: directory.ServerEntry,
        tolerated_per_s: float | None,
        now_s: float,
        *,
        rejected: bool,
    ) -> None:
        """Records whether a server is brittle, and whether it was full.

        Args:
            server: The server.
            tolerated_per_s: Rejections a second that it tolerates, None if it
                did not say that it is brittle.
            now_s: Loop time.
            rejected: Whether it rejected the request.
        """
        if tolerated_per_s is not None:
            self._pools[server.pool] = now_s
        state = self._find_state(server)
        if (state.tolerated_per_s is None) != (tolerated_per_s is None):
            _LOGGER.notice(
                "server brittleness changed",
                server=server.name,
                tolerated_per_s=tolerated_per_s,
                slots=server.backend.slots,
                nodes=self._count_nodes(),
            )
        state.spoken_s = now_s
        state.tolerated_per_s = tolerated_per_s
        if tolerated_per_s is None:
            state.share = state.pause = None
        elif rejected:
            self._counters.increment("brittle.rejected")
            self._extend_pause(server, state, tolerated_per_s, now_s)

    def record_start(self, server: directory.ServerEntry, now_s: float) -> None:
        """Records that a request is sent to a server."""
        state = self._find_state(server)
        self._update_share(server, state, now_s)
        state.in_flight += 1
        pause = state.pause
        if pause is not None and pause.probe_s is None:
            pause.probe_s = now_s

    def record_end(self, server: directory.ServerEntry, now_s: float) -> None:
        """Records the end of a request for which `record_start` was called."""
        state = self._states.get(server.process)
        # The state of a process that is gone was dropped.
        if state is not None and state.in_flight:
            self._update_share(server, state, now_s)
            state.in_flight -= 1

    def retain(self, processes: Collection[tuple[str, int]]) -> None:
        """Drops what is known of all other server processes."""
        for process in self._states.keys() - set(processes):
            del self._states[process]

    def is_brittle(self, server: directory.ServerEntry, now_s: float) -> bool:
        """Returns whether a server says, or its pool suggests, that it is."""
        state = self._states.get(server.process)
        if state is not None and state.tolerated_per_s is not None:
            return True
        stated_s = self._pools.get(server.pool)
        if stated_s is None or now_s - stated_s >= _POOL_STATEMENT_S:
            return False
        spoken_s = state.spoken_s if state is not None else None
        return spoken_s is None or spoken_s < stated_s

    def find_delay_s(
        self, server: directory.ServerEntry, now_s: float
    ) -> float:
        """Returns the seconds until a server may get a request, 0 for now."""
        if not self.is_brittle(server, now_s):
            return 0.0
        state = self._find_state(server)
        self._update_share(server, state, now_s)
        return max(
            _find_pause_delay_s(state, now_s),
            self._find_credit_delay_s(server, state),
        )

    def _find_state(self, server: directory.ServerEntry) -> _ServerState:
        state = self._states.get(server.process)
        if state is None:
            state = self._states[server.process] = _ServerState()
        return state

    def _extend_pause(
        self,
        server: directory.ServerEntry,
        state: _ServerState,
        tolerated_per_s: float,
        now_s: float,
    ) -> None:
        """Starts a pause, unless the request was sent before one began."""
        pause = state.pause
        if pause is not None and now_s < pause.until_s:
            return
        duration_s = self._find_first_pause_s(tolerated_per_s)
        if pause is not None and now_s < pause.until_s + _FORGET_PAUSE_S:
            duration_s = min(2.0 * pause.duration_s, _MAX_PAUSE_S)
        jitter = self._random.uniform(0.75, 1.25)
        state.pause = _Pause(duration_s, now_s + duration_s * jitter)
        _LOGGER.info(
            "brittle server is full",
            server=server.name,
            tolerated_per_s=tolerated_per_s,
            pause_s=round(duration_s * jitter, 3),
            in_flight=state.in_flight,
        )

    def _find_first_pause_s(self, tolerated_per_s: float) -> float:
        """Returns a pause in which the probes of all nodes stay tolerable.

        They are half of the rejections that the server tolerates, unless that
        takes too long.
        """
        if not tolerated_per_s:
            return _MAX_PAUSE_S
        spread_s = 2.0 * self._count_nodes() / tolerated_per_s
        return min(max(_MIN_PAUSE_S, spread_s), _MAX_PAUSE_S)

    def _find_slots_share(self, server: directory.ServerEntry) -> float:
        """Returns the number of slots that this node may use on average."""
        slots = server.backend.slots
        usable = max(1.0, slots - _HEADROOM * math.sqrt(slots))
        return usable / max(1, self._count_nodes())

    def _update_share(
        self, server: directory.ServerEntry, state: _ServerState, now_s: float
    ) -> None:
        if not self.is_brittle(server, now_s):
            state.share = None
            return
        slots = self._find_slots_share(server)
        share = state.share
        if share is None:
            wait_s = 0.0
            if state.spoken_s is None and slots < 1:
                wait_s = self._random.uniform(0.0, _SPREAD_S)
            state.share = _Share(-slots * wait_s, now_s)
            return
        earned_s = (slots - state.in_flight) * (now_s - share.updated_s)
        share.updated_s = now_s
        share.credit_s = min(
            max(share.credit_s + earned_s, -slots * _MAX_DEBT_PERIOD_S),
            slots * _CREDIT_PERIOD_S,
        )

    def _find_credit_delay_s(
        self, server: directory.ServerEntry, state: _ServerState
    ) -> float:
        share = state.share
        if share is None or share.credit_s >= 0:
            return 0.0
        delay_s = -share.credit_s / self._find_slots_share(server)
        return max(delay_s, _BUSY_DELAY_S)


def _find_pause_delay_s(state: _ServerState, now_s: float) -> float:
    pause = state.pause
    if pause is None:
        return 0.0
    if now_s < pause.until_s:
        return pause.until_s - now_s
    if pause.probe_s is None:
        return 0.0
    return max(0.0, pause.probe_s + _PROBE_S - now_s)
