"""One dispatched attempt at a backend server."""

import asyncio
import types
from collections.abc import AsyncIterator, Awaitable, Sequence
from typing import TypeVar

from dragonflydyke import errors
from dragonflydyke.configuration import model
from dragonflydyke.gateway import accounting, events, services
from dragonflydyke.gateway.caller import CallerGoneError
from dragonflydyke.routing import AttemptEnd

MAX_ANSWER_BYTES = 16_000_000
MAX_ERROR_BYTES = 64_000
_OK = 200
# The cancel request to an engine gets its own time, because the deadline of
# the request may be over.
_CLOSE_TIMEOUT_S = 2.0
# Lets an engine whose link broke accept connections again.
_RESUME_PAUSE_S = 0.1
_CONNECTION_LOST = "backend_connection_lost"
_CALLER_FAULTS = frozenset({"backend_rejected", "answer_too_long"})

_T = TypeVar("_T")


async def wait_until(
    awaitable: Awaitable[_T],
    deadline: float,
    *,
    step: errors.Step,
    peer: str = "",
    execution: errors.Execution,
) -> _T:
    """Waits until a deadline in loop time.

    Raises:
        DragonflydykeError: `deadline_exceeded` with the given execution.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await awaitable
    except TimeoutError:
        raise build_deadline_error(step, peer, execution) from None


def build_deadline_error(
    step: errors.Step, peer: str, execution: errors.Execution
) -> errors.DragonflydykeError:
    """Returns the error of a request whose deadline passed."""
    return errors.DragonflydykeError(
        "deadline_exceeded",
        "The deadline passed; allow more time or retry later.",
        step=step,
        peer=peer,
        execution=execution,
        status=504,
    )


class BackendAttempt:
    """Async context of an attempt: counts, closes and accounts for it.

    Attributes:
        record: Entry of the attempt in the bill.
        produced_events: Events of the answer, the estimate of its tokens
            when the engine does not report them.
    """

    __slots__ = (
        "_answer",
        "_bill",
        "_blame_after_s",
        "_deadline",
        "_deferred",
        "_iterator",
        "_placement",
        "_price",
        "_primed",
        "_resumes_left",
        "_roll_out",
        "_server",
        "_services",
        "_usage",
        "produced_events",
        "record",
    )

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        bill: accounting.BillDraft,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
        *,
        names: tuple[str, str],
        price: model.Price | int,
        deadline: float,
        blame_after_s: float,
        kind: str,
        long: bool = False,
        roll_out: model.Rollout | None = None,
        max_resumes: int = 0,
    ) -> None:
        """Begins an attempt.

        Args:
            gateway_services: Components of the gateway.
            bill: Bill of the request.
            server: Where the attempt goes.
            candidates: Servers with the same work.
            names: Model and version, or service and operation.
            price: Price of tokens, or of a call in micro-units.
            deadline: Loop time at which the request ends.
            blame_after_s: Seconds without an answer after which the server
                and version are at fault, not the deadline of the caller.
            kind: Kind of work, whose times to the first byte are comparable.
            long: Whether it counts against the slots for long work.
            roll_out: Roll-out of the model, if any.
            max_resumes: Connections that may continue a broken stream.
        """
        self._services = gateway_services
        self._bill = bill
        self._server = server
        self._price = price
        self._deadline = deadline
        self._blame_after_s = blame_after_s
        self._roll_out = roll_out
        self._resumes_left = max_resumes
        self._answer: services.BackendAnswer | None = None
        self._usage: services.Usage | None = None
        self._iterator: AsyncIterator[bytes] | None = None
        self._primed: list[bytes] = []
        self._deferred: errors.DragonflydykeError | None = None
        self.produced_events = 0
        self._placement = gateway_services.pool.begin(
            server, candidates, kind, long=long
        )
        self.record = bill.begin_attempt(names[0], names[1], server.name)

    async def __aenter__(self) -> "BackendAttempt":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        try:
            if error is not None:
                self._usage = await self._close() or self._usage
        finally:
            self._end(error)

    async def open(
        self, request: services.BackendRequest
    ) -> services.BackendAnswer:
        """Sends the request and returns the answer after its headers."""
        self._answer = await wait_until(
            self._services.backends.open(request, deadline=self._deadline),
            self._deadline,
            step=errors.Step.AWAIT_ANSWER,
            peer=self._server.name,
            execution=errors.Execution.UNKNOWN,
        )
        return self._answer

    async def resume(
        self, event_index: int, cause: errors.DragonflydykeError
    ) -> None:
        """Continues a stream whose connection broke at an event.

        Raises:
            DragonflydykeError: `cause` if it is no lost connection, or the
                engine does not continue the stream.
        """
        if cause.code != _CONNECTION_LOST:
            raise cause
        while self._resumes_left > 0:
            self._resumes_left -= 1
            answer = await self._try_resume(event_index)
            if answer is None:
                await self._pause()
                continue
            self._answer = answer
            self._iterator = None
            if answer.status != _OK:
                break
            self._services.counters.increment("stream.resumed")
            return
        self._services.counters.increment("stream.not_resumed")
        raise cause

    async def _try_resume(
        self, event_index: int
    ) -> services.BackendAnswer | None:
        assert self._answer is not None
        try:
            return await wait_until(
                self._services.backends.resume(
                    self._answer, event_index, deadline=self._deadline
                ),
                self._deadline,
                step=errors.Step.AWAIT_ANSWER,
                peer=self._server.name,
                execution=errors.Execution.UNKNOWN,
            )
        except errors.DragonflydykeError as error:
            self._services.counters.increment(f"resume.{error.code}")
            return None

    async def _pause(self) -> None:
        left_s = self._deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(_RESUME_PAUSE_S, left_s)))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body of the answer until the deadline."""
        while self._primed:
            yield self._primed.pop(0)
        if self._deferred is not None:
            error, self._deferred = self._deferred, None
            raise error
        while True:
            chunk = await self._read_chunk()
            if chunk is None:
                return
            yield chunk

    async def prime(self) -> None:
        """Reads the first chunk, which `chunks` yields again.

        A lost connection is left to the reader of `chunks`, who may resume.
        """
        try:
            chunk = await self._read_chunk()
        except errors.DragonflydykeError as error:
            if error.code != _CONNECTION_LOST or not self._resumes_left:
                raise
            self._deferred = error
            return
        if chunk is not None:
            self._primed.append(chunk)

    def lose(self) -> None:
        """Records that another attempt answered first.

        The time until now shows how slow the server is at least.
        """
        self._placement.record_first_byte()

    async def _read_chunk(self) -> bytes | None:
        assert self._answer is not None
        if self._iterator is None:
            self._iterator = aiter(self._answer.chunks())
        chunk = await wait_until(
            anext(self._iterator, None),
            self._deadline,
            step=errors.Step.READ_ANSWER,
            peer=self._server.name,
            execution=errors.Execution.UNKNOWN,
        )
        if chunk is not None:
            self._placement.record_first_byte()
        return chunk

    async def read_body(self, limit_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Returns the whole body of the answer."""
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit_bytes:
                raise self.build_error(
                    "answer_too_long",
                    f"The answer is longer than {limit_bytes} bytes; ask for "
                    "a shorter one.",
                )
            parts.append(chunk)
        return b"".join(parts)

    async def complete(self, usage: services.Usage | None) -> None:
        """Accounts for a complete answer."""
        closed = await self._close()
        self._usage = usage or closed
        if self._usage is None and isinstance(self._price, model.Price):
            self._services.counters.increment("bill.usage_missing")
        self._set_outcome(accounting.Outcome.COMPLETED)

    def reject(self) -> None:
        """Marks a complete answer as not good enough; its cost stays."""
        self.record.outcome = accounting.Outcome.REJECTED

    @property
    def is_sampled(self) -> bool:
        """Whether the answer is to be rated for a roll-out."""
        return (
            self._services.sampler is not None
            and self._roll_out is not None
            and self.record.version == self._roll_out.to_version
        )

    def offer_sample(self, answer: bytes) -> None:
        """Has a complete answer rated, if it is sampled."""
        if self.is_sampled:
            self._services.sampler.offer(
                self._roll_out.name, self.record.version, answer
            )

    def build_error(
        self,
        code: str,
        message: str,
        *,
        status: int = 502,
        execution: errors.Execution = errors.Execution.UNKNOWN,
        retry_after_s: float | None = None,
    ) -> errors.DragonflydykeError:
        """Returns an error in the answer of the server."""
        return errors.DragonflydykeError(
            code,
            message,
            step=errors.Step.READ_ANSWER,
            peer=self._server.name,
            execution=execution,
            status=status,
            retry_after_s=retry_after_s,
        )

    async def _close(self) -> services.Usage | None:
        if self._answer is None:
            return None
        answer, self._answer = self._answer, None
        try:
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                return await answer.close()
        except (TimeoutError, errors.DragonflydykeError):
            self._services.counters.increment("backend.close_failed")
            return None

    def _set_outcome(self, outcome: accounting.Outcome) -> None:
        self.record.outcome = outcome
        if isinstance(self._price, int):
            self.record.cost = self._price
            return
        usage = self._usage or events.TokenUsage(0, self.produced_events)
        self.record.prompt_tokens = usage.prompt_tokens
        self.record.completion_tokens = usage.completion_tokens
        self.record.cost = self._price.cost(
            usage.prompt_tokens, usage.completion_tokens
        )

    def _end(self, error: BaseException | None) -> None:
        if error is None:
            self._placement.end(AttemptEnd.COMPLETED)
            self._count_version(failed=False)
        elif isinstance(error, asyncio.CancelledError | CallerGoneError):
            self._end_cancelled()
        elif isinstance(error, errors.DragonflydykeError):
            self._end_failed(error)
        else:
            self._placement.end(AttemptEnd.CANCELLED)

    def _end_cancelled(self) -> None:
        self._placement.end(AttemptEnd.CANCELLED)
        if self.record.outcome == accounting.Outcome.FAILED:
            self._set_outcome(accounting.Outcome.CANCELLED)

    def _end_failed(self, error: errors.DragonflydykeError) -> None:
        blamed = self._is_server_fault(error)
        if error.execution is errors.Execution.NOT_RUN:
            self._bill.drop_attempt(self.record)
        if blamed:
            self._placement.end(AttemptEnd.FAILED)
        else:
            self._placement.end(AttemptEnd.CANCELLED)
        # A connection failure says nothing about the version.
        if error.step is not errors.Step.CONNECT:
            self._count_version(failed=blamed)

    def _is_server_fault(self, error: errors.DragonflydykeError) -> bool:
        if error.code != "deadline_exceeded":
            return error.code not in _CALLER_FAULTS
        loop = asyncio.get_running_loop()
        elapsed_s = loop.time() - self._placement.started_s
        silent = self._placement.latency_s is None
        self._placement.record_first_byte()
        return silent and elapsed_s >= self._blame_after_s

    def _count_version(self, *, failed: bool) -> None:
        roll_out = self._roll_out
        if roll_out is None:
            return
        version = self.record.version
        if version in (roll_out.from_version, roll_out.to_version):
            self._services.version_counts.record_request(
                roll_out.name, version, failed=failed
            )
