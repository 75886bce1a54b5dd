"""Tests of the object API client with failing connections."""

import asyncio
import socket
import struct
import unittest

from dragonflydyke import metrics, objects

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class BrokenConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against reporting a write that was sent as not executed."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self._reset, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.client = objects.ObjectClient(
            f"http://127.0.0.1:{self.port}", counters=metrics.Counters()
        )

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _reset(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        writer.transport.abort()

    async def test_outcome_is_unknown_after_connection_reset(
        self,
    ) -> None:
        with self.assertRaises(objects.OutcomeUnknownError):
            await self.client.create("kind", "name", {})

    async def test_write_is_not_executed_if_connection_is_refused(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(objects.PlatformUnavailableError):
            await self.client.create("kind", "name", {})
