"""Tests of the limits that servers name on the requests of all nodes."""

import asyncio
import os
import random
import unittest

from dragonflydyke import metrics, settings
from dragonflydyke.forwarding import registry, server_limits
from dragonflydyke.objects import peer_groups
from tests.builders import (
    forwarding,
    scripted_servers,
    shared_objects,
    skipping_loop,
    virtual_loop,
)

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
# The platform allows one and a half times the limit in 4 s, and 5 requests.
_WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
_STEP_S = 0.02


class LimitedFleet:
    """Nodes that send as much as they may to one server with a limit."""

    def __init__(self, nodes: int, limit_per_s: float) -> None:
        self.now_s = 1_760_000_000.0
        self.server = forwarding.build_server_entry("a")
        self.starts: list[float] = []
        self.limits = [
            server_limits.ServerLimits(lambda: self.now_s) for _ in range(nodes)
        ]
        for rank, limits in enumerate(self.limits):
            limits.position = server_limits.FleetPosition(rank, nodes)
            limits.record_response(self.server, limit_per_s)

    def play(self, duration_s: float, source: random.Random) -> None:
        """Lets nodes with a pending request send it when they may.

        Each node is idle, and saves up nothing, for most of the time; in the
        peaks all nodes have requests.
        """
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += _STEP_S
            is_peak = int(self.now_s) % 9 >= 4
            for limits in self.limits:
                if not is_peak and source.random() > _STEP_S:
                    continue
                while limits.allows(self.server):
                    limits.record_start(self.server)
                    self.starts.append(self.now_s)

    def count_most(self) -> int:
        """Returns the most requests in any window."""
        return max(
            sum(start <= other < start + _WINDOW_S for other in self.starts)
            for start in self.starts
        )


class LimitedFleetTest(unittest.TestCase):
    """Replays a server in need that all nodes would use.

    Guards against nodes that each send what a server accepts from all nodes
    together, and against a server that gets far less than it accepts.
    """

    def test_requests_of_all_nodes_stay_within_the_limit(self) -> None:
        """Eight nodes sent 24 requests in 4 s at a limit of 2.7 a second."""
        for nodes in (1, 3, 8, 78, 195):
            for limit_per_s in (0.5, 1.5, 2.7, 12.0):
                with self.subTest(nodes=nodes, limit_per_s=limit_per_s):
                    fleet = LimitedFleet(nodes, limit_per_s)
                    fleet.play(60.0, random.Random(_SEED))
                    allowed = limit_per_s * _WINDOW_S * _EXCESS_FACTOR
                    self.assertLessEqual(
                        fleet.count_most(), allowed + _EXCESS_REQUESTS
                    )
                    # The peaks take five ninths of the time.
                    used = len(fleet.starts) / (60.0 * limit_per_s)
                    self.assertGreater(used, 0.5)

    def test_unknown_number_of_nodes_allows_few_requests(self) -> None:
        """A node that had just started used the whole limit alone."""
        fleet = LimitedFleet(1, 2.7)
        fleet.limits[0].position = server_limits.FleetPosition()
        fleet.play(60.0, random.Random(_SEED))
        self.assertLessEqual(len(fleet.starts), 1)

    def test_limit_of_zero_still_gets_a_request_now_and_then(self) -> None:
        """Only a response tells that the limit is over."""
        fleet = LimitedFleet(4, 0.0)
        fleet.play(60.0, random.Random(_SEED))
        self.assertLessEqual(len(fleet.starts), 7)
        self.assertGreater(len(fleet.starts), 3)


