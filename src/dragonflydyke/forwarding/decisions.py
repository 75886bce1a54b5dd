"""What to do with a request before and after each attempt; no I/O."""

import dataclasses
import enum

from dragonflydyke import errors
from dragonflydyke.forwarding import messages, model

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_LARGE = 413
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
# The configuration arrives within a second of a start.
_NOT_CONFIGURED_RETRY_AFTER_S = 0.3
# Another node answers at once.
_CLOSING_RETRY_AFTER_S = 0.05
# Servers that are full get room as soon as one request ends.
_NO_CAPACITY_RETRY_AFTER_S = 0.25
# An attempt that starts later could not end in time.
MIN_ATTEMPT_S = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class AdmittedRequest:
    """A request that a route and an account allow.

    Attributes:
        route: Route of the request.
        pool: Pool that serves it.
        account: Client account, None for anonymous requests.
        deadline_s: Loop time at which the answer must be over.
        policy_version: Version of the configuration that allowed it.
    """

    route: model.Route
    pool: model.Pool
    account: model.Account | None
    deadline_s: float
    policy_version: int

    @property
    def priority(self) -> int:
        """Rank of the request; 0 goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def admit(
    policy: model.ForwardingPolicy | None,
    request: messages.IncomingRequest,
    *,
    is_closing: bool = False,
) -> AdmittedRequest:
    """Finds what allows a request.

    Args:
        policy: Configuration in force, None before the first.
        request: The request.
        is_closing: Whether the node will stop before a long answer could end.

    Raises:
        DragonflydykeError: If nothing does; the request has not run.
    """
    in_force = _find_policy(policy, is_closing=is_closing)
    route = in_force.find_route(request.host, request.path)
    if route is None:
        raise build_rejection(
            "no_route", "no route has this host and path", _NOT_FOUND
        )
    account = _find_account(in_force, route, request)
    if len(request.body) > in_force.limits.max_body_bytes:
        raise build_rejection(
            "body_too_large", "the body is too large", _TOO_LARGE
        )
    if not request.details.request_id:
        raise build_rejection(
            "no_request_id", "the request has no id", _BAD_REQUEST
        )
    pool = in_force.pools.get(route.select_pool(request.details.request_id))
    if pool is None:
        raise build_rejection(
            "no_pool",
            "the route names an unknown pool",
            _UNAVAILABLE,
            retry_after_s=_NO_CAPACITY_RETRY_AFTER_S,
        )
    allowed_s = route.timeout_s
    if request.details.deadline_s is not None:
        allowed_s = min(allowed_s, request.details.deadline_s)
    return AdmittedRequest(
        route=route,
        pool=pool,
        account=account,
        deadline_s=request.received_s + allowed_s,
        policy_version=in_force.version,
    )


def _find_policy(
    policy: model.ForwardingPolicy | None, *, is_closing: bool
) -> model.ForwardingPolicy:
    if is_closing:
        raise build_rejection(
            "node_closing",
            "this node is stopping; other nodes serve",
            _UNAVAILABLE,
            retry_after_s=_CLOSING_RETRY_AFTER_S,
        )
    if policy is None:
        raise build_rejection(
            "not_configured",
            "no configuration is known yet",
            _UNAVAILABLE,
            retry_after_s=_NOT_CONFIGURED_RETRY_AFTER_S,
        )
    return policy


def _find_account(
    policy: model.ForwardingPolicy,
    route: model.Route,
    request: messages.IncomingRequest,
) -> model.Account | None:
    account = policy.find_account(request.details.api_key)
    if policy.needs_key and account is None and not route.anonymous:
        raise build_rejection(
            "unknown_key", "the key is not known", _UNAUTHORIZED
        )
    return account


def build_rejection(
    code: str,
    message: str,
    status: int,
    *,
    step: errors.Step = errors.Step.ADMIT,
    retry_after_s: float | None = None,
) -> errors.DragonflydykeError:
    """Returns the error of a request that has not run."""
    return errors.DragonflydykeError(
        code, message, step=step, status=status, retry_after_s=retry_after_s
    )


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a server ended.

    NO_SERVER is no attempt at all, as the pool has no usable server.
    INSUFFICIENT is an answer of low confidence that was dropped, SLOW one that
    did not begin while there was time to ask a faster model.
    """

    DELIVERED = "delivered"
    NO_SERVER = "no_server"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    DEADLINE_EXCEEDED = "late"
    LOW_CONFIDENCE = "insufficient"
    FIRST_EVENT_TIMEOUT = "slow"
    CLIENT_DISCONNECTED = "client_gone"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestProgress:
    """What has happened to a request so far.

    Attributes:
        attempts: Attempts that may have run at a server that still exists.
        dispatches: Attempts that were sent at all.
        may_have_run: Whether any of them may have run.
        remaining_s: Time left.
    """

    attempts: int
    dispatches: int
    may_have_run: bool
    remaining_s: float


class NextStep(enum.Enum):
    """What follows an attempt."""

    DONE = "done"
    RETRY = "retry"
    GIVE_UP = "give_up"


# A request that every server turns away must end some time before its
# deadline; more dispatches would only draw on the shared budget.
MAX_DISPATCHES = 5


def decide_next_step(
    route: model.Route, outcome: AttemptOutcome, progress: RequestProgress
) -> NextStep:
    """Returns what follows an attempt, before the retry budget is asked."""
    if outcome in (
        AttemptOutcome.DELIVERED,
        AttemptOutcome.CLIENT_DISCONNECTED,
    ):
        return NextStep.DONE
    if outcome in (AttemptOutcome.DEADLINE_EXCEEDED, AttemptOutcome.NO_SERVER):
        return NextStep.GIVE_UP
    if progress.remaining_s < MIN_ATTEMPT_S:
        return NextStep.GIVE_UP
    if progress.dispatches >= MAX_DISPATCHES:
        return NextStep.GIVE_UP
    if progress.attempts >= route.max_attempts:
        return NextStep.GIVE_UP
    if outcome is AttemptOutcome.NOT_RUN and not progress.may_have_run:
        return NextStep.RETRY
    return NextStep.RETRY if route.is_retryable else NextStep.GIVE_UP


def build_failure(
    outcome: AttemptOutcome, progress: RequestProgress
) -> errors.DragonflydykeError:
    """Returns the error that ends a request without a whole answer."""
    late = (
        outcome is AttemptOutcome.DEADLINE_EXCEEDED
        or progress.remaining_s < MIN_ATTEMPT_S
    )
    if not progress.may_have_run:
        return build_rejection(
            "no_server_took_it",
            f"no server took the request ({outcome})",
            _UNAVAILABLE,
            step=errors.Step.ROUTE,
            retry_after_s=_NO_CAPACITY_RETRY_AFTER_S,
        )
    return errors.DragonflydykeError(
        "deadline_exceeded" if late else "attempts_failed",
        f"the request may have run ({outcome})",
        step=errors.Step.AWAIT_ANSWER,
        execution=errors.Execution.UNKNOWN,
        status=_GATEWAY_TIMEOUT if late else _BAD_GATEWAY,
    )
