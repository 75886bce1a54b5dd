"""Schedule of the load reports to read, with a limit on their cost."""

import asyncio
import dataclasses
import math
from collections.abc import Collection, Sequence

from dragonflydyke.configuration import model

# A younger report still has most of its weight in the load estimate, which
# decays with the age of the report.
_REPORT_INTERVAL_S = 2.0
# A server counts as in use for this time after it was last a candidate.
_IN_USE_S = 10.0


@dataclasses.dataclass(slots=True)
class _ServerTimes:
    polled_at_s: float = -math.inf
    last_candidate_at_s: float = -math.inf


class LoadReportSchedule:
    """Selects the servers whose load reports are read next."""

    __slots__ = ("_request_count", "_times")

    def __init__(self) -> None:
        self._times: dict[str, _ServerTimes] = {}
        self._request_count = 0

    def record_candidates(
        self, candidates: Sequence[model.BackendServer]
    ) -> None:
        """Records the candidate servers of a request."""
        now_s = asyncio.get_running_loop().time()
        self._request_count += 1
        for server in candidates:
            self._get_times(server).last_candidate_at_s = now_s

    def retain(self, servers: Collection[str]) -> None:
        """Forgets all other servers."""
        self._times = {n: t for n, t in self._times.items() if n in servers}

    def select_due(
        self, servers: Sequence[model.BackendServer], idle_limit: int
    ) -> list[model.BackendServer]:
        """Returns the servers whose load report is to be read now.

        Servers in use come first, ordered by the age of their last report.
        At most `idle_limit` servers are returned, plus one for each request
        since the last call, so that the cost is proportional to the traffic.

        Args:
            servers: All servers that this node uses.
            idle_limit: Maximum number of servers without requests.
        """
        now_s = asyncio.get_running_loop().time()
        due = [
            server
            for server in servers
            if now_s - self._get_times(server).polled_at_s >= _REPORT_INTERVAL_S
        ]
        due.sort(
            key=lambda s: (
                now_s - self._get_times(s).last_candidate_at_s > _IN_USE_S,
                self._get_times(s).polled_at_s,
            )
        )
        selected = due[: idle_limit + self._request_count]
        self._request_count = 0
        for server in selected:
            self._get_times(server).polled_at_s = now_s
        return selected

    def _get_times(self, server: model.BackendServer) -> _ServerTimes:
        return self._times.setdefault(server.name, _ServerTimes())