class ServerLimitsTest(unittest.TestCase):
    """Guards against limits that outlive their server or their reason."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.limits = server_limits.ServerLimits(lambda: self.now_s)
        self.limits.position = server_limits.FleetPosition(0, 8)
        self.server = forwarding.build_server_entry("a")
        self.limits.record_response(self.server, 2.0)

    def test_limit_ends_with_a_response_without_it(self) -> None:
        self.assertTrue(self.limits.has_limits)
        self.limits.record_response(self.server, None)
        self.assertFalse(self.limits.has_limits)
        self.assertTrue(self.limits.allows(self.server))

    def test_limit_ends_with_its_server(self) -> None:
        self.limits.retain([self.server.process])
        self.assertTrue(self.limits.has_limits)
        self.limits.retain([])
        self.assertFalse(self.limits.has_limits)

    def test_next_slot_is_found(self) -> None:
        while self.limits.allows(self.server):
            self.now_s += 0.01
        delay_s = self.limits.find_delay_s([self.server])
        self.assertLessEqual(delay_s, 8 / 2.0)
        self.now_s += delay_s + 0.001
        self.assertTrue(self.limits.allows(self.server))


class RegistryTest(virtual_loop.VirtualTimeTestCase):
    """Guards against a wrong number of nodes, which misjudges all limits."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = shared_objects.ListedNodes()
        self.limits: dict[str, server_limits.ServerLimits] = {}
        self.groups: dict[str, peer_groups.PeerGroup] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def start_node(self, name: str) -> None:
        """Starts the registry of a node."""
        limits = server_limits.ServerLimits(lambda: 0.0)
        self.limits[name] = limits
        self.groups[name] = peer_groups.PeerGroup()
        node = registry.NodeRegistry(
            name,
            settings.Address(name, 1),
            self.store,
            limits,
            (self.groups[name],),
            metrics.Counters(),
            random.Random(name),
        )
        self.tasks[name] = asyncio.create_task(node.run())
        self.addCleanup(self.tasks[name].cancel)

    def read_positions(self) -> list[tuple[int, int]]:
        """Returns rank and number of nodes as each node knows them."""
        found = (limits.position for limits in self.limits.values())
        return [(position.rank, position.nodes) for position in found]

    async def test_nodes_that_start_together_know_each_other(self) -> None:
        for name in ("n1", "n2", "n3"):
            self.start_node(name)
        await self.loop.advance(12.0)
        self.assertEqual(self.read_positions(), [(0, 3), (1, 3), (2, 3)])

    async def test_nodes_that_start_together_know_their_peers(self) -> None:
        for name in ("n1", "n2", "n3"):
            self.start_node(name)
        await self.loop.advance(12.0)
        found = [
            [str(peer) for peer in self.groups[name].list_candidates(0.0)]
            for name in ("n1", "n2", "n3")
        ]
        self.assertEqual(found, [[], ["n1:1"], ["n1:1", "n2:1"]])

    async def test_node_that_starts_later_knows_its_peers_at_once(self) -> None:
        """It would read the store itself as long as it knows no peers."""
        self.start_node("n1")
        await self.loop.advance(12.0)
        self.start_node("n2")
        await self.loop.advance(4.1)
        (peer,) = self.groups["n2"].list_candidates(0.0)
        self.assertEqual(str(peer), "n1:1")

    async def test_node_that_is_gone_is_not_counted(self) -> None:
        for name in ("n1", "n2"):
            self.start_node(name)
        await self.loop.advance(12.0)
        self.tasks["n1"].cancel()
        del self.limits["n1"]
        await self.loop.advance(240.0, step_s=0.5)
        self.assertEqual(self.read_positions(), [(1, 2)])
        await self.loop.advance(180.0, step_s=0.5)
        self.assertEqual(self.read_positions(), [(0, 1)])
        await self.loop.advance(1_600.0, step_s=0.5)
        self.assertEqual(list(self.store.versions), ["n2"])

    async def test_registration_follows_the_return_of_the_store(self) -> None:
        self.store.is_rejecting = True
        self.start_node("n1")
        await self.loop.advance(20.0)
        self.assertEqual(self.store.versions, {})
        self.store.is_rejecting = False
        await self.loop.advance(12.0)
        self.assertEqual(self.read_positions(), [(0, 1)])

    async def test_new_nodes_are_noticed_soon_while_a_limit_is_named(
        self,
    ) -> None:
        self.start_node("n1")
        await self.loop.advance(12.0)
        server = forwarding.build_server_entry("a")
        self.limits["n1"].record_response(server, 1.0)
        await self.store.write_node("n0", 1, settings.Address("n0", 1))
        await self.loop.advance(11.0)
        self.assertEqual(self.read_positions(), [(1, 2)])

    async def test_nodes_lost_by_a_restore_still_count(self) -> None:
        """The others would send the share of a limit of the missing nodes."""
        for name in ("n1", "n2", "n3"):
            self.start_node(name)
        await self.loop.advance(12.0)
        self.store.restore()
        server = forwarding.build_server_entry("a")
        self.limits["n1"].record_response(server, 1.0)
        for _ in range(60):
            await self.loop.advance(0.25)
            self.assertEqual(self.limits["n1"].position.nodes, 3)
        self.assertEqual(set(self.store.versions), {"n1", "n2", "n3"})

    async def test_list_without_the_lost_nodes_counts_them(self) -> None:
        """The list came before the other nodes had registered again."""
        for name in ("n1", "n2", "n3"):
            self.start_node(name)
        await self.loop.advance(12.0)
        for name in ("n2", "n3"):
            self.tasks[name].cancel()
        self.store.restore()
        server = forwarding.build_server_entry("a")
        self.limits["n1"].record_response(server, 1.0)
        await self.loop.advance(15.0)
        self.assertEqual(set(self.store.versions), {"n1"})
        self.assertEqual(self.limits["n1"].position.nodes, 3)


class LimitedServerTest(forwarding.ForwardingTestCase):
    """Replays requests to servers that name a limit."""

    async def start_limited(self, name: str, limit: str) -> None:
        """Starts an engine that names a limit in each response."""

        async def run(request, writer) -> None:
            fields = {"Server_Limit": limit} if limit else {}
            scripted_servers.write_stream_start(request, writer, **fields)
            for event_id in (1, 2):
                scripted_servers.write_event(writer, event_id)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        await self.start_server(name, run)

    async def test_requests_beyond_the_limit_use_other_servers(self) -> None:
        """Nodes that knew of a limit went on sending as before."""
        self.limits.position = server_limits.FleetPosition(0, 8)
        await self.start_limited("a", "0.5")
        response = await self.fetch()
        self.assertEqual(response.status, 200)
        await self.start_limited("b", "")
        for _ in range(10):
            response = await self.fetch()
            self.assertEqual(response.status, 200)
        self.assertLessEqual(len(self.servers["a"].received), 2)
        self.assertGreaterEqual(len(self.servers["b"].received), 9)

    async def test_requests_beyond_all_limits_are_rejected_early(self) -> None:
        self.limits.position = server_limits.FleetPosition(0, 8)
        await self.start_limited("a", "0.5")
        statuses = [(await self.fetch()).status for _ in range(4)]
        self.assertEqual(statuses[0], 200)
        self.assertEqual(statuses[2:], [503, 503])
        self.assertLessEqual(len(self.servers["a"].received), 2)

    async def test_request_waits_for_a_slot_that_is_near(self) -> None:
        self.limits.position = server_limits.FleetPosition(0, 1)
        await self.start_limited("a", "4.0")
        await self.fetch()
        server = self.directory.list_usable("engines")[0]
        for _ in range(200):
            self.time_of_day_s += 0.02
            if self.limits.allows(server):
                self.limits.record_start(server)
        pending = asyncio.create_task(self.fetch())
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.servers["a"].received), 1)
        self.time_of_day_s += 0.3
        self.loop.skip(0.3)
        response = await pending
        self.assertEqual(response.status, 200)
        await skipping_loop.wait_until(
            lambda: len(self.servers["a"].received) == 2
        )
