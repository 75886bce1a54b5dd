"""Protocols of the components that the gateway uses."""

import dataclasses
from collections.abc import AsyncIterator, Mapping
from typing import Any, Protocol

from dragonflydyke import idempotency, metrics
from dragonflydyke.backends import BackendRequest
from dragonflydyke.configuration import model
from dragonflydyke.gateway import tracking
from dragonflydyke.rollouts import counts as rollout_counts
from dragonflydyke.rollouts import model as rollouts
from dragonflydyke.routing import AcceptanceRates, RetryBudget, ServerPool
from dragonflydyke.sessions import model as sessions


class InForce(Protocol):
    """Immutable snapshot of the configuration and other state in force."""

    @property
    def revision(self) -> int:
        """Revision of the configuration document."""

    @property
    def document(self) -> model.Document:
        """The configuration document."""

    @property
    def key_ring(self) -> sessions.KeyRing:
        """Keys for signing and verifying session tokens."""

    @property
    def roll_outs(self) -> Mapping[str, rollouts.RolloutState]:
        """State of each rollout by its name."""


class State(Protocol):
    """Provides the state in force."""

    @property
    def current(self) -> InForce | None:
        """The state in force, None before it was first read."""


class Permit(Protocol):
    """The serving permit of this node."""

    def check(self) -> None:
        """Checks that this node may serve requests.

        Raises:
            DragonflydykeError: `not_confirmed` if it may not.
        """


class Usage(Protocol):
    """Numbers of tokens that an engine reported."""

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens in the prompt."""

    @property
    def completion_tokens(self) -> int:
        """Number of tokens produced so far."""


class BackendAnswer(Protocol):
    """A response of a backend server whose headers were received."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Mapping[str, str]:
        """HTTP headers."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            DragonflydykeError: If the body is truncated.
        """

    async def close(self) -> Usage | None:
        """Closes the response and cancels an unfinished stream.

        Returns:
            The usage of the cancelled stream, None if there is none.
        """


class Backends(Protocol):
    """HTTP client for backend servers."""

    async def open(
        self, request: BackendRequest, *, deadline: float
    ) -> BackendAnswer:
        """Sends a request and returns once the headers are received.

        Raises:
            DragonflydykeError: With the step that failed, and whether the
                request was executed.
        """

    async def resume(
        self, interrupted: BackendAnswer, event_index: int, *, deadline: float
    ) -> BackendAnswer:
        """Continues the stream of an interrupted response on a new connection.

        Raises:
            DragonflydykeError: The execution is never "not run", because the
                original request may have run.
        """


class Admission(Protocol):
    """An admitted request that counts towards the limits of its account."""

    def release(self, actual_tokens: int) -> None:
        """Releases the request and replaces its estimate of tokens."""


class Limiter(Protocol):
    """Limits of client accounts."""

    def admit(
        self, account: model.ClientAccount, estimated_tokens: int
    ) -> Admission:
        """Admits a request.

        Raises:
            DragonflydykeError: With status 429, if a limit is exceeded.
        """


class SessionTokens(Protocol):
    """Issues and verifies session tokens; see `sessions.tokens`."""

    def issue(self, ring: sessions.KeyRing, session: sessions.Session) -> str:
        """Returns a signed token for a session."""

    def verify(
        self, ring: sessions.KeyRing, token: str, account: str
    ) -> sessions.Session:
        """Returns the session of a token.

        Raises:
            DragonflydykeError: With status 403, if the token is invalid.
        """


class Bills(Protocol):
    """Writer of bills."""

    async def record(self, bill: Any) -> Any:
        """Records a bill; returns when it is durable or after a timeout."""


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateResponse:
    """A complete response of a cascade stage, not yet sent to the client.

    Attributes:
        client_account: Client account of the request.
        request_class: Class of the request.
        model: Model of the stage.
        version: Version of the model.
        request: Body of the request, as JSON.
        response: Body of the response, or its events.
        meets_quality_target: Whether the configured quality of the version
            meets the target of the class. It decides if there is no rating.
    """

    client_account: str
    request_class: model.RequestClass
    model: str
    version: str
    request: bytes
    response: bytes
    meets_quality_target: bool = True


class ResponseCheck(Protocol):
    """Checks whether the response of a cascade stage is good enough."""

    async def accept(self, candidate: CandidateResponse) -> bool:
        """Returns whether to send the response; False uses the next stage."""


class Sampler(Protocol):
    """Rates responses of versions in a rollout, in the background."""

    def offer(self, roll_out: model.Rollout, response_body: bytes) -> None:
        """Queues the response body of the new version for rating."""


@dataclasses.dataclass(slots=True)
class GatewayServices:
    """Components that the gateway uses.

    Attributes:
        vm: Name of this VM.
        incarnation: Random number that identifies this run of the process.
        state: Provides the configuration and other state in force.
        permit: Serving permit.
        backends: Client for backend servers.
        pool: Selection of backend servers.
        limiter: Limits of client accounts.
        sessions: Session tokens; the module `sessions.tokens`.
        claims: Claims of non-idempotent calls.
        bills: Writer of bills.
        counters: Counters of the process.
        check: Quality check of cascade responses; None accepts all.
        sampler: Rates responses for rollouts; None rates none.
        version_counts: Request outcomes by version, for rollouts.
        retry_budget: Limits the share of retries.
        acceptance: Rates at which responses of cascade stages are accepted.
        hedge_budget: Limits the share of hedged requests.
        tracker: Counts requests in progress, for a graceful shutdown.
    """

    vm: str
    incarnation: int
    state: State
    permit: Permit
    backends: Backends
    pool: ServerPool
    limiter: Limiter
    sessions: SessionTokens
    claims: idempotency.ClaimRegistry
    bills: Bills
    counters: metrics.Counters
    check: ResponseCheck | None = None
    sampler: Sampler | None = None
    version_counts: rollout_counts.VersionCounts = dataclasses.field(
        default_factory=rollout_counts.VersionCounts
    )
    retry_budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    acceptance: AcceptanceRates = dataclasses.field(
        default_factory=AcceptanceRates
    )
    hedge_budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    tracker: tracking.RequestTracker = dataclasses.field(
        default_factory=tracking.RequestTracker
    )
