"""Typed, immutable model of the configuration document."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

TOKENS_PER_PRICE_UNIT = 1_000_000


class VersionState(enum.Enum):
    """Lifecycle state of a model version.

    Attributes:
        ACTIVE: Receives requests, also of new sessions.
        RETIRING: Receives only requests of sessions that already use it.
        WITHDRAWN: Receives no requests.
    """

    ACTIVE = "active"
    RETIRING = "retiring"
    WITHDRAWN = "withdrawn"


class ServerKind(enum.Enum):
    """Kind of software that a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class ServerState(enum.Enum):
    """Whether a backend server may receive new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class DataCentre:
    """A data centre.

    Attributes:
        name: Unique name.
        region: Region of the data centre.
        near: Other data centres in order of increasing distance.
    """

    name: str
    region: str
    near: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Price:
    """Price of a model version in micro-units of currency per million tokens.

    Attributes:
        prompt: Price of prompt tokens.
        completion: Price of completion tokens.
    """

    prompt: int
    completion: int

    def cost(self, prompt_tokens: int, completion_tokens: int) -> int:
        """Returns the cost in micro-units of currency, rounded up."""
        exact = prompt_tokens * self.prompt
        exact += completion_tokens * self.completion
        return -(-exact // TOKENS_PER_PRICE_UNIT)


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A version of a model.

    Attributes:
        name: Name, unique within the model.
        state: Lifecycle state.
        price: Price of its tokens.
        quality: Rated quality, 0 to 1, by name of the request class.
    """

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
    """One operation of a plain service.

    Attributes:
        name: Name, unique within the service.
        method: HTTP method.
        path: HTTP path.
        repeatable: Whether calls are idempotent, so that they can be repeated
            without an idempotency key.
        timeout_s: Timeout of a call in seconds.
        price: Price per call in micro-units of currency.
    """

    name: str
    method: str
    path: str
    repeatable: bool
    timeout_s: float = 10.0
    price: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A plain service: an HTTP service that is not a model engine."""

    name: str
    operations: tuple[Operation, ...]

    def operation(self, name: str) -> Operation | None:
        """Returns an operation by name, or None."""
        return next((o for o in self.operations if o.name == name), None)


@dataclasses.dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same requirements.

    Attributes:
        name: For example `line_question`.
        quality_target: Rated quality that is sufficient, 0 to 1.
        deadline_s: Seconds after which a response is of no use.
        priority: Scheduling priority at the engines; lower values first.
        may_wait_s: Longest time in seconds that a request may be queued while
            all servers are at capacity; 0 for interactive requests.
        max_completion_tokens: Maximum number of tokens in a response.
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
    """Models that are tried in turn, in order of increasing cost.

    Attributes:
        name: Unique name.
        stages: Names of the models.
    """

    name: str
    stages: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class AccountLimits:
    """Limits of a client account across the whole fleet."""

    requests_per_s: float = 100.0
    concurrent_requests: int = 100
    tokens_per_minute: int = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account with its keys, permissions and limits.

    Attributes:
        name: Name of the account.
        key_hashes: SHA-256 hashes of its bearer keys in hexadecimal.
        models: Names of allowed models.
        versions: Allowed `model@version`; empty allows all versions of the
            allowed models.
        services: Names of allowed services.
        cascades: Names of allowed cascades.
        default_class: Class of requests that do not specify one.
        quality_weight: Weight of quality in the choice of a model, 0 or more.
        cost_weight: Weight of cost in the choice of a model, 0 or more.
        limits: Limits of the account across the fleet.
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

    def allows_version(self, model_name: str, version_name: str) -> bool:
        """Returns whether the account may use a version of a model."""
        if model_name not in self.models:
            return False
        full_name = version_id(model_name, version_name)
        return not self.versions or full_name in self.versions


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStep:
    """One step of a rollout.

    Attributes:
        share: Share of new sessions that get the new version, 0 to 1.
        hold_s: Duration of the step in seconds.
    """

    share: float
    hold_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class StopCondition:
    """Condition on which a rollout is stopped.

    Attributes:
        min_samples: Number of requests required before the evaluation.
        min_rating: Mean rating below which the rollout stops, 0 to 1.
        max_error_share: Share of failed requests above which the rollout stops,
            0 to 1.
    """

    min_samples: int
    min_rating: float
    max_error_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """Gradual shift of traffic from one version of a model to another."""

    name: str
    model: str
    from_version: str
    to_version: str
    steps: tuple[RolloutStep, ...]
    stop: StopCondition


@dataclasses.dataclass(slots=True, frozen=True)
class BackendServer:
    """A server that runs an engine or an instance of a plain service.

    Attributes:
        name: Unique name.
        kind: Whether it runs an engine or a plain service.
        url: Base URL.
        data_centre: Data centre in which it runs.
        serves: Served `model@version` names, or names of plain services.
        slots: Number of requests that it processes concurrently.
        checks_fencing: Whether it rejects orders with an outdated fencing
            token.
        state: Whether it may receive new requests.
        vm: Name of its VM in the platform's VM list, empty if unknown.
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
    """Limits, timeouts and budgets that apply to all requests."""

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
    """Lookup tables of a document, which avoid linear searches per request."""

    models: Mapping[str, Model]
    accounts: Mapping[str, ClientAccount]
    classes: Mapping[str, RequestClass]
    cascades: Mapping[str, Cascade]
    services: Mapping[str, Service]
    roll_outs_by_model: Mapping[str, Rollout]
    servers: Mapping[tuple[ServerKind, str], tuple[BackendServer, ...]]


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A complete configuration, in force or proposed.

    `removed_versions` lists the `model@version` names of all removed versions.
    These names stay reserved, because declaring one of them as active would
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
        """Returns the rollout of a model, or None."""
        return self._index.roll_outs_by_model.get(model_name)

    def engines_for_version(
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


def _index_by_name(entries: tuple[Any, ...]) -> dict[str, Any]:
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
        models=_index_by_name(document.models),
        accounts=_index_by_name(document.client_accounts),
        classes=_index_by_name(document.classes),
        cascades=_index_by_name(document.cascades),
        services=_index_by_name(document.services),
        roll_outs_by_model={
            roll_out.model: roll_out
            for roll_out in reversed(document.roll_outs)
        },
        servers=servers,
    )


def version_id(model_name: str, version_name: str) -> str:
    """Returns the identifier `model@version`."""
    return f"{model_name}@{version_name}"


def split_version_id(full_name: str) -> tuple[str, str]:
    """Splits `model@version`; the version is empty if there is none."""
    model_name, _, version_name = full_name.partition("@")
    return model_name, version_name
