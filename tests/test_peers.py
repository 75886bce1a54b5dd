"""Tests of nodes that share what one of them read from the store."""

import socket
import unittest

from dragonflydyke import settings
from dragonflydyke.objects import peer_groups, peer_links, watchers
from tests.builders import skipping_loop, store, watched_kinds

_MAX_AGE_S = 2.0
_TIMEOUT_S = 1.0
_STEP_S = 0.1
_STATE = peer_links.StoreState(100.0, 7, {"config": 5})


def _find_free_address() -> settings.Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return settings.Address(*probe.getsockname())


def _build_addresses(count: int) -> dict[str, settings.Address]:
    return {
        f"n{number:03}": settings.Address(f"n{number:03}", 1)
        for number in range(count)
    }


class PeerGroupTest(unittest.TestCase):
    """Guards against many nodes of a large fleet that read the store."""

    def test_one_node_of_a_group_asks_nobody(self) -> None:
        addresses = _build_addresses(195)
        without_peers = 0
        asked: list[str] = []
        for name in addresses:
            group = peer_groups.PeerGroup()
            group.replace(name, addresses)
            found = group.list_candidates(0.0)
            without_peers += not found
            asked.extend(peer.host for peer in found[:1])
        self.assertEqual(without_peers, 4)
        self.assertEqual(set(asked), {"n000", "n064", "n128", "n192"})

    def test_next_peer_is_asked_while_one_does_not_answer(self) -> None:
        """A removed node is registered for minutes, as the first of a group."""
        group = peer_groups.PeerGroup()
        addresses = _build_addresses(4)
        group.replace("n003", addresses)
        first = addresses["n000"]
        now_s = 0.0
        asked = 0
        while now_s < 60.0:
            found = group.list_candidates(now_s)
            self.assertIn(addresses["n001"], found)
            if found[0] == first:
                asked += 1
                group.record_failure(first, now_s)
            now_s += 0.5
        self.assertLessEqual(asked, 6)
        group.record_answer(first)
        self.assertEqual(group.list_candidates(now_s)[0], first)

    def test_node_that_is_not_listed_yet_has_its_place(self) -> None:
        group = peer_groups.PeerGroup()
        addresses = _build_addresses(2)
        group.replace("n000a", addresses)
        self.assertEqual(group.list_candidates(0.0), [addresses["n000"]])


class PeerLinkTest(skipping_loop.SkippingTestCase):
    """Guards against answers of peers that look newer than they are."""

    async def asyncSetUp(self) -> None:
        """Opens the links of two nodes with clocks of their own."""
        await super().asyncSetUp()
        self.state: peer_links.StoreState | None = _STATE
        self.answering_s = 103.0
        self.asking_s = 50.0
        self.address = _find_free_address()
        answering = peer_links.PeerLink(self.provide, lambda: self.answering_s)
        self.asking = peer_links.PeerLink(self.provide, lambda: self.asking_s)
        for link, address in (
            (answering, self.address),
            (self.asking, _find_free_address()),
        ):
            await link.open(address)
            self.addCleanup(link.close)

    async def provide(self) -> peer_links.StoreState | None:
        """Returns the state; the exchange takes a second of the asking node."""
        self.asking_s += 1.0
        return self.state

    async def test_age_includes_the_time_of_the_exchange(self) -> None:
        found = await self.asking.ask(self.address, _TIMEOUT_S)
        # Three seconds old at the answer, which may be as old as the question.
        expected = peer_links.StoreState(47.0, 7, {"config": 5})
        self.assertEqual(found, expected)

    async def test_time_in_which_a_peer_was_suspended_counts(self) -> None:
        """A frozen node answers with what it read before."""
        self.answering_s += 5.0
        found = await self.asking.ask(self.address, _TIMEOUT_S)
        assert found is not None
        self.assertEqual(found.read_s, 42.0)

    async def test_peer_without_a_recent_state_says_so_at_once(self) -> None:
        self.state = None
        started_s = self.loop.time()
        self.assertIsNone(await self.asking.ask(self.address, 30.0))
        self.assertLess(self.loop.time() - started_s, 10.0)

    async def test_peer_that_does_not_answer(self) -> None:
        address = _find_free_address()
        self.assertIsNone(await self.asking.ask(address, _STEP_S))

    async def test_odd_datagrams_are_ignored(self) -> None:
        texts = (
            b"",
            b"\xff",
            b"[]",
            b"7",
            b"{}",
            b'{"query": "x"}',
            b'{"query": null}',
            b'{"answer": 1}',
            b'{"answer": [1], "version": 3}',
            b'{"answer": 1, "version": 3, "age_s": "x", "kinds": {}}',
            b'{"answer": 1, "version": 3, "age_s": -9, "kinds": {}}',
            b'{"answer": 1, "version": 3, "age_s": 0, "kinds": 4}',
            b'{"answer": 1, "version": 1e999, "age_s": 0, "kinds": {}}',
            b"[" * 5_000,
        )
        for text in texts:
            with self.subTest(text[:60]):
                self.asking.datagram_received(text, ("127.0.0.1", 1))
                found = await self.asking.ask(self.address, _TIMEOUT_S)
                self.assertIsNotNone(found)

    async def test_answer_with_a_negative_age_is_of_no_use(self) -> None:
        self.state = peer_links.StoreState(self.answering_s + 5, 7, {})
        self.assertIsNone(await self.asking.ask(self.address, _TIMEOUT_S))

    async def test_address_in_use_does_not_end_the_node(self) -> None:
        link = peer_links.PeerLink(self.provide)
        await link.open(self.address)
        self.assertIsNone(await link.ask(self.address, _STEP_S))


