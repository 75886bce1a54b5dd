"""HTTP client of the harness and the tests."""

import dataclasses
import json
from typing import Any

from tornado import httpclient, simple_httpclient

_TIMEOUT_S = 60.0
_MAX_CONNECTIONS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class HttpResponse:
    """An HTTP response; the status is 599 if none was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""

    def json(self) -> Any:
        """Returns the parsed JSON body."""
        return json.loads(self.body)


class HttpClient:
    """Sends requests; returns failures as responses with status 599."""

    __slots__ = ("_client",)

    def __init__(self) -> None:
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONNECTIONS
        )

    async def call(
        self,
        method: str,
        url: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = _TIMEOUT_S,
        ca_certs: str | None = None,
    ) -> HttpResponse:
        """Sends a request; a body that is not bytes is sent as JSON."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            ca_certs=ca_certs,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return HttpResponse(599, {}, b"", repr(error))
        return HttpResponse(
            response.code, dict(response.headers), response.body or b""
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()
