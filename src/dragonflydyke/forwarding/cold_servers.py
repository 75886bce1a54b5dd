"""Which servers are cold, and what they accept meanwhile; no I/O.

Designed for a data centre whose servers all come back cold during a burst, and
for servers that a rollout or a crash replaces. A cold server crashes at a rate
far below that of the requests that one shared prefix attracts. A server counts
as cold while its newest entry or response says so, while its process is not the
one that the entry is known to describe, after an evacuation of its data centre
has ended, and while the list of servers is too old to tell. When it is warm
again, the nodes return to it one after the other.
"""

import dataclasses
import enum
import math
from collections.abc import Callable, Collection, Iterable

from dragonflydyke import logs, metrics
from dragonflydyke.forwarding import directory, model, server_limits

# Lists are confirmed every second or two. Outages of the store of some seconds
# are common, and limits on all servers meanwhile would reject callers for
# servers that are warm.
MAX_LIST_AGE_S = 10.0
# Longer times are no times of a cold start; entries are decoded up to here.
_MAX_COLD_S = 600.0
# Window of the limit on the requests to a cold server.
_WINDOW_S = 1.0
# Difference between the clocks of two nodes plus the time that a request takes
# to its server.
_MAX_SHIFT_S = 0.25
# Requests in one window that are left to nodes whose ranks do not agree with
# those of the others.
_MISRANKED_REQUESTS = 2.0
# A node has a request in most of its slots if these last for some tenths of a
# second; longer ones do not help a server that stays cold for seconds.
_MIN_VALIDITY_S = 0.1
_MAX_VALIDITY_S = 2.0
# Rate at which a limit that allows no requests is approximated.
_MIN_RATE_PER_S = 0.001
# Time within which the nodes return to a server that is warm again.
RETURN_PERIOD_S = 1.0

_LOGGER = logs.get_logger("cold")


class ColdReason(enum.StrEnum):
    """Why a server counts as cold; the values are log fields."""

    ENTRY = "entry"
    RESPONSE = "response"
    NEW_PROCESS = "new_process"
    UNLISTED = "unlisted"
    REFUSED = "refused"
    RECONNECTED = "reconnected"
    EVACUATION_ENDED = "evacuation_ended"
    LIST_TOO_OLD = "list_too_old"
    RETURNING = "returning"


