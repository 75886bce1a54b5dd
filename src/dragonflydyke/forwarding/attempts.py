"""One attempt at a backend server, and the answer that it delivers."""

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
    conductor,
    decisions,
    directory,
    messages,
    model,
    observers,
    placement,
)
from dragonflydyke.routing import retries

# A server in the same region answers within milliseconds; one that does not
# is down or unreachable, and nothing was sent to it.
_CONNECT_TIMEOUT_S = 0.5
_MAX_ANSWER_BYTES = 16_000_000
_OK = 200
_FIRST_REDIRECT = 300
_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
# At the worst load pauses come near the longest that is on time, and another
# server has no room either; only a server that is gone is silent for longer.
_SILENT_GAPS = 2.0
# More urgent than the engines' default of 5 for all ranks in use.
_FIRST_URGENCY = 2
_LAST_URGENCY = 9


class Reply(Protocol):
    """The answer to a client."""

    @property
    def is_closed(self) -> bool:
        """Whether the client closed its connection."""

    def on_close(self, callback: Callable[[], object] | None) -> None:
        """Sets what is called when the client closes its connection."""

    def send_whole(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Sends an answer whose body is known."""

    def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Sends status and headers of an answer of unknown length."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until the client takes it."""

    def finish(self) -> None:
        """Ends the answer."""

    def abort(self) -> None:
        """Closes the connection, so that the answer looks incomplete."""


class ClientGoneError(Exception):
    """The client closed its connection."""


class AttemptEndedError(Exception):
    """An attempt ended without an answer that can be delivered."""

    def __init__(self, end: decisions.AttemptEnd, reason: str) -> None:
        super().__init__(reason)
        self.end = end
        self.reason = reason


@dataclasses.dataclass(slots=True)
class RunState:
    """What has happened to a request.

    Attributes:
        attempts: Attempts that may have run, without those at servers that
            have ended since.
        may_have_run: Whether any attempt may have run.
        dispatches: All attempts, also at servers that were not reached.
        arrivals: Attempts that may have reached a server.
        last_event_id: Last event that the client has.
        begun: Whether the client has the start of the answer.
        failed_servers: Servers that failed the request.
        failure: Signed failure of a server, delivered when nothing better
            comes.
        escalated: Whether the largest model was asked.
        fell_back: Whether the largest model was too slow.
        trail: One word an attempt, for the log.
    """

    attempts: int = 0
    may_have_run: bool = False
    dispatches: int = 0
    arrivals: int = 0
    last_event_id: int | None = None
    begun: bool = False
    failed_servers: list[str] = dataclasses.field(default_factory=list)
    failure: "BufferedAnswer | None" = None
    escalated: bool = False
    fell_back: bool = False
    trail: list[str] = dataclasses.field(default_factory=list)

    def describe(self) -> cascade.CascadeState:
        """Returns the state for the choice of models, this attempt included."""
        return cascade.CascadeState(
            attempts=self.attempts + 1,
            fell_back=self.fell_back,
            escalated=self.escalated,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class BufferedAnswer:
    """An answer whose body is known."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes

    def deliver(self, reply: Reply) -> None:
        """Sends the answer to the client."""
        reply.send_whole(self.status, self.headers, self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardingServices:
    """What all requests of a node share."""

    codec: messages.Codec
    directory: directory.Directory
    conductor: conductor.Conductor
    placer: placement.Placer
    counters: metrics.Counters
    tcp: tcpclient.TCPClient


@dataclasses.dataclass(slots=True, frozen=True)
class RequestContext:
    """An admitted request and what its attempts share.

    Attributes:
        request: The request.
        admitted: What allows it.
        reply: Where its answer goes.
        models: Choice of models of its pool.
        budget: Retry budget of its pool.
        state: What has happened to it.
    """

    request: messages.IncomingRequest
    admitted: decisions.Admitted
    reply: Reply
    models: cascade.Cascade
    budget: retries.RetryBudget
    state: RunState


class Attempt:
    """One dispatch of a request to a server.

    Attributes:
        member: The server.
        may_have_run: Whether the server may have run the request.
        was_sent: Whether the request may have reached the server.
    """

    __slots__ = (
        "_admitted",
        "_budget",
        "_exchange",
        "_models",
        "_observer",
        "_reply",
        "_request",
        "_services",
        "_state",
        "may_have_run",
        "member",
        "was_sent",
    )

    def __init__(
        self,
        services: ForwardingServices,
        context: RequestContext,
        member: directory.Member,
    ) -> None:
        """Creates an attempt that has sent nothing."""
        self._services = services
        self._request = context.request
        self._admitted = context.admitted
        self._reply = context.reply
        self._models = context.models
        self._budget = context.budget
        self._state = context.state
        self._exchange: connection.Exchange | None = None
        self._observer: observers.AttemptObserver | None = None
        self.member = member
        self.may_have_run = False
        self.was_sent = False

    async def run(self) -> None:
        """Sends the request and delivers the answer.

        Raises:
            AttemptEndedError: If there is nothing to deliver yet.
        """
        try:
            await self._open()
            await self._deliver_answer()
        except errors.DragonflydykeError as error:
            raise AttemptEndedError(
                self._classify(error), error.code
            ) from error

    def close(self) -> None:
        """Drops the connection, which cancels the work of the server."""
        if self._exchange is not None:
            self._exchange.close_now()

    def end(self, end: decisions.AttemptEnd) -> None:
        """Closes the account of the server's version."""
        if self._observer is not None:
            self._observer.end(
                failed=end is decisions.AttemptEnd.FAILED,
                lost=end is decisions.AttemptEnd.LOST,
            )

    def _classify(
        self, error: errors.DragonflydykeError
    ) -> decisions.AttemptEnd:
        if not self.may_have_run:
            return decisions.AttemptEnd.NOT_RUN
        if error.code == "backend_deadline_exceeded":
            return decisions.AttemptEnd.LATE
        return decisions.AttemptEnd.LOST

    async def _open(self) -> None:
        admitted = self._admitted
        loop = asyncio.get_running_loop()
        last_event_id = self._state.last_event_id
        if last_event_id is None:
            last_event_id = self._request.details.last_event_id
        model_name = self._select_model()
        dispatch = messages.Dispatch(
            server=self.member.name,
            remaining_s=admitted.deadline_s - loop.time(),
            account=admitted.account.name if admitted.account else "",
            model=model_name,
            urgency=_select_urgency(admitted),
            last_event_id=last_event_id,
        )
        body = self._request.body
        request = backends.BackendRequest(
            self.member.server,
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
        await self._exchange.connect(self._services.tcp)
        self.may_have_run = True
        self.was_sent = True
        self._observer = self._services.conductor.begin(
            self.member,
            admitted.route,
            model_name or self._request.details.model,
        )
        await self._exchange.send()
        await self._await_start()

    async def _await_start(self) -> None:
        assert self._exchange is not None
        patience_s = None
        if not self._state.begun:
            patience_s = self._models.find_patience_s(
                self._admitted.route, self._state.describe(), self._elapsed_s()
            )
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange.await_response()
        except TimeoutError as error:
            self._models.record_escalation(late=True)
            raise AttemptEndedError(
                decisions.AttemptEnd.SLOW, "no event yet"
            ) from error
        if patience_s is not None:
            self._models.record_escalation(late=False)

    def _elapsed_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._request.received_s

    def _select_model(self) -> str:
        if not self._request.details.wants_any_model:
            return ""
        return self._models.select_model(
            self._admitted.route, self._state.describe()
        )

    def _check_confidence(self, details: messages.AnswerDetails) -> None:
        if self._state.begun or not self._request.details.wants_any_model:
            return
        good = self._models.is_good_enough(
            self._admitted.route,
            self._state.describe(),
            details.confidence,
            self._elapsed_s(),
        )
        if not good and self._budget.has_room:
            raise AttemptEndedError(
                decisions.AttemptEnd.INSUFFICIENT,
                f"confidence {details.confidence:.2f}",
            )

    async def _deliver_answer(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        details = self._services.codec.read_answer(
            exchange.status, exchange.headers
        )
        if not details.not_run and self._observer is not None:
            self._observer.note_answer()
        if details.not_run:
            self.may_have_run = False
            raise AttemptEndedError(
                decisions.AttemptEnd.NOT_RUN, f"status {exchange.status}"
            )
        request_id = self._request.details.request_id
        if details.request_id != request_id:
            raise AttemptEndedError(decisions.AttemptEnd.LOST, "foreign answer")
        if not details.signed or details.encoded:
            raise AttemptEndedError(decisions.AttemptEnd.LOST, "not signed")
        succeeded = _OK <= exchange.status < _FIRST_REDIRECT
        is_stream = self._admitted.route.kind is model.RequestKind.STREAM
        if is_stream and succeeded and details.is_stream:
            self._check_confidence(details)
            await self._relay_events()
            return
        answer = await self._read_whole()
        if self._state.begun:
            raise AttemptEndedError(decisions.AttemptEnd.FAILED, "no stream")
        if exchange.status >= _SERVER_ERROR:
            self._state.failure = answer
            end = decisions.AttemptEnd.FAILED
            if exchange.status == _GATEWAY_TIMEOUT:
                end = decisions.AttemptEnd.LATE
            raise AttemptEndedError(end, f"status {exchange.status}")
        answer.deliver(self._reply)

    async def _read_whole(self) -> BufferedAnswer:
        exchange = self._exchange
        assert exchange is not None
        parts = []
        size = 0
        async for chunk in exchange.read_chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > _MAX_ANSWER_BYTES:
                raise AttemptEndedError(decisions.AttemptEnd.LOST, "too large")
        headers = self._services.codec.write_answer(exchange.headers)
        return BufferedAnswer(exchange.status, headers, b"".join(parts))

    async def _relay_events(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        splitter = events.EventSplitter()
        chunks = exchange.read_chunks()
        while True:
            try:
                async with asyncio.timeout(self._find_silence_s()):
                    chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise AttemptEndedError(
                    decisions.AttemptEnd.LOST, "stream silent"
                ) from error
            if chunk is None:
                break
            for event in splitter.feed(chunk):
                if self._observer is not None:
                    self._observer.note_event()
                await self._relay_event(event)
        if splitter.has_incomplete_event:
            raise AttemptEndedError(decisions.AttemptEnd.LOST, "torn event")
        self._begin()
        self._reply.finish()

    def _find_silence_s(self) -> float | None:
        """Returns after which silence a stream goes on elsewhere, if it can."""
        route = self._admitted.route
        may_resume = (
            self._state.begun
            and route.resumable
            and self._state.attempts + 1 < route.max_attempts
            and self._budget.has_room
        )
        if not may_resume or not route.max_event_gap_s:
            return None
        return route.max_event_gap_s * _SILENT_GAPS

    async def _relay_event(self, event: bytes) -> None:
        event_id = self._services.codec.read_event_id(event)
        if event_id is not None:
            last = self._state.last_event_id
            if last is None:
                last = self._request.details.last_event_id
            expected = event_id if last is None else last + 1
            if event_id != expected:
                raise AttemptEndedError(
                    decisions.AttemptEnd.LOST,
                    f"event {event_id} instead of {expected}",
                )
        self._begin()
        await self._reply.write(event + b"\n\n")
        if event_id is not None:
            self._state.last_event_id = event_id

    def _begin(self) -> None:
        if self._state.begun:
            return
        assert self._exchange is not None
        headers = self._services.codec.write_answer(self._exchange.headers)
        self._state.begun = True
        self._reply.start(self._exchange.status, headers)


def _select_urgency(admitted: decisions.Admitted) -> int | None:
    if not admitted.pool.has_engines:
        return None
    return min(_LAST_URGENCY, max(0, _FIRST_URGENCY + admitted.priority))
