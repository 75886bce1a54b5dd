"""Selection of the server for an attempt; no I/O.

Designed for peaks of long prompts with shared prefixes, from many nodes that
cannot observe each other's requests. Requests with the same prefix are sent to
the same server of the local data centre, so that its cache holds the prefix and
nodes agree without communication. Another server is selected if the work of
this node in flight there costs more than a repeated prefill of the prefix.

Costs are learned (`scheduling.costs`), and servers of one pool differ in speed.
All nodes know the same fast servers and not each other's requests, so servers
without work of this node are not ranked by their speed but drawn with a
probability in proportion to it. A slow server gets fewer requests, but not
none.
"""

import dataclasses
import math
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
from dragonflydyke.scheduling import costs, estimates, speeds

# Scales the work of this node to estimate that of all nodes of its data centre,
# whose requests it cannot observe.
_REMOTE_LOAD_FACTOR = 2.0
# Traffic between data centres is expensive, so requests leave the local data
# centre only if its servers have a queue.
_CROSS_DATA_CENTRE_S_PER_KB = 0.03
_CROSS_DATA_CENTRE_S = 0.01
# Work that an attempt still has to do when it runs longer than predicted, as a
# share of its work.
_MIN_REMAINING_SHARE = 0.1


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
        model_name: Model of the attempt, empty if it is not known.
        route: Name of the route.
        token_costs: Costs by which the server is selected.
        duration_s: Predicted duration of the attempt.
    """

    pool: model.Pool
    affinity_key: str = ""
    shared_prefix_tokens: int = 0
    unshared_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 0
    model_name: str = ""
    route: str = ""
    token_costs: costs.TokenCosts = costs.TokenCosts()
    duration_s: float = 0.0

    @property
    def key(self) -> estimates.WorkKey:
        """Pool and model that determine the cost of the request."""
        return estimates.WorkKey(self.pool.name, self.model_name)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return self.shared_prefix_tokens + self.unshared_tokens

    @property
    def service_time_s(self) -> float:
        """Estimated service time in seconds with the prefix cached."""
        if not self.pool.has_engines:
            return self.token_costs.plain_s
        return self.token_costs.find_service_time_s(
            self.unshared_tokens, self.output_tokens
        )

    @property
    def repeated_prefill_s(self) -> float:
        """Seconds that a repeated prefill of the shared prefix takes."""
        return self.token_costs.find_service_time_s(
            self.shared_prefix_tokens, 0
        )


def build_profile(
    request: messages.IncomingRequest,
    admitted: decisions.AdmittedRequest,
    cost_model: costs.CostModel,
    now_s: float,
) -> RequestProfile:
    """Returns the profile of an admitted request, without learned costs.

    Args:
        request: The request.
        admitted: Route and pool of the request.
        cost_model: Knows the usual output of the route.
        now_s: Loop time.
    """
    details = request.details
    route = admitted.route.name
    if not admitted.pool.has_engines:
        return RequestProfile(
            admitted.pool, body_bytes=len(request.body), route=route
        )
    shared = details.shared_prefix
    shared_tokens = sum(part.tokens for part in details.shared_parts)
    return RequestProfile(
        pool=admitted.pool,
        affinity_key=shared.part_id if shared else "",
        shared_prefix_tokens=shared_tokens,
        unshared_tokens=max(0, details.prompt_tokens - shared_tokens),
        output_tokens=cost_model.expect_output_tokens(
            route, details.length_hint, details.max_output_tokens, now_s
        ),
        body_bytes=len(request.body),
        route=route,
    )


def apply_costs(
    profile: RequestProfile,
    model_name: str,
    cost_model: costs.CostModel,
    now_s: float,
) -> RequestProfile:
    """Returns the profile of an attempt with the costs of its model.

    Args:
        profile: Profile of the request.
        model_name: Model of the attempt, empty if it is not known.
        cost_model: Learned costs.
        now_s: Loop time.
    """
    key = estimates.WorkKey(profile.pool.name, model_name)
    token_costs = cost_model.find_token_costs(key, profile.route, now_s)
    duration_s = token_costs.plain_s
    if profile.pool.has_engines:
        work = estimates.Work(
            profile.prompt_tokens,
            profile.shared_prefix_tokens,
            profile.output_tokens,
        )
        duration_s = cost_model.predict(key, work, "", 0, 0, now_s).finish_s
    return dataclasses.replace(
        profile,
        model_name=model_name,
        token_costs=token_costs,
        duration_s=duration_s,
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


@dataclasses.dataclass(slots=True, frozen=True)
class _RunningAttempt:
    """An attempt of this node in flight and the loop time of its start."""

    profile: RequestProfile
    started_s: float

    def find_done_s(self, now_s: float) -> float:
        """Returns the part of its work that is done.

        Without learned costs it is none: the priors are too far off to say how
        long an attempt takes.
        """
        profile = self.profile
        if profile.duration_s <= 0:
            return 0.0
        share = max(0.0, now_s - self.started_s) / profile.duration_s
        share = min(1.0 - _MIN_REMAINING_SHARE, share)
        weight = profile.token_costs.learned_share
        return profile.service_time_s * share * weight


class _Load:
    """Attempts of this node in flight at a server, and their total cost."""

    __slots__ = ("attempts", "service_time_s")

    def __init__(self) -> None:
        self.attempts: list[_RunningAttempt] = []
        self.service_time_s = 0.0

    @property
    def in_flight(self) -> int:
        """Number of attempts."""
        return len(self.attempts)

    def find_remaining_s(self, now_s: float) -> float:
        """Returns the work that the attempts still have to do."""
        done_s = sum(attempt.find_done_s(now_s) for attempt in self.attempts)
        return max(0.0, self.service_time_s - done_s)

    def count_tokens(self, profile: RequestProfile) -> int:
        """Returns the tokens held by the attempts and one more.

        A shared prefix is held once.
        """
        profiles = [attempt.profile for attempt in self.attempts]
        profiles.append(profile)
        prefixes = {p.affinity_key: p.shared_prefix_tokens for p in profiles}
        unshared = sum(p.unshared_tokens + p.output_tokens for p in profiles)
        return unshared + sum(prefixes.values())

    def remove(self, profile: RequestProfile) -> None:
        """Removes an attempt that ended."""
        for index, attempt in enumerate(self.attempts):
            if attempt.profile == profile:
                del self.attempts[index]
                break
        self.service_time_s = max(
            0.0, self.service_time_s - profile.service_time_s
        )


@dataclasses.dataclass(slots=True, frozen=True)
class SelectedServer:
    """The selected server and its estimated cost.

    Attributes:
        server: The server.
        cost_s: Estimated delay in seconds at this server.
        is_affinity_target: Whether the server should have the shared prefix in
            its cache.
        in_flight: Requests of this node in flight at the server.
        speed_factor: Time that the server takes as a multiple of the usual.
    """

    server: directory.ServerEntry
    cost_s: float
    is_affinity_target: bool
    in_flight: int
    speed_factor: float = 1.0


class ServerSelector:
    """Selects servers for attempts and tracks this node's work in flight."""

    __slots__ = (
        "_data_centre",
        "_loads",
        "_outliers",
        "_random",
        "_speeds",
    )

    def __init__(
        self,
        data_centre: str,
        source: random.Random,
        speed_tracker: speeds.SpeedTracker | None = None,
    ) -> None:
        """Creates a selector without work in flight.

        Args:
            data_centre: Data centre of this node.
            source: Random source.
            speed_tracker: Speed of the servers, None if all are equal.
        """
        self._data_centre = data_centre
        self._speeds = speed_tracker or speeds.SpeedTracker()
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
        usable = self.list_with_room(profile, usable)
        affinity_server = self._find_affinity_server(profile, usable)
        return min(
            (
                self._estimate_cost(profile, server, affinity_server, now_s)
                for server in usable
            ),
            key=lambda selected: (
                selected.cost_s,
                self._draw_rank(selected.speed_factor),
            ),
        )

    def list_with_room(
        self, profile: RequestProfile, servers: Sequence[directory.ServerEntry]
    ) -> Sequence[directory.ServerEntry]:
        """Returns the servers whose memory has room for one more request.

        Returns:
            Servers whose memory the attempts of this node do not exceed, or all
            if there is none.
        """
        engine = profile.pool.engine
        if engine is None or engine.memory_tokens <= 0:
            return servers
        with_room = [
            server
            for server in servers
            if server.name not in self._loads
            or self._loads[server.name].count_tokens(profile)
            <= engine.memory_tokens
        ]
        return with_room or servers

    def _draw_rank(self, speed_factor: float) -> float:
        """Returns a random rank among servers of equal cost.

        The least of exponential variates belongs to a server with a probability
        in proportion to its rate.
        """
        return -math.log(1.0 - self._random.random()) * speed_factor

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
        now_s: float,
    ) -> SelectedServer:
        load = self._loads.get(server.name)
        factor = self._speeds.find_factor(server.name, now_s)
        cost_s = 0.0
        if load is not None:
            remaining_s = load.find_remaining_s(now_s)
            cost_s += remaining_s * _REMOTE_LOAD_FACTOR * factor
        if server.backend.data_centre != self._data_centre:
            cost_s += _CROSS_DATA_CENTRE_S
            cost_s += profile.body_bytes / 1000 * _CROSS_DATA_CENTRE_S_PER_KB
        if affinity_server is not None and server is not affinity_server:
            cost_s += profile.repeated_prefill_s
        if server is affinity_server:
            # Another server is better if it saves more than the prefill.
            cost_s += max(0.0, factor - 1.0) * profile.service_time_s
        return SelectedServer(
            server,
            cost_s,
            server is affinity_server,
            load.in_flight if load else 0,
            factor,
        )

    def record_start(
        self,
        profile: RequestProfile,
        server: directory.ServerEntry,
        now_s: float = 0.0,
    ) -> None:
        """Records the start of an attempt; `record_outcome` must follow.

        Args:
            profile: Profile of the attempt.
            server: Server of the attempt.
            now_s: Loop time.
        """
        load = self._loads.setdefault(server.name, _Load())
        load.attempts.append(_RunningAttempt(profile, now_s))
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
        load.remove(profile)
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
