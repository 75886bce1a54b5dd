"""HTTP API of an emulated engine: chat completions, streams, load, orders."""

import asyncio
import dataclasses
import itertools
import json
from collections.abc import AsyncIterator
from typing import Any

from tornado import iostream, web

from dragonflydyke import backends
from dragonflydyke.emulator import engine_model, engine_streams, serving

_END_MARKER_EVENT = b"data: [DONE]\n\n"


class EngineState:
    """State that the handlers of an emulated engine share.

    Attributes:
        behaviour: Speed, limits and faults.
        highest_fencing: Highest fencing token of the orders so far.
        orders: Executed orders.
        scheduler: Runs the requests.
        seed: Seed of the generated texts and of the requests that fail.
        stream_ids: Numbers of streams that the router did not name.
        versions: Loaded versions as `model@version`.
    """

    __slots__ = (
        "_reset_timer",
        "behaviour",
        "highest_fencing",
        "orders",
        "scheduler",
        "seed",
        "stream_ids",
        "versions",
    )

    def __init__(
        self,
        versions: tuple[str, ...],
        seed: int = 0,
        behaviour: engine_model.EngineBehaviour | None = None,
    ) -> None:
        """Creates an idle engine; needs a running event loop.

        Args:
            versions: Loaded versions as `model@version`.
            seed: Seed of the generated texts and of the requests that fail.
            behaviour: Initial behaviour; None for the defaults.
        """
        self.behaviour = behaviour or engine_model.EngineBehaviour()
        self.versions = set(versions)
        self.seed = seed
        self.highest_fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.stream_ids = itertools.count()
        self.scheduler = engine_streams.Scheduler(self.behaviour, seed)
        self._reset_timer: asyncio.TimerHandle | None = None

    def control(self, changes: Any) -> None:
        """Changes the behaviour or the loaded versions, or clears the cache.

        Args:
            changes: Behaviour fields to set; `versions` replaces the loaded
                versions, and a true `drop_prefix_cache` clears the prefix
                cache.

        Raises:
            web.HTTPError: 400 if a behaviour field is unknown or its value is
                invalid.
        """
        changes = dict(changes) if isinstance(changes, dict) else changes
        versions, clear_prefix_cache = None, False
        if isinstance(changes, dict):
            versions = changes.pop("versions", None)
            clear_prefix_cache = changes.pop("drop_prefix_cache", False)
        serving.update_behaviour(self.behaviour, changes)
        if versions is not None:
            self.versions = set(versions)
        if clear_prefix_cache:
            self.scheduler.clear_prefix_cache()
        self._schedule_slow_factor_reset()
        self.scheduler.fill_slots()

    def describe(self) -> dict[str, Any]:
        """Returns behaviour, counters and received orders as JSON values."""
        scheduler = self.scheduler
        return {
            "behaviour": dataclasses.asdict(self.behaviour),
            "counts": dict(scheduler.counts),
            "received": dict(scheduler.received),
            "runs": dict(scheduler.runs),
            "running": scheduler.running,
            "waiting": scheduler.waiting,
            "versions": sorted(self.versions),
            "highest_fencing": self.highest_fencing,
            "orders": self.orders,
        }

    def _schedule_slow_factor_reset(self) -> None:
        if self._reset_timer is not None:
            self._reset_timer.cancel()
            self._reset_timer = None
        if self.behaviour.slow_factor != 1 and self.behaviour.slow_for_s:
            self._reset_timer = asyncio.get_running_loop().call_later(
                self.behaviour.slow_for_s, self._reset_slow_factor
            )

    def _reset_slow_factor(self) -> None:
        self.behaviour.slow_factor = 1.0


