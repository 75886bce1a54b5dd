"""Sends a schedule of requests to routers in an open loop."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

from tornado import httpclient, simple_httpclient

from dragonflydyke.load import model
from dragonflydyke.rollouts import completions

_MAX_CLIENTS = 10_000
_DATA_PREFIX = b"data: "
_NO_RESPONSE = "no_response"


class OpenLoopSender:
    """Sends each request at its scheduled time.

    Responses to earlier requests have no influence on the times, so that slow
    responses do not reduce the load.
    """

    __slots__ = (
        "_client",
        "_keep_response_text",
        "_keys",
        "_timeout_s",
        "_urls",
    )

    def __init__(
        self,
        urls: Sequence[str],
        keys: Sequence[str],
        timeout_s: float,
        *,
        keep_response_text: bool = False,
    ) -> None:
        """Creates a sender.

        Args:
            urls: Public base URLs of routers, used round-robin.
            keys: Bearer keys of the client accounts.
            timeout_s: Timeout of a request.
            keep_response_text: Whether records hold the text of the completion.
        """
        self._keep_response_text = keep_response_text
        self._urls = urls
        self._keys = keys
        self._timeout_s = timeout_s
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def send_schedule(
        self, arrivals: Sequence[model.Arrival]
    ) -> list[model.RequestRecord]:
        """Sends all requests; returns the records in order of arrival."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        for index, arrival in enumerate(arrivals):
            delay_s = start_s + arrival.at_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            target = index % len(self._urls)
            tasks.append(
                asyncio.create_task(self._send(arrival, start_s, target))
            )
        return list(await asyncio.gather(*tasks))

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()

    async def _send(
        self, arrival: model.Arrival, start_s: float, target: int
    ) -> model.RequestRecord:
        loop = asyncio.get_running_loop()
        record = model.RequestRecord(
            arrival.request_class, arrival.at_s, target=target
        )
        intended_s = start_s + arrival.at_s
        parts: list[bytes] = []

        def receive(chunk: bytes) -> None:
            if record.first_token_s is None and b'"content"' in chunk:
                record.first_token_s = loop.time() - intended_s
            parts.append(chunk)

        sent_s = loop.time()
        record.sent_s = sent_s - start_s
        request = self._build_request(arrival, self._urls[target], receive)
        try:
            response = await self._client.fetch(request, raise_error=False)
            body = b"".join(parts)
            _record_response(record, response.code, body)
            if self._keep_response_text and not arrival.is_call:
                record.answer = completions.extract_text(body)
        except (OSError, httpclient.HTTPError):
            record.outcome, record.execution = _NO_RESPONSE, "unknown"
        record.answer_s = loop.time() - sent_s
        record.total_s = loop.time() - intended_s
        return record

    def _build_request(
        self, arrival: model.Arrival, url: str, receive: Any
    ) -> httpclient.HTTPRequest:
        headers = {
            "Authorization": f"Bearer {self._keys[arrival.account_index]}",
            "Content-Type": "application/json",
            "Dragonflydyke-Class": arrival.request_class,
        }
        if arrival.is_call:
            headers.pop("Dragonflydyke-Class")
            url, body = f"{url}/v1/services/{arrival.model}", None
        else:
            url = f"{url}/v1/chat/completions"
            body = json.dumps(
                {
                    "model": arrival.model,
                    "messages": [{"role": "user", "content": arrival.prompt}],
                    "max_completion_tokens": arrival.max_tokens,
                    "stream": True,
                }
            )
        return httpclient.HTTPRequest(
            url,
            method="GET" if arrival.is_call else "POST",
            headers=headers,
            body=body,
            streaming_callback=receive,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )


def _record_response(
    record: model.RequestRecord, status: int, body: bytes
) -> None:
    if status == httpclient.HTTPError(599).code or not body:
        record.outcome, record.execution = _NO_RESPONSE, "unknown"
        return
    for value in _parse_json_objects(body):
        error = value.get("error")
        if isinstance(error, dict):
            record.outcome = str(error.get("code", status))
            record.execution = str(error.get("execution", ""))
            return
        extension = value.get("dragonflydyke")
        if isinstance(extension, dict):
            record.version = str(extension.get("version", ""))
            record.cost = int(extension.get("cost", 0))
    is_complete = body.rstrip().endswith(b"[DONE]") or not body.startswith(
        _DATA_PREFIX
    )
    record.outcome = model.COMPLETED if is_complete else "answer_incomplete"
    record.execution = "" if is_complete else "unknown"


def _parse_json_objects(body: bytes) -> list[dict[str, Any]]:
    """Returns the JSON objects of a body or of the last events of a stream."""
    texts = [body]
    if body.startswith(_DATA_PREFIX):
        # The `dragonflydyke` field and errors are at the end of a stream.
        lines = [
            line for line in body.splitlines() if line.startswith(_DATA_PREFIX)
        ]
        texts = [line.removeprefix(_DATA_PREFIX) for line in lines[-4:]]
    values = []
    for text in texts:
        try:
            value = json.loads(text)
        except ValueError:
            continue
        if isinstance(value, dict):
            values.append(value)
    return values
