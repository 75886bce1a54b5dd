"""Routes, pools and client accounts of forwarded requests."""

import collections
import dataclasses
import enum
import hashlib

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)


class RequestKind(enum.Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class PoolShare:
    """A pool and its share of the requests of a route, as a weight."""

    pool: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A route and how its requests are handled.

    Attributes:
        name: Unique name.
        host: Value of the Host header that selects it.
        path_prefix: Prefix of the path; starts and ends with a slash.
        kind: Whether its requests are idempotent, or streams.
        timeout_s: Longest time until the response is complete.
        target_latency_s: Target latency of a response in seconds.
        priority: Priority; 0 is the highest.
        pools: Pools that serve its requests.
        max_attempts: Maximum number of servers that may run one request.
        anonymous: Whether requests need no API key.
        resumable: Whether a stream may continue on another server.
        max_event_gap_s: Target for the longest inter-event gap of a stream, 0
            if none is configured.
        models: Models among which the router selects, smallest first.
        allowed_regions: Regions in which its requests may run, empty if they
            may run anywhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    pools: tuple[PoolShare, ...]
    max_attempts: int
    anonymous: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0.0
    models: tuple[str, ...] = ()
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def select_pool(self, key: str) -> str:
        """Returns the pool for a key; equal keys get equal pools."""
        total = sum(share.weight for share in self.pools)
        point = hash_fraction(key) * total
        for share in self.pools:
            point -= share.weight
            if point < 0:
                return share.pool
        return self.pools[-1].pool


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCapacity:
    """What each engine of a pool can hold.

    Attributes:
        slots: Requests that it runs at the same time.
        memory_tokens: Tokens that running requests and cached prompts share.
        tokens_per_event: Output tokens in one event of a stream.
        model_costs: Cost of 1,000 output tokens by model.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    model_costs: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class ColdStart:
    """What the servers of a pool can take after a start.

    Attributes:
        duration_s: Seconds for which a server is cold after a start.
        rate_per_s: Requests a second that a cold server accepts from all nodes
            together, 0 if that is not limited.
    """

    duration_s: float = 0.0
    rate_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """A group of equivalent backend servers: engines or plain services.

    Attributes:
        name: Unique name.
        has_engines: Whether its servers are model engines.
        engine: What each engine can hold, None for plain services.
        cold_start: What its servers can take after a start.
    """

    name: str
    has_engines: bool = False
    engine: EngineCapacity | None = None
    cold_start: ColdStart = ColdStart()


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account; its priority, if set, overrides the route's.

    Attributes:
        name: Unique name.
        keys: API keys.
        priority: Priority of its requests, None for that of the route.
        allowed_regions: Regions in which its requests may run, empty if they
            may run anywhere.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class MachineLimits:
    """What a process may use on this VM.

    Attributes:
        memory_bytes: Memory of the process.
        max_descriptors: Open descriptors, including the reserved ones.
    """

    memory_bytes: int = 150_000_000
    max_descriptors: int = 4_096


@dataclasses.dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the requests of clients.

    Attributes:
        max_header_bytes: Size of the start line and headers.
        max_body_bytes: Size of the body.
        header_timeout_s: Seconds in which a client sends its headers.
        idle_timeout_s: Seconds for which a connection may be idle.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 60.0
    idle_timeout_s: float = 60.0


class ForwardingPolicy:
    """One version of the configuration, indexed for lookups.

    Attributes:
        version: Version of the configuration.
        routes: Routes in their configured order.
        pools: Pools by name.
        accounts: Client accounts in their configured order.
        limits: Limits on clients.
        needs_key: Whether requests need an API key unless their route is
            anonymous.
    """

    __slots__ = (
        "_accounts_by_key",
        "_routes_by_host",
        "accounts",
        "limits",
        "needs_key",
        "pools",
        "routes",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        pools: tuple[Pool, ...],
        accounts: tuple[Account, ...],
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.accounts = accounts
        self.pools = {pool.name: pool for pool in pools}
        self.limits = limits
        self.needs_key = bool(accounts)
        self._accounts_by_key = {
            key: account for account in accounts for key in account.keys
        }
        by_host = collections.defaultdict(list)
        for route in routes:
            by_host[route.host.lower()].append(route)
        for found in by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = dict(by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Returns the account with an API key, or None."""
        return self._accounts_by_key.get(key)


def hash_fraction(key: str) -> float:
    """Returns a hash of a key in [0, 1), equal on all nodes."""
    digest = hashlib.blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE
