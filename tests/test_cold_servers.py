"""Tests of the limit on the requests to cold servers."""

import asyncio
import collections
import math
import os
import random
import unittest

from dragonflydyke import metrics, settings
from dragonflydyke.forwarding import (
    cold_servers,
    directory,
    model,
    registry,
    server_limits,
)
from dragonflydyke.objects import model as objects
from dragonflydyke.objects import peer_groups
from dragonflydyke.platform import headers
from tests.builders import (
    forwarding,
    scripted_servers,
    shared_objects,
    store,
    stored_records,
    virtual_loop,
)

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
_OVERSHOOT = 1.5
_SLACK = 5.0
_COLD_S = 3.0
_RATES = (5.2, 6.3)
_STEP_S = 0.02
# Time that requests take to their server.
_MAX_TRANSIT_S = 0.2


def _find_allowed(rate_per_s: float) -> float:
    return rate_per_s * _OVERSHOOT + _SLACK


def _count_most(starts: list[float]) -> int:
    """Returns the most requests in any second."""
    most, first = 0, 0
    starts = sorted(starts)
    for last, start_s in enumerate(starts):
        while starts[first] <= start_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdFleetTest(unittest.TestCase):
    """Replays a data centre that comes back cold during bursts of all nodes.

    Guards against nodes that each send what a cold server accepts from all.
    """

    def play(
        self, nodes: int, limit: server_limits.RateLimit
    ) -> dict[str, list[float]]:
        """Returns the arrivals of 20 s by server; nodes send all they may."""
        source = random.Random(_SEED)
        self.now_s = 1_760_000_000.0
        servers = [forwarding.build_server_entry(name) for name in "abc"]
        fleet = []
        for rank in range(nodes):
            limits = server_limits.ServerLimits(lambda: self.now_s)
            limits.position = server_limits.FleetPosition(rank, nodes)
            for server in servers:
                limits.set_cold(server, limit, is_cold=True)
            fleet.append(limits)
        arrivals: dict[str, list[float]] = {name: [] for name in "abc"}
        for step in range(1_000):
            self.now_s += _STEP_S
            # Bursts, seconds apart, meet all slots unused.
            for limits in fleet if step % 250 >= 125 else ():
                for server in limits.list_allowed(servers):
                    limits.record_start(server)
                    transit_s = source.uniform(0.0, _MAX_TRANSIT_S)
                    arrivals[server.name].append(self.now_s + transit_s)
        return arrivals

    def test_sum_of_all_nodes_stays_within_the_limit(self) -> None:
        for nodes, rate_per_s in ((1, 5.2), (62, 5.2), (80, 6.3)):
            limit = cold_servers.find_cold_limit(rate_per_s, _OVERSHOOT, _SLACK)
            for name, starts in self.play(nodes, limit).items():
                with self.subTest(nodes=nodes, server=name):
                    allowed = _find_allowed(rate_per_s)
                    self.assertLessEqual(_count_most(starts), allowed)
                    self.assertGreater(len(starts), 0.4 * 20.0 * rate_per_s)

    def test_flapping_server_gets_no_second_use_of_a_slot(self) -> None:
        limit = cold_servers.find_cold_limit(_RATES[0], _OVERSHOOT, _SLACK)
        limits = server_limits.ServerLimits(lambda: 1_760_000_000.5)
        limits.position = server_limits.FleetPosition(0, 1)
        server = forwarding.build_server_entry("a")
        sent = 0
        for is_cold in (True, False) * 5:
            limits.set_cold(server, limit, is_cold=is_cold)
            while is_cold and limits.allows(server):
                limits.record_start(server)
                sent += 1
        self.assertLessEqual(sent, _RATES[0])

    def test_limit_is_derived_for_any_configuration(self) -> None:
        for rate_per_s in (0.01, 1.0, 5.2, 6.3, 400.0):
            for overshoot, slack in ((1.5, 5.0), (1.0, 0.0), (3.0, 60.0)):
                limit = cold_servers.find_cold_limit(
                    rate_per_s, overshoot, slack
                )
                most = limit.rate_per_s * (1.0 + limit.validity_s) + 1.0
                allowed = max(rate_per_s * overshoot + slack, 1.01)
                self.assertLessEqual(most, allowed)
                self.assertLessEqual(limit.rate_per_s, max(rate_per_s, 0.001))


