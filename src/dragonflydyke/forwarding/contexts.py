"""State and components that the attempts of a request share."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

from tornado import httputil

from dragonflydyke import metrics
from dragonflydyke.backends import connection
from dragonflydyke.forwarding import (
    cascade,
    controller,
    cost_records,
    crash_reports,
    decisions,
    directory,
    failure_domains,
    locations,
    messages,
    planner,
    quarantine,
    response_memory,
    selection,
    server_statements,
)
from dragonflydyke.routing import retries
from dragonflydyke.scheduling import costs, fallbacks

if TYPE_CHECKING:
    from dragonflydyke.forwarding import held_streams


class StoreKnowledge(Protocol):
    """What this node knows of the store: configuration, servers, rollouts."""

    async def refresh_if_overdue(self) -> None:
        """Brings it up to date if the process was suspended; may wait."""


class ResponseWriter(Protocol):
    """Writes the response to a client."""

    @property
    def is_closed(self) -> bool:
        """Whether the client closed its connection."""

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Sets the function to call when the client closes its connection."""

    def send_response(
        self,
        status: int,
        headers: httputil.HTTPHeaders,
        parts: Sequence[bytes],
    ) -> asyncio.Future[None]:
        """Sends a complete response.

        Returns:
            A future that is done once the response was passed on, or once the
            connection was closed.
        """

    def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Sends status and headers of a response of unknown length."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until the client accepts it."""

    def finish(self) -> None:
        """Completes the response."""

    def abort(self) -> None:
        """Closes the connection, so that the response is incomplete."""


class ClientDisconnectedError(Exception):
    """The client closed its connection."""


