"""Handles requests: admission, forwarding, rejection and logging."""

import asyncio
from collections.abc import Callable, Mapping

from dragonflydyke import errors, latencies, logs
from dragonflydyke.forwarding import (
    contexts,
    decisions,
    messages,
    model,
    runs,
)
from dragonflydyke.routing import retries

# Retries of this node per request, and the number that it may make at once. The
# fleet shares a retry budget that no node can observe.
_RETRY_SHARE = 0.8
_RETRY_RESERVE = 4.0

_LOGGER = logs.get_logger("forwarding")


class Forwarder:
    """Forwards requests; one for all connections of a node.

    Attributes:
        policy: Configuration in force, None before the first.
        find_ages: Returns the ages at a loop time, in seconds, of what the
            node knows of the store, as log fields by name.
        is_closing: Whether new requests are rejected, because the node stops
            before a long response could finish.
        stop_s: Loop time at which the node stops, None if it does not. Requests
            have no time beyond it.
        latencies: Request durations by route and outcome.
    """

    __slots__ = (
        "_budgets",
        "_services",
        "find_ages",
        "is_closing",
        "latencies",
        "policy",
        "stop_s",
    )

    def __init__(self, services: contexts.ForwardingServices) -> None:
        """Creates a forwarder without a policy, which rejects all requests."""
        self.policy: model.ForwardingPolicy | None = None
        self.find_ages: Callable[[float], Mapping[str, float | None]] = (
            lambda _: {}
        )
        self.is_closing = False
        self.stop_s: float | None = None
        self.latencies = latencies.LatencyHistograms()
        self._services = services
        self._budgets: dict[str, retries.RetryBudget] = {}

    async def forward(
        self, request: messages.IncomingRequest, writer: contexts.ResponseWriter
    ) -> None:
        """Responds to a request in all cases unless the client disconnects.

        A cancellation means that the node stops now; the client learns whether
        the request may have run.
        """
        state = contexts.RequestState()
        outcome = "delivered"
        try:
            admitted = await self._admit(request)
        except errors.DragonflydykeError as error:
            self._reject(request, writer, error)
            self._log(request, None, state, error.code)
            return
        try:
            await self._run(request, writer, admitted, state)
        except errors.DragonflydykeError as error:
            outcome = error.code
            self._fail(request, writer, state, error)
        except contexts.ClientDisconnectedError:
            outcome = "client_gone"
            writer.abort()
        except asyncio.CancelledError:
            error = decisions.build_stop_failure(
                may_have_run=state.may_have_run
            )
            outcome = error.code
            self._fail(request, writer, state, error)
        finally:
            state.discard_failure()
        self._log(request, admitted, state, outcome)

    async def _admit(
        self, request: messages.IncomingRequest
    ) -> decisions.AdmittedRequest:
        """Admits a request under a configuration that is up to date.

        Raises:
            DragonflydykeError: If the request is rejected; it has not run.
        """
        try:
            await self._services.store_knowledge.refresh_if_overdue()
        except asyncio.CancelledError:
            raise decisions.build_stop_failure(may_have_run=False) from None
        return decisions.admit(
            self.policy,
            request,
            is_closing=self.is_closing,
            stop_s=self.stop_s,
        )

    async def _run(
        self,
        request: messages.IncomingRequest,
        writer: contexts.ResponseWriter,
        admitted: decisions.AdmittedRequest,
        state: contexts.RequestState,
    ) -> None:
        pool = admitted.pool.name
        retry_budget = self._budgets.setdefault(
            pool, retries.RetryBudget(_RETRY_RESERVE)
        )
        retry_budget.record_request(_RETRY_SHARE)
        context = contexts.RequestContext(
            request, admitted, writer, retry_budget, state
        )
        await runs.RequestRun(self._services, context).run()

    def _reject(
        self,
        request: messages.IncomingRequest,
        writer: contexts.ResponseWriter,
        error: errors.DragonflydykeError,
    ) -> None:
        self._services.counters.increment(f"refusal.{error.code}")
        if writer.is_closed:
            return
        headers = self._services.codec.write_rejection(
            request.details.request_id, error.retry_after_s
        )
        body = (error.code + "\n").encode()
        writer.send_response(error.status, headers, (body,))

    def _fail(
        self,
        request: messages.IncomingRequest,
        writer: contexts.ResponseWriter,
        state: contexts.RequestState,
        error: errors.DragonflydykeError,
    ) -> None:
        if state.response_started:
            self._services.counters.increment(f"stream_cut.{error.code}")
            writer.abort()
            return
        self._reject(request, writer, error)

    def _log(
        self,
        request: messages.IncomingRequest,
        admitted: decisions.AdmittedRequest | None,
        state: contexts.RequestState,
        outcome: str,
    ) -> None:
        self._services.counters.increment(f"request.{outcome}")
        now_s = asyncio.get_running_loop().time()
        route = admitted.route.name if admitted else "refused"
        self.latencies.record(
            f"request.{route}.{outcome}", now_s - request.received_s
        )
        _LOGGER.info(
            "request ended",
            request=request.details.request_id,
            route=admitted.route.name if admitted else "",
            pool=admitted.pool.name if admitted else "",
            policy=self._find_policy_version(admitted),
            **self.find_ages(now_s),
            attempts=state.attempt_history,
            outcome=outcome,
            took_s=round(now_s - request.received_s, 4),
        )

    def _find_policy_version(
        self, admitted: decisions.AdmittedRequest | None
    ) -> int | None:
        """Returns the version that admitted a request, or that refused it."""
        if admitted is not None:
            return admitted.policy_version
        return self.policy.version if self.policy else None
