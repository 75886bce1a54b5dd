"""HTTP API of an emulated service, rating service and weight store."""

import asyncio
import dataclasses
import random
from typing import Any

from tornado import web

from dragonflydyke import backends
from dragonflydyke.emulator import faults, quality, serving

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_LOW_QUALITY_RATING = 0.1
_BASE_RATING = 0.85
_RATING_SPREAD = 0.1
# Avoids a division by zero; a rate of 0 allows one request in 1,000 s.
_MIN_WEIGHT_RATE = 0.001


@dataclasses.dataclass(slots=True)
class ServiceBehaviour(faults.StatingFaults):
    """Delays and faults, which can be changed at run time.

    For the fields that count requests, -1 means all requests.

    Attributes:
        delay_s: Duration of an execution in seconds.
        fail_before: Number of requests that get 503 and are not executed.
        fail_after: Number of requests that are executed and get 500.
        cut_before: Number of requests that are not executed and whose
            connection is closed without a response.
        cut_after: Number of requests that are executed and whose connection is
            closed without a response.
        answer_bytes: Size of the padding in a response.
        weight_bytes: Size of the weights of a version, in bytes.
        weight_requests_per_s: Maximum request rate of the weight store.
    """

    delay_s: float = 0.0
    fail_before: int = 0
    fail_after: int = 0
    cut_before: int = 0
    cut_after: int = 0
    answer_bytes: int = 0
    weight_bytes: int = 100_000
    weight_requests_per_s: float = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """One execution of an operation."""

    method: str
    path: str
    idempotency_key: str
    request_id: str


class ServiceState:
    """State that the handlers of an emulated service share.

    Attributes:
        behaviour: Delays and faults.
        executions: Executions so far.
        next_weights_at_s: Loop time from which weights are sent again.
        request_count: Number of requests so far.
        seed: Seed of ratings and weights.
    """

    __slots__ = (
        "behaviour",
        "executions",
        "next_weights_at_s",
        "request_count",
        "seed",
    )

    def __init__(self, seed: int = 0) -> None:
        self.behaviour = ServiceBehaviour()
        self.seed = seed
        self.executions: list[Execution] = []
        self.request_count = 0
        self.next_weights_at_s = 0.0


class _ServiceHandler(serving.JsonHandler):
    """Base class of handlers that execute with delays and faults."""

    def initialize(self, state: ServiceState) -> None:
        """Receives the shared state."""
        self.state = state

    async def execute(self) -> bool:
        """Executes and records the operation, with the configured faults.

        Returns False if a fault has closed the connection.

        Raises:
            web.HTTPError: 503 before or 500 after the execution, if configured.
        """
        behaviour = self.state.behaviour
        self.state.request_count += 1
        if behaviour.consume_fault("cut_before"):
            self.abort_connection()
            return False
        if behaviour.consume_fault("fail_before"):
            raise web.HTTPError(
                503, "emulated fault; the operation was not executed"
            )
        self.state.executions.append(
            Execution(
                method=self.request.method or "",
                path=self.request.path,
                idempotency_key=self.request.headers.get(
                    IDEMPOTENCY_KEY_HEADER, ""
                ),
                request_id=self.request.headers.get(
                    backends.REQUEST_ID_HEADER, ""
                ),
            )
        )
        await asyncio.sleep(behaviour.delay_s)
        if behaviour.consume_fault("cut_after"):
            self.abort_connection()
            return False
        if behaviour.consume_fault("fail_after"):
            raise web.HTTPError(
                500, "emulated fault; the operation was executed"
            )
        return True


class _OperationHandler(_ServiceHandler):
    """Any path; each path is one operation of the service."""

    async def get(self) -> None:
        """Executes the operation and echoes the request."""
        if not await self.execute():
            return
        self.write_json(
            {
                "operation": self.request.path,
                "execution": len(self.state.executions),
                "received": self.request.body.decode(errors="replace"),
                "padding": "x" * self.state.behaviour.answer_bytes,
            }
        )

    post = put = delete = patch = get


class _RatingHandler(_ServiceHandler):
    """`POST /v1/ratings`."""

    async def post(self) -> None:
        """Rates an answer; equal answers of a version get equal ratings."""
        body = self.read_json()
        if not isinstance(body, dict) or not isinstance(
            body.get("answer"), str
        ):
            raise web.HTTPError(400, "send the fields version and answer")
        if await self.execute():
            self.write_json({"rating": self._compute_rating(body)})

    def _compute_rating(self, body: dict[str, Any]) -> float:
        if quality.LOW_QUALITY_MARKER in body["answer"]:
            return _LOW_QUALITY_RATING
        key = f"{self.state.seed}:{body.get('version')}:{body['answer']}"
        return _BASE_RATING + _RATING_SPREAD * random.Random(key).random()


class _WeightsHandler(_ServiceHandler):
    """`GET /v1/weights/<version>`."""

    async def get(self, version: str) -> None:
        """Sends the weights of a version, or 429 above the maximum rate."""
        now = asyncio.get_running_loop().time()
        wait_s = self.state.next_weights_at_s - now
        if wait_s > 0:
            self.set_header("Retry-After", f"{wait_s:.3f}")
            self.write_json(
                {"error": "rate limit exceeded; see the Retry-After header"},
                429,
            )
            return
        rate = self.state.behaviour.weight_requests_per_s
        self.state.next_weights_at_s = now + 1 / max(rate, _MIN_WEIGHT_RATE)
        unit = f"{version}:{self.state.seed};".encode()
        size = self.state.behaviour.weight_bytes
        self.set_header("Content-Type", "application/octet-stream")
        self.write((unit * (size // len(unit) + 1))[:size])


class _ControlHandler(serving.JsonHandler):
    """`/control`: reads and changes the emulator at run time."""

    def initialize(self, state: ServiceState) -> None:
        """Receives the shared state."""
        self.state = state

    def get(self) -> None:
        """Returns the behaviour and all executions."""
        self.write_json(
            {
                "behaviour": dataclasses.asdict(self.state.behaviour),
                "requests": self.state.request_count,
                "executions": [
                    dataclasses.asdict(entry) for entry in self.state.executions
                ],
            }
        )

    def post(self) -> None:
        """Changes the behaviour and returns the resulting state."""
        serving.update_behaviour(self.state.behaviour, self.read_json())
        self.get()


def build_application(
    state: ServiceState | None = None, *, rating: bool = False
) -> web.Application:
    """Returns the web application of an emulated service.

    Args:
        state: State that the handlers share; None creates one.
        rating: Whether the application is the rating service.
    """
    arguments = {"state": state or ServiceState()}
    routes: list[Any] = [
        (r"/control", _ControlHandler, arguments),
        (r"/v1/weights/([^/]+)", _WeightsHandler, arguments),
    ]
    if rating:
        routes.append((r"/v1/ratings", _RatingHandler, arguments))
    else:
        routes.append((r"/.*", _OperationHandler, arguments))
    return web.Application(routes, log_function=serving.discard_access_log)
