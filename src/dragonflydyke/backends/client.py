"""HTTP client for engines and plain services."""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar
from urllib import parse

from tornado import httputil, tcpclient

from dragonflydyke import errors, metrics, transport
from dragonflydyke.backends import connection, failures, model
from dragonflydyke.configuration import model as configuration

CANCEL_TIMEOUT_S = 1.0
_MAX_CONTROL_BODY_BYTES = 1_000_000
_OK = 200

_Result = TypeVar("_Result")


class BackendAnswer:
    """The response of a backend server, whose body is read in chunks.

    It must be closed in every case: call `close` or use `async with`.
    """

    __slots__ = ("_client", "_closed", "_exchange", "request")

    def __init__(
        self,
        client: "BackendClient",
        request: model.BackendRequest,
        exchange: connection.Exchange,
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._closed = False
        self.request = request

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._exchange.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """HTTP headers."""
        return self._exchange.headers

    @property
    def complete(self) -> bool:
        """Whether the whole response was received."""
        return self._exchange.complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, with backpressure on the server.

        Raises:
            DragonflydykeError: With step read_answer and execution unknown, if
                the response was truncated or the deadline exceeded.
        """
        try:
            async for chunk in self._exchange.read_chunks():
                yield chunk
        except errors.DragonflydykeError as error:
            self._client.count_error(error)
            raise

    async def read_body(self, max_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            DragonflydykeError: As `chunks`, or backend_answer_invalid if the
                body exceeds `max_bytes`.
        """
        parts = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise failures.build_invalid_response_error(
                    self.request.server.name,
                    errors.Step.READ_ANSWER,
                    f"the response body exceeds {max_bytes} bytes",
                )
            parts.append(chunk)
        return b"".join(parts)

    async def close(self) -> model.Usage | None:
        """Closes the connection and cancels an unfinished stream.

        Returns:
            The usage of the cancelled stream, or None if the response was
            complete or has no stream id, or the engine did not confirm in
            time.
        """
        if self._closed:
            return None
        self._closed = True
        unfinished = not self.complete
        await self._exchange.close()
        if unfinished and self.request.stream_id:
            # The stream is cancelled even if the calling task is cancelled.
            return await asyncio.shield(self._client.start_cancel(self.request))
        return None

    async def detach(self) -> None:
        """Closes the connection without cancelling the stream."""
        self._closed = True
        await self._exchange.close()

    async def __aenter__(self) -> "BackendAnswer":
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.close()


class BackendClient:
    """Sends requests to backend servers, each on a new connection.

    Connections are not reused: a server may close an idle connection just as a
    request is sent on it, and then it is unknown whether the request ran.
    """

    __slots__ = (
        "_background_tasks",
        "_cancel_timeout_s",
        "_counters",
        "_tcp_client",
    )

    def __init__(
        self,
        counters: metrics.Counters,
        *,
        cancel_timeout_s: float = CANCEL_TIMEOUT_S,
    ) -> None:
        """Creates a client.

        Args:
            counters: Receives `backend.<step>.<code>` for each error, and
                `backend.cancel.confirmed` or `backend.cancel.failed`.
            cancel_timeout_s: Timeout in seconds for an engine to confirm that
                it cancelled a stream.
        """
        self._cancel_timeout_s = cancel_timeout_s
        self._counters = counters
        self._tcp_client = tcpclient.TCPClient(transport.AddressResolver())
        self._background_tasks: set[asyncio.Task[Any]] = set()

    async def open(
        self, request: model.BackendRequest, *, deadline: float
    ) -> BackendAnswer:
        """Sends a request and returns once the response headers arrive.

        Args:
            request: The request to send.
            deadline: Loop time at which the whole exchange must be finished.

        Raises:
            DragonflydykeError: With step connect (not run), send or
                await_answer, and the server's name as peer. A stream that may
                have started is cancelled in the background.
        """
        return await self._open(request, deadline, cancel_on_error=True)

    async def resume(
        self, interrupted: BackendAnswer, event_index: int, *, deadline: float
    ) -> BackendAnswer:
        """Continues the stream of an interrupted response.

        Args:
            interrupted: Response to a request with a stream id. On success it
                is closed without cancelling the stream; otherwise it can still
                be resumed, or must be closed.
            event_index: Index of the first event that was not received.
            deadline: Loop time at which the exchange must be finished.

        Returns:
            A response with the rest of the stream, on a new connection.
            Closing it early cancels the stream. Status 404 means that the
            engine no longer has the stream.

        Raises:
            DragonflydykeError: As `open`, but never with execution not run,
                because the original request may have run.
        """
        stream_id = interrupted.request.stream_id
        errors.check_invariant(
            bool(stream_id), "cannot resume a request without a stream id"
        )
        request = model.BackendRequest(
            interrupted.request.server,
            "GET",
            f"{_build_stream_path(interrupted.request)}?from={event_index}",
            {model.STREAM_ID_HEADER: stream_id},
        )
        try:
            response = await self._open(
                request, deadline, cancel_on_error=False
            )
        except errors.DragonflydykeError as error:
            error.execution = errors.Execution.UNKNOWN
            raise
        await interrupted.detach()
        return response

    async def cancel(self, request: model.BackendRequest) -> model.Usage | None:
        """Cancels the stream of a request at its engine; best effort.

        Returns:
            The usage so far, or None if the engine did not confirm in time.
        """
        deadline = asyncio.get_running_loop().time() + self._cancel_timeout_s
        cancel_request = model.BackendRequest(
            request.server, "DELETE", _build_stream_path(request)
        )
        try:
            body = await self._call_control(cancel_request, deadline)
            usage = model.Usage.from_mapping(body["usage"])
        except (errors.DragonflydykeError, KeyError, TypeError, ValueError):
            self._counters.increment("backend.cancel.failed")
            return None
        self._counters.increment("backend.cancel.confirmed")
        return usage

    def start_cancel(
        self, request: model.BackendRequest
    ) -> asyncio.Task[model.Usage | None]:
        """Starts `cancel` in the background; `close` waits for it."""
        return self._start_background(self.cancel(request))

    async def fetch_load(
        self, server: configuration.BackendServer, *, deadline: float
    ) -> model.LoadReport:
        """Fetches the load report of an engine.

        Raises:
            DragonflydykeError: As `open`, or backend_answer_invalid.
        """
        request = model.BackendRequest(server, "GET", "/v1/load")
        body = await self._call_control(request, deadline)
        try:
            return model.LoadReport.from_mapping(body)
        except (KeyError, TypeError, ValueError) as error:
            raise failures.build_invalid_response_error(
                server.name,
                errors.Step.READ_ANSWER,
                f"invalid load report: {error!r}",
            ) from error

    async def send_order(
        self,
        server: configuration.BackendServer,
        order: model.EngineOrder,
        *,
        deadline: float,
    ) -> None:
        """Sends an order with its fencing token to an engine.

        Raises:
            DragonflydykeError: As `open`, or engine_order_refused (not run)
                if the engine rejects the fencing token.
        """
        content = {
            "order": order.kind.value,
            "version": order.version,
            "fencing": order.fencing,
        }
        request = model.BackendRequest(
            server,
            "POST",
            "/v1/orders",
            {"Content-Type": "application/json"},
            json.dumps(content).encode(),
        )
        await self._call_control(request, deadline, rejection_status=409)

    async def close(self) -> None:
        """Waits for cancellations in progress and closes the client."""
        while self._background_tasks:
            await asyncio.wait(self._background_tasks)
        self._tcp_client.close()

    def count_error(self, error: errors.DragonflydykeError) -> None:
        """Counts an error by step and code."""
        self._counters.increment(f"backend.{error.step}.{error.code}")

    async def _call_control(
        self,
        request: model.BackendRequest,
        deadline: float,
        rejection_status: int = 0,
    ) -> Any:
        async with await self.open(request, deadline=deadline) as response:
            body = await response.read_body(_MAX_CONTROL_BODY_BYTES)
        if response.status == rejection_status:
            raise failures.build_order_rejected_error(
                request.server.name, response.status
            )
        if response.status != _OK:
            raise failures.build_invalid_response_error(
                request.server.name,
                errors.Step.READ_ANSWER,
                f"status {response.status} for {request.method} {request.path}",
            )
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise failures.build_invalid_response_error(
                request.server.name,
                errors.Step.READ_ANSWER,
                f"the response body is not JSON: {error}",
            ) from error

    async def _open(
        self,
        request: model.BackendRequest,
        deadline: float,
        *,
        cancel_on_error: bool,
    ) -> BackendAnswer:
        exchange = connection.Exchange(request, deadline)
        try:
            await exchange.connect(self._tcp_client)
            await exchange.send()
            await exchange.await_response()
        except BaseException as error:
            self._start_background(exchange.close())
            if cancel_on_error and exchange.sent and request.stream_id:
                self.start_cancel(request)
            if isinstance(error, errors.DragonflydykeError):
                self.count_error(error)
            raise
        return BackendAnswer(self, request, exchange)

    def _start_background(
        self, work: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def _build_stream_path(request: model.BackendRequest) -> str:
    return f"/v1/streams/{parse.quote(request.stream_id, safe='')}"
