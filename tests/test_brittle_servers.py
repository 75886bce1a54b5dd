"""Tests of servers that fall over if they reject too many requests."""

import os
import random
import unittest

from dragonflydyke import metrics
from dragonflydyke.forwarding import brittle_servers, server_limits
from tests import test_server_statements
from tests.builders import brittle_fleet, forwarding, scripted_servers

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
_TOLERATED = 3
_REQUESTS = 30
# Falls of a pool that are tolerated, and one more for ten servers.
_ALLOWED_FALLS = 2


class FullServerTest(test_server_statements.StatementTestCase):
    """Guards against rejections that make a full server fall over."""

    async def asyncSetUp(self) -> None:
        """Sets the position of the node, which is one of two."""
        await super().asyncSetUp()
        self.limits.position = server_limits.FleetPosition(0, 2)

    async def test_full_server_gets_no_more_than_it_tolerates(self) -> None:
        """A server that tolerates 3 rejections a second got 5 at once."""
        for value in (str(_TOLERATED), "many"):
            with self.subTest(value):
                full = await self.start_plain(
                    f"{value}-a", scripted_servers.reject(Server_Brittle=value)
                )
                await self.start_plain(f"{value}-b", scripted_servers.respond())
                statuses = await self.fetch_many(_REQUESTS)
                self.assertEqual(set(statuses), {200})
                self.assertLessEqual(len(full.received), _TOLERATED)

    async def test_requests_are_rejected_at_once_if_all_are_full(self) -> None:
        """Requests waited, or went on to servers that were full as well."""
        for name in "ab":
            await self.start_plain(
                name, scripted_servers.reject(Server_Brittle=str(_TOLERATED))
            )
        await self.fetch()
        started_s = self.loop.time()
        response = await self.fetch(Attempt_Id="r2")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0.5)
        self.assertLess(self.loop.time() - started_s, 0.5)
        self.assertEqual(self.count_received(), 2)


class BrittleServersTest(unittest.TestCase):
    """Guards against limits that outlast their reason, or end too early."""

    def setUp(self) -> None:
        """Creates the limits of one of 8 nodes at servers with 6 slots."""
        self.counters = metrics.Counters()
        self.servers = brittle_servers.BrittleServers(
            lambda: 8, self.counters, random.Random(_SEED)
        )
        self.server = forwarding.build_server_entry("a", slots=6)

    def say(
        self, tolerated: float | None, now_s: float, *, rejected: bool = False
    ) -> None:
        """Records a response of the server."""
        self.servers.record_response(
            self.server, tolerated, now_s, rejected=rejected
        )

    def find_delay_s(self, now_s: float) -> float:
        """Returns the delay of the server."""
        return self.servers.find_delay_s(self.server, now_s)

    def test_sound_servers_are_not_limited(self) -> None:
        self.say(None, 0.0, rejected=True)
        for _ in range(100):
            self.servers.record_start(self.server, 0.0)
        self.assertEqual(self.find_delay_s(1.0), 0.0)

    def test_limits_end_with_the_statement(self) -> None:
        self.say(3, 0.0, rejected=True)
        self.assertGreater(self.find_delay_s(0.1), 0.5)
        self.say(None, 0.2)
        self.assertEqual(self.find_delay_s(0.2), 0.0)

    def test_pauses_grow_and_a_single_request_follows_each(self) -> None:
        now_s, pauses = 0.0, []
        for _ in range(4):
            self.say(16, now_s, rejected=True)
            pauses.append(self.find_delay_s(now_s))
            now_s += pauses[-1]
            self.assertEqual(self.find_delay_s(now_s), 0.0)
            self.servers.record_start(self.server, now_s)
            self.assertGreater(self.find_delay_s(now_s), 0.0)
            now_s += 0.01
            self.servers.record_end(self.server, now_s)
        self.assertGreater(pauses[2], pauses[0])
        self.assertLess(pauses[3], 10.0)

    def test_rejections_of_earlier_requests_do_not_extend_a_pause(self) -> None:
        self.say(16, 0.0, rejected=True)
        delay_s = self.find_delay_s(0.1)
        self.say(16, 0.1, rejected=True)
        self.assertEqual(self.find_delay_s(0.1), delay_s)

    def test_process_that_has_said_nothing_follows_its_pool(self) -> None:
        """A server that fell over is filled by all nodes when it is back."""
        other = forwarding.build_server_entry("b", slots=6)
        self.say(3, 0.0)
        self.assertTrue(self.servers.is_brittle(other, 1.0))
        self.assertGreater(self.servers.find_delay_s(other, 1.0), 0.0)
        self.assertFalse(self.servers.is_brittle(other, 60.0))

    def test_request_that_hangs_does_not_use_up_the_share_for_good(
        self,
    ) -> None:
        self.say(3, 0.0)
        self.servers.record_start(self.server, 0.0)
        self.servers.record_end(self.server, 600.0)
        self.assertLess(self.find_delay_s(600.0), 11.0)

    def test_processes_that_are_gone_are_forgotten(self) -> None:
        self.servers.record_start(self.server, 0.0)
        self.servers.retain(())
        self.servers.record_end(self.server, 1.0)
        self.assertEqual(self.find_delay_s(1.0), 0.0)


class BrittleFleetTest(unittest.TestCase):
    """Replays bursts at brittle servers from nodes that do not talk.

    Guards against servers that fall over one after the other, as each one that
    is down leaves its load to the rest.
    """

    def play(
        self, load: brittle_fleet.FleetLoad, *, limited: bool
    ) -> brittle_fleet.BrittleFleet:
        """Returns a fleet that has played a load."""
        fleet = brittle_fleet.BrittleFleet(load, _SEED, limited=limited)
        fleet.play()
        return fleet

    def test_servers_survive_bursts(self) -> None:
        engines = brittle_fleet.FleetLoad(8, 9, 64, 16, 2.0, 16, 3.0)
        plain = brittle_fleet.FleetLoad(8, 4, 6, 4, 0.09, _TOLERATED, 3.0)
        many_nodes = brittle_fleet.FleetLoad(
            76, 4, 6, 4, 0.045, _TOLERATED, 0.6
        )
        for load in (engines, plain, many_nodes):
            with self.subTest(load=load, seed=_SEED):
                allowed = _ALLOWED_FALLS + load.servers / 10
                before = self.play(load, limited=False)
                after = self.play(load, limited=True)
                # The load is one that needs the limits.
                self.assertGreater(before.falls, allowed)
                self.assertLessEqual(after.falls, allowed)
                self.assertGreater(after.served, 2 * before.served)

    def test_servers_with_room_serve_everybody(self) -> None:
        """Limits that reject what the servers could take cost more than falls.

        A request finds a server even where its node does not wait for one.
        """
        load = brittle_fleet.FleetLoad(8, 4, 6, 4, 0.09, _TOLERATED, 0.2)
        fleet = self.play(load, limited=True)
        self.assertEqual(fleet.falls, 0)
        self.assertGreater(fleet.served, 0.9 * fleet.requests)
