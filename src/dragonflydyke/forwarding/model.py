"""Routes, pools and client accounts of forwarded requests."""

import collections
import dataclasses
import enum
import hashlib

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)


class RequestKind(enum.Enum):
    """What may be done with a request that may have run."""

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
        path_prefix: Beginning of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time until the end of the answer.
        target_latency_s: Time within which an answer is on time.
        priority: Rank; 0 goes first.
        pools: Where its requests go.
        max_attempts: Servers that may run one request.
        anonymous: Whether requests need no key.
        resumable: Whether a stream may continue on another server.
        max_event_gap_s: Longest pause of a stream that is on time, 0 if none
            is declared.
        models: Models from which the router chooses, smallest first.
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

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
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
class Pool:
    """A group of equal backend servers: model engines or plain services."""

    name: str
    has_engines: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account; its priority, if any, goes before the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ClientLimits:
    """What clients may send."""

    max_body_bytes: int = 4_194_304


class ForwardingPolicy:
    """One version of the configuration, indexed for lookups.

    Attributes:
        version: Version of the configuration.
        pools: Pools by name.
        limits: Limits on clients.
        needs_key: Whether requests need a key unless a route is anonymous.
    """

    __slots__ = (
        "_accounts",
        "_routes",
        "limits",
        "needs_key",
        "pools",
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
        self.pools = {pool.name: pool for pool in pools}
        self.limits = limits
        self.needs_key = bool(accounts)
        self._accounts = {
            key: account for account in accounts for key in account.keys
        }
        by_host = collections.defaultdict(list)
        for route in routes:
            by_host[route.host.lower()].append(route)
        for found in by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))
        self._routes = dict(by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of the longest prefix, or None."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Returns the account that holds a key, or None."""
        return self._accounts.get(key)


def hash_fraction(key: str) -> float:
    """Returns a number from 0 to 1 that is the same for a key everywhere."""
    digest = hashlib.blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE
