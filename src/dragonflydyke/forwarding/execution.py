"""Answers requests: admission, run, refusal and the line in the log."""

import asyncio

from tornado import tcpclient

from dragonflydyke import errors, latencies, logs, metrics, transport
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    conductor,
    decisions,
    directory,
    messages,
    model,
    placement,
    runs,
)
from dragonflydyke.routing import retries

# Retries of this node per request, and those it may make at once; the fleet
# shares a budget that no node can see.
_RETRY_SHARE = 0.8
_RETRY_RESERVE = 4.0

_LOGGER = logs.get_logger("forwarding")


class Forwarder:
    """Forwards requests; one for all connections of a node.

    Attributes:
        policy: Configuration in force, None before the first.
        is_closing: Whether new requests are refused, because the node stops
            before a long answer could end.
        latencies: Times to the end of requests, by route and outcome.
    """

    __slots__ = (
        "_budgets",
        "_cascades",
        "_services",
        "is_closing",
        "latencies",
        "policy",
    )

    def __init__(
        self,
        codec: messages.Codec,
        members: directory.Directory,
        versions: conductor.Conductor,
        placer: placement.Placer,
        counters: metrics.Counters,
    ) -> None:
        """Creates a forwarder without a policy, which refuses everything."""
        self.policy: model.ForwardingPolicy | None = None
        self.is_closing = False
        self.latencies = latencies.LatencyHistograms()
        self._services = attempts.ForwardingServices(
            codec=codec,
            directory=members,
            conductor=versions,
            placer=placer,
            counters=counters,
            tcp=tcpclient.TCPClient(transport.AddressResolver()),
        )
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._cascades: dict[str, cascade.Cascade] = {}

    async def forward(
        self, request: messages.IncomingRequest, reply: attempts.Reply
    ) -> None:
        """Answers a request in every case, unless the client leaves."""
        state = attempts.RunState()
        outcome = "delivered"
        try:
            admitted = decisions.admit(
                self.policy, request, is_closing=self.is_closing
            )
        except errors.DragonflydykeError as error:
            self._refuse(request, reply, error)
            self._log(request, None, state, error.code)
            return
        try:
            await self._run(request, reply, admitted, state)
        except errors.DragonflydykeError as error:
            outcome = error.code
            self._end_with_error(request, reply, state, error)
        except attempts.ClientGoneError:
            outcome = "client_gone"
            reply.abort()
        self._log(request, admitted, state, outcome)

    async def _run(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        admitted: decisions.Admitted,
        state: attempts.RunState,
    ) -> None:
        pool = admitted.pool.name
        budget = self._budgets.setdefault(
            pool, retries.RetryBudget(_RETRY_RESERVE)
        )
        budget.record_request(_RETRY_SHARE)
        models = self._cascades.setdefault(pool, cascade.Cascade())
        context = attempts.RequestContext(
            request, admitted, reply, models, budget, state
        )
        await runs.RequestRun(self._services, context).run()

    def _refuse(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        error: errors.DragonflydykeError,
    ) -> None:
        self._services.counters.increment(f"refusal.{error.code}")
        if reply.is_closed:
            return
        headers = self._services.codec.write_refusal(
            request.details.request_id, error.retry_after_s
        )
        body = (error.code + "\n").encode()
        attempts.BufferedAnswer(error.status, headers, body).deliver(reply)

    def _end_with_error(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        state: attempts.RunState,
        error: errors.DragonflydykeError,
    ) -> None:
        if state.begun:
            self._services.counters.increment(f"stream_cut.{error.code}")
            reply.abort()
            return
        self._refuse(request, reply, error)

    def _log(
        self,
        request: messages.IncomingRequest,
        admitted: decisions.Admitted | None,
        state: attempts.RunState,
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
            policy=admitted.policy_version if admitted else None,
            servers_age_s=self._services.directory.find_age_s(now_s),
            attempts=state.trail,
            outcome=outcome,
            took_s=round(now_s - request.received_s, 4),
        )
