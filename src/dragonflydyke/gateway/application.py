"""HTTP server and request handlers of the public API."""

import asyncio
import hashlib
import hmac
import json
import ssl
from collections.abc import Awaitable
from typing import Any, NoReturn

import tornado.httpserver
import tornado.web
from tornado import httputil

from dragonflydyke import errors, logs
from dragonflydyke.configuration import model
from dragonflydyke.gateway import (
    calls,
    chat,
    execution,
    requests,
    responses,
    services,
)
from dragonflydyke.gateway.response_writer import ResponseWriter

_IDLE_CONNECTION_TIMEOUT_S = 75.0
_MAX_HEADER_BYTES = 32_768
_BEARER = "bearer "

_LOGGER = logs.get_logger("gateway")


def build_application(
    gateway_services: services.GatewayServices,
) -> tornado.web.Application:
    """Returns the web application that serves the public address."""
    arguments = {"gateway_services": gateway_services}
    return tornado.web.Application(
        [
            (r"/v1/chat/completions", _ChatHandler, arguments),
            (r"/v1/models", _ModelsHandler, arguments),
            (r"/v1/services/([^/]+)/([^/]+)", _CallHandler, arguments),
        ],
        default_handler_class=_UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


def build_server(
    application: httputil.HTTPServerConnectionDelegate,
    *,
    ssl_options: ssl.SSLContext | None = None,
) -> tornado.httpserver.HTTPServer:
    """Returns an HTTP server that closes idle connections.

    The idle timeout also applies to clients that send their headers slowly.

    Args:
        application: The public API.
        ssl_options: TLS context with the server certificate; None serves plain
            HTTP.
    """
    return tornado.httpserver.HTTPServer(
        application,
        ssl_options=ssl_options,
        idle_connection_timeout=_IDLE_CONNECTION_TIMEOUT_S,
        max_header_size=_MAX_HEADER_BYTES,
    )


def authenticate(
    document: model.Document, authorization: str
) -> model.ClientAccount:
    """Returns the client account that a bearer key belongs to.

    The key is compared with all hashes, each in constant time, so that the
    response time reveals nothing about the keys.

    Raises:
        DragonflydykeError: `missing_key` or `invalid_key`, status 401.
    """
    if authorization[: len(_BEARER)].lower() != _BEARER:
        _reject_key(
            "missing_key",
            "The header Authorization: Bearer is missing; send it.",
        )
    key = authorization[len(_BEARER) :].strip()
    key_hash = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    matching_account = None
    for account in document.client_accounts:
        for known_hash in account.key_hashes:
            if hmac.compare_digest(
                key_hash.encode(), known_hash.lower().encode()
            ):
                matching_account = account
    if matching_account is None:
        _reject_key(
            "invalid_key", "The key belongs to no client account; check it."
        )
    return matching_account


def _reject_key(code: str, message: str) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        message,
        step=errors.Step.AUTHENTICATE,
        status=401,
        field="Authorization",
    )


