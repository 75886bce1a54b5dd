"""Test case that runs a gateway with test doubles as its components."""

import asyncio
import dataclasses
import json
from typing import Any

import tornado.httpclient
import tornado.testing

from dragonflydyke import billing, errors
from dragonflydyke.gateway import build_application, build_server
from tests.builders import documents, gateway, skipping_loop

CHAT_PATH = "/v1/chat/completions"
PRINT_PATH = "/v1/services/labels/print"
LOOKUP_PATH = "/v1/services/labels/lookup"
TEST_TIMEOUT_S = 20.0
ERROR_FIELDS = {
    *("message", "type", "code", "param", "step", "peer", "execution"),
    *("retry", "retry_after_s", "request_id"),
}
NOT_CONFIRMED_ERROR = gateway.build_retryable_error(
    "not_confirmed", "admit", 503
)
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def build_error_at(step: errors.Step) -> errors.DragonflydykeError:
    """Returns an error of the backend client at a step of the exchange."""
    not_run = step is errors.Step.CONNECT
    execution = errors.Execution("not run" if not_run else "unknown")
    return gateway.build_retryable_error(
        "backend_unavailable", step, 502, execution
    )


class GatewayTestCase(skipping_loop.SkippingTestCase):
    """Runs a gateway with test doubles on an ephemeral port."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.services = gateway.build_services(gateway.build_two_engines())
        self.server = build_server(build_application(self.services))
        sock, self.port = tornado.testing.bind_unused_port()
        self.server.add_socket(sock)
        # Tests advance the clock; this must not trigger the timeouts of the
        # HTTP client itself.
        timeouts = {"request_timeout": 3_600.0, "connect_timeout": 3_600.0}
        self.client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, defaults=timeouts
        )

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.stop()
        await self.server.close_all_connections()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.tracker.wait_until_idle()

    @property
    def bills(self) -> list[billing.Bill]:
        return self.services.bills.bills

    def script_responses(self, *entries: Any) -> None:
        self.services.backends.responses.extend(
            gateway.ScriptedResponse(entry)
            if isinstance(entry, list)
            else entry
            for entry in entries
        )

    def replace_configuration(self, **changes: Any) -> None:
        in_force = self.services.state.current
        self.services.state.current = gateway.FixedInForce(
            dataclasses.replace(in_force.document, **changes),
            in_force.revision + 1,
        )

    async def fetch(
        self,
        path: str = CHAT_PATH,
        body: Any = None,
        *,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> tornado.httpclient.HTTPResponse:
        if body is None and method == "POST":
            chat = {"model": "planner-small", "messages": [{"role": "user"}]}
            body = json.dumps({**chat, **fields})
        key = f"Bearer {documents.ACCOUNT_KEY}"
        return await self.client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            body=body,
            headers={"Authorization": key, **(headers or {})},
            raise_error=False,
        )

    def check_error(
        self,
        response: tornado.httpclient.HTTPResponse,
        status: int,
        code: str,
        execution: str = "not run",
    ) -> dict[str, Any]:
        error = json.loads(response.body)["error"]
        self.assertEqual(
            (response.code, error["code"], error["execution"]),
            (status, code, execution),
        )
        self.assertEqual(set(error), ERROR_FIELDS)
        self.assertEqual(error["retry"], "Retry-After" in response.headers)
        sent_id = response.headers["Dragonflydyke-Request-Id"]
        self.assertEqual(error["request_id"], sent_id)
        self.assertGreater(self.services.counters.total(f"refusal.{code}"), 0)
        return error

    async def send_raw(
        self,
        body: bytes = b"",
        length: int | None = None,
        extra_headers: str = "",
        path: str = CHAT_PATH,
    ) -> Connection:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        length = len(body) if length is None else length
        head = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n"
            f"Authorization: Bearer {documents.ACCOUNT_KEY}\r\n"
            f"{extra_headers}\r\n"
        )
        writer.write(head.encode() + body)
        return reader, writer

    async def read_response(self, connection: Connection) -> bytes:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            response = await connection[0].read()
        connection[1].close()
        return response

    async def open_stream(self) -> Connection:
        chat = {"model": "planner-small", "messages": [{}], "stream": True}
        return await self.send_raw(json.dumps(chat).encode())
