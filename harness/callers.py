"""Callers that record exactly what they received."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

from tornado import httpclient, httputil, simple_httpclient

from dragonflydyke.emulator import engine_model
from harness import deployment

ACCOUNT_KEY = "demo-key"
COMPLETION_TOKENS = 32
_CLIENTS = 1_000
_TIMEOUT_S = 120.0
_EXTRA_FIELD = "dragonflydyke"
_DONE = "[DONE]"
_NO_ANSWER = 599


@dataclasses.dataclass(slots=True)
class ChatCall:
    """A chat completion to send; an empty model means `planner-small`."""

    content: str
    model: str = "planner-small"
    stream: bool = True
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    max_tokens: int | None = None

    def to_body(self) -> dict[str, Any]:
        """Returns the JSON body."""
        body: dict[str, Any] = {
            "model": self.model,
            "messages": [{"role": "user", "content": self.content}],
            "stream": self.stream,
        }
        if self.max_tokens is not None:
            body["max_completion_tokens"] = self.max_tokens
        return body


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller received, whole or not.

    Attributes:
        url: Router that was asked.
        status: HTTP status, 599 if none arrived.
        headers: Response headers.
        text: Text of the completion, or the body of a service call.
        ended: Whether the end marker, or a whole body with 200, arrived.
        extra: Field `dragonflydyke` of a completion.
        error: Field `error` of a refusal or of a broken stream.
        lost: How the connection was lost, empty if it was not.
    """

    url: str
    status: int = _NO_ANSWER
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    text: str = ""
    ended: bool = False
    extra: dict[str, Any] = dataclasses.field(default_factory=dict)
    error: dict[str, Any] = dataclasses.field(default_factory=dict)
    lost: str = ""

    @property
    def request_id(self) -> str:
        """Id that the router gave, empty if nothing arrived."""
        return self.headers.get("Dragonflydyke-Request-Id", "")

    @property
    def execution(self) -> str:
        """What the caller was told of the execution, empty if nothing."""
        return self.error.get("execution", "")

    @property
    def version(self) -> str:
        """Version that answered as `model@version`."""
        return self.headers.get("Dragonflydyke-Version", "")


class _StreamReader:
    """Collects the events of a streamed answer as they arrive."""

    def __init__(
        self, answer: Answer, on_text: Callable[[str], None] | None
    ) -> None:
        self._answer = answer
        self._on_text = on_text
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        """Takes bytes as they arrive."""
        *events, self._rest = (self._rest + chunk).split(b"\n\n")
        for event in events:
            self._take(event.decode().removeprefix("data: "))

    def take_rest(self) -> bytes:
        """Returns bytes after the last whole event."""
        return self._rest

    def _take(self, data: str) -> None:
        answer = self._answer
        if answer.ended:
            answer.error = {"code": "event_after_end_marker"}
        if data == _DONE:
            answer.ended = True
            return
        value = json.loads(data)
        answer.extra = value.get(_EXTRA_FIELD) or answer.extra
        answer.error = value.get("error") or answer.error
        for choice in value.get("choices", ()):
            answer.text += choice["delta"].get("content") or ""
        if self._on_text is not None:
            self._on_text(answer.text)


class Callers:
    """Sends requests and never raises for what a router does."""

    __slots__ = ("_client",)

    def __init__(self) -> None:
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_CLIENTS
        )

    def close(self) -> None:
        """Closes the client."""
        self._client.close()

    async def chat(
        self,
        url: str,
        call: ChatCall,
        on_text: Callable[[str], None] | None = None,
    ) -> Answer:
        """Sends a chat completion; `on_text` sees the text as it grows."""
        answer = Answer(url)
        reader = _StreamReader(answer, on_text)
        response = await self._send(
            answer,
            f"{url}/v1/chat/completions",
            json.dumps(call.to_body()).encode(),
            call.headers,
            reader.feed if call.stream else None,
        )
        if response is None:
            return answer
        if not call.stream or answer.status != 200:
            body = reader.take_rest() if call.stream else response.body
            _read_whole(answer, body)
        return answer

    async def call(
        self,
        url: str,
        operation: str,
        key: str = "",
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Calls an operation of the service `labels`."""
        answer = Answer(url)
        headers = dict(headers or {})
        if key:
            headers["Idempotency-Key"] = key
        response = await self._send(
            answer,
            f"{url}/v1/services/labels/{operation}",
            json.dumps(body or {}).encode() if operation == "print" else None,
            headers,
        )
        if response is not None and answer.status == 200:
            answer.text = response.body.decode()
            answer.ended = True
        elif response is not None:
            _read_whole(answer, response.body)
        return answer

    async def _send(
        self,
        answer: Answer,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> httpclient.HTTPResponse | None:
        collected = httputil.HTTPHeaders()
        status = [_NO_ANSWER]

        def take_header(line: str) -> None:
            if line.startswith("HTTP/"):
                status[0] = int(line.split()[1])
            elif line.strip():
                collected.parse_line(line)

        request = httpclient.HTTPRequest(
            url,
            method="GET" if body is None else "POST",
            body=body,
            headers={"Authorization": f"Bearer {ACCOUNT_KEY}", **headers},
            connect_timeout=_TIMEOUT_S,
            request_timeout=_TIMEOUT_S,
            header_callback=take_header,
            streaming_callback=on_chunk,
        )
        response = None
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            answer.lost = repr(error)
        if response is not None and response.code == _NO_ANSWER:
            answer.lost = repr(response.error)
            response = None
        answer.status = status[0]
        answer.headers = dict(collected)
        return response


def _read_whole(answer: Answer, body: bytes | None) -> None:
    value = json.loads(body or b"{}")
    answer.error = value.get("error") or {}
    answer.extra = value.get(_EXTRA_FIELD) or {}
    for choice in value.get("choices", ()):
        answer.text += choice["message"]["content"]
    answer.ended = answer.status == 200


def write_expected(
    call: ChatCall, version: str, tokens: int = COMPLETION_TOKENS
) -> str:
    """Returns what the engine emulator answers to a prompt."""
    prompt = engine_model.parse_chat_request(
        {**call.to_body(), "model": version}
    )
    count = min(tokens, call.max_tokens or tokens)
    return "".join(
        engine_model.generate_token(
            prompt, deployment.ENGINE_SEED, index, False
        )
        for index in range(count)
    )


async def wait_until(
    condition: Callable[[], bool], guard_s: float = 60.0
) -> None:
    """Polls a condition; the guard only ends a test that hangs."""
    async with asyncio.timeout(guard_s):
        while not condition():
            await asyncio.sleep(0.01)
