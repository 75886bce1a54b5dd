"""Tests of the fault-injecting proxy."""

import asyncio
import contextlib
import unittest

from harness import proxy


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against configured faults that the proxy does not inject."""

    async def asyncSetUp(self) -> None:
        self.received = bytearray()
        self.arrived = asyncio.Event()
        self.server = await asyncio.start_server(self._echo, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = proxy.FaultProxy("127.0.0.1", port)
        await self.proxy.start()

    async def asyncTearDown(self) -> None:
        await self.proxy.stop()
        self.server.close()

    async def _echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(100):
                self.received += chunk
                self.arrived.set()
                writer.write(chunk)
        writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.proxy.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def test_forwards_in_both_directions(self) -> None:
        reader, writer = await self._connect()
        writer.write(b"hello")
        self.assertEqual(await reader.readexactly(5), b"hello")
        writer.close()

    async def test_resets_after_a_number_of_bytes(self) -> None:
        self.proxy.faults.reset_after_bytes_to_server = 3
        reader, writer = await self._connect()
        writer.write(b"hello")
        with self.assertRaises(ConnectionResetError):
            while await reader.read(100):
                pass
        self.assertEqual(bytes(self.received), b"hel")

    async def test_discards_bytes_in_one_direction(self) -> None:
        self.proxy.faults.drop_to_client = True
        reader, writer = await self._connect()
        writer.write(b"hello")
        await self.arrived.wait()
        self.proxy.clear_faults()
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)

    async def test_stall_keeps_connections_open(self) -> None:
        reader, writer = await self._connect()
        self.proxy.faults.frozen = True
        writer.write(b"hello")
        await asyncio.sleep(0.05)
        self.assertEqual(bytes(self.received), b"")
        self.proxy.clear_faults()
        self.assertEqual(await reader.readexactly(5), b"hello")
        writer.close()

    async def test_isolation_resets_new_connections(self) -> None:
        self.proxy.isolate()
        reader, _ = await self._connect()
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)
