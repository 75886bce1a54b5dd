"""Selection of the server for an attempt; no I/O.

Designed for peaks of long prompts with shared prefixes, from many nodes that
cannot observe each other's requests. Requests with the same prefix are sent to
the same server of the local data centre, so that its cache holds the prefix and
nodes agree without communication. Another server is selected if the work of
this node in flight there costs more than a repeated prefill of the prefix.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence

from dragonflydyke.forwarding import (
    decisions,
    directory,
    messages,
    model,
    rollouts,
)
from dragonflydyke.routing import outliers

# Prompt tokens that a server prefills per second without concurrent requests;
# only the ratio to the other costs matters.
_PREFILL_TOKENS_PER_S = 20_000.0
# Each output token takes one decode step, in the time of which a server could
# prefill this many prompt tokens.
_PREFILL_TOKENS_PER_OUTPUT_TOKEN = 40.0
# Scales the work of this node to estimate that of all nodes of its data centre,
# whose requests it cannot observe.
_REMOTE_LOAD_FACTOR = 2.0
# Traffic between data centres is expensive, so requests leave the local data
# centre only if its servers have a queue.
_CROSS_DATA_CENTRE_S_PER_KB = 0.03
_CROSS_DATA_CENTRE_S = 0.01
_PLAIN_SERVICE_TIME_S = 0.09


@dataclasses.dataclass(slots=True, frozen=True)
class RequestProfile:
    """Properties of a request that determine its cost at a server.

    Attributes:
        pool: Pool that serves the request.
        affinity_key: Key of its shared prefix, empty without one.
        shared_prefix_tokens: Length of the shared prefix in tokens.
        unshared_tokens: Prompt tokens that no other request shares.
        output_tokens: Expected number of output tokens.
        body_bytes: Size of the request body.
    """

    pool: model.Pool
    affinity_key: str = ""
    shared_prefix_tokens: int = 0
    unshared_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return self.shared_prefix_tokens + self.unshared_tokens

    @property
    def service_time_s(self) -> float:
        """Estimated service time in seconds with the prefix cached."""
        if not self.pool.has_engines:
            return _PLAIN_SERVICE_TIME_S
        tokens = self.unshared_tokens
        tokens += self.output_tokens * _PREFILL_TOKENS_PER_OUTPUT_TOKEN
        return tokens / _PREFILL_TOKENS_PER_S

    @property
    def repeated_prefill_s(self) -> float:
        """Seconds that a repeated prefill of the shared prefix takes."""
        return self.shared_prefix_tokens / _PREFILL_TOKENS_PER_S


def build_profile(
    request: messages.IncomingRequest, admitted: decisions.AdmittedRequest
) -> RequestProfile:
    """Returns the profile of an admitted request."""
    details = request.details
    if not admitted.pool.has_engines:
        return RequestProfile(admitted.pool, body_bytes=len(request.body))
    shared = details.shared_prefix
    shared_tokens = sum(part.tokens for part in details.shared_parts)
    return RequestProfile(
        pool=admitted.pool,
        affinity_key=shared.part_id if shared else "",
        shared_prefix_tokens=shared_tokens,
        unshared_tokens=max(0, details.prompt_tokens - shared_tokens),
        output_tokens=details.length_hint or details.max_output_tokens,
        body_bytes=len(request.body),
    )


def filter_versions(
    rule: rollouts.VersionRule,
    servers: Sequence[directory.ServerEntry],
    excluded: Sequence[directory.ServerEntry] = (),
) -> tuple[directory.ServerEntry, ...]:
    """Returns the servers that a request may use during a rollout.

    Args:
        rule: Versions that the request may use.
        servers: Servers to choose from.
        excluded: Further servers of the pool, which the request may not use
            because of their location.
    """
    wanted = tuple(server for server in servers if rule.matches(server.version))
    if wanted:
        return wanted
    # Without servers of the preferred version, fall back to the other version
    # unless it is forbidden. The location of servers is no reason to exceed the
    # limit on exposure.
    is_forbidden = rule.is_forbidden or any(
        rule.matches(server.version) for server in excluded
    )
    return tuple(
        server
        for server in servers
        if not (is_forbidden and server.version == rule.avoided)
    )


def find_affinity_server(
    key: str, servers: Sequence[directory.ServerEntry]
) -> directory.ServerEntry | None:
    """Returns the server that all nodes select for a key, None without servers.

    Rendezvous hashing: adding or removing a server moves only its own share of
    the keys.
    """
    return max(
        servers,
        key=lambda server: model.hash_fraction(f"{key} {server.name}"),
        default=None,
    )


@dataclasses.dataclass(slots=True)
class _Load:
    """Attempts of this node in flight at a server, and their total cost."""

    in_flight: int = 0
    service_time_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class SelectedServer:
    """The selected server and its estimated cost.

    Attributes:
        server: The server.
        cost_s: Estimated delay in seconds at this server.
        is_affinity_target: Whether the server should have the shared prefix in
            its cache.
        in_flight: Requests of this node in flight at the server.
    """

    server: directory.ServerEntry
    cost_s: float
    is_affinity_target: bool
    in_flight: int


class ServerSelector:
    """Selects servers for attempts and tracks this node's work in flight."""

    __slots__ = ("_data_centre", "_loads", "_outliers", "_random")

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source
        self._loads: dict[str, _Load] = {}
        self._outliers = outliers.OutlierDetector()

    def select_server(
        self,
        profile: RequestProfile,
        servers: Sequence[directory.ServerEntry],
        now_s: float,
        exclude: Collection[str] = (),
    ) -> SelectedServer | None:
        """Returns the server for the next attempt, or None if there is none.

        Args:
            profile: Profile of the request.
            servers: Servers that accept new requests.
            now_s: Loop time.
            exclude: Names of servers that already failed this request; they
                are used only if there are no others.
        """
        server_names = [server.name for server in servers]
        ejected = self._outliers.find_ejected(server_names, now_s)
        usable = [
            server
            for server in servers
            if server.name not in ejected and server.name not in exclude
        ]
        if not usable:
            usable = [
                server for server in servers if server.name not in exclude
            ]
        if not usable:
            usable = list(servers)
        if not usable:
            return None
        affinity_server = self._find_affinity_server(profile, usable)
        return min(
            (
                self._estimate_cost(profile, server, affinity_server)
                for server in usable
            ),
            key=lambda selected: (selected.cost_s, self._random.random()),
        )

    def _find_affinity_server(
        self, profile: RequestProfile, servers: Sequence[directory.ServerEntry]
    ) -> directory.ServerEntry | None:
        if not profile.affinity_key:
            return None
        local_servers = [
            server
            for server in servers
            if server.backend.data_centre == self._data_centre
        ]
        return find_affinity_server(
            profile.affinity_key, local_servers or servers
        )

    def _estimate_cost(
        self,
        profile: RequestProfile,
        server: directory.ServerEntry,
        affinity_server: directory.ServerEntry | None,
    ) -> SelectedServer:
        load = self._loads.get(server.name, _Load())
        cost_s = load.service_time_s * _REMOTE_LOAD_FACTOR
        if server.backend.data_centre != self._data_centre:
            cost_s += _CROSS_DATA_CENTRE_S
            cost_s += profile.body_bytes / 1000 * _CROSS_DATA_CENTRE_S_PER_KB
        if affinity_server is not None and server is not affinity_server:
            cost_s += profile.repeated_prefill_s
        return SelectedServer(
            server, cost_s, server is affinity_server, load.in_flight
        )

    def record_start(
        self, profile: RequestProfile, server: directory.ServerEntry
    ) -> None:
        """Records the start of an attempt; `record_outcome` must follow."""
        load = self._loads.setdefault(server.name, _Load())
        load.in_flight += 1
        load.service_time_s += profile.service_time_s

    def record_outcome(
        self,
        profile: RequestProfile,
        server: directory.ServerEntry,
        now_s: float,
        *,
        failed: bool | None,
        peers: Sequence[directory.ServerEntry],
    ) -> bool:
        """Records the outcome of an attempt.

        Args:
            profile: Profile of the request.
            server: Server of the attempt.
            now_s: Loop time.
            failed: Whether the server failed the attempt, None if that is
                unknown.
            peers: Servers of the same pool to compare with.

        Returns:
            Whether this outcome caused the ejection of the server.
        """
        load = self._loads[server.name]
        load.in_flight -= 1
        load.service_time_s = max(
            0.0, load.service_time_s - profile.service_time_s
        )
        if load.in_flight == 0:
            del self._loads[server.name]
        if failed is None:
            return False
        return self._outliers.record(
            server.name,
            now_s,
            failed=failed,
            latency=None,
            peers=[peer.name for peer in peers],
        )
