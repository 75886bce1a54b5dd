"""Limits of client accounts, divided among the nodes of the fleet.

Each node enforces a share of every limit. Documented error bounds: after all
demand suddenly moves to other nodes, at most twice the limit is admitted during
the 2 s that two exchanges of reports take. Each node admits at least one
concurrent request and a burst of one request per account, so n nodes may exceed
a limit below n by n.

Two known deviations, measured with a limit of 50 requests/s and 9 nodes that
are offered 200 requests/s:

* If reports arrive one round late, a surge from no demand at all is admitted in
  full for one second (324 requests in 2 s).
* After all demand moves to one node, this node needs 5 s, the length of the
  demand window, to reach the whole limit.
"""

import asyncio
import dataclasses
import math
from collections.abc import Collection, Iterable
from typing import NoReturn

from dragonflydyke import buckets, errors, metrics
from dragonflydyke.configuration import model
from dragonflydyke.limits import shares
from dragonflydyke.protocol import node_pb2

DEMAND_WINDOW_S = 5.0
REQUEST_BURST_S = 1.0
# Long enough for one long prompt at typical limits.
TOKEN_BURST_S = 10.0
_SECONDS_PER_MINUTE = 60.0
_CONCURRENCY_RETRY_AFTER_S = 0.5
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
_EVICT_IDLE_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class _AccountState:
    """Limits and demand of one client account at this node.

    Attributes:
        requests: Token bucket for requests.
        tokens: Token bucket for model tokens.
        request_demand: Requests offered, including rejected ones.
        token_demand: Model tokens of the requests offered.
        refilled_at_s: Loop time at which the buckets were last refilled.
        reported: Demand in this node's last report.
        in_progress: Number of admitted requests that are not finished.
    """

    requests: buckets.TokenBucket
    tokens: buckets.TokenBucket
    request_demand: buckets.DemandWindow
    token_demand: buckets.DemandWindow
    refilled_at_s: float
    reported: "_Demand"
    in_progress: int = 0


@dataclasses.dataclass(slots=True)
class _Demand:
    """Demand per second."""

    requests: float = 0.0
    tokens: float = 0.0


class Admission:
    """Admission of a request; `release` must be called exactly once."""

    __slots__ = ("_account", "_estimated_tokens", "_is_released")

    def __init__(self, account: _AccountState, estimated_tokens: int) -> None:
        self._account = account
        self._estimated_tokens = estimated_tokens
        self._is_released = False

    def release(self, actual_tokens: int) -> None:
        """Finishes the request and replaces the estimate by the actual tokens.

        Args:
            actual_tokens: Prompt and completion tokens used; 0 if the request
                was not run.

        Raises:
            InvariantError: If the admission was released before.
        """
        errors.check_invariant(
            not self._is_released, "an admission was released more than once"
        )
        self._is_released = True
        self._account.in_progress -= 1
        self._account.tokens.take(actual_tokens - self._estimated_tokens)


