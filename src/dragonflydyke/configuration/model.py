"""The configuration document as typed, immutable objects."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

MICRO_UNITS_PRICE_TOKENS = 1_000_000


class VersionState(enum.Enum):
    """Which requests a model version may receive."""

    ACTIVE = "active"
    RETIRING = "retiring"
    WITHDRAWN = "withdrawn"


class ServerKind(enum.Enum):
    """What runs on a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


class ServerState(enum.Enum):
    """Whether a backend server may receive new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class DataCentre:
    """A data centre; `near` lists others by rising distance."""

    name: str
    region: str
    near: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Price:
    """Price in micro-units of currency per million tokens."""

    prompt: int
    completion: int

    def cost(self, prompt_tokens: int, completion_tokens: int) -> int:
        """Returns the cost in micro-units of currency, rounded up."""
        exact = prompt_tokens * self.prompt
        exact += completion_tokens * self.completion
        return -(-exact // MICRO_UNITS_PRICE_TOKENS)


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A version of a model; `quality` maps request classes to 0..1."""

    name: str
    state: VersionState
    price: Price
    quality: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Model:
    """A model and its versions."""

    name: str
    versions: tuple[Version, ...]

    def version(self, name: str) -> Version | None:
        """Returns a version by name, or None."""
        return next((v for v in self.versions if v.name == name), None)


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """One operation of a plain service; price in micro-units per call."""

    name: str
    method: str
    path: str
    repeatable: bool
    timeout_s: float = 10.0
    price: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A plain service beside the engines."""

    name: str
    operations: tuple[Operation, ...]

    def operation(self, name: str) -> Operation | None:
        """Returns an operation by name, or None."""
        return next((o for o in self.operations if o.name == name), None)


@dataclasses.dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request and what it needs.

    Attributes:
        name: For example `line_question`.
        quality_target: Rated quality that suffices, 0..1.
        deadline_s: Seconds after which an answer is useless.
        priority: Engine priority; smaller goes first.
        may_wait_s: Seconds that a request may be held back when pools are
            full; 0 for interactive work.
        max_completion_tokens: Tokens that an answer of this class may have.
        long: Whether requests of this class run much longer than others.
    """

    name: str
    quality_target: float
    deadline_s: float
    priority: int = 0
    may_wait_s: float = 0.0
    max_completion_tokens: int = 1_024
    long: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Cascade:
    """Models to try in rising order of cost."""

    name: str
    stages: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class AccountLimits:
    """Limits of a client account over the whole fleet."""

    requests_per_s: float = 100.0
    concurrent_requests: int = 100
    tokens_per_minute: int = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account, its keys and what it may use.

    Attributes:
        name: Name of the account.
        key_hashes: SHA-256 of its bearer keys, in hexadecimal.
        models: Names of allowed models.
        versions: Allowed `model@version`; empty allows all versions of the
            allowed models.
        services: Names of allowed services.
        cascades: Names of allowed cascades.
        default_class: Request class of requests that name none.
        quality_weight: Weight of quality against cost, 0 or more.
        cost_weight: Weight of cost against quality, 0 or more.
        limits: Limits of the account.
    """

    name: str
    key_hashes: tuple[str, ...]
    models: tuple[str, ...]
    default_class: str
    versions: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    cascades: tuple[str, ...] = ()
    quality_weight: float = 1.0
    cost_weight: float = 1.0
    limits: AccountLimits = dataclasses.field(default_factory=AccountLimits)

    def allows(self, model_name: str, version_name: str) -> bool:
        """Returns whether the account may use a version of a model."""
        if model_name not in self.models:
            return False
        full_name = version_id(model_name, version_name)
        return not self.versions or full_name in self.versions


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStep:
    """Share of new sessions on the new version and how long it is held."""

    share: float
    hold_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class StopCondition:
    """When a roll-out is stopped.

    Attributes:
        min_samples: Requests that must have been seen before deciding.
        min_rating: Mean rating below which it stops, 0..1.
        max_error_share: Share of failed requests above which it stops.
    """

    min_samples: int
    min_rating: float
    max_error_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """A gradual change from one version of a model to another."""

    name: str
    model: str
    from_version: str
    to_version: str
    steps: tuple[RolloutStep, ...]
    stop: StopCondition


@dataclasses.dataclass(slots=True, frozen=True)
class BackendServer:
    """An engine or a plain service instance.

    Attributes:
        name: Unique name.
        kind: Engine or service.
        url: Base URL.
        data_centre: Where it runs.
        serves: `model@version` names, or service names.
        slots: Requests that it works on at the same time.
        checks_fencing: Whether it refuses orders with an old fencing number.
        state: Whether it may receive new work.
        vm: Name of its VM on the platform's list, empty if unknown.
    """

    name: str
    kind: ServerKind
    url: str
    data_centre: str
    serves: tuple[str, ...]
    slots: int = 8
    checks_fencing: bool = False
    state: ServerState = ServerState.ACTIVE
    vm: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """Limits and times that apply to all requests."""

    max_body_bytes: int = 1_000_000
    body_timeout_s: float = 10.0
    default_deadline_s: float = 30.0
    max_attempts: int = 3
    retry_budget_share: float = 0.1
    hedge_budget_share: float = 0.02
    reserved_share: float = 0.25
    queue_share: float = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class _Index:
    """Lookups of a document; a linear search would run per request."""

    models: Mapping[str, Model]
    accounts: Mapping[str, ClientAccount]
    classes: Mapping[str, RequestClass]
    cascades: Mapping[str, Cascade]
    services: Mapping[str, Service]
    roll_outs_by_model: Mapping[str, Rollout]
    servers: Mapping[tuple[ServerKind, str], tuple[BackendServer, ...]]


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A whole configuration, in force or proposed.

    `removed_versions` lists `model@version` of all versions that were removed.
    Their names stay reserved, because a name that came back as active would
    reinstate a withdrawn version.
    """

    deployment: str
    data_centres: tuple[DataCentre, ...]
    models: tuple[Model, ...]
    client_accounts: tuple[ClientAccount, ...]
    classes: tuple[RequestClass, ...]
    services: tuple[Service, ...] = ()
    cascades: tuple[Cascade, ...] = ()
    roll_outs: tuple[Rollout, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
    policy: Policy = dataclasses.field(default_factory=Policy)
    removed_versions: tuple[str, ...] = ()
    _index: _Index = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_index", _build_index(self))

    def data_centre(self, name: str) -> DataCentre | None:
        """Returns a data centre by name, or None."""
        return next((d for d in self.data_centres if d.name == name), None)

    def model(self, name: str) -> Model | None:
        """Returns a model by name, or None."""
        return self._index.models.get(name)

    def version(self, model_name: str, version_name: str) -> Version | None:
        """Returns a version of a model, or None."""
        model = self.model(model_name)
        return model.version(version_name) if model else None

    def account(self, name: str) -> ClientAccount | None:
        """Returns a client account by name, or None."""
        return self._index.accounts.get(name)

    def request_class(self, name: str) -> RequestClass | None:
        """Returns a request class by name, or None."""
        return self._index.classes.get(name)

    def cascade(self, name: str) -> Cascade | None:
        """Returns a cascade by name, or None."""
        return self._index.cascades.get(name)

    def service(self, name: str) -> Service | None:
        """Returns a service by name, or None."""
        return self._index.services.get(name)

    def rollout_for_model(self, model_name: str) -> Rollout | None:
        """Returns the roll-out of a model, or None."""
        return self._index.roll_outs_by_model.get(model_name)

    def servers_for(
        self, model_name: str, version_name: str
    ) -> tuple[BackendServer, ...]:
        """Returns the active engines that serve a version."""
        return self._servers(
            ServerKind.ENGINE, version_id(model_name, version_name)
        )

    def servers_for_service(self, name: str) -> tuple[BackendServer, ...]:
        """Returns the active backend servers of a plain service."""
        return self._servers(ServerKind.SERVICE, name)

    def _servers(
        self, kind: ServerKind, served: str
    ) -> tuple[BackendServer, ...]:
        return self._index.servers.get((kind, served), ())


def _by_name(entries: tuple[Any, ...]) -> dict[str, Any]:
    return {entry.name: entry for entry in reversed(entries)}


def _build_index(document: Document) -> _Index:
    servers: dict[tuple[ServerKind, str], tuple[BackendServer, ...]] = {}
    for server in document.backend_servers:
        if server.state is not ServerState.ACTIVE:
            continue
        for served in dict.fromkeys(server.serves):
            key = (server.kind, served)
            servers[key] = (*servers.get(key, ()), server)
    return _Index(
        models=_by_name(document.models),
        accounts=_by_name(document.client_accounts),
        classes=_by_name(document.classes),
        cascades=_by_name(document.cascades),
        services=_by_name(document.services),
        roll_outs_by_model={
            roll_out.model: roll_out
            for roll_out in reversed(document.roll_outs)
        },
        servers=servers,
    )


def version_id(model_name: str, version_name: str) -> str:
    """Returns `model@version`."""
    return f"{model_name}@{version_name}"


def split_version_id(full_name: str) -> tuple[str, str]:
    """Splits `model@version`; the version is empty if there is none."""
    model_name, _, version_name = full_name.partition("@")
    return model_name, version_name
