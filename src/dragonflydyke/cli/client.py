"""HTTP client of the admin API."""

import json
from collections.abc import Mapping, Sequence
from typing import Any
from urllib import parse

from tornado import httpclient, simple_httpclient

from dragonflydyke import errors, transport

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
# Applying a configuration includes waiting for acknowledgements from the fleet
# and for a write to the platform.
WRITE_TIMEOUT_S = 30.0
_MIN_ERROR_STATUS = 400


class AdminClient:
    """Sends each request to the first admin URL that accepts a connection."""

    __slots__ = ("_authority_file", "_http_client", "_operator_key", "_servers")

    def __init__(
        self,
        servers: Sequence[str],
        operator_key: str,
        authority_file: str | None = None,
    ) -> None:
        """Creates a client.

        Args:
            servers: Base URLs of admin APIs, tried in this order.
            operator_key: Bearer key of the operator.
            authority_file: PEM file of the certificate authority that signed
                the servers' certificates; None uses the system's trust store.
        """
        self._authority_file = authority_file
        self._servers = tuple(servers)
        self._operator_key = operator_key
        self._http_client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )

    def close(self) -> None:
        """Closes the HTTP client and its connections."""
        self._http_client.close()

    async def read(self, path: str, **query: str | int | None) -> Any:
        """Returns the JSON content of a resource.

        Any failure to get a response, also after the request was sent, makes
        the client try the next server.

        Raises:
            DragonflydykeError: With execution NOT_RUN if the request is
                rejected, no server responds, or the response is invalid.
        """
        request = self._build_request("GET", path, query, None, READ_TIMEOUT_S)
        try:
            return await self._send_request(request, is_write=False)
        except errors.DragonflydykeError as error:
            # Reads have no side effects, so their outcome is never unknown.
            error.execution = errors.Execution.NOT_RUN
            raise

    async def write(
        self, path: str, body: Mapping[str, Any], **query: str | int | None
    ) -> Any:
        """Sends a JSON document and returns the JSON response.

        The next server is tried only if the request was certainly not sent,
        so that a change is never sent twice.

        Raises:
            DragonflydykeError: If the request is rejected or no server is
                reachable; with execution UNKNOWN if the response is lost or
                invalid.
        """
        request = self._build_request(
            "POST", path, query, body, WRITE_TIMEOUT_S
        )
        return await self._send_request(request, is_write=True)

    def _build_request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str | int | None],
        body: Mapping[str, Any] | None,
        timeout_s: float,
    ) -> dict[str, Any]:
        parameters = {k: v for k, v in query.items() if v is not None}
        if parameters:
            path = f"{path}?{parse.urlencode(parameters)}"
        return {
            "path": path,
            "method": method,
            "headers": {"Authorization": f"Bearer {self._operator_key}"},
            "body": None if body is None else json.dumps(body),
            "connect_timeout": CONNECT_TIMEOUT_S,
            "request_timeout": timeout_s,
            "follow_redirects": False,
            "ca_certs": self._authority_file,
        }

    async def _send_request(
        self, request: dict[str, Any], *, is_write: bool
    ) -> Any:
        arguments = dict(request)
        path = arguments.pop("path")
        failures = []
        for server in self._servers:
            try:
                response = await self._http_client.fetch(
                    httpclient.HTTPRequest(server + path, **arguments),
                    raise_error=False,
                )
            except (OSError, httpclient.HTTPError) as error:
                if is_write and not transport.was_not_sent(error):
                    raise _build_response_lost_error(server, error) from error
                failures.append(f"{server}: {error}")
            else:
                return _parse_response(server, response, is_write=is_write)
        raise errors.DragonflydykeError(
            "server_unavailable",
            f"no server responded ({'; '.join(failures)}); pass the admin URL"
            " of a running router with --server",
            step=errors.Step.CONNECT,
            status=503,
        )


def _build_response_lost_error(
    server: str, cause: Exception
) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "answer_lost",
        f"the request was sent but its response was lost ({cause}); read the"
        " current revision with `dragonflydyke get`",
        step=errors.Step.AWAIT_ANSWER,
        peer=server,
        execution=errors.Execution.UNKNOWN,
        status=503,
    )


def _parse_response(
    server: str, response: httpclient.HTTPResponse, *, is_write: bool
) -> Any:
    try:
        content = json.loads(response.body)
        if response.code < _MIN_ERROR_STATUS:
            return content
        error = content["error"]
        text = "\n".join(
            [error["message"], *map(_format_problem, error.get("problems", ()))]
        )
        server_error = errors.DragonflydykeError(
            error["code"],
            text,
            step=errors.Step(error["step"]),
            peer=error["peer"] or server,
            execution=errors.Execution(error["execution"]),
            retry_after_s=error["retry_after_s"],
            status=response.code,
            field=error["param"] or "",
        )
    except (ValueError, KeyError, TypeError) as parse_error:
        # The response comes from a proxy or from a router of another version.
        raise errors.DragonflydykeError(
            "answer_invalid",
            f"status {response.code} without the expected JSON content"
            f" ({parse_error!r}); check that --server is an admin URL",
            step=errors.Step.READ_ANSWER,
            peer=server,
            execution=(
                errors.Execution.UNKNOWN
                if is_write
                else errors.Execution.NOT_RUN
            ),
            status=502,
        ) from parse_error
    raise server_error


def _format_problem(problem: Mapping[str, Any]) -> str:
    return "{path}: {message}, found {value!r}; {fix}".format_map(problem)