class _EngineHandler(serving.JsonHandler):
    """Base class of the engine's handlers."""

    def initialize(self, state: EngineState) -> None:
        """Receives the shared state."""
        self.state = state
        self.stream: engine_streams.Stream | None = None
        self.cancel_on_close = False

    def on_connection_close(self) -> None:
        """Detaches the stream after the client has disconnected."""
        self._detach_stream(disconnected=True)

    def on_finish(self) -> None:
        """Detaches the stream after the response was sent."""
        self._detach_stream(disconnected=False)

    def attach_stream(self, stream: engine_streams.Stream) -> None:
        """Registers this connection as a reader of the stream."""
        self.stream = stream
        stream.readers += 1

    def abort_connection(self) -> None:
        """Closes the connection without sending any more bytes."""
        super().abort_connection()
        self._detach_stream(disconnected=True)

    def _detach_stream(self, disconnected: bool) -> None:
        stream, self.stream = self.stream, None
        if stream is None:
            return
        if disconnected and self.cancel_on_close:
            self.state.scheduler.cancel(stream)
        self.state.scheduler.detach_reader(stream)

    async def send_events(
        self, stream: engine_streams.Stream, first_index: int
    ) -> None:
        """Sends the events of a stream, starting at an index."""
        behaviour = self.state.behaviour
        truncate_at = -1
        if behaviour.consume_fault("cut_answers"):
            truncate_at = behaviour.cut_after_events
        self.set_header("Content-Type", "text/event-stream; charset=utf-8")
        self.set_header(backends.STREAM_ID_HEADER, stream.id)
        # Without TCP_NODELAY, the first event waits for the acknowledgement of
        # the headers, which takes 40 ms on a keep-alive connection.
        self.request.connection.stream.set_nodelay(True)
        try:
            await self.flush()
            sent = 0
            async for event in _iterate_events(stream, first_index):
                if sent == truncate_at:
                    # Half an event tests whether the client discards an
                    # incomplete event.
                    self.write(event[: len(event) // 2])
                    await self.flush()
                    self.abort_connection()
                    return
                self.write(event)
                await self.flush()
                sent += 1
        except iostream.StreamClosedError:
            return
        if stream.finish_reason == "cancelled":
            self.abort_connection()


class _ChatHandler(_EngineHandler):
    """`POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Runs a chat completion and sends it as events or as one body."""
        behaviour = self.state.behaviour
        self.state.scheduler.counts["requests"] += 1
        if behaviour.consume_fault("cut_before_requests"):
            self.abort_connection()
            return
        try:
            chat_request = engine_model.parse_chat_request(self.read_json())
        except ValueError as error:
            raise web.HTTPError(400, str(error)) from error
        stream = self._start_stream(chat_request)
        if behaviour.consume_fault("cut_after_requests"):
            await stream.wait_for_token(0)
            self.abort_connection()
        elif chat_request.is_streaming:
            await self.send_events(stream, 0)
        else:
            await self._send_completion(stream)

    def _start_stream(
        self, chat_request: engine_model.ChatRequest
    ) -> engine_streams.Stream:
        headers = self.request.headers
        scheduler = self.state.scheduler
        request_id = headers.get(backends.REQUEST_ID_HEADER, "")
        scheduler.received[chat_request.version] += 1
        if chat_request.version not in self.state.versions:
            scheduler.counts["not_loaded"] += 1
            raise web.HTTPError(404, f"{chat_request.version} is not loaded")
        fraction = engine_model.draw_fraction(
            self.state.seed, request_id, scheduler.counts["requests"]
        )
        if fraction < self.state.behaviour.error_share:
            scheduler.counts["errors"] += 1
            raise web.HTTPError(500, "emulated fault; the request was not run")
        stream_id = headers.get(backends.STREAM_ID_HEADER, "")
        self.cancel_on_close = not stream_id
        if not stream_id:
            stream_id = f"engine-{next(self.state.stream_ids)}"
        if stream_id in scheduler.streams:
            raise web.HTTPError(
                409, f"stream {stream_id} already exists; resume it"
            )
        stream = engine_streams.Stream(stream_id, request_id, chat_request)
        try:
            scheduler.start(stream)
        except engine_streams.QueueFullError as error:
            raise web.HTTPError(
                503, "the queue is full; the request was not run"
            ) from error
        self.attach_stream(stream)
        return stream

    async def _send_completion(self, stream: engine_streams.Stream) -> None:
        await stream.wait_until_finished()
        if stream.finish_reason == "cancelled":
            if self.stream is not None:
                self.abort_connection()
            return
        body = _encode_json(_build_completion(stream))
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        try:
            if self.state.behaviour.consume_fault("cut_answers"):
                self.write(body[: len(body) // 2])
                await self.flush()
                self.abort_connection()
                return
            self.write(body)
            await self.finish()
        except iostream.StreamClosedError:
            return


class _StreamHandler(_EngineHandler):
    """`/v1/streams/<id>`: resumes and cancels streams."""

    async def get(self, stream_id: str) -> None:
        """Resumes a stream at the event index `from`."""
        stream = self._find_stream(stream_id)
        first_index = self.get_query_argument("from", "0")
        if not first_index.isdigit():
            raise web.HTTPError(
                400, "from must be an event index, a whole number of at least 0"
            )
        self.state.scheduler.counts["resumed"] += 1
        self.attach_stream(stream)
        await self.send_events(stream, int(first_index))

    def delete(self, stream_id: str) -> None:
        """Cancels a stream and returns its token usage until then."""
        stream = self._find_stream(stream_id)
        self.state.scheduler.cancel(stream)
        self.write_json(
            {
                "id": stream.id,
                "finish_reason": stream.finish_reason,
                "usage": stream.build_usage(),
            }
        )

    def _find_stream(self, stream_id: str) -> engine_streams.Stream:
        stream = self.state.scheduler.streams.get(stream_id)
        if stream is None:
            raise web.HTTPError(404, f"stream {stream_id} does not exist")
        return stream


class _LoadHandler(_EngineHandler):
    """`GET /v1/load`."""

    def get(self) -> None:
        """Returns the load as it was before the configured lag."""
        snapshot = self.state.scheduler.report_load()
        self.write_json(
            {
                "as_of_ms": snapshot.as_of_ms,
                "running": snapshot.running,
                "waiting": snapshot.waiting,
                "slots": self.state.behaviour.slots,
                "versions": sorted(self.state.versions),
            }
        )


class _OrderHandler(_EngineHandler):
    """`POST /v1/orders`."""

    async def post(self) -> None:
        """Executes an order unless its fencing token is stale."""
        order = self.read_json()
        if not _is_valid_order(order):
            raise web.HTTPError(
                400,
                "send the fields order (load or unload), version and fencing",
            )
        state = self.state
        is_stale = order["fencing"] < state.highest_fencing
        if is_stale and state.behaviour.checks_fencing:
            state.scheduler.counts["stale_orders"] += 1
            raise web.HTTPError(409, "the fencing token is stale")
        state.highest_fencing = max(state.highest_fencing, order["fencing"])
        state.orders.append(order)
        if order["order"] == backends.OrderKind.LOAD:
            await asyncio.sleep(state.behaviour.load_s)
            state.versions.add(order["version"])
        else:
            state.versions.discard(order["version"])
        self.write_json({"versions": sorted(state.versions)})


class _ControlHandler(_EngineHandler):
    """`/control`: reads and changes the emulator at run time."""

    def get(self) -> None:
        """Returns behaviour and counters."""
        self.write_json(self.state.describe())

    def post(self) -> None:
        """Changes the behaviour and returns the resulting state."""
        self.state.control(self.read_json())
        self.get()


def _is_valid_order(order: Any) -> bool:
    return (
        isinstance(order, dict)
        and order.get("order") in tuple(backends.OrderKind)
        and isinstance(order.get("version"), str)
        and type(order.get("fencing")) is int
    )


async def _iterate_events(
    stream: engine_streams.Stream, first_index: int
) -> AsyncIterator[bytes]:
    index = 0
    while await stream.wait_for_token(index):
        if index >= first_index:
            delta = {"content": stream.tokens[index]}
            if index == 0:
                delta["role"] = "assistant"
            yield _build_event(stream, delta)
        index += 1
    if stream.finish_reason == "cancelled":
        return
    final_events = (
        _build_event(stream, {}, stream.finish_reason),
        _format_event(
            {
                **_build_common_fields(stream),
                "choices": [],
                "usage": stream.build_usage(),
            }
        ),
        _END_MARKER_EVENT,
    )
    for event in final_events[max(0, first_index - index) :]:
        yield event


def _build_event(
    stream: engine_streams.Stream,
    delta: dict[str, str],
    finish_reason: str | None = None,
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return _format_event({**_build_common_fields(stream), "choices": [choice]})


def _build_common_fields(stream: engine_streams.Stream) -> dict[str, Any]:
    return {
        "id": f"chatcmpl-{stream.id}",
        "object": "chat.completion.chunk",
        "created": stream.created_s,
        "model": stream.request.version,
    }


def _build_completion(stream: engine_streams.Stream) -> dict[str, Any]:
    message = {"role": "assistant", "content": "".join(stream.tokens)}
    return {
        **_build_common_fields(stream),
        "object": "chat.completion",
        "choices": [
            {
                "index": 0,
                "message": message,
                "finish_reason": stream.finish_reason,
            }
        ],
        "usage": stream.build_usage(),
    }


def _format_event(content: Any) -> bytes:
    return b"data: " + _encode_json(content) + b"\n\n"


def _encode_json(content: Any) -> bytes:
    return json.dumps(
        content, ensure_ascii=False, separators=(",", ":")
    ).encode()


def build_application(state: EngineState) -> web.Application:
    """Returns the web application of an emulated engine."""
    arguments = {"state": state}
    return web.Application(
        [
            (r"/v1/chat/completions", _ChatHandler, arguments),
            (r"/v1/streams/([^/]+)", _StreamHandler, arguments),
            (r"/v1/load", _LoadHandler, arguments),
            (r"/v1/orders", _OrderHandler, arguments),
            (r"/control", _ControlHandler, arguments),
        ],
        log_function=serving.discard_access_log,
    )