class SharedReadTest(store.StoreTestCase):
    """Guards against the price of a read of the store by each node."""

    async def asyncSetUp(self) -> None:
        """Starts the watchers of three nodes, of which the first is asked."""
        await super().asyncSetUp()
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "first", {})
        addresses = {name: _find_free_address() for name in ("a", "b", "c")}
        self.nodes = []
        for name, address in addresses.items():
            group = peer_groups.PeerGroup()
            group.replace(name, addresses)
            node = watched_kinds.WatchedKinds(
                self.store,
                self.counters,
                watchers.WatchTiming(3.0),
                _MAX_AGE_S,
                group,
            )
            await node.monitor.open(address)
            self.addCleanup(node.monitor.close)
            node.start(self.addCleanup)
            self.nodes.append(node)
        await skipping_loop.wait_until(
            lambda: all(len(node.names) == 4 for node in self.nodes)
        )
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "second", {})
        await self.pass_time(2 * _MAX_AGE_S)

    async def pass_time(
        self, seconds: float, pause_s: float = _STEP_S / 4
    ) -> None:
        """Advances the clock; see `SkippingTestCase`."""
        await super().pass_time(seconds, pause_s)

    def count_reads(self) -> int:
        """Returns the reads of the version since the calls were cleared."""
        return self.stub.calls.count("GET /api/objects/rollouts")

    async def check_change_takes_effect(self) -> None:
        """Checks that a hidden change reaches all nodes in time."""
        await self.stub.put("servers", "third", {})
        await self.pass_time(_MAX_AGE_S - 2 * _STEP_S)
        names = [node.names["servers"] for node in self.nodes]
        self.assertEqual(names, [{"first", "second", "third"}] * 3)

    async def test_one_node_reads_the_store_for_all(self) -> None:
        self.stub.calls.clear()
        await self.pass_time(2 * _MAX_AGE_S)
        # Each of three nodes would read it every 0.7 s.
        self.assertGreater(self.count_reads(), 4)
        self.assertLess(self.count_reads(), 14)

    async def test_change_of_another_kind_causes_no_calls(self) -> None:
        """On a large fleet the version of the store rises all the time."""
        self.stub.calls.clear()
        for number in range(20):
            await self.stub.put("routernodes", f"n{number}", {})
            await self.pass_time(2 * _STEP_S)
        stale = [call for call in self.stub.calls if "waitMs=0" in call]
        # The node that reads the store asks replicas; the others need not.
        self.assertLess(len(stale), 16 * 4)

    async def test_change_beside_lagging_replicas_reaches_all_nodes(
        self,
    ) -> None:
        self.stub.stuck_revision = self.stub.revision
        await self.check_change_takes_effect()

    async def test_lost_responses_reach_all_nodes(self) -> None:
        self.stub.silence_watches("servers")
        await self.check_change_takes_effect()

    async def test_node_whose_peer_is_gone_reads_the_store(self) -> None:
        """The links between nodes go silent, see deploy/days/severed.toml."""
        self.nodes[0].monitor.close()
        self.stub.stuck_revision = self.stub.revision
        await self.check_change_takes_effect()

    async def test_nodes_without_peers_read_the_store(self) -> None:
        for node in self.nodes:
            node.monitor.close()
        self.stub.silence_watches("servers")
        await self.check_change_takes_effect()
