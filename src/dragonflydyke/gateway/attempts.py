"""One attempt to execute a request at a backend server."""

import asyncio
import types
from collections.abc import AsyncIterator, Awaitable, Sequence
from typing import TypeVar

from dragonflydyke import errors
from dragonflydyke.backends import statements
from dragonflydyke.configuration import model
from dragonflydyke.gateway import accounting, events, services
from dragonflydyke.gateway.response_writer import ClientDisconnectedError
from dragonflydyke.routing import AttemptOutcome

MAX_RESPONSE_BYTES = 16_000_000
MAX_ERROR_BYTES = 64_000
_OK = 200
# The cancel request to an engine has its own timeout, because the deadline of
# the request may already have passed.
_CLOSE_TIMEOUT_S = 2.0
# Gives an engine whose connection was lost time to accept connections again.
_RESUME_DELAY_S = 0.1
_CONNECTION_LOST = "backend_connection_lost"
_CLIENT_FAULT_CODES = frozenset({"backend_rejected", "answer_too_long"})

_T = TypeVar("_T")


async def wait_until(
    awaitable: Awaitable[_T],
    deadline: float,
    *,
    step: errors.Step,
    peer: str = "",
    execution: errors.Execution,
) -> _T:
    """Returns the result of an awaitable, which is cancelled at the deadline.

    Args:
        awaitable: What to wait for.
        deadline: Loop time.
        step: Step that the error names.
        peer: Peer that the error names.
        execution: Execution that the error states.

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
    """Returns the error of a request that exceeded its deadline."""
    return errors.DragonflydykeError(
        "deadline_exceeded",
        "The deadline was exceeded; set a later deadline or retry later.",
        step=step,
        peer=peer,
        execution=execution,
        status=504,
    )


class BackendAttempt:
    """Async context manager of one attempt.

    On exit it closes the response, records the outcome with the server pool
    and the counts of the rollout, and sets the cost of the attempt.

    Attributes:
        record: Record of the attempt in the bill.
        produced_events: Number of events in the response. It is the estimate
            of the completion tokens when the engine does not report them.
    """

    __slots__ = (
        "_bill",
        "_buffered_chunks",
        "_chunk_iterator",
        "_deadline",
        "_deferred_error",
        "_placement",
        "_price",
        "_response",
        "_resumes_left",
        "_roll_out",
        "_server",
        "_server_fault_after_s",
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
        server_fault_after_s: float,
        work_kind: str,
        long: bool = False,
        roll_out: model.Rollout | None = None,
        max_resumes: int = 0,
    ) -> None:
        """Starts an attempt.

        Args:
            gateway_services: Components of the gateway.
            bill: Bill of the request.
            server: Backend server that the request is sent to.
            candidates: Servers among which `server` was selected.
            names: Model and version, or service and operation.
            price: Price per token, or of a call in micro-units of currency.
            deadline: Loop time at which the request must be finished.
            server_fault_after_s: Seconds without a response after which an
                exceeded deadline is attributed to the server and version. If
                it is exceeded earlier, the client set it too short.
            work_kind: Kind of work; times to the first byte are compared
                within a kind.
            long: Whether the attempt occupies a slot for long work.
            roll_out: Rollout of the model, if any.
            max_resumes: Maximum number of new connections for continuing an
                interrupted stream.
        """
        self._services = gateway_services
        self._bill = bill
        self._server = server
        self._price = price
        self._deadline = deadline
        self._server_fault_after_s = server_fault_after_s
        self._roll_out = roll_out
        self._resumes_left = max_resumes
        self._response: services.BackendAnswer | None = None
        self._usage: services.Usage | None = None
        self._chunk_iterator: AsyncIterator[bytes] | None = None
        self._buffered_chunks: list[bytes] = []
        self._deferred_error: errors.DragonflydykeError | None = None
        self.produced_events = 0
        self._placement = gateway_services.pool.start_attempt(
            server, candidates, work_kind, long=long
        )
        self.record = bill.start_attempt(names[0], names[1], server.name)

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
                self._usage = await self._close_response() or self._usage
        finally:
            self._finish(error)

    async def open(
        self, request: services.BackendRequest
    ) -> services.BackendAnswer:
        """Sends the request; returns the response once it has its headers.

        Raises:
            DragonflydykeError: `deadline_exceeded`, or as the backend client.
        """
        self._response = await wait_until(
            self._services.backends.open(request, deadline=self._deadline),
            self._deadline,
            step=errors.Step.AWAIT_ANSWER,
            peer=self._server.name,
            execution=errors.Execution.UNKNOWN,
        )
        self._services.pool.record_statement(
            self._server,
            leaves=statements.says_leaving(self._response.headers),
            pause_s=statements.find_pause_s(
                self._response.status, self._response.headers
            ),
        )
        return self._response

    async def resume(
        self, event_index: int, cause: errors.DragonflydykeError
    ) -> None:
        """Continues a stream on a new connection after a connection loss.

        Args:
            event_index: Index of the first event that was not received.
            cause: Error that interrupted the stream.

        Raises:
            DragonflydykeError: `cause`, if it is not a connection loss or the
                engine does not continue the stream.
        """
        if cause.code != _CONNECTION_LOST:
            raise cause
        while self._resumes_left > 0:
            self._resumes_left -= 1
            response = await self._try_resume(event_index)
            if response is None:
                await self._wait_before_resume()
                continue
            self._response = response
            self._chunk_iterator = None
            if response.status != _OK:
                break
            self._services.counters.increment("stream.resumed")
            return
        self._services.counters.increment("stream.not_resumed")
        raise cause

    async def _try_resume(
        self, event_index: int
    ) -> services.BackendAnswer | None:
        assert self._response is not None
        try:
            return await wait_until(
                self._services.backends.resume(
                    self._response, event_index, deadline=self._deadline
                ),
                self._deadline,
                step=errors.Step.AWAIT_ANSWER,
                peer=self._server.name,
                execution=errors.Execution.UNKNOWN,
            )
        except errors.DragonflydykeError as error:
            self._services.counters.increment(f"resume.{error.code}")
            return None

    async def _wait_before_resume(self) -> None:
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(_RESUME_DELAY_S, remaining_s)))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the response body.

        Raises:
            DragonflydykeError: `deadline_exceeded`, or as the backend client.
        """
        while self._buffered_chunks:
            yield self._buffered_chunks.pop(0)
        if self._deferred_error is not None:
            error, self._deferred_error = self._deferred_error, None
            raise error
        while True:
            chunk = await self._read_chunk()
            if chunk is None:
                return
            yield chunk

    async def buffer_first_chunk(self) -> None:
        """Reads the first chunk ahead; `chunks` yields it later.

        If the connection is lost and a resume is possible, `chunks` raises the
        error instead, so that its consumer can resume the stream.

        Raises:
            DragonflydykeError: Any other error of the backend client.
        """
        try:
            chunk = await self._read_chunk()
        except errors.DragonflydykeError as error:
            if error.code != _CONNECTION_LOST or not self._resumes_left:
                raise
            self._deferred_error = error
            return
        if chunk is not None:
            self._buffered_chunks.append(chunk)

    def record_hedge_lost(self) -> None:
        """Records that another attempt produced the response first.

        The elapsed time is recorded as the time to the first byte: it is a
        lower bound for the latency of this server.
        """
        self._placement.record_first_byte()

    async def _read_chunk(self) -> bytes | None:
        assert self._response is not None
        if self._chunk_iterator is None:
            self._chunk_iterator = aiter(self._response.chunks())
        chunk = await wait_until(
            anext(self._chunk_iterator, None),
            self._deadline,
            step=errors.Step.READ_ANSWER,
            peer=self._server.name,
            execution=errors.Execution.UNKNOWN,
        )
        if chunk is not None:
            self._placement.record_first_byte()
        return chunk

    async def read_body(self, limit_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Returns the whole body of the response.

        Raises:
            DragonflydykeError: `answer_too_long` if it exceeds the limit, or
                as `chunks`.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit_bytes:
                raise self.build_error(
                    "answer_too_long",
                    f"The response is longer than {limit_bytes} bytes; "
                    "request a shorter one.",
                )
            parts.append(chunk)
        return b"".join(parts)

    async def complete(self, usage: services.Usage | None) -> None:
        """Closes a completely received response and sets the cost.

        Args:
            usage: Tokens that the engine reported in the response, if any.
        """
        closed = await self._close_response()
        self._usage = usage or closed
        if self._usage is None and isinstance(self._price, model.Price):
            self._services.counters.increment("bill.usage_missing")
        self._set_outcome(accounting.Outcome.COMPLETED)

    def reject(self) -> None:
        """Marks a complete response as rejected by the quality check.

        The attempt is still charged.
        """
        self.record.outcome = accounting.Outcome.REJECTED

    @property
    def is_sampled(self) -> bool:
        """Whether the response is to be rated for a rollout."""
        return (
            self._services.sampler is not None
            and self._roll_out is not None
            and self.record.version == self._roll_out.to_version
        )

    def offer_sample(self, body: bytes) -> None:
        """Queues the body of a complete response for rating, if sampled."""
        if self.is_sampled:
            self._services.sampler.offer(self._roll_out, body)

    def build_error(
        self,
        code: str,
        message: str,
        *,
        status: int = 502,
        execution: errors.Execution = errors.Execution.UNKNOWN,
        retry_after_s: float | None = None,
    ) -> errors.DragonflydykeError:
        """Returns an error for an invalid or failed response of the server."""
        return errors.DragonflydykeError(
            code,
            message,
            step=errors.Step.READ_ANSWER,
            peer=self._server.name,
            execution=execution,
            status=status,
            retry_after_s=retry_after_s,
        )

    async def _close_response(self) -> services.Usage | None:
        if self._response is None:
            return None
        response, self._response = self._response, None
        try:
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                return await response.close()
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

    def _finish(self, error: BaseException | None) -> None:
        if error is None:
            self._placement.finish(AttemptOutcome.COMPLETED)
            self._record_version_outcome(failed=False)
        elif isinstance(
            error, asyncio.CancelledError | ClientDisconnectedError
        ):
            self._finish_cancelled()
        elif isinstance(error, errors.DragonflydykeError):
            self._finish_failed(error)
        else:
            self._placement.finish(AttemptOutcome.CANCELLED)

    def _finish_cancelled(self) -> None:
        self._placement.finish(AttemptOutcome.CANCELLED)
        if self.record.outcome == accounting.Outcome.FAILED:
            self._set_outcome(accounting.Outcome.CANCELLED)

    def _finish_failed(self, error: errors.DragonflydykeError) -> None:
        is_server_fault = self._is_server_fault(error)
        if error.execution is errors.Execution.NOT_RUN:
            self._bill.remove_attempt(self.record)
        if is_server_fault:
            self._placement.finish(AttemptOutcome.FAILED)
        else:
            self._placement.finish(AttemptOutcome.CANCELLED)
        # A connection failure is no evidence about the version.
        if error.step is not errors.Step.CONNECT:
            self._record_version_outcome(failed=is_server_fault)

    def _is_server_fault(self, error: errors.DragonflydykeError) -> bool:
        if error.code != "deadline_exceeded":
            return error.code not in _CLIENT_FAULT_CODES
        loop = asyncio.get_running_loop()
        elapsed_s = loop.time() - self._placement.started_s
        has_no_response = self._placement.first_byte_latency_s is None
        self._placement.record_first_byte()
        return has_no_response and elapsed_s >= self._server_fault_after_s

    def _record_version_outcome(self, *, failed: bool) -> None:
        roll_out = self._roll_out
        if roll_out is None:
            return
        version = self.record.version
        if version in (roll_out.from_version, roll_out.to_version):
            self._services.version_counts.record_request(
                roll_out.name, version, failed=failed
            )