class AccountLimiter:
    """Admits requests within this node's share of the account limits."""

    __slots__ = (
        "_accounts",
        "_counters",
        "_listed_count",
        "_reachable_count",
        "_remote_demands",
    )

    def __init__(self, counters: metrics.Counters) -> None:
        """Creates a limiter for a fleet of one node.

        It enforces the whole limits until `set_remote_demands` is called. In a
        fleet of several nodes this must happen before the first request.

        Args:
            counters: Receives `refusal.<code>`.
        """
        self._counters = counters
        self._accounts: dict[str, _AccountState] = {}
        self._remote_demands: dict[str, _Demand] = {}
        self._reachable_count = 1
        self._listed_count = 1

    def set_remote_demands(
        self,
        remote_demands: Iterable[node_pb2.AccountDemand],
        reachable_vms: Collection[str],
        *,
        listed_vms: int = 1,
    ) -> None:
        """Sets the demands of the other nodes; called at each exchange.

        Args:
            remote_demands: Demands reported by the other reachable nodes.
                Several entries of one account are summed.
            reachable_vms: Names of the reachable VMs, including this one.
            listed_vms: Number of entry VMs on the platform's list. A node that
                can reach no other enforces an equal share among them.
        """
        self._remote_demands = {}
        self._reachable_count = len(reachable_vms)
        self._listed_count = max(1, listed_vms)
        for demand in remote_demands:
            sums = self._remote_demands.setdefault(
                demand.client_account, _Demand()
            )
            sums.requests += demand.requests_per_s_milli / 1_000
            sums.tokens += demand.tokens_per_s

    def admit(
        self, account: model.ClientAccount, estimated_tokens: int
    ) -> Admission:
        """Admits a request.

        Args:
            account: The client account, with the limits in force.
            estimated_tokens: Prompt and completion tokens expected, 0 for
                service calls.

        Returns:
            The admission, which must be released when the request finishes.

        Raises:
            DragonflydykeError: `concurrency_limited`, `rate_limited` or
                `token_rate_limited` (429, not run, with `retry_after_s`).
        """
        now_s = asyncio.get_running_loop().time()
        state = self._get_state(account.name, now_s)
        # Rejected requests count as demand: otherwise a node that has used up
        # its share would never get a larger one.
        state.request_demand.add(now_s, 1.0)
        state.token_demand.add(now_s, float(estimated_tokens))
        limits = account.limits
        requests_share = self._refill(account, state, now_s)
        concurrency = limits.concurrent_requests * requests_share
        concurrency /= max(limits.requests_per_s, requests_share, 1e-9)
        if state.in_progress >= max(1, round(concurrency)):
            self._reject(
                "concurrency_limited", _CONCURRENCY_RETRY_AFTER_S, account
            )
        wait_s = state.requests.compute_wait_s(1.0)
        if wait_s > 0:
            self._reject("rate_limited", wait_s, account)
        wait_s = state.tokens.compute_wait_s(float(estimated_tokens))
        if wait_s > 0:
            self._reject("token_rate_limited", wait_s, account)
        state.requests.take(1.0)
        state.tokens.take(float(estimated_tokens))
        state.in_progress += 1
        return Admission(state, estimated_tokens)

    def report_demands(self) -> list[node_pb2.AccountDemand]:
        """Returns the demand at this node; called once per report to others.

        The shares of this node are computed from the reported demand, as those
        of the other nodes are. If a node used its current demand instead, every
        node of a fleet under a surge would take most of the limit until the
        next report.
        """
        now_s = asyncio.get_running_loop().time()
        self._evict_idle(now_s)
        for state in self._accounts.values():
            state.reported.requests = state.request_demand.compute_rate(now_s)
            state.reported.tokens = state.token_demand.compute_rate(now_s)
        return [
            node_pb2.AccountDemand(
                client_account=name,
                requests_per_s_milli=round(1_000 * state.reported.requests),
                requests_in_progress=state.in_progress,
                tokens_per_s=round(state.reported.tokens),
            )
            for name, state in self._accounts.items()
        ]

    def _get_state(self, name: str, now_s: float) -> _AccountState:
        state = self._accounts.get(name)
        if state is None:
            state = _AccountState(
                requests=buckets.TokenBucket(REQUEST_BURST_S, 1.0),
                tokens=buckets.TokenBucket(TOKEN_BURST_S, 1.0),
                request_demand=buckets.DemandWindow(DEMAND_WINDOW_S),
                token_demand=buckets.DemandWindow(DEMAND_WINDOW_S),
                refilled_at_s=now_s,
                reported=_Demand(),
            )
            self._accounts[name] = state
        return state

    def _refill(
        self, account: model.ClientAccount, state: _AccountState, now_s: float
    ) -> float:
        """Refills the buckets and returns this node's share of requests/s."""
        limits = account.limits
        remote = self._remote_demands.get(account.name, _Demand())
        requests = self._compute_share(
            limits.requests_per_s,
            state.reported.requests,
            remote.requests,
        )
        tokens = self._compute_share(
            limits.tokens_per_minute / _SECONDS_PER_MINUTE,
            state.reported.tokens,
            remote.tokens,
        )
        elapsed_s = now_s - state.refilled_at_s
        state.refilled_at_s = now_s
        state.requests.refill(requests, elapsed_s)
        state.tokens.refill(tokens, elapsed_s)
        return requests

    def _compute_share(self, limit: float, own: float, remote: float) -> float:
        if self._reachable_count <= 1:
            return limit / self._listed_count
        return shares.compute_share(limit, own, remote, self._reachable_count)

    def _evict_idle(self, now_s: float) -> None:
        idle = [
            name
            for name, state in self._accounts.items()
            if state.in_progress == 0
            and now_s - state.refilled_at_s > _EVICT_IDLE_AFTER_S
        ]
        for name in idle:
            del self._accounts[name]

    def _reject(
        self, code: str, wait_s: float, account: model.ClientAccount
    ) -> NoReturn:
        self._counters.increment(f"refusal.{code}")
        wait_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        raise errors.DragonflydykeError(
            code,
            f"client account {account.name} has reached its limit; retry after "
            f"{math.ceil(wait_s)} s or request a higher limit",
            step=errors.Step.ADMIT,
            retry_after_s=wait_s,
            status=429,
        )
