"""HTTP client that records every response, complete or not."""

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
_MAX_CONNECTIONS = 1_000
_TIMEOUT_S = 120.0
_EXTENSION_FIELD = "dragonflydyke"
_END_MARKER = "[DONE]"
_NO_RESPONSE = 599


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
class RecordedResponse:
    """What a client received of a response, complete or not.

    Attributes:
        url: Base URL of the router.
        status: HTTP status, 599 if none was received.
        headers: Response headers.
        text: Text of the completion, or the body of a service response.
        is_complete: Whether the end marker, or a complete body with status
            200, was received.
        extension: Field `dragonflydyke` of a completion.
        error: Field `error` of a rejection or of an interrupted stream.
        connection_error: Error that closed the connection, empty if none.
    """

    url: str
    status: int = _NO_RESPONSE
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    text: str = ""
    is_complete: bool = False
    extension: dict[str, Any] = dataclasses.field(default_factory=dict)
    error: dict[str, Any] = dataclasses.field(default_factory=dict)
    connection_error: str = ""

    @property
    def request_id(self) -> str:
        """Request id that the router assigned, empty without headers."""
        return self.headers.get("Dragonflydyke-Request-Id", "")

    @property
    def execution(self) -> str:
        """Execution status that the error states, empty if none."""
        return self.error.get("execution", "")

    @property
    def version(self) -> str:
        """Version that served the request, as `model@version`."""
        return self.headers.get("Dragonflydyke-Version", "")


class _StreamParser:
    """Parses the events of a streamed response as they arrive."""

    __slots__ = ("_on_text", "_recorded", "_remainder")

    def __init__(
        self, recorded: RecordedResponse, on_text: Callable[[str], None] | None
    ) -> None:
        self._recorded = recorded
        self._on_text = on_text
        self._remainder = b""

    def feed(self, chunk: bytes) -> None:
        """Parses the events that the received bytes complete."""
        *events, self._remainder = (self._remainder + chunk).split(b"\n\n")
        for event in events:
            self._record_event(event.decode().removeprefix("data: "))

    def get_remainder(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return self._remainder

    def _record_event(self, data: str) -> None:
        recorded = self._recorded
        if recorded.is_complete:
            recorded.error = {"code": "event_after_end_marker"}
        if data == _END_MARKER:
            recorded.is_complete = True
            return
        value = json.loads(data)
        recorded.extension = value.get(_EXTENSION_FIELD) or recorded.extension
        recorded.error = value.get("error") or recorded.error
        for choice in value.get("choices", ()):
            recorded.text += choice["delta"].get("content") or ""
        if self._on_text is not None:
            self._on_text(recorded.text)


class RecordingClient:
    """Sends requests and records failures instead of raising them."""

    __slots__ = ("_client",)

    def __init__(self) -> None:
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONNECTIONS
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()

    async def chat(
        self,
        url: str,
        call: ChatCall,
        on_text: Callable[[str], None] | None = None,
    ) -> RecordedResponse:
        """Sends a chat completion.

        Args:
            url: Base URL of the router.
            call: Chat completion to send.
            on_text: Called with the text so far after each event.
        """
        recorded = RecordedResponse(url)
        parser = _StreamParser(recorded, on_text)
        response = await self._send(
            recorded,
            f"{url}/v1/chat/completions",
            json.dumps(call.to_body()).encode(),
            call.headers,
            parser.feed if call.stream else None,
        )
        if response is None:
            return recorded
        if not call.stream or recorded.status != 200:
            body = parser.get_remainder() if call.stream else response.body
            _record_json_body(recorded, body)
        return recorded

    async def call_service(
        self,
        url: str,
        operation: str,
        key: str = "",
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> RecordedResponse:
        """Calls an operation of the service `labels`."""
        recorded = RecordedResponse(url)
        headers = dict(headers or {})
        if key:
            headers["Idempotency-Key"] = key
        response = await self._send(
            recorded,
            f"{url}/v1/services/labels/{operation}",
            json.dumps(body or {}).encode() if operation == "print" else None,
            headers,
        )
        if response is not None and recorded.status == 200:
            recorded.text = response.body.decode()
            recorded.is_complete = True
        elif response is not None:
            _record_json_body(recorded, response.body)
        return recorded

    async def _send(
        self,
        recorded: RecordedResponse,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> httpclient.HTTPResponse | None:
        response_headers = httputil.HTTPHeaders()
        status = [_NO_RESPONSE]

        def record_header_line(line: str) -> None:
            if line.startswith("HTTP/"):
                status[0] = int(line.split()[1])
            elif line.strip():
                response_headers.parse_line(line)

        request = httpclient.HTTPRequest(
            url,
            method="GET" if body is None else "POST",
            body=body,
            headers={"Authorization": f"Bearer {ACCOUNT_KEY}", **headers},
            connect_timeout=_TIMEOUT_S,
            request_timeout=_TIMEOUT_S,
            header_callback=record_header_line,
            streaming_callback=on_chunk,
        )
        response = None
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            recorded.connection_error = repr(error)
        if response is not None and response.code == _NO_RESPONSE:
            recorded.connection_error = repr(response.error)
            response = None
        recorded.status = status[0]
        recorded.headers = dict(response_headers)
        return response


def _record_json_body(recorded: RecordedResponse, body: bytes | None) -> None:
    value = json.loads(body or b"{}")
    recorded.error = value.get("error") or {}
    recorded.extension = value.get(_EXTENSION_FIELD) or {}
    for choice in value.get("choices", ()):
        recorded.text += choice["message"]["content"]
    recorded.is_complete = recorded.status == 200


def build_expected_text(
    call: ChatCall, version: str, tokens: int = COMPLETION_TOKENS
) -> str:
    """Returns the text that the engine emulator generates for a call."""
    request = engine_model.parse_chat_request(
        {**call.to_body(), "model": version}
    )
    count = min(tokens, call.max_tokens or tokens)
    return "".join(
        engine_model.generate_token(
            request, deployment.ENGINE_SEED, index, False
        )
        for index in range(count)
    )


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = 60.0
) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: After the timeout, which stops a test that hangs.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
