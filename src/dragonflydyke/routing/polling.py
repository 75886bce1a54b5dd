"""Which load reports to read next, within a bound on their cost."""

import asyncio
import dataclasses
import math
from collections.abc import Sequence

from dragonflydyke.configuration import model

# A report that is younger than this still has most of its weight.
_REPORT_INTERVAL_S = 2.0
# Servers are in use for this time after they were candidates for a request.
_IN_USE_S = 10.0


@dataclasses.dataclass(slots=True)
class _Times:
    asked_at_s: float = -math.inf
    wanted_at_s: float = -math.inf


class LoadReportSchedule:
    """Chooses the servers to ask for a load report."""

    __slots__ = ("_requests", "_times")

    def __init__(self) -> None:
        self._times: dict[str, _Times] = {}
        self._requests = 0

    def record_candidates(
        self, candidates: Sequence[model.BackendServer]
    ) -> None:
        """Records that a request may go to some servers."""
        now_s = asyncio.get_running_loop().time()
        self._requests += 1
        for server in candidates:
            self._find(server).wanted_at_s = now_s

    def take_due(
        self, servers: Sequence[model.BackendServer], idle_limit: int
    ) -> list[model.BackendServer]:
        """Returns the servers to ask for a load report now.

        Servers in use come first, then those with the oldest report. Without
        requests there are at most `idle_limit`; each request since the last
        call adds one, so that the cost stays in proportion to the traffic.
        """
        now_s = asyncio.get_running_loop().time()
        due = [
            server
            for server in servers
            if now_s - self._find(server).asked_at_s >= _REPORT_INTERVAL_S
        ]
        due.sort(
            key=lambda s: (
                now_s - self._find(s).wanted_at_s > _IN_USE_S,
                self._find(s).asked_at_s,
            )
        )
        taken = due[: idle_limit + self._requests]
        self._requests = 0
        for server in taken:
            self._find(server).asked_at_s = now_s
        return taken

    def _find(self, server: model.BackendServer) -> _Times:
        return self._times.setdefault(server.name, _Times())
