"""HTTP serving, JSON handlers and behaviour updates of the emulators."""

import asyncio
import dataclasses
import json
import signal
from typing import Any

from tornado import httpserver, netutil, web

from dragonflydyke import settings
from dragonflydyke.emulator import faults

_INTERNAL_ERROR = 500
# Value of a counting field that stands for all requests.
_UNLIMITED = -1
_MAX_BODY_BYTES = 64_000_000


class JsonHandler(web.RequestHandler):
    """Base class of handlers with JSON bodies and abortable connections.

    Attributes:
        state: State of the emulator, set by `initialize` of the subclasses. If
            its behaviour has statements, all responses carry them.
    """

    state: Any = None

    def set_default_headers(self) -> None:
        """Sets the statements; Tornado calls this for errors, too."""
        behaviour = getattr(self.state, "behaviour", None)
        if isinstance(behaviour, faults.StatingFaults):
            for name, value in behaviour.build_statements().items():
                self.set_header(name, value)

    def prepare(self) -> None:
        """Sets the statements, which are not known at the construction."""
        self.set_default_headers()

    def write_json(self, content: Any, status: int = 200) -> None:
        """Writes a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(content, separators=(",", ":")))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes an error in the format of the chat API."""
        message = self._reason
        error = (kwargs.get("exc_info") or (None, None))[1]
        if isinstance(error, web.HTTPError) and error.log_message:
            message = error.log_message
        self.write_json(
            {
                "error": {
                    "message": message,
                    "type": "invalid_request_error"
                    if status_code < _INTERNAL_ERROR
                    else "server_error",
                    "code": status_code,
                }
            },
            status_code,
        )

    def log_exception(self, *exception: Any) -> None:
        """Logs exceptions except HTTPError, which is an intended response."""
        if not isinstance(exception[1], web.HTTPError):
            super().log_exception(*exception)

    def read_json(self) -> Any:
        """Returns the parsed request body.

        Raises:
            web.HTTPError: 400 if the body is not JSON.
        """
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(
                400, f"the body is not valid JSON: {error}"
            ) from error

    def abort_connection(self) -> None:
        """Closes the connection without sending any more bytes."""
        self._finished = True
        self.detach().close()


def update_behaviour(behaviour: Any, changes: Any) -> None:
    """Sets fields of a behaviour dataclass; sets none if one is invalid.

    Raises:
        web.HTTPError: 400 for an unknown field, a value of another type or a
            value below the minimum.
    """
    if not isinstance(changes, dict):
        raise web.HTTPError(400, "send a JSON object of fields to change")
    field_names = {field.name for field in dataclasses.fields(behaviour)}
    for name, value in changes.items():
        if name not in field_names:
            raise web.HTTPError(
                400,
                f"{name} is not a known field; use one of "
                f"{', '.join(sorted(field_names))}",
            )
        current = getattr(behaviour, name)
        is_int_for_float = isinstance(current, float) and type(value) is int
        if type(value) is not type(current) and not is_int_for_float:
            raise web.HTTPError(
                400, f"{name} must be a {type(current).__name__}"
            )
        minimum = 0 if isinstance(current, float) else _UNLIMITED
        if isinstance(current, int | float) and value < minimum:
            raise web.HTTPError(400, f"{name} must be at least {minimum}")
    for name, value in changes.items():
        setattr(behaviour, name, value)


def start_server(
    application: web.Application, address: settings.Address
) -> tuple[httpserver.HTTPServer, int]:
    """Starts an HTTP server and returns it with its port.

    Raises:
        OSError: If the address cannot be bound.
    """
    sockets = netutil.bind_sockets(address.port, address.host)
    server = httpserver.HTTPServer(
        application,
        max_body_size=_MAX_BODY_BYTES,
        max_buffer_size=_MAX_BODY_BYTES,
    )
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def stop_server(server: httpserver.HTTPServer) -> None:
    """Stops accepting connections and closes the open ones."""
    server.stop()
    await server.close_all_connections()


async def serve(
    application: web.Application, address: settings.Address
) -> None:
    """Serves until SIGTERM or SIGINT.

    Prints `listening on host:port` when it accepts connections.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server, port = start_server(application, address)
    print(f"listening on {address.host}:{port}", flush=True)
    await stop.wait()
    await stop_server(server)


def discard_access_log(handler: web.RequestHandler) -> None:
    """Replaces the access log of the library by one that logs nothing."""
