"""What backend servers say of themselves in their responses; no I/O.

A response tells this node at once what the store may say later or not at all:
that its server leaves, wants no requests for some time, or limits the requests
of all nodes. Each statement holds for the process that made it. Selection,
waiting and retries ask one question: may a server get a request now, and if
not, when.
"""

import asyncio
from collections.abc import Sequence

from dragonflydyke import metrics
from dragonflydyke.forwarding import (
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
    """

    __slots__ = ("_counters", "_directory", "_listed_s", "_pauses", "limits")

    def __init__(
        self,
        servers: directory.Directory,
        limits: server_limits.ServerLimits,
        counters: metrics.Counters,
    ) -> None:
        """Creates an empty list of statements.

        Args:
            servers: Directory, which keeps the servers that leave.
            limits: Limits on the requests of all nodes.
            counters: Receives `statement.leaving` and `statement.pause`.
        """
        self._directory = servers
        self._counters = counters
        self._pauses = server_pauses.ServerPauses()
        # Loop time of the newest list with each process.
        self._listed_s: dict[tuple[str, int], float] = {}
        self.limits = limits

    def record_response(
        self, server: directory.ServerEntry, details: messages.ResponseDetails
    ) -> None:
        """Records what a server says in the start of a response."""
        self.limits.record_response(server, details.server_limit_per_s)
        if details.server_leaves and self._directory.record_leaving(server):
            self._counters.increment("statement.leaving")
        if details.pause_s is not None:
            self._counters.increment("statement.pause")
            self._pauses.record(server.process, details.pause_s, _now_s())

    def record_start(self, server: directory.ServerEntry) -> None:
        """Records that a request is sent to a server."""
        self.limits.record_start(server)
        self._pauses.record_start(server.process, _now_s())

    def retain(self, servers: Sequence[directory.ServerEntry]) -> None:
        """Drops the statements of server processes that are gone.

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
        self._pauses.retain(self._listed_s.keys())

    def allows(self, server: directory.ServerEntry) -> bool:
        """Returns whether this node may send a request to a server now."""
        return (
            not self._directory.is_leaving(server)
            and not self._pauses.find_delay_s(server.process, _now_s())
            and self.limits.allows(server)
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

    def _find_delay_s(self, server: directory.ServerEntry) -> float:
        limit_s = 0.0
        if not self.limits.allows(server):
            limit_s = self.limits.find_delay_s((server,))
        return max(limit_s, self._pauses.find_delay_s(server.process, _now_s()))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
