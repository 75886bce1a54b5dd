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
_START_RETRY_S = 0.3
# Another node answers at once.
_OTHER_NODE_RETRY_S = 0.05
# Servers that are full get room as soon as one request ends.
_FULL_RETRY_S = 0.25
# An attempt that starts later could not end in time.
MIN_ATTEMPT_S = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
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
) -> Admitted:
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
        raise refuse("no_route", "no route has this host and path", _NOT_FOUND)
    account = _find_account(in_force, route, request)
    if len(request.body) > in_force.limits.max_body_bytes:
        raise refuse("body_too_large", "the body is too large", _TOO_LARGE)
    if not request.details.request_id:
        raise refuse("no_request_id", "the request has no id", _BAD_REQUEST)
    pool = in_force.pools.get(route.select_pool(request.details.request_id))
    if pool is None:
        raise refuse(
            "no_pool",
            "the route names an unknown pool",
            _UNAVAILABLE,
            retry_after_s=_FULL_RETRY_S,
        )
    allowed_s = route.timeout_s
    if request.details.deadline_s is not None:
        allowed_s = min(allowed_s, request.details.deadline_s)
    return Admitted(
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
        raise refuse(
            "node_closing",
            "this node is stopping; other nodes serve",
            _UNAVAILABLE,
            retry_after_s=_OTHER_NODE_RETRY_S,
        )
    if policy is None:
        raise refuse(
            "not_configured",
            "no configuration is known yet",
            _UNAVAILABLE,
            retry_after_s=_START_RETRY_S,
        )
    return policy


def _find_account(
    policy: model.ForwardingPolicy,
    route: model.Route,
    request: messages.IncomingRequest,
) -> model.Account | None:
    account = policy.find_account(request.details.api_key)
    if policy.needs_key and account is None and not route.anonymous:
        raise refuse("unknown_key", "the key is not known", _UNAUTHORIZED)
    return account


def refuse(
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


class AttemptEnd(enum.StrEnum):
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
    LATE = "late"
    INSUFFICIENT = "insufficient"
    SLOW = "slow"
    CLIENT_GONE = "client_gone"


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


def decide_next(
    route: model.Route, end: AttemptEnd, progress: RequestProgress
) -> NextStep:
    """Returns what follows an attempt, before the retry budget is asked."""
    if end in (AttemptEnd.DELIVERED, AttemptEnd.CLIENT_GONE):
        return NextStep.DONE
    if end in (AttemptEnd.LATE, AttemptEnd.NO_SERVER):
        return NextStep.GIVE_UP
    if progress.remaining_s < MIN_ATTEMPT_S:
        return NextStep.GIVE_UP
    if progress.dispatches >= MAX_DISPATCHES:
        return NextStep.GIVE_UP
    if progress.attempts >= route.max_attempts:
        return NextStep.GIVE_UP
    if end is AttemptEnd.NOT_RUN and not progress.may_have_run:
        return NextStep.RETRY
    return NextStep.RETRY if route.may_repeat else NextStep.GIVE_UP


def conclude(
    end: AttemptEnd, progress: RequestProgress
) -> errors.DragonflydykeError:
    """Returns the error that ends a request without a whole answer."""
    late = end is AttemptEnd.LATE or progress.remaining_s < MIN_ATTEMPT_S
    if not progress.may_have_run:
        return refuse(
            "no_server_took_it",
            f"no server took the request ({end})",
            _UNAVAILABLE,
            step=errors.Step.ROUTE,
            retry_after_s=_FULL_RETRY_S,
        )
    return errors.DragonflydykeError(
        "deadline_exceeded" if late else "attempts_failed",
        f"the request may have run ({end})",
        step=errors.Step.AWAIT_ANSWER,
        execution=errors.Execution.UNKNOWN,
        status=_GATEWAY_TIMEOUT if late else _BAD_GATEWAY,
    )