@dataclasses.dataclass(slots=True, frozen=True)
class ColdState:
    """A server that counts as cold.

    Attributes:
        reason: Why it does.
        remaining_s: Seconds until it is warm, infinite if that is unknown.
        age_s: Age of the information, infinite if there is none.
    """

    reason: ColdReason
    remaining_s: float
    age_s: float


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of a server process; times are loop times.

    Attributes:
        revision: Newest revision of its entry.
        entry_s: Time at which that was first seen.
        entry_until_s: Time until which it says that the server is cold.
        response_s: Time of the newest response with a cold time.
        response_until_s: Time until which a response says the same.
        warm_s: Time of the newest response that says that it is warm.
        doubted_revision: Revision above which an entry describes the process,
            None if the newest one does.
        doubted_s: Time since when that is so.
        doubt: Reason of that.
        was_refused: Whether the newest connection was refused.
        cold_reason: Why it counts as cold since the newest decision, or None.
        cold_until_s: Time at which that ends as far as known then.
        return_until_s: Time from which this node uses it as a warm server.
        has_invalid_time: Whether it stated a time that is none.
    """

    revision: int = -1
    entry_s: float = -math.inf
    entry_until_s: float = -math.inf
    response_s: float = -math.inf
    response_until_s: float = -math.inf
    warm_s: float = -math.inf
    doubted_revision: int | None = None
    doubted_s: float = -math.inf
    doubt: ColdReason = ColdReason.NEW_PROCESS
    was_refused: bool = False
    cold_reason: ColdReason | None = None
    cold_until_s: float = -math.inf
    return_until_s: float = -math.inf
    has_invalid_time: bool = False

    def start_doubt(self, reason: ColdReason, now_s: float) -> None:
        """Records that the newest entry may describe another process."""
        self.doubted_revision = self.revision
        self.doubted_s = now_s
        self.doubt = reason


def find_cold_limit(
    rate_per_s: float, overshoot: float, slack: float
) -> server_limits.RateLimit:
    """Returns the limit of a cold server.

    In any second the nodes together send at most `rate_per_s` x `overshoot` +
    `slack` requests, see `server_limits`.

    Args:
        rate_per_s: Requests a second that a cold server accepts.
        overshoot: Factor by which the nodes may exceed that.
        slack: Requests in a second that are allowed beyond that.
    """
    slots = rate_per_s * overshoot + slack - 1.0 - _MISRANKED_REQUESTS
    window_s = _WINDOW_S + _MAX_SHIFT_S
    validity_s = slots / rate_per_s - window_s
    validity_s = min(max(validity_s, _MIN_VALIDITY_S), _MAX_VALIDITY_S)
    rate_per_s = min(rate_per_s, slots / (window_s + validity_s))
    return server_limits.RateLimit(max(rate_per_s, _MIN_RATE_PER_S), validity_s)


class ColdServers:
    """Decides which server processes are cold; times are loop times."""

    __slots__ = (
        "_counters",
        "_find_cold_start",
        "_find_evacuation_end_s",
        "_find_list_age_s",
        "_find_phase",
        "_is_list_old",
        "_limits",
        "_names",
        "_overshoot",
        "_records",
        "_slack",
    )

    def __init__(
        self,
        overshoot: float,
        slack: float,
        find_cold_start: Callable[[str], model.ColdStart | None],
        find_list_age_s: Callable[[float], float | None],
        find_phase: Callable[[directory.ServerEntry], float],
        counters: metrics.Counters,
        find_evacuation_end_s: Callable[[str], float | None] = lambda _: None,
    ) -> None:
        """Creates an empty list.

        Args:
            overshoot: Factor by which the nodes may exceed the rate of a cold
                server.
            slack: Requests in a second that are allowed beyond that.
            find_cold_start: Returns what a cold server of a pool accepts, None
                if the pool is not known.
            find_list_age_s: Returns the age of the list of servers at a time,
                None before the first list.
            find_phase: Returns the place of this node among the nodes that
                return to a server, 0..1.
            counters: Receives `server.cold` and `server.cold_invalid`.
            find_evacuation_end_s: Returns the time at which the newest
                evacuation of a data centre was seen to end, or None.
        """
        self._overshoot = overshoot
        self._slack = slack
        self._find_cold_start = find_cold_start
        self._find_list_age_s = find_list_age_s
        self._find_phase = find_phase
        self._counters = counters
        self._find_evacuation_end_s = find_evacuation_end_s
        self._records: dict[tuple[str, int], _Record] = {}
        # Start time of the newest process of each server.
        self._names: dict[str, int] = {}
        # Limit by pool, and what it was derived from.
        self._limits: dict[
            str, tuple[model.ColdStart, server_limits.RateLimit]
        ] = {}
        self._is_list_old = False

    def find_limit(self, pool: str) -> server_limits.RateLimit | None:
        """Returns the limit of a cold server of a pool, None if it has none."""
        cold_start = self._find_cold_start(pool)
        if cold_start is None or cold_start.rate_per_s <= 0:
            return None
        source, limit = self._limits.get(pool, (None, None))
        if source != cold_start or limit is None:
            limit = find_cold_limit(
                cold_start.rate_per_s, self._overshoot, self._slack
            )
            self._limits[pool] = cold_start, limit
        return limit

    def record_entries(
        self, servers: Iterable[directory.ServerEntry], now_s: float
    ) -> None:
        """Records the entries of all listed servers."""
        for server in servers:
            record = self._records.get(server.process)
            is_new = record is None
            if record is None:
                record = self._records[server.process] = _Record()
            if server.revision > record.revision:
                self._record_entry(record, server, now_s)
            known_start_ms = self._names.get(server.name, server.started_ms)
            if is_new and known_start_ms != server.started_ms:
                record.start_doubt(ColdReason.NEW_PROCESS, now_s)
            self._names[server.name] = server.started_ms

    def is_cold(self, server: directory.ServerEntry) -> bool:
        """Returns whether a server was cold when it was last decided."""
        record = self._records.get(server.process)
        return record is not None and record.cold_reason is not None

    def record_unlisted(
        self, server: directory.ServerEntry, now_s: float
    ) -> None:
        """Records that a server is still used although its entry is gone."""
        record = self._records.get(server.process)
        if record is not None and record.doubted_revision is None:
            record.start_doubt(ColdReason.UNLISTED, now_s)

    def _record_entry(
        self, record: _Record, server: directory.ServerEntry, now_s: float
    ) -> None:
        doubted = record.doubted_revision
        if doubted is not None and server.revision > doubted:
            record.doubted_revision = None
        record.revision = server.revision
        record.entry_s = now_s
        record.entry_until_s = now_s + self._check_time(
            record, server, server.cold_s
        )

    def record_response(
        self, server: directory.ServerEntry, cold_s: float | None, now_s: float
    ) -> None:
        """Records for how long a response says that its server is cold."""
        record = self._records.get(server.process)
        if cold_s is None or record is None:
            return
        record.response_s = now_s
        record.response_until_s = now_s + self._check_time(
            record, server, cold_s
        )
        if cold_s == 0:
            record.warm_s = now_s

    def _check_time(
        self, record: _Record, server: directory.ServerEntry, cold_s: float
    ) -> float:
        """Returns a stated time, or that of the pool for an invalid one."""
        if 0 <= cold_s < _MAX_COLD_S:
            return cold_s
        self._counters.increment("server.cold_invalid")
        if not record.has_invalid_time:
            record.has_invalid_time = True
            _LOGGER.warning(
                "cold time of a server is invalid",
                server=server.name,
                cold_s=str(cold_s),
            )
        cold_start = self._find_cold_start(server.pool)
        return cold_start.duration_s if cold_start else 0.0

    def record_connection(
        self, server: directory.ServerEntry, now_s: float, *, accepted: bool
    ) -> None:
        """Records whether a server accepted a connection.

        A server that refused one may have another process the next time, which
        the entry does not describe until it is written again.
        """
        record = self._records.get(server.process)
        if record is None:
            return
        if not accepted:
            record.start_doubt(ColdReason.REFUSED, now_s)
        elif record.was_refused:
            record.start_doubt(ColdReason.RECONNECTED, now_s)
        record.was_refused = not accepted

    def retain(self, processes: Collection[tuple[str, int]]) -> None:
        """Drops what is known of all other server processes."""
        for process in self._records.keys() - set(processes):
            del self._records[process]
        names = {name for name, _ in self._records}
        for name in self._names.keys() - names:
            del self._names[name]

    def find_state(
        self, server: directory.ServerEntry, now_s: float
    ) -> ColdState | None:
        """Returns why a server counts as cold now, None if it is warm."""
        cold_start = self._find_cold_start(server.pool)
        if cold_start is None or cold_start.rate_per_s <= 0:
            return None
        record = self._records.get(server.process)
        if record is None:
            # The entry is new, and the list with it was not recorded.
            return ColdState(ColdReason.NEW_PROCESS, math.inf, math.inf)
        found = self._find_known(record, server, cold_start, now_s)
        if found is not None:
            self._follow_cold(record, server, found, now_s)
            return found
        self._follow_warm(record, server, now_s)
        if now_s < record.return_until_s:
            return ColdState(
                ColdReason.RETURNING, record.return_until_s - now_s, 0.0
            )
        return None

    def _find_known(
        self,
        record: _Record,
        server: directory.ServerEntry,
        cold_start: model.ColdStart,
        now_s: float,
    ) -> ColdState | None:
        doubted_s = self._find_doubt_end_s(record, cold_start) - now_s
        if doubted_s > 0:
            return ColdState(record.doubt, doubted_s, now_s - record.doubted_s)
        age_s = self._find_list_age_s(now_s)
        self._follow_list(age_s)
        if self._is_list_old and now_s - record.warm_s > MAX_LIST_AGE_S:
            return ColdState(
                ColdReason.LIST_TOO_OLD,
                math.inf,
                math.inf if age_s is None else age_s,
            )
        ended_s = self._find_evacuation_end_s(server.backend.data_centre)
        until_s, seen_s, reason = max(
            (record.entry_until_s, record.entry_s, ColdReason.ENTRY),
            (record.response_until_s, record.response_s, ColdReason.RESPONSE),
            (
                -math.inf
                if ended_s is None
                else ended_s + cold_start.duration_s,
                -math.inf if ended_s is None else ended_s,
                ColdReason.EVACUATION_ENDED,
            ),
        )
        if until_s <= now_s:
            return None
        return ColdState(reason, until_s - now_s, now_s - seen_s)

    def _find_doubt_end_s(
        self, record: _Record, cold_start: model.ColdStart
    ) -> float:
        """Returns until when the entry may not describe the process.

        An entry is not written again while nothing in it changes, so a doubt
        ends with the cold time of a process that had just started. A server
        that still refuses connections has no such process yet.
        """
        if record.doubted_revision is None:
            return -math.inf
        if record.doubt is ColdReason.REFUSED:
            return math.inf
        return record.doubted_s + cold_start.duration_s

    def _follow_list(self, age_s: float | None) -> None:
        is_old = age_s is None or age_s > MAX_LIST_AGE_S
        if is_old == self._is_list_old:
            return
        self._is_list_old = is_old
        _LOGGER.notice(
            "servers count as cold, as their list is too old"
            if is_old
            else "list of servers is recent again",
            age_s=age_s,
        )

    def _follow_cold(
        self,
        record: _Record,
        server: directory.ServerEntry,
        found: ColdState,
        now_s: float,
    ) -> None:
        previous = record.cold_reason
        record.cold_reason = found.reason
        record.cold_until_s = now_s + found.remaining_s
        if previous is None:
            self._counters.increment("server.cold")
        # One line for the list stands for all servers.
        silent = (None, ColdReason.LIST_TOO_OLD)
        if previous in silent and found.reason is not ColdReason.LIST_TOO_OLD:
            _LOGGER.notice(
                "server is cold",
                server=server.name,
                data_centre=server.backend.data_centre,
                reason=found.reason.value,
                remaining_s=round(found.remaining_s, 3)
                if math.isfinite(found.remaining_s)
                else None,
                age_s=round(found.age_s, 3),
            )

    def _follow_warm(
        self, record: _Record, server: directory.ServerEntry, now_s: float
    ) -> None:
        previous, record.cold_reason = record.cold_reason, None
        if previous is None:
            return
        delay_s = self._find_phase(server) * RETURN_PERIOD_S
        record.return_until_s = min(now_s, record.cold_until_s) + delay_s
        if previous is not ColdReason.LIST_TOO_OLD:
            _LOGGER.notice(
                "server is warm",
                server=server.name,
                data_centre=server.backend.data_centre,
                reason=previous.value,
                return_s=round(delay_s, 3),
            )
