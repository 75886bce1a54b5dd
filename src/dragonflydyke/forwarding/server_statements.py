"""What backend servers say of themselves in their responses; no I/O.

A response tells this node at once what the store may say later or not at all:
that its server leaves, wants no requests for some time, limits the requests of
all nodes, or falls over if it has to reject too many. Each statement holds for
the process that made it. Selection, waiting and retries ask one question: may a
server get a request now, and if not, when.
"""

import asyncio
from collections.abc import Sequence

from dragonflydyke import metrics
from dragonflydyke.forwarding import (
    brittle_servers,
    cold_servers,
    directory,
    messages,
    server_limits,
)
from dragonflydyke.routing import server_pauses

# Time after which a server process whose entry is missing counts as gone.
_LAPSE_S = server_pauses.MAX_PAUSE_S


class ServerStatements:
    """Statements of all servers.

    Attributes:
        limits: Limits on the requests of all nodes.
        brittle: Limits on the requests to servers that are brittle.
        cold: Which servers are cold, None if this deployment has no limit on
            the requests to cold servers.
    """

    __slots__ = (
        "_counters",
        "_directory",
        "_listed_s",
        "_pauses",
        "brittle",
        "cold",
        "limits",
    )

    def __init__(
        self,
        servers: directory.Directory,
        limits: server_limits.ServerLimits,
        brittle: brittle_servers.BrittleServers,
        counters: metrics.Counters,
        cold: cold_servers.ColdServers | None = None,
    ) -> None:
        """Creates an empty list of statements.

        Args:
            servers: Directory, which keeps the servers that leave.
            limits: Limits on the requests of all nodes.
            brittle: Limits on the requests to brittle servers.
            counters: Receives `statement.leaving` and `statement.pause`.
            cold: Which servers are cold, None without a limit for them.
        """
        self._directory = servers
        self._counters = counters
        self._pauses = server_pauses.ServerPauses()
        # Loop time of the newest list with each process.
        self._listed_s: dict[tuple[str, int], float] = {}
        self.limits = limits
        self.brittle = brittle
        self.cold = cold

    def record_response(
        self, server: directory.ServerEntry, details: messages.ResponseDetails
    ) -> None:
        """Records what a server says in the start of a response."""
        self.limits.record_response(server, details.server_limit_per_s)
        if self.cold is not None:
            self.cold.record_response(server, details.cold_s, _now_s())
        self.brittle.record_response(
            server,
            details.tolerated_rejections_per_s,
            _now_s(),
            rejected=details.not_run and not details.is_misdirected,
        )
        if details.server_leaves and self._directory.record_leaving(server):
            self._counters.increment("statement.leaving")
        if details.pause_s is not None:
            self._counters.increment("statement.pause")
            self._pauses.record(server.process, details.pause_s, _now_s())

    def record_connection(
        self, server: directory.ServerEntry, *, accepted: bool
    ) -> None:
        """Records whether a server accepted a connection."""
        if self.cold is not None:
            self.cold.record_connection(server, _now_s(), accepted=accepted)

    def record_start(self, server: directory.ServerEntry) -> None:
        """Records that a request is sent to a server."""
        self.limits.record_start(server)
        self.brittle.record_start(server, _now_s())
        self._pauses.record_start(server.process, _now_s())

    def record_end(self, server: directory.ServerEntry) -> None:
        """Records the end of a request for which `record_start` was called."""
        self.brittle.record_end(server, _now_s())

    def retain(self, servers: Sequence[directory.ServerEntry]) -> None:
        """Takes over a list; drops the statements of processes that are gone.

        The entry of a server that cannot reach the store lapses, and returns
        with the same process. What that has said still holds then.

        Args:
            servers: The listed servers.
        """
        now_s = _now_s()
        self._listed_s.update((server.process, now_s) for server in servers)
        listed = {server.process for server in servers}
        for process, listed_s in list(self._listed_s.items()):
            if process in listed:
                continue
            # Another process under the same name cannot be told from it.
            is_unidentified = not process[1]
            if is_unidentified or now_s - listed_s >= _LAPSE_S:
                del self._listed_s[process]
        self.limits.retain(self._listed_s.keys())
        self.brittle.retain(self._listed_s.keys())
        self._pauses.retain(self._listed_s.keys())
        if self.cold is not None:
            self.cold.retain(self._listed_s.keys())
            self.cold.record_entries(
                filter(self._directory.is_listed, servers), now_s
            )
            for server in servers:
                if not self._directory.is_listed(server):
                    self.cold.record_unlisted(server, now_s)
                if self.cold.is_cold(server):
                    self.find_cold_state(server)

    def is_accepting(self, server: directory.ServerEntry) -> bool:
        """Returns whether a server neither leaves nor asked for a pause."""
        return not (
            self._directory.is_leaving(server)
            or self._pauses.find_delay_s(server.process, _now_s())
        )

    def allows(self, server: directory.ServerEntry) -> bool:
        """Returns whether this node may send a request to a server now."""
        self.find_cold_state(server)
        return (
            self.is_accepting(server)
            and self.limits.allows(server)
            and not self.brittle.find_delay_s(server, _now_s())
        )

    def list_allowed(
        self, servers: Sequence[directory.ServerEntry]
    ) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers to which this node may send a request now."""
        return tuple(server for server in servers if self.allows(server))

    def find_delay_s(self, servers: Sequence[directory.ServerEntry]) -> float:
        """Returns the seconds until one of the servers allows a request."""
        return min(
            (self._find_delay_s(server) for server in servers), default=0
        )

    def find_cold_state(
        self, server: directory.ServerEntry
    ) -> cold_servers.ColdState | None:
        """Returns why a server counts as cold now, and limits its requests."""
        if self.cold is None:
            return None
        limit = self.cold.find_limit(server.pool)
        if limit is None:
            self.limits.lift_cold(server)
            return None
        state = self.cold.find_state(server, _now_s())
        self.limits.set_cold(server, limit, is_cold=state is not None)
        return state

    def has_cold(self, servers: Sequence[directory.ServerEntry]) -> bool:
        """Returns whether any of the servers counts as cold."""
        return any(
            self.find_cold_state(server) is not None for server in servers
        )

    def count_brittle(self, servers: Sequence[directory.ServerEntry]) -> int:
        """Returns how many of the servers are brittle."""
        now_s = _now_s()
        return sum(self.brittle.is_brittle(s, now_s) for s in servers)

    def _find_delay_s(self, server: directory.ServerEntry) -> float:
        limit_s = 0.0
        cold_state = self.find_cold_state(server)
        if not self.limits.allows(server):
            limit_s = self.limits.find_delay_s((server,))
            if cold_state is not None:
                # The server may be warm before this node has its next slot.
                limit_s = min(limit_s, cold_state.remaining_s)
        return max(
            limit_s,
            self._pauses.find_delay_s(server.process, _now_s()),
            self.brittle.find_delay_s(server, _now_s()),
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
