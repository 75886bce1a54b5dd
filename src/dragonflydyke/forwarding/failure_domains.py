"""Data centres and servers that a node avoids after failures; no I/O.

Designed for all servers of a data centre that go down at the same moment: a
node tried five of them in 16 ms and gave up although other data centres had
capacity. A data centre is avoided when several of its servers refuse
connections and none accepts one. That is a preference among the servers that
can be used, so that a request still has a server if all data centres are
avoided. A connection that a server of the data centre accepts ends it.

Single servers are avoided in the same way for some seconds: one at whose
address another server answers, as its entry is outdated, and one that accepts
connections and loses them. Requests that may run only once are lost there, so
the first loss of a node has to count.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

from dragonflydyke import logs, metrics
from dragonflydyke.forwarding import directory

# Different servers that have to refuse a connection; one may just be broken.
_MIN_SERVERS = 2
# Refusals count for this time, so that one is enough to avoid the data centre
# again after it was tried once more.
_MEMORY_S = 10.0
# Time for which a data centre is avoided. Its servers are tried again by then,
# as nothing else tells that they accept connections.
_AVOIDANCE_S = 3.0
# A connection that a neighbour accepted shows for this time that the data
# centre is reachable.
_NEIGHBOUR_S = 1.0
# The store removes the entry of a server that is gone after a few seconds.
_MISDIRECTED_S = 10.0
# Time after which a server that lost a connection is tried again.
_LOST_S = 3.0

_LOGGER = logs.get_logger("failures")


@dataclasses.dataclass(slots=True)
class _Domain:
    """Connections to the servers of a data centre; times are loop times.

    Attributes:
        refused_s: Time of the newest refusal by server, since one accepted.
        accepted_s: Time of the newest accepted connection.
        avoided_until_s: Time until which it is avoided.
    """

    refused_s: dict[str, float] = dataclasses.field(default_factory=dict)
    accepted_s: float = -math.inf
    avoided_until_s: float = -math.inf


class FailureDomains:
    """Decides which data centres are avoided; times are loop times."""

    __slots__ = ("_counters", "_domains", "_servers_until_s")

    def __init__(self, counters: metrics.Counters) -> None:
        """Creates a list without any avoided data centre.

        Args:
            counters: Receives `failure_domain.avoided` and
                `server.avoided.<reason>`.
        """
        self._counters = counters
        self._domains: dict[str, _Domain] = {}
        # Time until which a server process is avoided.
        self._servers_until_s: dict[tuple[str, int], float] = {}

    def record_connection(
        self, server: directory.ServerEntry, now_s: float, *, accepted: bool
    ) -> None:
        """Records whether a server accepted a connection."""
        data_centre = server.backend.data_centre
        domain = self._domains.setdefault(data_centre, _Domain())
        if accepted:
            domain.accepted_s = now_s
            domain.refused_s.clear()
            if domain.avoided_until_s > now_s:
                domain.avoided_until_s = now_s
                _LOGGER.notice(
                    "data centre is used again", data_centre=data_centre
                )
            return
        domain.refused_s[server.name] = now_s
        for name, refused_s in list(domain.refused_s.items()):
            if now_s - refused_s >= _MEMORY_S:
                del domain.refused_s[name]
        if len(domain.refused_s) >= _MIN_SERVERS:
            self._avoid(data_centre, domain, now_s)

    def record_misdirected(
        self, server: directory.ServerEntry, now_s: float
    ) -> None:
        """Records that another server has the address of a server."""
        self._avoid_server(server, now_s, _MISDIRECTED_S, "misdirected")

    def record_lost_connection(
        self, server: directory.ServerEntry, now_s: float
    ) -> None:
        """Records that a server closed a connection without a response."""
        self._avoid_server(server, now_s, _LOST_S, "lost")

    def _avoid_server(
        self,
        server: directory.ServerEntry,
        now_s: float,
        duration_s: float,
        reason: str,
    ) -> None:
        self._counters.increment(f"server.avoided.{reason}")
        for process, until_s in list(self._servers_until_s.items()):
            if until_s <= now_s:
                del self._servers_until_s[process]
        until_s = self._servers_until_s.get(server.process, -math.inf)
        if until_s < now_s:
            _LOGGER.info(
                "server is avoided",
                server=server.name,
                reason=reason,
                avoided_s=duration_s,
            )
        self._servers_until_s[server.process] = max(until_s, now_s + duration_s)

    def _is_server_avoided(
        self, server: directory.ServerEntry, now_s: float
    ) -> bool:
        until_s = self._servers_until_s.get(server.process)
        return until_s is not None and until_s > now_s

    def _avoid(self, data_centre: str, domain: _Domain, now_s: float) -> None:
        was_avoided = domain.avoided_until_s > now_s
        domain.avoided_until_s = now_s + _AVOIDANCE_S
        if was_avoided:
            return
        self._counters.increment("failure_domain.avoided")
        _LOGGER.notice(
            "data centre is avoided",
            data_centre=data_centre,
            refused=len(domain.refused_s),
            avoided_s=_AVOIDANCE_S,
        )

    def is_avoided(
        self, data_centre: str, refusals: Mapping[str, int], now_s: float
    ) -> bool:
        """Returns whether a request should go to another data centre.

        Args:
            data_centre: The data centre.
            refusals: Number of connections of the request that were refused,
                by data centre.
            now_s: Current time.
        """
        count = refusals.get(data_centre, 0)
        if count >= _MIN_SERVERS:
            return True
        domain = self._domains.get(data_centre)
        if domain is None:
            return False
        if domain.avoided_until_s > now_s:
            return True
        return bool(count) and now_s - domain.accepted_s > _NEIGHBOUR_S

    def list_preferred(
        self,
        servers: Sequence[directory.ServerEntry],
        refusals: Mapping[str, int],
        now_s: float,
    ) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers that are not avoided.

        Without any, those outside avoided data centres; without any, all.

        Args:
            servers: Servers that the request may use.
            refusals: Number of connections of the request that were refused,
                by data centre.
            now_s: Current time.
        """
        if not self._domains and not self._servers_until_s:
            return tuple(servers)
        avoided = {
            data_centre
            for data_centre in self._domains
            if self.is_avoided(data_centre, refusals, now_s)
        }
        preferred = tuple(
            server
            for server in servers
            if server.backend.data_centre not in avoided
        )
        preferred = preferred or tuple(servers)
        sound = tuple(
            server
            for server in preferred
            if not self._is_server_avoided(server, now_s)
        )
        return sound or preferred
