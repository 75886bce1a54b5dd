"""Components that the gateway uses, as protocols."""

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
    """What is in force; immutable."""

    @property
    def revision(self) -> int:
        """Revision of the document."""

    @property
    def document(self) -> model.Document:
        """The configuration document."""

    @property
    def key_ring(self) -> sessions.KeyRing:
        """Keys that sign session tokens."""

    @property
    def roll_outs(self) -> Mapping[str, rollouts.RollOutState]:
        """Decisions by name of the roll-out."""


class State(Protocol):
    """Holds what is in force."""

    @property
    def current(self) -> InForce | None:
        """What is in force, None before the first read."""


class Permit(Protocol):
    """The serving permit of this node."""

    def check(self) -> None:
        """Raises `not_confirmed` unless this node may serve."""


class Usage(Protocol):
    """Tokens that an engine counted."""

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""

    @property
    def completion_tokens(self) -> int:
        """Tokens of the answer so far."""


class BackendAnswer(Protocol):
    """An answer of a backend server whose headers were received."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Mapping[str, str]:
        """HTTP headers."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises DragonflydykeError if it is cut short."""

    async def close(self) -> Usage | None:
        """Cancels the stream unless it ended; returns the usage so far."""


class Backends(Protocol):
    """HTTP client for backend servers."""

    async def open(
        self, request: BackendRequest, *, deadline: float
    ) -> BackendAnswer:
        """Sends a request and returns when the headers were received.

        Raises:
            DragonflydykeError: With the exact step and execution.
        """

    async def resume(
        self, broken: BackendAnswer, event_index: int, *, deadline: float
    ) -> BackendAnswer:
        """Continues the stream of a broken answer on a new connection.

        Raises:
            DragonflydykeError: Never with execution not run.
        """


class Admission(Protocol):
    """An admitted request that counts against the limits."""

    def release(self, actual_tokens: int) -> None:
        """Ends it and corrects the estimate of its tokens."""


class Limiter(Protocol):
    """Limits of client accounts."""

    def admit(
        self, account: model.ClientAccount, estimated_tokens: int
    ) -> Admission:
        """Admits a request or raises a 429 refusal."""


class SessionTokens(Protocol):
    """Functions of `sessions.tokens`."""

    def issue(self, ring: sessions.KeyRing, session: sessions.Session) -> str:
        """Returns a signed token."""

    def verify(
        self, ring: sessions.KeyRing, token: str, account: str
    ) -> sessions.Session:
        """Returns the session of a token or raises a 403 refusal."""


class Bills(Protocol):
    """Writer of bills."""

    async def record(self, bill: Any) -> Any:
        """Returns when the bill is safe, or after a bounded time."""


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateResponse:
    """A complete answer of a cascade stage before the caller sees it.

    `reaches_target` says whether the configured quality of the version reaches
    the target of the class, which decides without a rating.
    """

    client_account: str
    request_class: model.RequestClass
    model: str
    version: str
    request: bytes
    response: bytes
    meets_quality_target: bool = True


class ResponseCheck(Protocol):
    """Decides whether the answer of a cascade stage is good enough."""

    async def accept(self, candidate: CandidateResponse) -> bool:
        """Returns False to have the next stage answer instead."""


class Sampler(Protocol):
    """Has answers of roll-outs rated in the background."""

    def offer(self, roll_out: str, version: str, answer: bytes) -> None:
        """Queues the body of an answer of a version."""


@dataclasses.dataclass(slots=True)
class GatewayServices:
    """Components that the gateway uses.

    Attributes:
        vm: Name of this VM.
        incarnation: Random number of this process start.
        state: What is in force.
        permit: Serving permit.
        backends: Client for backend servers.
        pool: Selection of backend servers.
        limiter: Limits of client accounts.
        sessions: Session tokens; the module `sessions.tokens`.
        claims: Registry of non-idempotent calls.
        bills: Writer of bills.
        counters: Counters of the process.
        check: Check of cascade answers; None accepts each answer.
        sampler: Receives answers of roll-outs for rating; None rates none.
        version_counts: Counts for roll-outs.
        retry_budget: Bound on retries.
        acceptance: How often answers of cascade stages pass the check.
        hedge_budget: Bound on hedged requests.
        tracker: Requests in progress, for a graceful shutdown.
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
