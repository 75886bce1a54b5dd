"""A single attempt of a request at one backend server."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from dragonflydyke import errors
from dragonflydyke.backends import connection, events, failures
from dragonflydyke.backends import model as backends
from dragonflydyke.forwarding import (
    contexts,
    cost_records,
    decisions,
    directory,
    escalation,
    gap_meters,
    held_streams,
    messages,
    model,
    observers,
    response_memory,
    selection,
)
from dragonflydyke.scheduling import fallbacks

# A server in the same region accepts connections within milliseconds. A server
# that does not is down or unreachable, and has not received the request.
_CONNECT_TIMEOUT_S = 0.5
_MAX_RESPONSE_BYTES = 16_000_000
_OK = 200
_FIRST_REDIRECT_STATUS = 300
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_GATEWAY_TIMEOUT = 504
# Interval in which a stalled stream that cannot be given up is checked again.
_STALL_CHECK_INTERVAL_S = 0.25
# Under peak load the gap between events approaches the route's limit, and the
# other servers have no capacity either. Only an unreachable server stays silent
# for a multiple of that limit.
_EVENT_TIMEOUT_GAPS = 2.0
# A sound server may be silent for a second or so and still work on its streams,
# however short the limit of the route is.
_MIN_EVENT_TIMEOUT_S = 1.5
# An engine sends the first event together with the start of the response. One
# that crashes as it begins to write ends within this time.
_FIRST_BYTES_TIMEOUT_S = 0.5
# An engine that crashes at the start of a response gets no further than its
# first event.
_PRODUCED_EVENTS = 2
# Events over which the gap of a stream is averaged. Engines send several events
# at once when they are short of time.
_GAP_EVENTS = 8
_COMMENT = b":"


class AttemptFailedError(Exception):
    """An attempt finished without a response that can be delivered."""

    def __init__(self, outcome: decisions.AttemptOutcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptTarget:
    """Where and how an attempt runs.

    Attributes:
        server: The backend server.
        profile: Profile of the attempt.
        model_name: Model to use, empty to keep the model of the client.
        urgency: 0 to 9, where 0 is the most urgent; None for plain servers.
        plan: Plan that selected the server, None without load reports.
    """

    server: directory.ServerEntry
    profile: selection.RequestProfile
    model_name: str = ""
    urgency: int | None = None
    plan: escalation.EscalationPlan | None = None

    @property
    def prefix_source(self) -> directory.ServerEntry | None:
        """Engine from which the server may fetch the cached prefix."""
        return self.plan.prefix_source if self.plan else None

    @property
    def first_event_s(self) -> float | None:
        """Predicted seconds until the first event, None if unknown."""
        return self.plan.first_event_s if self.plan else None


# Decides on a request that has waited at its engine for some seconds, and takes
# a retry with the last argument if it is not to wait on.
WaitReviewer = Callable[
    [AttemptTarget, float, Callable[[], bool]],
    Awaitable[fallbacks.WaitDecision],
]


class Replacement(Protocol):
    """Decides whether an attempt may be given up for another one."""

    def may_follow(self, attempt: "Attempt") -> bool:
        """Returns whether another attempt would follow now."""

    def try_reserve(self, attempt: "Attempt") -> bool:
        """Takes a retry; returns whether the attempt may be given up."""


class Attempt:
    """One dispatch of a request to a server.

    Attributes:
        server: The backend server.
        target: Where and how it runs.
        times: When it was sent and answered.
        may_have_run: Whether the server may have run the request.
        was_sent: Whether the request may have reached the server.
        response_started_s: Loop time at which its response started, or None.
        event_count: Events that it received.
        stated_pause: Whether the server rejected it and asked for a pause.
        was_withdrawn: Whether it was not sent, because the data centre of the
            server was evacuated while the connection was opened.
        hold_failure: Why a response that is held cannot be delivered, or None.
    """

    __slots__ = (
        "_admitted",
        "_context",
        "_exchange",
        "_event_memory",
        "_gap_meter",
        "_first_chunk",
        "_held_body",
        "_held_stream",
        "_hold_task",
        "_observer",
        "_request",
        "_replacement",
        "_review_wait",
        "_services",
        "_splitter",
        "_state",
        "_waited_s",
        "_writer",
        "event_count",
        "hold_failure",
        "may_have_run",
        "response_started_s",
        "server",
        "stated_pause",
        "target",
        "times",
        "was_sent",
        "was_withdrawn",
    )

    def __init__(
        self,
        services: contexts.ForwardingServices,
        context: contexts.RequestContext,
        target: AttemptTarget,
        review_wait: WaitReviewer,
        replacement: Replacement,
    ) -> None:
        """Creates an attempt without opening a connection.

        Args:
            services: Components that all requests share.
            context: The request.
            target: Where and how the attempt runs.
            review_wait: Called while the engine does not start the response.
            replacement: Asked before a silent server is given up.
        """
        self._services = services
        self._context = context
        self._request = context.request
        self._admitted = context.admitted
        self._writer = context.writer
        self._state = context.state
        self._exchange: connection.Exchange | None = None
        self._first_chunk: bytes | None = None
        self._held_body = response_memory.HeldBody(services.response_memory)
        self._event_memory = response_memory.Reservation(
            services.response_memory
        )
        self._splitter = events.EventSplitter()
        # Seconds spent waiting for the server since its last numbered event.
        self._waited_s = 0.0
        self._observer: observers.AttemptObserver | None = None
        self._gap_meter = gap_meters.GapMeter()
        self._replacement = replacement
        self._review_wait = review_wait
        self._held_stream: held_streams.HeldStream | None = None
        self._hold_task: asyncio.Task[None] | None = None
        self.hold_failure: AttemptFailedError | None = None
        self.target = target
        self.times = cost_records.AttemptTimes()
        self.server = target.server
        self.may_have_run = False
        self.was_sent = False
        self.response_started_s: float | None = None
        self.event_count = 0
        self.stated_pause = False
        self.was_withdrawn = False

    async def start(self) -> messages.ResponseDetails:
        """Sends the request and waits for the start of the response.

        Returns:
            Contents of the response's headers, which belong to this request.

        Raises:
            AttemptFailedError: If there is no response to this request.
        """
        try:
            await self._send_request()
            await self._await_response_start()
        except errors.DragonflydykeError as error:
            raise self._build_failure(error) from error
        return self._read_response_start()

    async def await_first_bytes(self) -> None:
        """Waits for a short time until the body of the response begins.

        An engine that crashes as it begins to write would otherwise do so
        unnoticed, and the request would be escalated to the same engine.

        Raises:
            AttemptFailedError: If the response was lost.
        """
        assert self._exchange is not None
        try:
            async with asyncio.timeout(_FIRST_BYTES_TIMEOUT_S):
                self._first_chunk = await self._exchange.read_chunk()
        except TimeoutError:
            return
        except errors.DragonflydykeError as error:
            raise self._build_failure(error) from error

    def hold(
        self, details: messages.ResponseDetails, on_change: Callable[[], None]
    ) -> held_streams.HeldStream:
        """Starts to read the response without passing it on.

        A task reads until the response ends, the attempt is closed, or
        `deliver` passes on the events so far and then the rest.

        Args:
            details: Contents of the response's headers.
            on_change: Called after each event and when the reading ends.
        """
        stream = held_streams.HeldStream(
            self._services.response_memory,
            details.confidence,
            self._request.details.last_event_id,
            on_change,
        )
        self._held_stream = stream
        self._hold_task = asyncio.create_task(self._read_ahead(stream))
        return stream

    async def _read_ahead(self, stream: held_streams.HeldStream) -> None:
        try:
            await self._hold_events(stream)
        except AttemptFailedError as error:
            # Without its traceback, which would keep the response in a cycle.
            self.hold_failure = AttemptFailedError(error.outcome, error.reason)
        except errors.DragonflydykeError as error:
            self.hold_failure = self._build_failure(error)
        if self.hold_failure is not None:
            stream.end(held_streams.StreamStatus.FAILED)

    async def _hold_events(self, stream: held_streams.HeldStream) -> None:
        while (chunk := await self._read_chunk()) is not None:
            for event in self._splitter.feed(chunk):
                self._record_event()
                event_id = self._services.codec.read_event_id(event)
                if not stream.append(event, event_id):
                    raise AttemptFailedError(
                        decisions.AttemptOutcome.LOST,
                        f"event {event_id} out of order",
                    )
                if not stream.is_usable:
                    return
            if not self._event_memory.resize(self._splitter.incomplete_bytes):
                raise self._build_size_error()
        self._check_stream_end()
        self._record_production()
        if not stream.event_count:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "stream without events"
            )
        stream.end(held_streams.StreamStatus.COMPLETE)

    async def _relay_held_events(self) -> None:
        """Passes on the events that are held, and ends the holding.

        Raises:
            AttemptFailedError: If the response was lost while it was held.
        """
        stream, task = self._held_stream, self._hold_task
        if stream is None or task is None:
            return
        # The task must not take any more events from the response.
        task.cancel()
        await asyncio.wait((task,))
        for event in stream.take_events():
            await self._relay_event(event)
        failure = self.hold_failure
        if failure is not None:
            raise AttemptFailedError(failure.outcome, failure.reason)

    async def deliver(self, details: messages.ResponseDetails) -> None:
        """Delivers the response to the client.

        Args:
            details: Contents of the response's headers.

        Raises:
            AttemptFailedError: If no response could be delivered.
        """
        try:
            if self.is_event_stream(details):
                await self._relay_events()
            else:
                await self._deliver_buffered()
        except errors.DragonflydykeError as error:
            raise self._build_failure(error) from error

    def is_event_stream(self, details: messages.ResponseDetails) -> bool:
        """Returns whether the response is a successful stream of events."""
        assert self._exchange is not None
        is_stream = self._admitted.route.kind is model.RequestKind.STREAM
        succeeded = _OK <= self._exchange.status < _FIRST_REDIRECT_STATUS
        return is_stream and succeeded and details.is_stream

    @property
    def is_held(self) -> bool:
        """Whether its response is, or was, held while another one ran."""
        return self._held_stream is not None

    @property
    def may_have_crashed(self) -> bool:
        """Whether this attempt can be the one that ended its server.

        An engine begins a response when the request begins to run, and a
        request with events has run for a while. A plain server shows neither.
        """
        if self._admitted.route.kind is not model.RequestKind.STREAM:
            return True
        return self.response_started_s is not None and not self.event_count

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self._held_body.release()
        self._event_memory.release()
        self._splitter.discard_incomplete_event()
        self._first_chunk = None
        task = self._hold_task
        # The task itself closes the attempt when it finds that it was lost.
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        if self._held_stream is not None:
            self._held_stream.release()
        self._record_gap(1)
        if self._exchange is not None:
            self._exchange.close_now()

    def record_outcome(self, outcome: decisions.AttemptOutcome) -> None:
        """Records the outcome as evidence on the server's version."""
        if self._observer is not None:
            self._observer.record_outcome(
                failed=outcome is decisions.AttemptOutcome.FAILED,
                lost=outcome is decisions.AttemptOutcome.LOST,
                delivered=outcome is decisions.AttemptOutcome.DELIVERED,
            )

    def _build_failure(
        self, error: errors.DragonflydykeError
    ) -> AttemptFailedError:
        return AttemptFailedError(self._classify(error), error.code)

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
        plan = self.target.plan
        source = plan.prefix_source if plan else None
        dispatch = messages.Dispatch(
            server=self.server.name,
            remaining_s=admitted.deadline_s - loop.time(),
            account=admitted.account.name if admitted.account else "",
            model=self.target.model_name,
            urgency=self.target.urgency,
            last_event_id=last_event_id,
            prefix_source=source.address if source else "",
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
        await self._connect(self._exchange)
        self._check_location()
        self.may_have_run = True
        self.was_sent = True
        self._observer = self._services.rollout_controller.observe_attempt(
            self.server,
            admitted.route,
            self.target.model_name or self._request.details.model,
        )
        self.times.sent_s = loop.time()
        self.times.is_resumed = last_event_id is not None
        await self._exchange.send()

    async def _connect(self, exchange: connection.Exchange) -> None:
        """Opens the connection; records whether the server accepted it."""
        try:
            await exchange.connect(self._services.tcp_client)
        except errors.DragonflydykeError as error:
            if error.code == failures.UNREACHABLE:
                self._state.refusals[self.server.backend.data_centre] += 1
                self._record_connection(accepted=False)
            raise
        self._record_connection(accepted=True)

    def _record_connection(self, *, accepted: bool) -> None:
        self._services.statements.record_connection(
            self.server, accepted=accepted
        )
        self._services.failure_domains.record_connection(
            self.server,
            asyncio.get_running_loop().time(),
            accepted=accepted,
        )

    def _check_location(self) -> None:
        """Withdraws a request that was not sent if its server is evacuated."""
        if not self._services.locations.is_evacuated(self.server):
            return
        self.was_withdrawn = True
        self._services.counters.increment("evacuation.excluded")
        raise AttemptFailedError(
            decisions.AttemptOutcome.NOT_RUN, "data centre evacuated"
        )

    async def _await_response_start(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        interval_s = fallbacks.find_review_interval_s(
            self._admitted.route.target_latency_s
        )
        while not await self._starts_within(interval_s):
            may_move = decisions.may_move(self._admitted.route)
            if not may_move or not self._replacement.may_follow(self):
                continue
            decision = await self._review_wait(
                self.target,
                loop.time() - started_s,
                lambda: self._replacement.try_reserve(self),
            )
            if decision.step is fallbacks.WaitStep.WAIT:
                continue
            # The engine may have begun while reports were read.
            if await self._starts_within(0.0):
                self._context.refund_retry()
                return
            raise AttemptFailedError(
                decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT,
                f"no event yet, {decision.reason}",
            )

    async def _starts_within(self, timeout_s: float) -> bool:
        assert self._exchange is not None
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange.await_response()
        except TimeoutError:
            return False
        return True

    def _read_response_start(self) -> messages.ResponseDetails:
        exchange = self._exchange
        assert exchange is not None
        details = self._services.codec.read_response(
            exchange.status, exchange.headers
        )
        self.response_started_s = asyncio.get_running_loop().time()
        self.times.response_started_s = self.response_started_s
        if details.request_id == self._request.details.request_id:
            self._services.statements.record_response(self.server, details)
            self.stated_pause = details.pause_s is not None
        if not details.not_run and self._observer is not None:
            self._observer.record_response_start()
        if details.not_run:
            self.may_have_run = False
            if details.is_misdirected:
                self._services.failure_domains.record_misdirected(
                    self.server, self.response_started_s
                )
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
        return details

    async def _deliver_buffered(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        response = await self._read_body()
        self._record_production()
        if self._state.response_started:
            raise AttemptFailedError(
                decisions.AttemptOutcome.FAILED, "response is not a stream"
            )
        first_error = _FIRST_SERVER_ERROR_STATUS
        if self._state.held_stream is not None:
            # Even a response that blames the request is no answer to it.
            first_error = _FIRST_ERROR_STATUS
        if exchange.status >= first_error:
            self._state.keep_failure(response)
            outcome = decisions.AttemptOutcome.FAILED
            if exchange.status == _GATEWAY_TIMEOUT:
                outcome = decisions.AttemptOutcome.DEADLINE_EXCEEDED
            raise AttemptFailedError(outcome, f"status {exchange.status}")
        response.send(self._writer)

    async def _read_body(self) -> contexts.BufferedResponse:
        exchange = self._exchange
        assert exchange is not None
        async for chunk in exchange.read_chunks():
            is_short = self._held_body.size + len(chunk) <= _MAX_RESPONSE_BYTES
            if not is_short or not self._held_body.append(chunk):
                raise self._build_size_error()
        headers = self._services.codec.write_response(exchange.headers)
        body = self._held_body
        self._held_body = response_memory.HeldBody(
            self._services.response_memory
        )
        return contexts.BufferedResponse(exchange.status, headers, body)

    def _build_size_error(self) -> AttemptFailedError:
        self._services.counters.increment("response.too_large")
        return AttemptFailedError(
            decisions.AttemptOutcome.LOST, "response too large"
        )

    async def _relay_events(self) -> None:
        await self._relay_held_events()
        while (chunk := await self._read_chunk()) is not None:
            for event in self._splitter.feed(chunk):
                self._record_event()
                await self._relay_event(event)
            if not self._event_memory.resize(self._splitter.incomplete_bytes):
                raise self._build_size_error()
        self._check_stream_end()
        if self._state.held_stream is not None:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "stream without events"
            )
        self._record_production()
        self._start_response()
        self._writer.finish()

    def _check_stream_end(self) -> None:
        if self._splitter.has_incomplete_event:
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, "torn event"
            )
        if self._is_unframed_without_events():
            raise AttemptFailedError(
                decisions.AttemptOutcome.LOST, failures.CONNECTION_LOST
            )

    def _is_unframed_without_events(self) -> bool:
        """Returns whether a stream ended before its first event.

        The end of its connection is then that of its engine.
        """
        assert self._exchange is not None
        return not self._exchange.is_framed and not self.event_count

    async def _read_chunk(self) -> bytes | None:
        assert self._exchange is not None
        chunk, self._first_chunk = self._first_chunk, None
        if chunk is not None:
            return chunk
        while True:
            timeout_s = self._find_event_timeout_s()
            if timeout_s is not None and timeout_s <= 0:
                # All streams of a silent server stall at the same time, and the
                # budget may not have a retry for each of them.
                if self._replacement.try_reserve(self):
                    raise AttemptFailedError(
                        decisions.AttemptOutcome.LOST, "stream stalled"
                    )
                timeout_s = _STALL_CHECK_INTERVAL_S
            try:
                return await self._read_chunk_within(timeout_s)
            except TimeoutError:
                continue

    async def _read_chunk_within(self, timeout_s: float | None) -> bytes | None:
        assert self._exchange is not None
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange.read_chunk()
        finally:
            self._waited_s += loop.time() - started_s
            self.times.record_wait(started_s, loop.time())

    def _record_event(self) -> None:
        self.event_count += 1
        self.times.record_event(asyncio.get_running_loop().time())
        if self.event_count == _PRODUCED_EVENTS:
            self._record_production()
        if self._observer is not None:
            self._observer.record_event()
        self._gap_meter.record_event(asyncio.get_running_loop().time())
        self._record_gap(_GAP_EVENTS)

    def _record_gap(self, min_gaps: int) -> None:
        gap_s = self._gap_meter.take_gap_s(min_gaps)
        if gap_s is not None and self.target.model_name:
            self._services.pace.observe_gap(
                self.server.pool,
                self.target.model_name,
                gap_s,
                asyncio.get_running_loop().time(),
            )

    def _record_production(self) -> None:
        """Records that the request does not crash its server."""
        requests = self._services.quarantine
        if requests.has_reports(self.server.pool):
            requests.record_response(
                self.server.pool, self._context.describe_content()
            )

    def _find_event_timeout_s(self) -> float | None:
        """Returns the time left for the next event of a resumable stream.

        Parts of events and comments are no progress. Time in which the client
        does not read is not counted.

        Returns:
            The time in seconds, not positive for a stream that has stalled, or
            None if the stream cannot resume.
        """
        route = self._admitted.route
        may_resume = self._state.response_started and route.resumable
        if not may_resume or not route.max_event_gap_s:
            return None
        timeout_s = max(
            route.max_event_gap_s * _EVENT_TIMEOUT_GAPS, _MIN_EVENT_TIMEOUT_S
        )
        return timeout_s - self._waited_s

    async def _relay_event(self, event: bytes) -> None:
        if self._state.held_stream is not None:
            if event.startswith(_COMMENT):
                # A comment would end the chance to deliver another response.
                return
            self._compare_finish()
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
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self._writer.write(event + b"\n\n")
        self._gap_meter.exclude(loop.time() - started_s)
        if event_id is not None:
            self._state.last_event_id = event_id
            self._waited_s = 0.0

    def _compare_finish(self) -> None:
        """Gives up a response if the held stream is predicted to do better.

        Raises:
            AttemptFailedError: If the held stream is to be relayed instead.
        """
        now_s = asyncio.get_running_loop().time()
        stream = self._context.expect_stream(self._services.pace, now_s)
        held = self._context.expect_held(self._services.pace, now_s)
        limits = self._context.describe_limits()
        if held and not fallbacks.may_go_on(now_s, limits, stream, held):
            raise AttemptFailedError(
                decisions.AttemptOutcome.CANNOT_FINISH,
                f"rest takes {stream.rest_s:.1f} s",
            )

    def _start_response(self) -> None:
        if self._state.response_started:
            return
        assert self._exchange is not None
        headers = self._services.codec.write_response(self._exchange.headers)
        self._state.start_response()
        self._writer.start(self._exchange.status, headers)
