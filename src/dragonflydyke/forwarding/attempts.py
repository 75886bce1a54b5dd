"""A single attempt of a request at one backend server."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from tornado import httputil, tcpclient

from dragonflydyke import errors, metrics
from dragonflydyke.backends import connection, events
from dragonflydyke.backends import model as backends
from dragonflydyke.forwarding import (
    cascade,
    controller,
    decisions,
    directory,
    messages,
    model,
    observers,
    selection,
)
from dragonflydyke.routing import retries

# A server in the same region accepts connections within milliseconds. A server
# that does not is down or unreachable, and has not received the request.
_CONNECT_TIMEOUT_S = 0.5
_MAX_RESPONSE_BYTES = 16_000_000
_OK = 200
_FIRST_REDIRECT_STATUS = 300
_FIRST_SERVER_ERROR_STATUS = 500
_GATEWAY_TIMEOUT = 504
# Under peak load the gap between events approaches the route's limit, and the
# other servers have no capacity either. Only an unreachable server stays silent
# for a multiple of that limit.
_EVENT_TIMEOUT_GAPS = 2.0
# Keeps all priorities in use more urgent than the engines' default of 5.
_TOP_PRIORITY_URGENCY = 2
_LOWEST_URGENCY = 9


class ResponseWriter(Protocol):
    """Writes the response to a client."""

    @property
    def is_closed(self) -> bool:
        """Whether the client closed its connection."""

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Sets the function to call when the client closes its connection."""

    def send_response(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Sends a complete response."""

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


class AttemptFailedError(Exception):
    """An attempt finished without a response that can be delivered."""

    def __init__(self, outcome: decisions.AttemptOutcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


@dataclasses.dataclass(slots=True)
class RequestState:
    """Mutable state of a request across its attempts.

    Attributes:
        attempts: Attempts that may have run, except those lost because their
            server was stopped.
        may_have_run: Whether any attempt may have run.
        dispatches: All attempts, including those at unreachable servers.
        sent_attempts: Attempts that may have reached a server.
        last_event_id: Id of the last event that was sent to the client.
        response_started: Whether the start of the response was sent to the
            client.
        failed_servers: Names of the servers that failed the request.
        server_failure: Signed error response of a server, delivered if no
            attempt succeeds.
        escalated: Whether the request was sent to the largest model.
        fell_back: Whether the largest model exceeded its timeout.
        attempt_history: Server, outcome and reason of each attempt, for the
            log.
    """

    attempts: int = 0
    may_have_run: bool = False
    dispatches: int = 0
    sent_attempts: int = 0
    last_event_id: int | None = None
    response_started: bool = False
    failed_servers: list[str] = dataclasses.field(default_factory=list)
    server_failure: "BufferedResponse | None" = None
    escalated: bool = False
    fell_back: bool = False
    attempt_history: list[str] = dataclasses.field(default_factory=list)

    def describe_cascade(self) -> cascade.CascadeState:
        """Returns the input of the cascade, including the current attempt."""
        return cascade.CascadeState(
            attempts=self.attempts + 1,
            fell_back=self.fell_back,
            escalated=self.escalated,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class BufferedResponse:
    """A complete response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes

    def send(self, reply: ResponseWriter) -> None:
        """Sends the response to the client."""
        reply.send_response(self.status, self.headers, self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardingServices:
    """Components that all requests of a node share."""

    codec: messages.HeaderCodec
    directory: directory.Directory
    rollout_controller: controller.RolloutController
    selector: selection.ServerSelector
    counters: metrics.Counters
    tcp_client: tcpclient.TCPClient


@dataclasses.dataclass(slots=True, frozen=True)
class RequestContext:
    """An admitted request and the objects that its attempts share.

    Attributes:
        request: The request.
        admitted: Route, pool, account and deadline of the request.
        writer: Writes the response to the client.
        model_cascade: Model cascade of the pool.
        retry_budget: Retry budget of the pool.
        state: State of the request across its attempts.
    """

    request: messages.IncomingRequest
    admitted: decisions.AdmittedRequest
    writer: ResponseWriter
    model_cascade: cascade.Cascade
    retry_budget: retries.RetryBudget
    state: RequestState


class Attempt:
    """One dispatch of a request to a server.

    Attributes:
        server: The backend server.
        may_have_run: Whether the server may have run the request.
        was_sent: Whether the request may have reached the server.
    """

    __slots__ = (
        "_admitted",
        "_cascade",
        "_exchange",
        "_observer",
        "_request",
        "_retry_budget",
        "_services",
        "_state",
        "_writer",
        "may_have_run",
        "server",
        "was_sent",
    )

    def __init__(
        self,
        services: ForwardingServices,
        context: RequestContext,
        server: directory.ServerEntry,
    ) -> None:
        """Creates an attempt without opening a connection."""
        self._services = services
        self._request = context.request
        self._admitted = context.admitted
        self._writer = context.writer
        self._cascade = context.model_cascade
        self._retry_budget = context.retry_budget
        self._state = context.state
        self._exchange: connection.Exchange | None = None
        self._observer: observers.AttemptObserver | None = None
        self.server = server
        self.may_have_run = False
        self.was_sent = False

    async def run(self) -> None:
        """Sends the request and delivers the response.

        Raises:
            AttemptFailedError: If no response could be delivered.
        """
        try:
            await self._send_request()
            await self._deliver_response()
        except errors.DragonflydykeError as error:
            raise AttemptFailedError(
                self._classify(error), error.code
            ) from error

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        if self._exchange is not None:
            self._exchange.close_now()

    def record_outcome(self, outcome: decisions.AttemptOutcome) -> None:
        """Records the outcome as evidence on the server's version."""
        if self._observer is not None:
            self._observer.record_outcome(
                failed=outcome is decisions.AttemptOutcome.FAILED,
                lost=outcome is decisions.AttemptOutcome.LOST,
            )

    def _classify(
        self, error: errors.DragonflydykeError
    ) -> decisions.AttemptOutcome:
        if not self.may_have_run:
            return decisions.AttemptOutcome.NOT_RUN
        if error.code == "backend_deadline_exceeded":
            return decisions.AttemptOutcome.DEADLINE_EXCEEDED
        return decisions.AttemptOutcome.LOST

    async def _send_request(self) -> None:
        admitted = self._admitted
        loop = asyncio.get_running_loop()
        last_event_id = self._state.last_event_id
        if last_event_id is None:
            last_event_id = self._request.details.last_event_id
        model_name = self._select_model()
        dispatch = messages.Dispatch(
            server=self.server.name,
            remaining_s=admitted.deadline_s - loop.time(),
            account=admitted.account.name if admitted.account else "",
            model=model_name,
            urgency=_select_urgency(admitted),
            last_event_id=last_event_id,
        )
        body = self._request.body
        request = backends.BackendRequest(
            self.server.backend,
            self._request.method,
            self._request.target,
            self._services.codec.write_request(self._request, dispatch),
            body if body else None,
            accepts_unframed=True,
        )
        self._exchange = connection.Exchange(
            request,
            admitted.deadline_s,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        await self._exchange.connect(self._services.tcp_client)
        self.may_have_run = True
        self.was_sent = True
        self._observer = self._services.rollout_controller.observe_attempt(
            self.server,
            admitted.route,
            model_name or self._request.details.model,
        )
        await self._exchange.send()
        await self._await_response_start()

    async def _await_response_start(self) -> None:
        assert self._exchange is not None
        timeout_s = None
        if not self._state.response_started:
            timeout_s = self._cascade.find_first_event_timeout_s(
                self._admitted.route,
                self._state.describe_cascade(),
                self._elapsed_s(),
            )
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange.await_response()
        except TimeoutError as error:
            self._cascade.record_escalation(timed_out=True)
            raise AttemptFailedError(
                decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT, "no event yet"
            ) from error
        if timeout_s is not None:
            self._cascade.record_escalation(timed_out=False)

    def _elapsed_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._request.received_s

    def _select_model(self) -> str:
        if not self._request.details.wants_any_model:
            return ""
        return self._cascade.select_model(
            self._admitted.route, self._state.describe_cascade()
        )

    def _check_confidence(self, details: messages.ResponseDetails) -> None:
        if (
            self._state.response_started
            or not self._request.details.wants_any_model
        ):
            return
        is_acceptable = self._cascade.is_acceptable(
            self._admitted.route,
            self._state.describe_cascade(),
            details.confidence,
            self._elapsed_s(),
        )
        if not is_acceptable and self._retry_budget.has_retries_left:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOW_CONFIDENCE,
                f"confidence {details.confidence:.2f}",
            )

    async def _deliver_response(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        details = self._services.codec.read_response(
            exchange.status, exchange.headers
        )
        if not details.not_run and self._observer is not None:
            self._observer.record_response_start()
        if details.not_run:
            self.may_have_run = False
            raise AttemptFailedError(
                decisions.AttemptOutcome.NOT_RUN, f"status {exchange.status}"
            )
        request_id = self._request.details.request_id
        if details.request_id != request_id:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "foreign answer"
            )
        if not details.is_signed or details.has_content_encoding:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "not signed"
            )
        succeeded = _OK <= exchange.status < _FIRST_REDIRECT_STATUS
        is_stream = self._admitted.route.kind is model.RequestKind.STREAM
        if is_stream and succeeded and details.is_stream:
            self._check_confidence(details)
            await self._relay_events()
            return
        response = await self._read_body()
        if self._state.response_started:
            raise AttemptFailedError(
                decisions.AttemptOutcome.FAILED, "response is not a stream"
            )
        if exchange.status >= _FIRST_SERVER_ERROR_STATUS:
            self._state.server_failure = response
            outcome = decisions.AttemptOutcome.FAILED
            if exchange.status == _GATEWAY_TIMEOUT:
                outcome = decisions.AttemptOutcome.DEADLINE_EXCEEDED
            raise AttemptFailedError(outcome, f"status {exchange.status}")
        response.send(self._writer)

    async def _read_body(self) -> BufferedResponse:
        exchange = self._exchange
        assert exchange is not None
        parts = []
        size = 0
        async for chunk in exchange.read_chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > _MAX_RESPONSE_BYTES:
                raise AttemptFailedError(
                    decisions.AttemptOutcome.LOST, "response too large"
                )
        headers = self._services.codec.write_response(exchange.headers)
        return BufferedResponse(exchange.status, headers, b"".join(parts))

    async def _relay_events(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        splitter = events.EventSplitter()
        chunks = exchange.read_chunks()
        while True:
            try:
                async with asyncio.timeout(self._find_event_timeout_s()):
                    chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise AttemptFailedError(
                    decisions.AttemptOutcome.LOST, "stream stalled"
                ) from error
            if chunk is None:
                break
            for event in splitter.feed(chunk):
                if self._observer is not None:
                    self._observer.record_event()
                await self._relay_event(event)
        if splitter.has_incomplete_event:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "torn event"
            )
        self._start_response()
        self._writer.finish()

    def _find_event_timeout_s(self) -> float | None:
        """Returns the event timeout, or None if the stream cannot resume."""
        route = self._admitted.route
        may_resume = (
            self._state.response_started
            and route.resumable
            and self._state.attempts + 1 < route.max_attempts
            and self._retry_budget.has_retries_left
        )
        if not may_resume or not route.max_event_gap_s:
            return None
        return route.max_event_gap_s * _EVENT_TIMEOUT_GAPS

    async def _relay_event(self, event: bytes) -> None:
        event_id = self._services.codec.read_event_id(event)
        if event_id is not None:
            last = self._state.last_event_id
            if last is None:
                last = self._request.details.last_event_id
            expected = event_id if last is None else last + 1
            if event_id != expected:
                raise AttemptFailedError(
                    decisions.AttemptOutcome.LOST,
                    f"event {event_id} instead of {expected}",
                )
        self._start_response()
        await self._writer.write(event + b"\n\n")
        if event_id is not None:
            self._state.last_event_id = event_id

    def _start_response(self) -> None:
        if self._state.response_started:
            return
        assert self._exchange is not None
        headers = self._services.codec.write_response(self._exchange.headers)
        self._state.response_started = True
        self._writer.start(self._exchange.status, headers)


def _select_urgency(admitted: decisions.AdmittedRequest) -> int | None:
    if not admitted.pool.has_engines:
        return None
    return min(
        _LOWEST_URGENCY, max(0, _TOP_PRIORITY_URGENCY + admitted.priority)
    )
