"""Tests of graceful shutdown with keep-alive connections and slow clients."""

import asyncio

from dragonflydyke.gateway import tracking
from tests.builders import gateway
from tests.builders.gateway_case import TEST_TIMEOUT_S, GatewayTestCase

_CHAT_BODY = b'{"model": "planner-small", "messages": [{}]}'
_LARGE_BYTES = 8_000_000


class DrainingTest(GatewayTestCase):
    """Guards against requests that are interrupted by a graceful shutdown."""

    async def _read_head(self, reader: asyncio.StreamReader) -> str:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return (await reader.readuntil(b"\r\n\r\n")).decode()

    async def test_draining_router_closes_keep_alive_connections(self) -> None:
        self.script_responses(
            [gateway.build_completion()], [gateway.build_completion()]
        )
        reader, writer = await self.send_raw(_CHAT_BODY)
        self.assertNotIn("Connection: close", await self._read_head(reader))
        writer.close()
        self.services.tracker.state = tracking.AcceptanceState.DRAINING
        reader, writer = await self.send_raw(_CHAT_BODY)
        head = await self._read_head(reader)
        self.assertIn(" 200 ", head)
        self.assertIn("Connection: close", head)
        writer.close()

    async def test_closed_router_rejects_requests_as_not_run(self) -> None:
        self.services.tracker.state = tracking.AcceptanceState.CLOSED
        response = await self.fetch()
        self.check_error(response, 503, "router_leaving")
        self.assertEqual(self.services.backends.requests, [])

    async def test_request_is_counted_while_body_is_received(self) -> None:
        self.script_responses([gateway.build_completion()])
        extra = "Expect: 100-continue\r\n"
        reader, writer = await self.send_raw(
            b"", length=len(_CHAT_BODY), extra_headers=extra
        )
        self.assertIn("100", await self._read_head(reader))
        self.assertEqual(self.services.tracker.count, 1)
        writer.write(_CHAT_BODY)
        self.assertIn(" 200 ", await self._read_head(reader))
        writer.close()

    async def test_request_is_counted_until_last_byte_is_sent(self) -> None:
        self.script_responses([gateway.build_completion("x" * _LARGE_BYTES)])
        reader, writer = await self.send_raw(_CHAT_BODY)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.bills.record_started.wait()
        for _ in range(100):
            await asyncio.sleep(0)
        self.assertGreater(self.services.tracker.count, 0)
        await self._read_head(reader)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.readexactly(_LARGE_BYTES)
            await self.services.tracker.wait_until_idle()
        writer.close()

    async def test_disconnected_client_is_not_counted(self) -> None:
        extra = "Expect: 100-continue\r\n"
        reader, writer = await self.send_raw(
            b"", length=100, extra_headers=extra
        )
        await self._read_head(reader)
        writer.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.tracker.wait_until_idle()
