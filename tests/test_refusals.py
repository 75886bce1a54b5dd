"""Tests of requests that the gateway rejects, over real connections."""

import asyncio
import dataclasses

from dragonflydyke.configuration import model
from dragonflydyke.routing import AttemptOutcome
from dragonflydyke.sessions import model as sessions
from tests.builders import documents, gateway
from tests.builders.gateway_case import (
    CHAT_PATH,
    LOOKUP_PATH,
    NOT_CONFIRMED_ERROR,
    PRINT_PATH,
    GatewayTestCase,
)


class RejectionTest(GatewayTestCase):
    """Guards against rejections with a wrong status, code or execution.

    After each test nothing may have been sent to a server or billed.
    """

    async def asyncTearDown(self) -> None:
        self.assertEqual(self.services.backends.requests, [])
        self.assertEqual(self.bills, [])
        await super().asyncTearDown()

    async def test_invalid_requests(self) -> None:
        cases = [
            ({"body": "{"}, 400, "invalid_json"),
            ({"body": "[]"}, 400, "invalid_json"),
            ({"messages": "x"}, 400, "invalid_request"),
            ({"stream": 1}, 400, "invalid_request"),
            ({"max_tokens": 0}, 400, "invalid_request"),
            ({"model": "none"}, 404, "unknown_model"),
            ({"model": "planner-small@v9"}, 404, "unknown_model"),
            ({"metadata": {"class": "none"}}, 400, "unknown_class"),
            ({"metadata": {"deadline_ms": "soon"}}, 400, "invalid_deadline"),
            ({"metadata": {"deadline_ms": 0}}, 400, "invalid_deadline"),
            (
                {"metadata": {"idempotency_key": "k" * 257}},
                400,
                "invalid_idempotency_key",
            ),
            ({"path": "/none"}, 404, "unknown_path"),
            ({"method": "GET"}, 405, "method_not_allowed"),
            ({"path": PRINT_PATH}, 400, "idempotency_key_required"),
            ({"path": PRINT_PATH, "method": "GET"}, 405, "method_not_allowed"),
            ({"path": LOOKUP_PATH}, 400, "body_not_allowed"),
            ({"path": "/v1/services/x/y"}, 404, "unknown_service"),
            ({"path": "/v1/services/labels/y"}, 404, "unknown_operation"),
            ({"headers": {"Authorization": ""}}, 401, "missing_key"),
            ({"headers": {"Authorization": "Bearer x"}}, 401, "invalid_key"),
        ]
        for arguments, status, code in cases:
            with self.subTest(code, arguments=arguments):
                response = await self.fetch(**arguments)
                self.check_error(response, status, code)

    async def test_account_without_access(self) -> None:
        key = {"Authorization": f"Bearer {documents.OTHER_ACCOUNT_KEY}"}
        for arguments, code in (
            ({"model": "planner-large"}, "model_not_allowed"),
            ({"model": "planning"}, "cascade_not_allowed"),
            ({"path": PRINT_PATH}, "service_not_allowed"),
        ):
            with self.subTest(code):
                response = await self.fetch(headers=key, **arguments)
                self.check_error(response, 403, code)

    async def test_unusable_versions(self) -> None:
        withdrawn = documents.build_version(state=model.VersionState.WITHDRAWN)
        retiring = documents.build_version("v2", model.VersionState.RETIRING)
        self.replace_configuration(
            models=(model.Model("planner-small", (withdrawn, retiring)),)
        )
        pinned = sessions.Session("a", "s", "planner-small", "v1", 0)
        token = gateway.issue_token(None, pinned)
        withdrawn_session = "session_version_withdrawn"
        for arguments, status, code in (
            ({}, 503, "no_version_available"),
            ({"model": "planner-small@v1"}, 409, "version_withdrawn"),
            ({"model": "planner-small@v2"}, 409, "version_retiring"),
            ({"metadata": {"session": token}}, 409, withdrawn_session),
        ):
            with self.subTest(code):
                response = await self.fetch(**arguments)
                self.check_error(response, status, code)

    async def test_version_not_allowed(self) -> None:
        account = self.services.state.current.document.client_accounts[0]
        account = dataclasses.replace(account, versions=("planner-large@v1",))
        self.replace_configuration(client_accounts=(account,))
        response = await self.fetch(model="planner-small@v1")
        self.check_error(response, 403, "version_not_allowed")

    async def test_router_that_cannot_serve(self) -> None:
        rejection = gateway.build_retryable_error("rate_limited", "admit", 429)
        self.services.limiter.admit.side_effect = rejection
        response = await self.fetch()
        self.check_error(response, 429, "rate_limited")
        self.assertEqual(response.headers["Retry-After"], "1")
        self.services.limiter.admit.side_effect = None
        # The permit is checked again right before the dispatch, because the
        # process may have been paused after the admission.
        for checks in ([NOT_CONFIRMED_ERROR], [None, NOT_CONFIRMED_ERROR]):
            self.services.permit.check.side_effect = checks
            self.check_error(await self.fetch(), 503, "not_confirmed")
        self.services.permit.check.side_effect = None
        self.replace_configuration(backend_servers=())
        self.check_error(await self.fetch(), 503, "no_backend_server")
        self.services.state.current = None
        self.check_error(await self.fetch(), 503, "not_confirmed")

    async def test_overload_is_rejected_at_admission(self) -> None:
        # Guards against queueing requests that would exceed their deadline.
        pool = self.services.pool
        for server in self.services.state.current.document.backend_servers:
            placement = pool.start_attempt(server)
            placement.started_s -= 60.0
            placement.finish(AttemptOutcome.COMPLETED)
            pool.record_load_report(server.name, running=8, waiting=100)
        response = await self.fetch()
        error = self.check_error(response, 503, "overloaded")
        self.assertEqual(error["step"], "admit")
        self.assertGreater(error["retry_after_s"], 0)

    async def test_large_and_slow_bodies(self) -> None:
        policy = model.Policy(max_body_bytes=100, body_timeout_s=0.05)
        self.replace_configuration(policy=policy)
        response = await self.fetch(body="x" * 101)
        self.check_error(response, 413, "body_too_large")
        raw_response = await self.read_response(
            await self.send_raw(b"{", length=50)
        )
        self.assertIn(b"408", raw_response.split(b"\r\n")[0])
        self.assertIn(b'"body_timeout"', raw_response)

    async def test_large_chunked_body(self) -> None:
        self.replace_configuration(policy=model.Policy(max_body_bytes=100))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        head += f"{documents.ACCOUNT_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode() + b"c8\r\n" + b"x" * 200 + b"\r\n")
        raw_response = await self.read_response((reader, writer))
        self.assertIn(b"413", raw_response.split(b"\r\n")[0])

    async def test_control_characters_in_headers(self) -> None:
        # Guards against header injection when headers are forwarded.
        connection = await self.send_raw(extra_headers="X-Name: a\x01b\r\n")
        raw_response = await self.read_response(connection)
        self.assertIn(b"400", raw_response.split(b"\r\n")[0])
