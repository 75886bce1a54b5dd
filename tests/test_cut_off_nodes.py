"""Tests of nodes that reach other nodes but no backend servers."""

import asyncio

from dragonflydyke import settings
from dragonflydyke.forwarding import tunnels
from tests.builders import (
    forwarding,
    nodes,
    scripted_servers,
    skipping_loop,
    store,
)

_PAUSE_S = 0.005
# Time in which the nodes register and list each other.
_START_S = 9.0


async def _respond(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    scripted_servers.write_response(request, writer, body=b"done")
    await writer.drain()


class CutOffNodeTest(store.StoreTestCase):
    """Guards against a node whose callers fail while its neighbours serve.

    The links between some nodes and all servers were down. Each request at
    these nodes tried five servers for 0.5 s each and was rejected, while the
    other nodes reached the servers all the time.
    """

    async def asyncSetUp(self) -> None:
        """Starts servers and two nodes, one of which reaches no server."""
        await super().asyncSetUp()
        nodes.wait_for_neighbours(self.addCleanup)
        self.scripted = []
        resolver = nodes.CutResolver()
        ports = []
        for name in ("a", "b", "c"):
            scripted = scripted_servers.ScriptedServer(name, _respond)
            port = await scripted.start()
            self.addAsyncCleanup(scripted.stop)
            self.scripted.append(scripted)
            ports.append(port)
            await self.stub.put(
                "servers",
                name,
                store.build_server_spec(
                    service="desk", address=f"127.0.0.1:{port}"
                ),
            )
        self.ports = ports
        resolver.cut_ports = frozenset(ports)
        await self.stub.put("config", "main", self.build_policy())
        self.settings = nodes.build_settings("vm1", self.port)
        neighbour = nodes.build_settings("vm2", self.port)
        self.node = nodes.start_node(self.settings, self.addCleanup, resolver)
        self.neighbour_settings = neighbour
        self.neighbour = nodes.start_node(neighbour, self.addCleanup)
        await skipping_loop.wait_until(
            lambda: self.node.is_ready and self.neighbour.is_ready
        )
        await self.pass_time(_START_S, _PAUSE_S)

    def build_policy(self) -> dict[str, object]:
        """Returns a configuration with a plain route."""
        spec = store.build_policy_spec()
        route = {
            "kind": "non_idempotent",
            "sizes": [],
            "trafficSplit": [{"service": "desk", "weight": 1}],
        }
        service = {"name": "desk", "healthPath": "/healthz"}
        return spec | {
            "routes": [spec["routes"][0] | route],
            "services": [service],
        }

    async def fetch(self, number: int) -> forwarding.ClientResponse:
        """Sends a request to the node that is cut off."""
        reader, writer = await asyncio.open_connection(
            self.settings.front.host, self.settings.front.port
        )
        self.addCleanup(writer.close)
        writer.write(
            b"POST /streams/1 HTTP/1.1\r\nHost: api.example\r\n"
            b"Attempt-Id: r%d\r\nDeadline-Ms: 1500\r\n"
            b"Authorization: Token k1\r\nContent-Length: 1\r\n\r\nx" % number
        )
        return await forwarding.read_response(reader)

    async def test_requests_are_served_through_a_neighbour(self) -> None:
        # The first requests may fail, as they find out that links are down.
        for number in range(3):
            await self.fetch(number)
        responses = [await self.fetch(number) for number in range(10, 20)]
        self.assertEqual([r.status for r in responses], [200] * 10)
        self.assertEqual({r.body for r in responses}, {b"done"})
        served = [
            request.headers["Attempt-Id"]
            for scripted in self.scripted
            for request in scripted.received
        ]
        # Each of them ran once.
        self.assertEqual(len(served), len(set(served)))

    async def test_neighbour_connects_to_usable_servers_only(self) -> None:
        """Whoever reaches its port could reach anything through a node."""
        address = self.neighbour_settings.peers
        listed = settings.Address("127.0.0.1", self.ports[0])
        for target, region, status in (
            (settings.Address("127.0.0.1", self.port), "", "403"),
            (listed, "elsewhere", "403"),
        ):
            with (
                self.subTest(target=target, region=region),
                self.assertRaisesRegex(tunnels.TunnelRefusedError, status),
            ):
                await tunnels.open_tunnel(
                    address, target, region, nodes.PATIENT_TIMEOUT_S
                )
        stream = await tunnels.open_tunnel(
            address, listed, "", nodes.PATIENT_TIMEOUT_S
        )
        stream.close()