class ChangingFleetTest(virtual_loop.VirtualTimeTestCase):
    """Replays nodes that are added, restarted and killed beside a cold server.

    Guards against ranks on which the nodes do not agree.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = shared_objects.ListedNodes()
        self.limits: dict[str, server_limits.ServerLimits] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.starts: list[float] = []
        self.server = forwarding.build_server_entry("a")

    def start_node(self, name: str) -> None:
        """Starts a node, or a new process of it."""
        limits = server_limits.ServerLimits(self.loop.time)
        limit = cold_servers.find_cold_limit(_RATES[0], _OVERSHOOT, _SLACK)
        limits.set_cold(self.server, limit, is_cold=True)
        self.limits[name] = limits
        node = registry.NodeRegistry(
            name,
            settings.Address(name, 1),
            self.store,
            limits,
            (peer_groups.PeerGroup(),),
            metrics.Counters(),
            random.Random(name),
        )
        if name in self.tasks:
            self.tasks[name].cancel()
        self.tasks[name] = asyncio.create_task(node.run())
        self.addCleanup(self.tasks[name].cancel)

    async def send(self, seconds: float) -> int:
        """Lets all nodes send what they may; returns the number sent."""
        before = len(self.starts)
        for _ in range(round(seconds / 0.05)):
            await self.loop.advance(0.05)
            for limits in self.limits.values():
                while limits.allows(self.server):
                    limits.record_start(self.server)
                    self.starts.append(self.loop.time())
        return len(self.starts) - before

    async def test_added_restarted_and_killed_nodes_keep_the_sum(self) -> None:
        names = [f"n{number:02}" for number in range(60)]
        for name in names[:30]:
            self.start_node(name)
        # Nothing is sent before the nodes know each other.
        self.assertEqual(await self.send(14.0), 0)
        self.assertGreater(await self.send(10.0), 20)
        for name in names[30:]:
            self.start_node(name)
        await self.send(13.0)
        # By now the others know the new nodes, and wait for each other.
        for name in names[:30]:
            self.assertFalse(self.limits[name].is_position_settled())
        await self.send(27.0)
        self.assertGreater(await self.send(10.0), 20)
        for name in names[::2]:
            self.start_node(name)
        await self.send(30.0)
        for name in names[::3]:
            self.tasks[name].cancel()
            del self.limits[name]
        await self.send(30.0)
        allowed = _find_allowed(_RATES[0])
        self.assertLessEqual(_count_most(self.starts), allowed)


class ColdReasonTest(unittest.TestCase):
    """Guards against a server that counts as warm though nobody knows."""

    def setUp(self) -> None:
        self.now_s = 1_000.0
        self.confirmed_s = self.now_s
        self.ended_s: dict[str, float] = {}
        self.counters = metrics.Counters()
        self.cold_start = model.ColdStart(_COLD_S, _RATES[0])
        self.cold = self.build_cold()
        self.list_servers(revision=1)

    def build_cold(self, phase: float = 0.0) -> cold_servers.ColdServers:
        """Returns what a node knows; its place among the nodes is `phase`."""
        return cold_servers.ColdServers(
            _OVERSHOOT,
            _SLACK,
            lambda _: self.cold_start,
            lambda now_s: now_s - self.confirmed_s,
            lambda _: phase,
            self.counters,
            self.ended_s.get,
        )

    def list_servers(self, **fields: object) -> None:
        """Takes over a list with one server, read now."""
        self.confirmed_s = self.now_s
        self.server = forwarding.build_server_entry("a", **fields)
        self.cold.record_entries([self.server], self.now_s)

    def find_reason(self) -> cold_servers.ColdReason | None:
        """Returns why the server counts as cold now."""
        state = self.cold.find_state(self.server, self.now_s)
        return state.reason if state else None

    def test_entry_and_response_say_so_for_a_time(self) -> None:
        self.assertIsNone(self.find_reason())
        self.list_servers(revision=2, cold_s=2.0)
        self.assertIs(self.find_reason(), cold_servers.ColdReason.ENTRY)
        self.cold.record_response(self.server, 2.3, self.now_s)
        self.now_s += 2.1
        self.assertIs(self.find_reason(), cold_servers.ColdReason.RESPONSE)
        self.now_s += 0.25
        self.assertIsNone(self.find_reason())
        self.assertEqual(self.counters.total("server.cold"), 1)

    def test_new_process_is_cold_until_its_next_entry(self) -> None:
        self.list_servers(revision=2, started_ms=5)
        self.assertIs(self.find_reason(), cold_servers.ColdReason.NEW_PROCESS)
        self.list_servers(revision=3, started_ms=5)
        self.assertIsNone(self.find_reason())

    def test_process_after_a_refusal_is_not_the_one_of_the_entry(self) -> None:
        """The address answered again before the next heartbeat."""
        reasons = cold_servers.ColdReason
        self.cold.record_connection(self.server, self.now_s, accepted=False)
        self.assertIs(self.find_reason(), reasons.REFUSED)
        # A replica may be late with an entry of the former process.
        self.list_servers(revision=2)
        self.assertIsNone(self.find_reason())
        self.cold.record_connection(self.server, self.now_s, accepted=True)
        self.assertIs(self.find_reason(), reasons.RECONNECTED)
        self.cold.record_connection(self.server, self.now_s, accepted=True)
        self.list_servers(revision=3)
        self.assertIsNone(self.find_reason())

    def test_doubt_ends_without_a_new_entry(self) -> None:
        """An unchanged entry is not written again, so none may follow."""
        self.cold.record_connection(self.server, self.now_s, accepted=False)
        self.now_s = self.confirmed_s = self.now_s + 2 * _COLD_S
        self.assertIs(self.find_reason(), cold_servers.ColdReason.REFUSED)
        self.cold.record_connection(self.server, self.now_s, accepted=True)
        self.now_s = self.confirmed_s = self.now_s + _COLD_S - 0.1
        self.assertIs(self.find_reason(), cold_servers.ColdReason.RECONNECTED)
        self.now_s = self.confirmed_s = self.now_s + 0.2
        self.assertIsNone(self.find_reason())

    def test_servers_are_cold_after_an_evacuation(self) -> None:
        self.ended_s[forwarding.DATA_CENTRE] = self.now_s - 1.0
        reason = cold_servers.ColdReason.EVACUATION_ENDED
        self.assertIs(self.find_reason(), reason)
        self.now_s = self.confirmed_s = self.now_s + 2.1
        self.assertIsNone(self.find_reason())

    def test_list_of_a_cut_off_or_suspended_node_is_too_old(self) -> None:
        self.now_s += cold_servers.MAX_LIST_AGE_S + 0.1
        self.assertIs(self.find_reason(), cold_servers.ColdReason.LIST_TOO_OLD)
        # A response that says so is newer than the list.
        self.cold.record_response(self.server, 0.0, self.now_s)
        self.assertIsNone(self.find_reason())
        self.now_s += cold_servers.MAX_LIST_AGE_S + 0.1
        self.assertIsNotNone(self.find_reason())
        self.confirmed_s = self.now_s
        self.assertIsNone(self.find_reason())

    def test_invalid_times_relax_nothing(self) -> None:
        codec = headers.HeaderCodec()
        for text in ("nan", "-4", "1e999", "soon", "9e9"):
            details = codec.read_response(200, {"Cold-Ms": text})
            self.cold.record_response(self.server, details.cold_s, self.now_s)
            self.assertIsNotNone(self.find_reason(), text)
            self.now_s = self.confirmed_s = self.now_s + _COLD_S
            self.assertIsNone(self.find_reason(), text)
        for value in ("soon", math.nan, 1e300, None):
            spec = store.build_server_spec(coldRemainingMs=value)
            (entry,) = stored_records.decode_all(
                "servers", objects.StoredObject("servers", "a", 1, spec)
            )
            self.assertEqual(entry.cold_s, math.inf)
        self.assertEqual(self.counters.total("server.cold_invalid"), 5)

    def test_nodes_return_one_after_the_other(self) -> None:
        """Hundreds of nodes learn at once that a server is warm again."""
        returns = collections.Counter[int]()
        fleet = [self.build_cold(number / 80) for number in range(80)]
        server = forwarding.build_server_entry("a", revision=2, cold_s=2.0)
        for node in fleet:
            node.record_entries([server], self.now_s)
            self.assertIsNotNone(node.find_state(server, self.now_s))
        for step in range(20):
            self.now_s = self.confirmed_s = 1_002.0 + step / 10
            warm = {n for n in fleet if not n.find_state(server, self.now_s)}
            returns[step] = len(warm)
            fleet = [node for node in fleet if node not in warm]
        self.assertEqual(fleet, [])
        self.assertLessEqual(max(returns.values()), 9)


class ColdServerTest(forwarding.ForwardingTestCase):
    """Replays requests to a server that is cold now and then."""

    async def asyncSetUp(self) -> None:
        """Starts a server, and lists it as cold for three seconds."""
        await super().asyncSetUp()
        self.statements.cold = cold_servers.ColdServers(
            _OVERSHOOT,
            _SLACK,
            lambda _: model.ColdStart(_COLD_S, _RATES[0]),
            lambda _: 0.0,
            self.limits.find_phase,
            self.counters,
        )
        self.limits.position = server_limits.FleetPosition(0, 80)

        async def run(request, writer) -> None:
            scripted_servers.write_response(request, writer, b"done")
            await writer.drain()

        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route()
        )
        await self.start_server("a", run, pool="plain")
        (self.server,) = self.directory.list_usable("plain")
        self.revision = 1

    def list_server(self, cold_s: float) -> None:
        """Lists the server."""
        self.revision += 1
        entry = directory.ServerEntry(
            self.server.backend, "plain", "v1", 0, cold_s, self.revision
        )
        self.directory.update([entry], self.loop.time(), after_outage=False)
        self.statements.retain(self.directory.list_all())

    async def test_request_waits_for_a_warm_server_if_it_can(self) -> None:
        self.list_server(1.0)
        pending = asyncio.create_task(self.fetch())
        await self.pass_time(2.2, 0.01)
        self.assertEqual((await pending).status, 200)
        self.assertEqual(self.counters.total("limit.cold_waited"), 1)
        self.list_server(_COLD_S)
        response = await self.fetch(Attempt_Id="r2", Deadline_Ms="2000")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 1.0)
        self.assertEqual(self.counters.total("limit.cold_rejected"), 1)

    async def test_server_whose_entry_is_gone_counts_as_cold(self) -> None:
        """Entries expire while the store is away."""
        self.list_server(0.0)
        self.directory.update([], self.loop.time(), after_outage=True)
        self.statements.retain(self.directory.list_all())
        self.assertTrue(self.statements.has_cold([self.server]))
        self.list_server(0.0)
        self.loop.skip(cold_servers.RETURN_PERIOD_S)
        self.assertFalse(self.statements.has_cold([self.server]))