@tornado.web.stream_request_body
class _RequestHandler(tornado.web.RequestHandler):
    """Base handler: authenticates, limits the body and runs the request."""

    def initialize(self, gateway_services: services.GatewayServices) -> None:
        self._services = gateway_services
        self._response_writer = ResponseWriter(
            self,
            execution.create_request_id(),
            gateway_services.counters,
            gateway_services.tracker,
        )
        self._release_request = gateway_services.tracker.start_request()
        self._received_s = asyncio.get_running_loop().time()
        # Separate parts would cost more memory than their bytes.
        self._chunks = bytearray()
        self._received_bytes = 0
        self._max_body_bytes = 0
        self._body_timer: asyncio.TimerHandle | None = None
        self._execution_task: asyncio.Task[None] | None = None
        self._account_name = ""

    def prepare(self) -> None:
        self._services.tracker.check_accepting()
        requests.check_headers(self.request.headers.get_all())
        document = execution.read_in_force(self._services).document
        authorization = self.request.headers.get("Authorization", "")
        self._account_name = authenticate(document, authorization).name
        policy = document.policy
        self._max_body_bytes = policy.max_body_bytes
        length = self.request.headers.get("Content-Length", "0")
        self._check_size(int(length) if length.isdecimal() else 0)
        self._body_timer = asyncio.get_running_loop().call_later(
            policy.body_timeout_s, self._fail_body_timeout
        )

    def data_received(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        try:
            self._check_size(self._received_bytes)
        except errors.DragonflydykeError as error:
            self._stop_timer()
            self._response_writer.fail(error)
            return
        self._chunks += chunk

    def on_connection_close(self) -> None:
        self._stop_timer()
        if self._execution_task is not None and not self._execution_task.done():
            self._services.counters.increment("caller.disconnected")
            self._execution_task.cancel()
        self._release_request()
        super().on_connection_close()

    def on_finish(self) -> None:
        self._stop_timer()
        self._release_request()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        exception = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(exception, errors.DragonflydykeError):
            exception = _build_http_error(status_code)
        self._response_writer.fail(exception)

    def log_exception(self, kind: Any, value: Any, trace: Any) -> None:
        expected = (errors.DragonflydykeError, tornado.web.HTTPError)
        if not isinstance(value, expected):
            _LOGGER.error(
                "request handler failed", exc_info=(kind, value, trace)
            )

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise errors.DragonflydykeError(
                "body_too_large",
                f"The body is over {self._max_body_bytes} bytes; shorten it.",
                step=errors.Step.READ_REQUEST,
                status=413,
            )

    def _fail_body_timeout(self) -> None:
        if self._finished:
            return
        self._response_writer.fail(
            errors.DragonflydykeError(
                "body_timeout",
                "The body was not received before its timeout; send it faster.",
                step=errors.Step.READ_REQUEST,
                status=408,
                retry_after_s=1.0,
            )
        )

    def _stop_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _collect_body(self) -> bytes:
        self._stop_timer()
        body = bytes(self._chunks)
        self._chunks.clear()
        return body

    async def _run_cancellable(
        self, request_execution: Awaitable[None]
    ) -> None:
        # The request runs in its own task. When the client disconnects, only
        # this task is cancelled, and it still records its bill.
        self._execution_task = asyncio.ensure_future(request_execution)
        await asyncio.wait({self._execution_task})
        if not self._execution_task.cancelled():
            self._execution_task.result()


class _ChatHandler(_RequestHandler):
    async def post(self) -> None:
        request = requests.parse_chat(
            self.request.headers, self._collect_body()
        )
        work = chat.ChatExecution(
            self._services,
            self._response_writer,
            self._account_name,
            self._received_s,
            request,
        )
        await self._run_cancellable(work.run())


class _CallHandler(_RequestHandler):
    async def post(self, service: str, operation: str) -> None:
        await self._call("POST", service, operation)

    async def get(self, service: str, operation: str) -> None:
        await self._call("GET", service, operation)

    async def _call(self, method: str, service: str, operation: str) -> None:
        headers = self.request.headers
        request = calls.CallRequest(
            service=service,
            operation=operation,
            method=method,
            query=self.request.query,
            content_type=headers.get("Content-Type", responses.JSON_TYPE),
            body=self._collect_body(),
            options=requests.parse_options(headers, {}),
        )
        work = calls.CallExecution(
            self._services,
            self._response_writer,
            self._account_name,
            self._received_s,
            request,
        )
        await self._run_cancellable(work.run())


class _ModelsHandler(_RequestHandler):
    def get(self) -> None:
        self._stop_timer()
        in_force = execution.read_in_force(self._services)
        account = in_force.document.account(self._account_name)
        names = list_models(in_force.document, account) if account else []
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in names
        ]
        headers = {responses.REVISION_HEADER: str(in_force.revision)}
        body = json.dumps({"object": "list", "data": entries}).encode()
        self._response_writer.finish(200, responses.JSON_TYPE, headers, body)


class _UnknownPathHandler(_RequestHandler):
    def prepare(self) -> None:
        raise tornado.web.HTTPError(404)


def list_models(
    document: model.Document, account: model.ClientAccount
) -> list[str]:
    """Returns the cascades, models and active versions an account may use."""
    names = [c.name for c in document.cascades if c.name in account.cascades]
    for listed_model in document.models:
        usable_versions = [
            model.version_id(listed_model.name, version.name)
            for version in listed_model.versions
            if version.state is model.VersionState.ACTIVE
            and account.allows_version(listed_model.name, version.name)
        ]
        names.extend(
            [listed_model.name, *usable_versions] if usable_versions else []
        )
    return names


def _build_http_error(status: int) -> errors.DragonflydykeError:
    codes = {404: "unknown_path", 405: "method_not_allowed"}
    if status in codes:
        return errors.DragonflydykeError(
            codes[status],
            "There is no such path or method; see docs/api.md.",
            step=errors.Step.READ_REQUEST,
            status=status,
        )
    if status < 500:
        return errors.DragonflydykeError(
            "invalid_request",
            "The request is not valid HTTP; correct it.",
            step=errors.Step.READ_REQUEST,
            status=status,
        )
    return errors.DragonflydykeError(
        "internal_error",
        "Internal error of the router; report it with the request id.",
        step=errors.Step.READ_REQUEST,
        execution=errors.Execution.UNKNOWN,
        status=500,
    )
