"""Runs a request: attempts at servers until an answer or a refusal."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from tornado import httputil, tcpclient

from dragonflydyke import errors, latencies, logs, metrics, transport
from dragonflydyke.backends import connection, events
from dragonflydyke.backends import model as backends
from dragonflydyke.forwarding import (
    cascade,
    conductor,
    decisions,
    directory,
    messages,
    model,
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
# Retries of this node per request, and those it may make at once; the fleet
# shares a budget that no node can see.
_RETRY_SHARE = 0.8
_RETRY_RESERVE = 4.0

_LOGGER = logs.get_logger("forwarding")


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


class _AttemptError(Exception):
    """An attempt ended without an answer that can be delivered."""

    def __init__(self, end: decisions.AttemptEnd, reason: str) -> None:
        super().__init__(reason)
        self.end = end
        self.reason = reason


@dataclasses.dataclass(slots=True)
class _RunState:
    """What has happened to a request.

    Attributes:
        attempts: Attempts that may have run, without those at servers that
            have ended since.
        may_have_run: Whether any attempt may have run.
        dispatches: All attempts that were sent.
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
    last_event_id: int | None = None
    begun: bool = False
    failed_servers: list[str] = dataclasses.field(default_factory=list)
    failure: "_BufferedAnswer | None" = None
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
class _BufferedAnswer:
    status: int
    headers: httputil.HTTPHeaders
    body: bytes


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
        "_codec",
        "_conductor",
        "_counters",
        "_directory",
        "_placer",
        "_tcp",
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
        self.latencies = latencies.Latencies()
        self._codec = codec
        self._directory = members
        self._conductor = versions
        self._placer = placer
        self._counters = counters
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._cascades: dict[str, cascade.Cascade] = {}
        self._tcp = tcpclient.TCPClient(transport.AddressResolver())

    async def forward(
        self, request: messages.IncomingRequest, reply: Reply
    ) -> None:
        """Answers a request in every case, unless the client leaves."""
        state = _RunState()
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
        except ClientGoneError:
            outcome = "client_gone"
            reply.abort()
        self._log(request, admitted, state, outcome)

    async def _run(
        self,
        request: messages.IncomingRequest,
        reply: Reply,
        admitted: decisions.Admitted,
        state: _RunState,
    ) -> None:
        job = _build_job(request, admitted)
        budget = self._budgets.setdefault(
            admitted.pool.name, retries.RetryBudget(_RETRY_RESERVE)
        )
        budget.record_request(_RETRY_SHARE)
        loop = asyncio.get_running_loop()
        while True:
            end, reason = await self._attempt(
                request, reply, admitted, job, state, budget
            )
            progress = decisions.RequestProgress(
                attempts=state.attempts,
                dispatches=state.dispatches,
                may_have_run=state.may_have_run,
                answer_begun=state.begun,
                remaining_s=admitted.deadline_s - loop.time(),
            )
            step = decisions.decide_next(admitted.route, end, progress)
            if step is decisions.NextStep.DONE:
                return
            if step is decisions.NextStep.RETRY and budget.try_spend():
                self._counters.increment(f"retry.{end}")
                _note_models(state, end)
                continue
            if state.failure is not None and not state.begun:
                _deliver(reply, state.failure)
                return
            raise decisions.conclude(end, progress)

    async def _attempt(
        self,
        request: messages.IncomingRequest,
        reply: Reply,
        admitted: decisions.Admitted,
        job: placement.Job,
        state: _RunState,
        budget: retries.RetryBudget,
    ) -> tuple[decisions.AttemptEnd, str]:
        loop = asyncio.get_running_loop()
        self._directory.expire(loop.time())
        members = self._list_members(request, admitted)
        choice = self._placer.choose(
            job, members, loop.time(), state.failed_servers
        )
        if choice is None:
            return decisions.AttemptEnd.NOT_RUN, "no server"
        member = choice.member
        state.dispatches += 1
        self._placer.begin(job, member)
        models = self._cascades.setdefault(
            admitted.pool.name, cascade.Cascade()
        )
        attempt = _Attempt(
            self._codec,
            self._tcp,
            self._conductor,
            request,
            admitted,
            member,
            models,
            budget,
        )
        end = decisions.AttemptEnd.DELIVERED
        reason = ""
        try:
            await _until_closed(reply, attempt.run(reply, state))
        except _AttemptError as error:
            end, reason = error.end, error.reason
        except ClientGoneError:
            end = decisions.AttemptEnd.CLIENT_GONE
            raise
        finally:
            attempt.close()
            if attempt.may_have_run and not self._has_ended(member, end):
                state.attempts += 1
            state.may_have_run |= attempt.may_have_run
            ejected = self._placer.end(
                job,
                member,
                loop.time(),
                failed=_judge(end),
                latency=None,
                peers=members,
            )
            attempt.end(end)
            if ejected:
                self._counters.increment("server.ejected")
                _LOGGER.notice("server ejected", server=member.name)
            state.trail.append(f"{member.name}:{end}:{reason}")
        if end not in _BLAMELESS:
            state.failed_servers.append(member.name)
        return end, reason

    def _list_members(
        self, request: messages.IncomingRequest, admitted: decisions.Admitted
    ) -> tuple[directory.Member, ...]:
        members = self._directory.list_usable(admitted.pool.name)
        session = request.details.session or request.details.request_id
        rule = self._conductor.select(admitted.pool.name, session)
        return placement.filter_versions(rule, members)

    def _has_ended(
        self, member: directory.Member, end: decisions.AttemptEnd
    ) -> bool:
        """Returns whether an attempt was lost because its server ended.

        The old servers stop at once when a roll-out completes.
        """
        if end is not decisions.AttemptEnd.LOST:
            return False
        rule = self._conductor.select(member.pool, "")
        has_other_version = bool(rule.wanted) and not rule.allows(
            member.version
        )
        return has_other_version or not self._directory.is_usable(member)

    def _refuse(
        self,
        request: messages.IncomingRequest,
        reply: Reply,
        error: errors.DragonflydykeError,
    ) -> None:
        self._counters.increment(f"refusal.{error.code}")
        if reply.is_closed:
            return
        headers = self._codec.write_refusal(
            request.details.request_id, error.retry_after_s
        )
        body = (error.code + "\n").encode()
        _deliver(reply, _BufferedAnswer(error.status, headers, body))

    def _end_with_error(
        self,
        request: messages.IncomingRequest,
        reply: Reply,
        state: _RunState,
        error: errors.DragonflydykeError,
    ) -> None:
        if state.begun:
            self._counters.increment(f"stream_cut.{error.code}")
            reply.abort()
            return
        self._refuse(request, reply, error)

    def _log(
        self,
        request: messages.IncomingRequest,
        admitted: decisions.Admitted | None,
        state: _RunState,
        outcome: str,
    ) -> None:
        self._counters.increment(f"request.{outcome}")
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
            servers_age_s=_round_age(now_s, self._directory.updated_s),
            attempts=state.trail,
            outcome=outcome,
            took_s=round(now_s - request.received_s, 4),
        )


