"""Tests of the admin API over HTTP."""

import hmac
import json
import unittest
from typing import Any
from unittest import mock

from tornado import httpclient

from dragonflydyke import configuration
from dragonflydyke.admin import handlers
from tests.builders import admin as builders
from tests.builders import documents


class AdminTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unauthenticated access and malformed error responses."""

    async def asyncSetUp(self) -> None:
        self.server = builders.AdminServer()
        self.addAsyncCleanup(self.server.stop)
        self.http = httpclient.AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.http.close)

    async def _fetch(
        self, path: str, body: Any = None, key: str = builders.OPERATOR_KEY
    ) -> tuple[int, Any]:
        response = await self.http.fetch(
            self.server.url + path,
            method="GET" if body is None else "POST",
            body=body if body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {key}"} if key else {},
            raise_error=False,
        )
        return response.code, json.loads(response.body)

    async def test_operator_paths_require_an_operator_key(self) -> None:
        document = configuration.to_mapping(documents.build_document())
        for key in ("", "wrong", builders.OPERATOR_KEY + "x"):
            for path, body in (
                ("/v1/configuration", None),
                ("/v1/configuration", document),
                ("/v1/configuration/validate", document),
                ("/v1/history", None),
                ("/v1/status", None),
                ("/v1/roll-outs", None),
                ("/v1/session-keys/rotate", {}),
                ("/v1/bills", None),
                ("/v1/counters", None),
            ):
                with self.subTest(key=key, path=path):
                    status, content = await self._fetch(path, body, key)
                    self.assertEqual(status, 401)
                    error = content["error"]
                    self.assertEqual(error["code"], "operator_key_invalid")
                    self.assertEqual(error["type"], "authentication_error")
                    self.assertEqual(error["execution"], "not run")
        self.assertEqual(self.server.writer.revisions, [])

    def test_every_key_hash_is_compared_in_constant_time(self) -> None:
        hashes = tuple(documents.hash_key(key) for key in ("a", "b", "c"))
        for header, expected in (("Bearer a", True), ("a", False), ("", False)):
            with (
                self.subTest(header=header),
                mock.patch.object(
                    hmac, "compare_digest", wraps=hmac.compare_digest
                ) as compare,
            ):
                is_operator = handlers.check_operator_key(header, hashes)
                self.assertEqual(is_operator, expected)
                self.assertEqual(compare.call_count, len(hashes))

    async def test_health_checks_need_no_key_and_report_the_reason(
        self,
    ) -> None:
        self.assertEqual((await self._fetch("/health/live", key=""))[0], 200)
        self.assertEqual((await self._fetch("/health/ready", key=""))[0], 200)
        self.server.fleet.ready = False
        status, content = await self._fetch("/health/ready", key="")
        self.assertEqual(status, 503)
        self.assertEqual(content["reason"], "platform not confirmed")

    async def test_invalid_documents_are_rejected_with_all_problems(
        self,
    ) -> None:
        mapping = configuration.to_mapping(documents.build_document())
        mapping["classes"][0]["deadline_s"] = 0
        mapping["client_accounts"][0]["services"] = ["x"]
        for path in ("/v1/configuration", "/v1/configuration/validate"):
            status, content = await self._fetch(path, mapping)
            self.assertEqual(status, 422)
            problems = [p["path"] for p in content["error"]["problems"]]
            self.assertEqual(
                problems,
                ["classes[0].deadline_s", "client_accounts[0].services[0]"],
            )

    async def test_validate_checks_the_change_from_the_current_revision(
        self,
    ) -> None:
        mapping = configuration.to_mapping(documents.build_document())
        path = "/v1/configuration/validate"
        self.assertEqual((await self._fetch(path, mapping))[0], 200)
        versions = mapping["models"][0]["versions"]
        versions[0]["state"] = "withdrawn"
        await self._fetch("/v1/configuration", mapping)
        versions[0]["state"] = "active"
        self.assertEqual((await self._fetch(path, mapping))[0], 422)

    async def test_invalid_requests_get_error_responses(self) -> None:
        for path, body, expected, code in (
            ("/v1/other", None, 404, "path_unknown"),
            ("/v1/configuration?revision=x", None, 400, "request_invalid"),
            ("/v1/configuration?revision=7", None, 404, "revision_unknown"),
            ("/v1/configuration", [], 400, "body_invalid"),
            ("/v1/configuration?change_token=x", {}, 400, "request_invalid"),
            ("/v1/configuration?applied_by=a%23b", {}, 400, "request_invalid"),
            ("/v1/configuration", "x" * 2_000_001, 413, "body_too_large"),
        ):
            with self.subTest(path=path):
                status, content = await self._fetch(path, body)
                self.assertEqual(status, expected)
                self.assertEqual(content["error"]["code"], code)

    async def test_internal_errors_report_execution_unknown(self) -> None:
        self.server.writer.apply_error = RuntimeError("fault")
        mapping = configuration.to_mapping(documents.build_document())
        status, content = await self._fetch("/v1/configuration", mapping)
        self.assertEqual(status, 500)
        self.assertEqual(content["error"]["execution"], "unknown")
