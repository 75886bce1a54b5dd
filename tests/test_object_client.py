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


class OddVmTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a VM list that one odd entry makes unreadable."""

    async def test_odd_vms_are_left_out(self) -> None:
        deep = "[" * 5_000 + "]" * 5_000
        await self.check_vms(deep, '{"name": 3}', "4")

    async def test_unreadable_vms_are_left_out(self) -> None:
        """Bytes that are not UTF-8 would make the list unreadable."""
        fields = '"data_centre": "n", "role": "entry", "inner_address": "a:1"'
        odd = f'{{"name": "\udcff", {fields}, "state": "live"}}'
        await self.check_vms(odd)

    async def check_vms(self, *odd: str) -> None:
        """Checks that a sound VM is listed beside odd ones."""
        sound = (
            '{"name": "a", "data_centre": "north", "role": "entry",'
            ' "inner_address": "10.0.0.1:1", "state": "live"}'
        )
        vms = ", ".join([*odd, sound])
        text = f'{{"as_of_ms": 1, "vms": [{vms}]}}'
        body = text.encode("utf-8", "surrogateescape")

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = objects.ObjectClient(
            f"http://127.0.0.1:{port}", counters=metrics.Counters()
        )
        self.addCleanup(client.close)
        listed = await client.list_vms()
        self.assertEqual([vm.name for vm in listed.vms], ["a"])
