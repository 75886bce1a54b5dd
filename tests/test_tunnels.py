"""Tests of connections to servers through other nodes."""

import asyncio
import datetime
import random
import unittest

from tornado import iostream, tcpclient

from dragonflydyke import errors, metrics, settings
from dragonflydyke.backends import connection
from dragonflydyke.backends import model as backends
from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import paths, tunnels
from tests.builders import nodes, scripted_servers, skipping_loop

_HOST = "127.0.0.1"
_TIMEOUT = datetime.timedelta(seconds=nodes.PATIENT_TIMEOUT_S)


class TunnelTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a node that is cut off, and neighbours."""

    async def asyncSetUp(self) -> None:
        nodes.wait_for_neighbours(self.addCleanup)
        self.counters = metrics.Counters()
        self.resolver = nodes.CutResolver()
        self.neighbours = paths.Neighbours(random.Random(2))
        self.connector = paths.ServerConnector(
            tcpclient.TCPClient(self.resolver), self.neighbours, self.counters
        )
        self.refusal: tunnels.Refusal | None = None
        self.servers: dict[str, int] = {}

    async def start_server(
        self, name: str, script: scripted_servers.Script
    ) -> int:
        """Starts a scripted server and returns its port."""
        scripted = scripted_servers.ScriptedServer(name, script)
        self.servers[name] = await scripted.start()
        self.addAsyncCleanup(scripted.stop)
        return self.servers[name]

    def start_neighbour(
        self, refusal: tunnels.Refusal | None = None
    ) -> settings.Address:
        """Starts a neighbour that reaches all servers, or refuses."""
        _, address = nodes.start_tunnel_server(
            self.counters, self.addCleanup, refusal
        )
        return address

    async def cut_all(self) -> None:
        """Cuts the links to all servers, which the node finds out."""
        self.resolver.cut_ports = frozenset(self.servers.values())
        for port in self.servers.values():
            with self.assertRaises((OSError, iostream.StreamClosedError)):
                await self.connector.connect(_HOST, port, timeout=_TIMEOUT)

    async def connect(self, port: int) -> iostream.IOStream:
        """Opens a connection, which the test closes."""
        stream = await self.connector.connect(_HOST, port, timeout=_TIMEOUT)
        self.addCleanup(stream.close)
        return stream

    def count(self, name: str) -> int:
        """Returns a counter."""
        return int(self.counters.totals().get(name, 0))


async def _wait(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.Event().wait()


async def _end_without_length(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    scripted_servers.write_start(request, writer)
    writer.write(b"part")
    await writer.drain()


class PathTest(TunnelTestCase):
    """Guards against the wrong way to a server."""

    async def test_one_dead_server_is_no_reason_for_tunnels(self) -> None:
        """Each crash of a server would cost the neighbours connections."""
        self.neighbours.replace("vm1", {"vm2": self.start_neighbour()})
        port = await self.start_server("a", _wait)
        await self.cut_all()
        with self.assertRaises((OSError, iostream.StreamClosedError)):
            await self.connect(port)
        self.assertEqual(self.count("tunnel.passed"), 0)

    async def test_neighbour_that_is_cut_off_is_passed_over(self) -> None:
        neighbours = {
            "vm2": self.start_neighbour(tunnels.Refusal.UNREACHABLE),
            "vm3": self.start_neighbour(tunnels.Refusal.UNREACHABLE),
            "vm4": self.start_neighbour(),
        }
        self.neighbours.replace("vm1", neighbours)
        ports = [await self.start_server(name, _wait) for name in "ab"]
        await self.cut_all()
        for port in ports:
            await self.connect(port)
        # Those that did not help are not asked again.
        self.assertLessEqual(self.count("tunnel.refused.unreachable"), 2)
        self.assertEqual(self.count("path.tunnel.used"), 2)

    async def test_direct_connection_is_used_when_it_works_again(self) -> None:
        self.neighbours.replace("vm1", {"vm2": self.start_neighbour()})
        ports = [await self.start_server(name, _wait) for name in "ab"]
        await self.cut_all()
        await self.connect(ports[0])
        self.resolver.cut_ports = frozenset()
        for port in ports:
            await self.connect(port)
        used = self.count("path.tunnel.used")
        for port in ports:
            await self.connect(port)
        self.assertEqual(self.count("path.tunnel.used"), used)

    async def test_server_that_nobody_reaches_fails_in_time(self) -> None:
        self.neighbours.replace("vm1", {})
        ports = [await self.start_server(name, _wait) for name in "ab"]
        await self.cut_all()
        with self.assertRaises((OSError, iostream.StreamClosedError)):
            async with asyncio.timeout(0.6):
                await self.connect(ports[0])


class TunnelTest(TunnelTestCase):
    """Guards against what an intermediary may hide or do."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.neighbours.replace("vm1", {"vm2": self.start_neighbour()})

    async def open_exchange(
        self, script: scripted_servers.Script
    ) -> connection.Exchange:
        """Sends a request through the neighbour."""
        port = await self.start_server("a", script)
        await self.start_server("b", script)
        await self.cut_all()
        request = backends.BackendRequest(
            configuration.BackendServer(
                name="a",
                kind=configuration.ServerKind.SERVICE,
                url=f"http://{_HOST}:{port}",
                data_centre="north",
                serves=("desk@v1",),
                slots=1,
                state=configuration.ServerState.ACTIVE,
            ),
            "POST",
            "/",
            {"Attempt-Id": "r1"},
            b"x",
            accepts_unframed=True,
        )
        loop = asyncio.get_running_loop()
        exchange = connection.Exchange(
            request, loop.time() + nodes.PATIENT_TIMEOUT_S
        )
        self.addAsyncCleanup(exchange.close)
        await exchange.connect(self.connector)
        await exchange.send()
        return exchange

    async def test_end_of_the_neighbour_is_no_end_of_a_response(self) -> None:
        """A neighbour that is killed closes its connections in order."""
        exchange = await self.open_exchange(_end_without_length)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await exchange.await_response()
        self.assertEqual(caught.exception.code, "backend_answer_invalid")

    async def test_client_that_leaves_ends_the_request(self) -> None:
        """The server would work on for nobody."""
        ended = asyncio.Event()

        async def wait(
            request: scripted_servers.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        exchange = await self.open_exchange(wait)
        await asyncio.sleep(0.05)
        await exchange.close()
        async with asyncio.timeout(nodes.PATIENT_TIMEOUT_S):
            await ended.wait()

    async def test_only_known_servers_are_connected_to(self) -> None:
        """Callers could reach anything in the network through a node."""
        address = self.start_neighbour(tunnels.Refusal.FORBIDDEN)
        with self.assertRaisesRegex(tunnels.TunnelRefusedError, "403"):
            await tunnels.open_tunnel(
                address, settings.Address(_HOST, 9), "", nodes.PATIENT_TIMEOUT_S
            )

    async def test_malformed_request_is_refused(self) -> None:
        address = self.start_neighbour()
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        self.assertIn(b" 400 ", await reader.read())


class StoppingNeighbourTest(TunnelTestCase):
    """Guards against responses that the stop of a neighbour cuts."""

    async def test_stopping_neighbour_waits_for_its_tunnels(self) -> None:
        server, address = nodes.start_tunnel_server(
            self.counters, self.addCleanup
        )
        port = await self.start_server("a", _wait)
        target = settings.Address(_HOST, port)
        stream = await tunnels.open_tunnel(
            address, target, "", nodes.PATIENT_TIMEOUT_S
        )
        self.addCleanup(stream.close)
        await skipping_loop.wait_until(lambda: server.active == 1)
        server.is_closing = True
        with self.assertRaisesRegex(tunnels.TunnelRefusedError, "503"):
            await tunnels.open_tunnel(
                address, target, "", nodes.PATIENT_TIMEOUT_S
            )
        loop = asyncio.get_running_loop()
        waiting = asyncio.ensure_future(
            server.wait_idle(loop.time() + nodes.PATIENT_TIMEOUT_S)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        stream.close()
        async with asyncio.timeout(nodes.PATIENT_TIMEOUT_S):
            await waiting