@dataclasses.dataclass(slots=True)
class RequestState:
    """Mutable state of a request across its attempts.

    Attributes:
        attempts: Attempts that may have run, except those lost because their
            server was stopped.
        may_have_run: Whether any attempt may have run.
        dispatches: All attempts, including those at unreachable servers.
        sent_attempts: Attempts that may have reached a server.
        paid_retries: Retries that were taken from the retry budget.
        refusals: Attempts whose server accepted no connection, by data centre.
        last_event_id: Id of the last event that was sent to the client.
        response_started: Whether the start of the response was sent to the
            client.
        failed_servers: Names of the servers that failed the request.
        server_failure: Signed error response of a server, delivered if no
            attempt succeeds.
        escalated: Whether the request was sent to the largest model.
        fell_back: Whether the request returned to the smallest model.
        repeats_largest: Whether an attempt at the largest model has failed.
        retry_after_s: Seconds until a server accepts a request, None if none of
            them said so.
        attempt_history: Server, outcome and reason of each attempt, for the
            log.
        held_stream: Response of the smallest model that is read on, and relayed
            if the largest model gives none; None if there is none.
        close_held_stream: Closes its attempt, None if there is none.
        fallback_timer: Ends the current attempt in time to relay that stream,
            None without one.
    """

    attempts: int = 0
    may_have_run: bool = False
    dispatches: int = 0
    sent_attempts: int = 0
    paid_retries: int = 0
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    last_event_id: int | None = None
    response_started: bool = False
    failed_servers: list[str] = dataclasses.field(default_factory=list)
    server_failure: "BufferedResponse | None" = None
    escalated: bool = False
    fell_back: bool = False
    repeats_largest: bool = False
    retry_after_s: float | None = None
    attempt_history: list[str] = dataclasses.field(default_factory=list)
    held_stream: "held_streams.HeldStream | None" = None
    close_held_stream: Callable[[], None] | None = None
    fallback_timer: asyncio.Timeout | None = None

    def start_response(self) -> None:
        """Records that the client gets the response of the current attempt."""
        self.response_started = True
        self.schedule_fallback(None)
        if self.close_held_stream is not None:
            self.close_held_stream()

    def schedule_fallback(self, latest_s: float | None) -> None:
        """Sets the loop time at which the current attempt ends, None for never.

        An attempt that is ending already, or that has no limit, is not changed.
        """
        timer = self.fallback_timer
        if timer is not None and not timer.expired():
            timer.reschedule(latest_s)

    def keep_failure(self, response: "BufferedResponse") -> None:
        """Keeps an error response in place of an earlier one."""
        self.discard_failure()
        self.server_failure = response

    def take_failure(self) -> "BufferedResponse | None":
        """Returns the error response that was kept, if any, to deliver it."""
        response, self.server_failure = self.server_failure, None
        return response

    def discard_failure(self) -> None:
        """Frees the error response that was kept, if any."""
        response = self.take_failure()
        if response is not None:
            response.discard()

    def describe_cascade(self) -> cascade.CascadeState:
        """Returns the input of the cascade, including the current attempt."""
        return cascade.CascadeState(
            attempts=self.attempts + 1,
            fell_back=self.fell_back,
            escalated=self.escalated,
            repeats_largest=self.repeats_largest,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class BufferedResponse:
    """A complete response of a server."""

    status: int
    headers: httputil.HTTPHeaders
    body: response_memory.HeldBody

    def send(self, reply: ResponseWriter) -> None:
        """Sends the response; its memory is held until the client has it."""
        written = reply.send_response(
            self.status, self.headers, self.body.take_parts()
        )
        written.add_done_callback(lambda _: self.body.release())

    def discard(self) -> None:
        """Frees the response, which is not delivered."""
        self.body.release()


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardingServices:
    """Components that all requests of a node share."""

    store_knowledge: StoreKnowledge
    codec: messages.HeaderCodec
    directory: directory.Directory
    locations: locations.LocationFilter
    rollout_controller: controller.RolloutController
    selector: selection.ServerSelector
    planner: planner.EscalationPlanner
    costs: costs.CostModel
    cost_recorder: cost_records.CostRecorder
    quarantine: quarantine.RequestQuarantine
    crash_reporter: crash_reports.CrashReporter
    statements: server_statements.ServerStatements
    failure_domains: failure_domains.FailureDomains
    response_memory: response_memory.ResponseMemory
    counters: metrics.Counters
    tcp_client: connection.Connector
    pace: fallbacks.Pace = dataclasses.field(default_factory=fallbacks.Pace)
    wait_bounds: fallbacks.WaitBounds = dataclasses.field(
        default_factory=fallbacks.WaitBounds
    )


@dataclasses.dataclass(slots=True, frozen=True)
class RequestContext:
    """An admitted request and the objects that its attempts share.

    Attributes:
        request: The request.
        admitted: Route, pool, account and deadline of the request.
        writer: Writes the response to the client.
        retry_budget: Retry budget of the pool.
        state: State of the request across its attempts.
    """

    request: messages.IncomingRequest
    admitted: decisions.AdmittedRequest
    writer: ResponseWriter
    retry_budget: retries.RetryBudget
    state: RequestState

    def try_pay_retry(self) -> bool:
        """Takes a retry from the budget; returns whether it had one.

        The budget counts requests that arrive at servers. A request that has
        reached none costs no retry, and one that a retry did not reach keeps
        that retry for the next attempt.
        """
        if not self.retry_budget.try_spend():
            return False
        self.state.paid_retries += 1
        return True

    def refund_retry(self) -> None:
        """Returns a retry that was taken and is not made."""
        self.retry_budget.refund()
        self.state.paid_retries -= 1

    def refund_unused_retries(self) -> None:
        """Returns the retries that reached no server."""
        used = max(0, self.state.sent_attempts - 1)
        for _ in range(self.state.paid_retries - used):
            self.refund_retry()

    def describe_limits(self) -> fallbacks.TimeLimits:
        """Returns the times that bound this request."""
        route = self.admitted.route
        return fallbacks.TimeLimits(
            received_s=self.request.received_s,
            deadline_s=self.admitted.deadline_s,
            target_latency_s=route.target_latency_s,
            max_event_gap_s=route.max_event_gap_s,
        )

    def expect_stream(
        self, pace: fallbacks.Pace, now_s: float
    ) -> fallbacks.ExpectedStream:
        """Returns the response that the largest model is expected to give."""
        return self._expect(pace, now_s, -1)

    def expect_held(
        self, pace: fallbacks.Pace, now_s: float
    ) -> fallbacks.ExpectedRest | None:
        """Returns what is expected of the held stream, None without one."""
        held = self.state.held_stream
        if held is None or not held.is_usable:
            return None
        return fallbacks.expect_rest(
            self._expect(pace, now_s, 0),
            held.event_count,
            is_complete=held.is_complete,
        )

    def _expect(
        self, pace: fallbacks.Pace, now_s: float, model_index: int
    ) -> fallbacks.ExpectedStream:
        details = self.request.details
        pool = self.admitted.pool
        tokens_per_event = pool.engine.tokens_per_event if pool.engine else 0
        events = fallbacks.estimate_events(
            details.length_hint, details.max_output_tokens, tokens_per_event
        )
        models = self.admitted.route.models
        model_name = models[model_index] if models else ""
        gap_s = pace.find_gap_s(pool.name, model_name, tokens_per_event, now_s)
        return fallbacks.ExpectedStream(events, gap_s)

    def describe_content(self) -> quarantine.RequestContent:
        """Returns what this request has in common with others."""
        account = self.admitted.account
        return quarantine.RequestContent(
            self.request.compute_fingerprint(account.name if account else ""),
            self.request.details.shared_part_ids,
        )
