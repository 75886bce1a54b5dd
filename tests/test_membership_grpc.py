"""Test of two memberships over real gRPC."""

import asyncio
import unittest

from dragonflydyke import metrics, objects, settings
from dragonflydyke.membership import node
from dragonflydyke.protocol import client, server
from harness import proxy
from tests.builders import fleet
from tests.builders import objects as memory

# About 20 chunks of the proxy, each of which takes the time below.
_LARGE_BYTES = 1_300_000
_CHUNK_DELAY_S = 0.15


class _Handlers:
    """Forwards calls to a membership that is created after the server."""

    membership: node.Membership

    async def exchange(self, report):
        return await self.membership.exchange(report)

    async def announce_change(self, announcement):
        return await self.membership.announce_change(announcement)

    async def fetch_state(self, request):
        return await self.membership.fetch_state(request)


class MembershipOverGrpcTest(unittest.IsolatedAsyncioTestCase):
    """Guards against code that works only with the in-memory peer links."""

    async def asyncSetUp(self) -> None:
        self.counters = metrics.Counters()
        self.platform = memory.InMemoryObjectStore()
        self.handlers = (_Handlers(), _Handlers())
        # Addresses of proxies by those of the nodes behind them.
        self.links: dict[str, str] = {}
        self.addresses = [await self._serve(h) for h in self.handlers]
        self.platform.vms = objects.VmList(
            1,
            tuple(
                objects.ListedVm(f"vm-{i}", "cartago-a", "entry", a, "live")
                for i, a in enumerate(self.addresses)
            ),
        )

    async def _serve(self, handlers: _Handlers) -> str:
        node_server = server.NodeServer(
            handlers, inner_key="key", counters=self.counters
        )
        self.addAsyncCleanup(node_server.stop, 0)
        address = settings.Address("127.0.0.1", 0)
        return f"127.0.0.1:{await node_server.start(address)}"

    def _build(self, index: int, access: fleet.NodePlatform) -> node.Membership:
        member = node.Membership(
            node.MembershipSettings(
                f"vm-{index}",
                "cartago-a",
                self.addresses[index],
                tuple(self.addresses),
            ),
            access,
            lambda address: client.PeerClient(
                self.links.get(address, address),
                inner_key="key",
                counters=self.counters,
            ),
            parse=fleet.parse,
            check_transition=fleet.check_transition,
            counters=self.counters,
        )
        self.handlers[index].membership = member
        self.addAsyncCleanup(member.stop)
        return member

    async def test_change_reaches_a_node_without_the_platform(self) -> None:
        """A node receives state and a confirmation from a peer."""
        second_access = fleet.NodePlatform(self.platform)
        first = self._build(0, fleet.NodePlatform(self.platform))
        second = self._build(1, second_access)
        adopted = asyncio.Event()
        second.state.subscribe(lambda in_force: adopted.set())
        await first.start()
        await second.start()
        await first.peer_exchange.exchange(self.addresses[1])
        second_access.is_unreachable = True
        change = await first.writer.apply({}, "operator", 0)
        await adopted.wait()
        self.assertEqual(change.revision, second.state.revision)
        await second.peer_exchange.fetch(self.addresses[0])
        self.assertTrue(second.permit.is_granted())

    async def test_large_state_arrives_over_a_narrow_link(self) -> None:
        """A state whose transfer took longer than 2 s never arrived."""
        host, port = self.addresses[0].rsplit(":", 1)
        link = proxy.FaultProxy(host, int(port))
        await link.start()
        self.addAsyncCleanup(link.stop)
        self.links[self.addresses[0]] = link.address
        second_access = fleet.NodePlatform(self.platform)
        first = self._build(0, fleet.NodePlatform(self.platform))
        second = self._build(1, second_access)
        await first.start()
        await second.start()
        await second.peer_exchange.exchange(self.addresses[0])
        second_access.is_unreachable = True
        change = await first.writer.apply(
            {"text": "x" * _LARGE_BYTES}, "operator", 0
        )
        link.faults.delay_s = _CHUNK_DELAY_S
        await second.peer_exchange.fetch(self.addresses[0])
        self.assertEqual(change.revision, second.state.revision)


if __name__ == "__main__":
    unittest.main()
