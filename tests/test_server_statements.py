"""Tests of what servers say of themselves in their responses."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from dragonflydyke.forwarding import directory, messages
from dragonflydyke.platform import headers
from dragonflydyke.routing import server_pauses
from tests.builders import forwarding, scripted_servers

_PAUSE_S = 4.0
# Requests of a test that meet a pause or a server that leaves.
_REQUESTS = 12


class StatementTestCase(forwarding.ForwardingTestCase):
    """Test case with a route to plain servers."""

    async def asyncSetUp(self) -> None:
        """Sets the configuration."""
        await super().asyncSetUp()
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route()
        )

    async def start_plain(
        self, name: str, script: scripted_servers.Script
    ) -> scripted_servers.ScriptedServer:
        """Starts a plain server."""
        return await self.start_server(name, script, pool="plain")

    async def fetch_many(self, count: int = _REQUESTS) -> list[int]:
        """Sends requests one after the other and returns their statuses."""
        return [
            (await self.fetch(Attempt_Id=f"r{number}")).status
            for number in range(count)
        ]


class LeavingServerTest(StatementTestCase):
    """Guards against requests to a server that said that it leaves."""

    async def test_leaving_holds_in_each_kind_of_response(self) -> None:
        scripts = {
            "success": scripted_servers.respond(Server_Leaving="1"),
            "failure": scripted_servers.respond(
                "500 Internal Server Error", Server_Leaving="1"
            ),
            "rejection": scripted_servers.reject(Server_Leaving="1"),
            "misdirected": scripted_servers.respond(
                "421 Misdirected", Server_Leaving="1"
            ),
        }
        for case, script in scripts.items():
            with self.subTest(case):
                leaving = await self.start_plain(f"{case}-a", script)
                await self.start_plain(f"{case}-b", scripted_servers.respond())
                statuses = await self.fetch_many(2 * _REQUESTS)
                self.assertEqual(set(statuses), {200})
                self.assertEqual(len(leaving.received), 1)

    async def test_leaving_holds_while_the_store_lists_the_server(self) -> None:
        leaving = await self.start_plain(
            "a", scripted_servers.respond(Server_Leaving="1")
        )
        await self.fetch_many(1)
        await self.start_plain("b", scripted_servers.respond())
        self.assertEqual(set(await self.fetch_many()), {200})
        self.assertEqual(len(leaving.received), 1)

    async def test_next_process_of_the_server_gets_requests(self) -> None:
        self.directory.update(
            [forwarding.build_server_entry("a", pool="plain", started_ms=1)],
            self.loop.time(),
            after_outage=False,
        )
        (server,) = self.directory.list_all()
        self.directory.record_leaving(server)
        self.assertEqual(self.directory.list_usable("plain"), ())
        self.directory.update(
            [forwarding.build_server_entry("a", pool="plain", started_ms=2)],
            self.loop.time(),
            after_outage=False,
        )
        self.assertEqual(len(self.directory.list_usable("plain")), 1)

    async def test_requests_are_rejected_at_once_if_all_servers_leave(
        self,
    ) -> None:
        for name in "ab":
            await self.start_plain(
                name, scripted_servers.reject(Server_Leaving="1")
            )
        response = await self.fetch()
        self.assertEqual(response.status, 503)
        started_s = self.loop.time()
        response = await self.fetch(Attempt_Id="r2")
        self.assertEqual(response.status, 503)
        self.assertLess(self.loop.time() - started_s, 0.5)
        self.assertEqual(self.count_received(), 2)


class PausedServerTest(StatementTestCase):
    """Guards against requests to a server that asked for a pause."""

    async def asyncSetUp(self) -> None:
        """Starts a server that asks for a pause."""
        await super().asyncSetUp()
        self.paused = await self.start_plain(
            "a", scripted_servers.reject(Retry_After=str(_PAUSE_S))
        )

    async def test_other_servers_get_the_requests_during_a_pause(self) -> None:
        """A server that asked for 4 s got 4 requests of 30 within it."""
        await self.start_plain("b", scripted_servers.respond())
        self.assertEqual(set(await self.fetch_many(2 * _REQUESTS)), {200})
        self.assertEqual(len(self.paused.received), 1)

    async def test_client_learns_when_the_pause_ends(self) -> None:
        await self.fetch()
        response = await self.fetch(Attempt_Id="r2")
        self.assertEqual(response.status, 503)
        retry_after_s = float(response.headers["Retry-After"])
        self.assertAlmostEqual(retry_after_s, _PAUSE_S, delta=1.0)
        self.assertEqual(len(self.paused.received), 1)

    async def test_requests_return_one_after_the_other(self) -> None:
        await self.fetch()
        self.paused.script = scripted_servers.respond()
        self.loop.skip(_PAUSE_S)
        statuses = await asyncio.gather(
            *(self.fetch(Attempt_Id=f"r{n}") for n in range(_REQUESTS))
        )
        # The others wait for their turn, or are rejected without having run.
        self.assertLess(len(self.paused.received), _REQUESTS)
        self.assertIn(200, {response.status for response in statuses})
        self.loop.skip(2.0)
        self.assertEqual(set(await self.fetch_many()), {200})

    async def test_pause_is_no_failure_of_the_server(self) -> None:
        await self.start_plain("b", scripted_servers.respond())
        for _ in range(5):
            await self.fetch_many(4)
            self.loop.skip(_PAUSE_S + 2.0)
        self.assertEqual(self.counters.total("server.ejected"), 0)


class LapsedEntryTest(forwarding.ForwardingTestCase):
    """Guards against statements that are forgotten with a lapsed entry.

    A server that could not reach the store for 5 s got 9 requests in 4 s where
    its limit allowed 6, as each node sent one before it heard the limit again.
    """

    def list_servers(self, *servers: directory.ServerEntry) -> None:
        """Takes over a list of servers, as a node does."""
        self.directory.update(servers, self.loop.time(), after_outage=False)
        self.statements.retain(self.directory.list_all())

    def say(self, server: directory.ServerEntry, **statement: object) -> None:
        """Records a response of a server."""
        details = messages.ResponseDetails("r1", True, False, **statement)
        self.statements.record_response(server, details)

    async def test_statements_hold_when_the_entry_returns(self) -> None:
        server = forwarding.build_server_entry("a", started_ms=1)
        for statement in (
            {"server_limit_per_s": 0.2},
            {"pause_s": 20.0},
            {"server_leaves": True},
        ):
            with self.subTest(str(statement)):
                self.list_servers(server)
                self.say(server, **statement)
                self.list_servers()
                self.loop.skip(5.0)
                self.list_servers(server)
                self.assertFalse(self.statements.allows(server))

    async def test_next_process_is_not_held_to_them(self) -> None:
        server = forwarding.build_server_entry("a", started_ms=1)
        self.list_servers(server)
        self.say(server, server_limit_per_s=0.2, pause_s=20.0)
        successor = forwarding.build_server_entry("a", started_ms=2)
        self.list_servers(successor)
        self.assertTrue(self.statements.allows(successor))

    async def test_server_without_a_start_time_may_be_another(self) -> None:
        server = forwarding.build_server_entry("a")
        self.list_servers(server)
        self.say(server, server_limit_per_s=0.2, pause_s=20.0)
        self.list_servers()
        self.list_servers(server)
        self.assertTrue(self.statements.allows(server))

    async def test_statements_of_a_server_that_is_gone_are_dropped(
        self,
    ) -> None:
        """Addresses and names are new each time, so that they would pile up."""
        server = forwarding.build_server_entry("a", started_ms=1)
        self.list_servers(server)
        self.say(server, server_limit_per_s=0.2)
        self.loop.skip(server_pauses.MAX_PAUSE_S)
        self.list_servers()
        self.assertFalse(self.limits.has_limits)


class PauseHeaderTest(unittest.TestCase):
    """Guards against pauses that follow from a malformed header."""

    def read(self, value: str, status: int = 503) -> float | None:
        """Returns the pause that a response states."""
        found = headers.HeaderCodec().read_response(
            status, {"Retry-After": value}
        )
        assert isinstance(found, messages.ResponseDetails)
        return found.pause_s

    def test_seconds_are_read(self) -> None:
        for value, pause_s in (("4", 4.0), ("0.25", 0.25), (" 2 ", 2.0)):
            with self.subTest(value):
                self.assertEqual(self.read(value), pause_s)

    def test_malformed_values_are_no_pause(self) -> None:
        for value in ("Wed, 21 Oct 2026 07:28:00 GMT", "-3", "nan", "inf", ""):
            with self.subTest(value):
                self.assertIsNone(self.read(value))

    def test_only_a_rejection_states_a_pause(self) -> None:
        self.assertIsNone(self.read("4", status=200))

    def test_absurd_pause_ends(self) -> None:
        pauses = server_pauses.ServerPauses()
        server = forwarding.build_server_entry("a").process
        pauses.record(server, 1e9, 0.0)
        self.assertGreater(pauses.find_delay_s(server, 599.0), 0.0)
        self.assertEqual(pauses.find_delay_s(server, 602.0), 0.0)


_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("pause"),
            strategies.integers(0, 2),
            strategies.floats(0.0, 6.0),
        ),
        strategies.tuples(
            strategies.just("send"),
            strategies.integers(0, 2),
            strategies.floats(0.0, 0.3),
        ),
    ),
    max_size=60,
)


class RandomPauseTest(unittest.TestCase):
    """Guards against requests within a pause, in any order of responses."""

    @hypothesis.given(steps=_STEPS)
    def test_no_request_is_sent_within_a_pause(
        self, steps: list[tuple[str, int, float]]
    ) -> None:
        pauses = server_pauses.ServerPauses()
        servers = [(str(number), 1) for number in range(3)]
        ends = dict.fromkeys(range(3), 0.0)
        now_s = 0.0
        for step, number, seconds in steps:
            server = servers[number]
            if step == "pause":
                pauses.record(server, seconds, now_s)
                ends[number] = max(ends[number], now_s + seconds)
                continue
            now_s += seconds
            if not pauses.find_delay_s(server, now_s):
                self.assertGreaterEqual(now_s, ends[number])
                pauses.record_start(server, now_s)

    @hypothesis.given(starts=strategies.sets(strategies.integers(0, 5)))
    def test_draining_server_stays_draining(self, starts: set[int]) -> None:
        """The store lists its processes as active in any order."""
        servers = directory.Directory()
        left = forwarding.build_server_entry("a", started_ms=3)
        servers.update([left], 0.0, after_outage=False)
        servers.record_leaving(left)
        for started_ms in starts:
            listed = forwarding.build_server_entry("a", started_ms=started_ms)
            servers.update([listed], 1.0, after_outage=False)
            is_usable = bool(servers.list_usable("engines"))
            self.assertEqual(is_usable, started_ms != 3)