class _Attempt:
    """One dispatch of a request to a server.

    Attributes:
        member: The server.
        may_have_run: Whether the server may have run the request.
    """

    __slots__ = (
        "_admitted",
        "_budget",
        "_codec",
        "_conductor",
        "_exchange",
        "_models",
        "_observer",
        "_request",
        "_tcp",
        "may_have_run",
        "member",
    )

    def __init__(
        self,
        codec: messages.Codec,
        tcp: tcpclient.TCPClient,
        versions: conductor.Conductor,
        request: messages.IncomingRequest,
        admitted: decisions.Admitted,
        member: directory.Member,
        models: cascade.Cascade,
        budget: retries.RetryBudget,
    ) -> None:
        self._conductor = versions
        self._models = models
        self._budget = budget
        self._codec = codec
        self._tcp = tcp
        self._request = request
        self._admitted = admitted
        self._exchange: connection.Exchange | None = None
        self._observer: conductor.AttemptObserver | None = None
        self.member = member
        self.may_have_run = False

    async def run(self, reply: Reply, state: _RunState) -> None:
        """Sends the request and delivers the answer.

        Raises:
            _AttemptError: If there is nothing to deliver yet.
        """
        try:
            await self._open(state)
            await self._deliver_answer(reply, state)
        except errors.DragonflydykeError as error:
            raise _AttemptError(self._classify(error), error.code) from error

    def close(self) -> None:
        """Drops the connection, which cancels the work of the server."""
        if self._exchange is not None:
            self._exchange.abandon()

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

    async def _open(self, state: _RunState) -> None:
        admitted = self._admitted
        loop = asyncio.get_running_loop()
        last_event_id = state.last_event_id
        if last_event_id is None:
            last_event_id = self._request.details.last_event_id
        model_name = self._select_model(state)
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
            self._codec.write_request(self._request, dispatch),
            body if body else None,
            accepts_unframed=True,
        )
        self._exchange = connection.Exchange(
            request,
            admitted.deadline_s,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        await self._exchange.connect(self._tcp)
        self.may_have_run = True
        route = admitted.route.name
        self._observer = self._conductor.begin(
            self.member, route, f"{route} {model_name}"
        )
        await self._exchange.send()
        await self._await_start(state)

    async def _await_start(self, state: _RunState) -> None:
        assert self._exchange is not None
        patience_s = None
        if not state.begun:
            patience_s = self._models.find_patience_s(
                self._admitted.route, state.describe(), self._elapsed_s()
            )
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange.await_answer()
        except TimeoutError as error:
            self._models.record_escalation(late=True)
            raise _AttemptError(
                decisions.AttemptEnd.SLOW, "no event yet"
            ) from error
        if patience_s is not None:
            self._models.record_escalation(late=False)

    def _elapsed_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._request.received_s

    def _select_model(self, state: _RunState) -> str:
        if not self._request.details.wants_any_model:
            return ""
        return self._models.select_model(self._admitted.route, state.describe())

    def _check_confidence(
        self, details: messages.AnswerDetails, state: _RunState
    ) -> None:
        if state.begun or not self._request.details.wants_any_model:
            return
        good = self._models.is_good_enough(
            self._admitted.route,
            state.describe(),
            details.confidence,
            self._elapsed_s(),
        )
        if not good and self._budget.has_room:
            raise _AttemptError(
                decisions.AttemptEnd.INSUFFICIENT,
                f"confidence {details.confidence:.2f}",
            )

    async def _deliver_answer(self, reply: Reply, state: _RunState) -> None:
        exchange = self._exchange
        assert exchange is not None
        details = self._codec.read_answer(exchange.status, exchange.headers)
        if not details.not_run and self._observer is not None:
            self._observer.note_answer()
        if details.not_run:
            self.may_have_run = False
            raise _AttemptError(
                decisions.AttemptEnd.NOT_RUN, f"status {exchange.status}"
            )
        request_id = self._request.details.request_id
        if details.request_id != request_id:
            raise _AttemptError(decisions.AttemptEnd.LOST, "foreign answer")
        if not details.signed or details.encoded:
            raise _AttemptError(decisions.AttemptEnd.LOST, "not signed")
        succeeded = _OK <= exchange.status < _FIRST_REDIRECT
        is_stream = self._admitted.route.kind is model.RequestKind.STREAM
        if is_stream and succeeded and details.is_stream:
            self._check_confidence(details, state)
            await self._relay_events(reply, state)
            return
        answer = await self._read_whole()
        if state.begun:
            raise _AttemptError(decisions.AttemptEnd.FAILED, "no stream")
        if exchange.status >= _SERVER_ERROR:
            state.failure = answer
            end = decisions.AttemptEnd.FAILED
            if exchange.status == _GATEWAY_TIMEOUT:
                end = decisions.AttemptEnd.LATE
            raise _AttemptError(end, f"status {exchange.status}")
        _deliver(reply, answer)

    async def _read_whole(self) -> _BufferedAnswer:
        exchange = self._exchange
        assert exchange is not None
        parts = []
        size = 0
        async for chunk in exchange.read_chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > _MAX_ANSWER_BYTES:
                raise _AttemptError(decisions.AttemptEnd.LOST, "too large")
        headers = self._codec.write_answer(exchange.headers)
        return _BufferedAnswer(exchange.status, headers, b"".join(parts))

    async def _relay_events(self, reply: Reply, state: _RunState) -> None:
        exchange = self._exchange
        assert exchange is not None
        splitter = events.EventSplitter()
        chunks = exchange.read_chunks()
        while True:
            try:
                async with asyncio.timeout(self._find_silence_s(state)):
                    chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise _AttemptError(
                    decisions.AttemptEnd.LOST, "stream silent"
                ) from error
            if chunk is None:
                break
            for event in splitter.feed(chunk):
                await self._relay_event(reply, state, event)
        if splitter.has_rest:
            raise _AttemptError(decisions.AttemptEnd.LOST, "torn event")
        self._begin(reply, state)
        reply.finish()

    def _find_silence_s(self, state: _RunState) -> float | None:
        """Returns after which silence a stream goes on elsewhere, if it can."""
        route = self._admitted.route
        may_resume = (
            state.begun
            and route.resumable
            and state.attempts + 1 < route.max_attempts
            and self._budget.has_room
        )
        if not may_resume or not route.max_event_gap_s:
            return None
        return route.max_event_gap_s * _SILENT_GAPS

    async def _relay_event(
        self, reply: Reply, state: _RunState, event: bytes
    ) -> None:
        event_id = self._codec.read_event_id(event)
        if event_id is not None:
            last = state.last_event_id
            if last is None:
                last = self._request.details.last_event_id
            expected = event_id if last is None else last + 1
            if event_id != expected:
                raise _AttemptError(
                    decisions.AttemptEnd.LOST,
                    f"event {event_id} instead of {expected}",
                )
        self._begin(reply, state)
        await reply.write(event + b"\n\n")
        if event_id is not None:
            state.last_event_id = event_id

    def _begin(self, reply: Reply, state: _RunState) -> None:
        if state.begun:
            return
        assert self._exchange is not None
        headers = self._codec.write_answer(self._exchange.headers)
        state.begun = True
        reply.start(self._exchange.status, headers)


def _deliver(reply: Reply, answer: _BufferedAnswer) -> None:
    reply.send_whole(answer.status, answer.headers, answer.body)


async def _until_closed(reply: Reply, work: Coroutine[Any, Any, None]) -> None:
    """Runs work until its end, or cancels it when the client goes."""
    task = asyncio.ensure_future(work)
    reply.on_close(task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if reply.is_closed:
            raise ClientGoneError from None
        raise
    finally:
        reply.on_close(None)


_BLAMELESS = frozenset(
    (decisions.AttemptEnd.DELIVERED, decisions.AttemptEnd.INSUFFICIENT)
)


def _judge(end: decisions.AttemptEnd) -> bool | None:
    """Returns whether a server was at fault, None if that is not known."""
    if end in _BLAMELESS:
        return False
    if end in (decisions.AttemptEnd.CLIENT_GONE, decisions.AttemptEnd.SLOW):
        return None
    return True


def _note_models(state: _RunState, end: decisions.AttemptEnd) -> None:
    if end is decisions.AttemptEnd.INSUFFICIENT:
        state.escalated = True
    elif end is decisions.AttemptEnd.SLOW:
        state.fell_back = True


def _select_urgency(admitted: decisions.Admitted) -> int | None:
    if admitted.pool.engine is None:
        return None
    return min(9, max(0, 2 + admitted.priority))


def _build_job(
    request: messages.IncomingRequest, admitted: decisions.Admitted
) -> placement.Job:
    details = request.details
    if admitted.pool.engine is None:
        return placement.Job(admitted.pool, body_bytes=len(request.body))
    shared = details.shared_part
    shared_tokens = sum(part.tokens for part in details.prompt[:-1])
    return placement.Job(
        pool=admitted.pool,
        affinity=shared.part_id if shared else "",
        shared_tokens=shared_tokens,
        own_tokens=max(0, details.prompt_tokens - shared_tokens),
        output_tokens=details.length_hint or details.max_output_tokens,
        body_bytes=len(request.body),
    )


def _round_age(now_s: float, then_s: float | None) -> float | None:
    return None if then_s is None else round(now_s - then_s, 2)
