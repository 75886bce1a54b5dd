"""Test doubles for the components that the gateway uses."""

import asyncio
import dataclasses
import json
import random
import types
import unittest.mock
from collections.abc import AsyncIterator, Mapping
from typing import Any

from dragonflydyke import billing, errors, idempotency, metrics
from dragonflydyke.configuration import model
from dragonflydyke.gateway import services
from dragonflydyke.gateway.events import TokenUsage
from dragonflydyke.rollouts import model as rollouts
from dragonflydyke.routing import ServerPool
from dragonflydyke.sessions import model as sessions
from tests.builders import documents, objects

USAGE = TokenUsage(1_000, 2_000)


@dataclasses.dataclass(slots=True)
class FixedInForce:
    """Snapshot of the state in force with a fixed configuration document."""

    document: model.Document
    revision: int = 1
    key_ring: sessions.KeyRing = sessions.KeyRing(())
    roll_outs: Mapping[str, rollouts.RolloutState] = dataclasses.field(
        default_factory=dict
    )


def build_retryable_error(
    code: str,
    step: str,
    status: int,
    execution: errors.Execution = errors.Execution.NOT_RUN,
) -> errors.DragonflydykeError:
    """Returns an error that a client may retry after 0.2 seconds."""
    return errors.DragonflydykeError(
        code,
        "Retry later.",
        step=errors.Step(step),
        execution=execution,
        status=status,
        retry_after_s=0.2,
    )


class ObservableCounters(metrics.Counters):
    """Counters that a test can wait on until one is incremented."""

    def __init__(self) -> None:
        super().__init__()
        self._changed: dict[str, asyncio.Event] = {}

    def increment(self, name: str, count: int = 1) -> None:
        super().increment(name, count)
        self._changed.setdefault(name, asyncio.Event()).set()

    async def wait(self, name: str) -> None:
        await self._changed.setdefault(name, asyncio.Event()).wait()


class ScriptedResponse:
    """Response that plays a list of parts.

    A part is a chunk to yield, an event to wait for, or an error to raise.
    """

    def __init__(self, parts: list[Any], status: int = 200) -> None:
        self.status = status
        self.headers = {"Content-Type": "application/json"}
        self.closed = asyncio.Event()
        self._parts = parts

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self._parts:
            if isinstance(part, asyncio.Event):
                await part.wait()
            elif isinstance(part, Exception):
                raise part
            else:
                yield part

    async def close(self) -> services.Usage | None:
        self.closed.set()
        return TokenUsage(1_000, 10)


class ScriptedBackends:
    """Backend client that returns or raises one prepared entry per request.

    `resume` uses the entries of `resume_responses` in the same way.
    """

    def __init__(self) -> None:
        self.responses: list[ScriptedResponse | Exception] = []
        self.resume_responses: list[ScriptedResponse | Exception] = []
        self.resume_indices: list[int] = []
        self.requests: list[services.BackendRequest] = []
        self.request_received = asyncio.Event()

    async def open(
        self, request: services.BackendRequest, *, deadline: float
    ) -> ScriptedResponse:
        self.requests.append(request)
        self.request_received.set()
        await asyncio.sleep(0)
        entry = self.responses.pop(0)
        if isinstance(entry, Exception):
            raise entry
        return entry

    async def resume(
        self,
        interrupted: ScriptedResponse,
        event_index: int,
        *,
        deadline: float,
    ) -> ScriptedResponse:
        self.resume_indices.append(event_index)
        entry = self.resume_responses.pop(0)
        if isinstance(entry, Exception):
            raise entry
        return entry


class BlockingBills:
    """Bill writer that keeps the bills; `record` waits until `gate` is set."""

    def __init__(self) -> None:
        self.bills: list[billing.Bill] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.record_started = asyncio.Event()

    async def record(self, bill: billing.Bill) -> None:
        self.record_started.set()
        await self.gate.wait()
        self.bills.append(bill)


def issue_token(ring: Any, session: sessions.Session) -> str:
    """Returns an unsigned token with the fields of the session."""
    return json.dumps(dataclasses.asdict(session))


def verify_token(ring: Any, token: str, account: str) -> sessions.Session:
    """Returns the session of a token without verifying anything."""
    return sessions.Session(**json.loads(token))


def build_services(document: model.Document) -> services.GatewayServices:
    """Returns gateway services made of test doubles and a real server pool."""
    counters = ObservableCounters()
    return services.GatewayServices(
        vm="entry-1",
        incarnation=7,
        state=types.SimpleNamespace(current=FixedInForce(document)),
        permit=unittest.mock.Mock(),
        backends=ScriptedBackends(),
        pool=ServerPool(
            "cartago-a", "entry-1", counters, source=random.Random(1)
        ),
        limiter=unittest.mock.Mock(),
        sessions=types.SimpleNamespace(issue=issue_token, verify=verify_token),
        claims=idempotency.ClaimRegistry(
            objects.InMemoryObjectStore(), "entry-1", counters
        ),
        bills=BlockingBills(),
        counters=counters,
    )


def build_chunk_event(
    text: str = "", finish: str | None = None, usage: bool = False
) -> bytes:
    """Returns a server-sent event as an engine sends it."""
    value: dict[str, Any] = {"object": "chat.completion.chunk", "choices": []}
    if usage:
        value["usage"] = dataclasses.asdict(USAGE)
    else:
        choice = {"delta": {"content": text}, "finish_reason": finish}
        value["choices"] = [choice]
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def build_stream_chunks(*texts: str) -> list[bytes]:
    """Returns the chunks of a complete stream with the given texts."""
    parts = [build_chunk_event(text) for text in texts]
    end = [build_chunk_event(finish="stop"), build_chunk_event(usage=True)]
    return [*parts, *end, b"data: [DONE]\n\n"]


def build_completion(text: str = "ready") -> bytes:
    """Returns the body of a response that is not streamed."""
    return json.dumps(
        {
            "object": "chat.completion",
            "choices": [{"message": {"content": text}}],
            "usage": dataclasses.asdict(USAGE),
        }
    ).encode()


def build_two_engines() -> model.Document:
    """Returns a configuration in which two engines serve both models."""
    serves = ("planner-small@v1", "planner-large@v1")
    labels = documents.build_engine("labels-1", serves=("labels",))
    return documents.build_document(
        backend_servers=(
            documents.build_engine("engine-1", serves=serves),
            documents.build_engine("engine-2", serves=serves),
            dataclasses.replace(labels, kind=model.ServerKind.SERVICE),
        )
    )
