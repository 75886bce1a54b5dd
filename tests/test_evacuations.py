"""Tests of evacuated data centres and allowed regions, without processes."""

import asyncio
import unittest
from unittest import mock

from dragonflydyke import metrics
from dragonflydyke.backends import connection
from dragonflydyke.forwarding import (
    escalation,
    evacuations,
    locations,
    model,
    planner,
    regions,
    rollouts,
)
from dragonflydyke.objects import model as objects
from dragonflydyke.platform import headers
from tests.builders import forwarding, scripted_servers, store, stored_records

_KNOWN = ("north", "south", "west")
_EXPOSED = rollouts.VersionRule(preferred="v2")
_UNEXPOSED = rollouts.VersionRule(avoided="v2")


class EvacuationsTest(unittest.TestCase):
    """Guards against evacuations that are lost or do not end."""

    def setUp(self) -> None:
        self.counters = metrics.Counters()
        self.state = evacuations.Evacuations(self.counters)

    def update(self, *names: str, now_s: float, era: int = 1) -> None:
        """Gives the state what the store has."""
        version = objects.combine_version(era, 7)
        self.state.update(names, now_s, version, _KNOWN)

    def test_end_is_known(self) -> None:
        self.update("north", "south", now_s=1.0)
        self.assertTrue(self.state.is_evacuated("south"))
        self.assertIsNone(self.state.find_ended_s("south"))
        self.update("north", now_s=4.0)
        self.assertEqual(self.state.names, {"north"})
        self.assertEqual(self.state.find_ended_s("south"), 4.0)

    def test_evacuation_lost_by_a_restore_is_kept_until_it_returns(
        self,
    ) -> None:
        """Requests would go there until the operator writes it again."""
        self.update("north", "south", now_s=1.0)
        self.update(now_s=2.0, era=2)
        self.update("south", now_s=3.0, era=2)
        self.assertEqual(self.state.names, {"north", "south"})
        self.update(now_s=4.0, era=2)
        self.assertEqual(self.state.names, {"north"})
        self.state.expire(2.0 + evacuations.RETURN_S)
        self.assertEqual(self.state.names, set())
        self.assertEqual(self.state.find_ended_s("north"), 12.0)

    def test_unknown_data_centre_is_counted_once_and_evacuated(self) -> None:
        for now_s in (1.0, 2.0):
            self.update("mars", "north", now_s=now_s)
        self.assertEqual(self.counters.total("evacuation.unknown"), 1)
        self.assertEqual(self.state.names, {"mars", "north"})


class LocationFilterTest(unittest.TestCase):
    """Guards against servers in places that a request may not use."""

    def setUp(self) -> None:
        self.state = evacuations.Evacuations(metrics.Counters())
        self.filter = locations.LocationFilter(
            self.state, regions.Regions({"north": "eu", "south": "us"})
        )

    def select(
        self,
        *servers: str,
        rule: rollouts.VersionRule = _UNEXPOSED,
        allowed: frozenset[str] | None = None,
    ) -> tuple[str, locations.Exclusion | None]:
        """Returns the usable ones of servers like `north v1`."""
        entries = []
        for name in servers:
            place, version = name.split(" ")
            entries.append(
                forwarding.build_server_entry(
                    name, data_centre=place, version=version
                )
            )
        usable = self.filter.select(entries, rule, allowed, 0.0)
        return ", ".join(s.name for s in usable.servers), usable.exclusion

    def test_evacuated_version_is_replaced_by_a_proven_one_only(self) -> None:
        """All sessions would move to a version that may be bad."""
        self.state.update(["north"], 0.0, 1)
        evacuated = locations.Exclusion.EVACUATED
        for rule, servers, expected in (
            (_EXPOSED, ("north v2", "south v1"), ("south v1", None)),
            (_UNEXPOSED, ("north v1", "south v2"), ("", evacuated)),
            (_UNEXPOSED, ("south v2",), ("south v2", None)),
            (_UNEXPOSED, ("north v1", "south v1"), ("south v1", None)),
            (_UNEXPOSED, ("north v1",), ("", evacuated)),
            (_UNEXPOSED, (), ("", None)),
        ):
            with self.subTest(rule=rule, servers=servers):
                self.assertEqual(self.select(*servers, rule=rule), expected)

    def test_restrictions_of_route_and_account_both_apply(self) -> None:
        """A data centre whose region is unknown is in no allowed region."""
        everywhere = ("north v1", "south v1", "west v1")
        outside = locations.Exclusion.REGION
        for route, account, expected in (
            ((), (), (", ".join(everywhere), None)),
            (("eu",), (), ("north v1", None)),
            (("eu", "us"), ("us",), ("south v1", None)),
            (("eu",), ("us",), ("", outside)),
            (("mars",), (), ("", outside)),
        ):
            with self.subTest(route=route, account=account):
                allowed = regions.find_allowed_regions(
                    forwarding.build_route(allowed_regions=frozenset(route)),
                    model.Account("a", (), allowed_regions=frozenset(account)),
                )
                found = self.select(*everywhere, allowed=allowed)
                self.assertEqual(found, expected)


class EvacuationEntryTest(store.StoreTestCase):
    """Guards against evacuations that are hidden by an odd value."""

    async def test_only_the_name_of_an_entry_counts(self) -> None:
        for name, spec in (("north", [1]), ("south", None)):
            await self.stub.put("evacuations", name, spec)
        self.stub.raw_items = ['{"metadata": {"name": "west", "rev": "x"}}']
        listed = await self.store.list_all(
            "evacuations", consistency=objects.ReadConsistency.LINEARIZABLE
        )
        names = stored_records.list_records(listed.objects)
        self.assertEqual(set(names), set(_KNOWN))


class EvacuatedRequestTest(forwarding.ForwardingTestCase):
    """Guards against requests that reach an evacuated data centre."""

    def evacuate(self, *names: str) -> None:
        """Replaces the evacuated data centres."""
        self.evacuations.update(names, self.loop.time(), 1, _KNOWN)

    async def start_servers(self, *places: str, action=lambda: None) -> None:
        """Starts a server in each place.

        Args:
            *places: Data centres.
            action: Called by the server in the first place after two events;
                the server breaks the stream if it returns true.
        """
        for place in places:
            acts = place == places[0]

            async def run(request, writer, acts=acts) -> None:
                first = int(request.headers.get("Last-Event-Id", "0")) + 1
                scripted_servers.write_stream_start(
                    request, writer, Confidence="10"
                )
                for event_id in range(first, 5):
                    scripted_servers.write_event(writer, event_id)
                    await writer.drain()
                    if acts and event_id == 2 and action():
                        writer.transport.abort()
                scripted_servers.write_chunk(writer, b"")

            await self.start_server(place, run, data_centre=place)

    def count_at(self, *places: str) -> list[int]:
        """Returns the number of requests in each place."""
        return [len(self.servers[place].received) for place in places]

    async def test_request_is_rejected_at_once(self) -> None:
        await self.start_servers("north", "south")
        self.evacuate("north", "south")
        response = await self.fetch()
        self.assertEqual(response.status, 503)
        self.assertEqual(response.body, b"data_centres_evacuated\n")
        self.assertIn("Retry-After", response.headers)
        self.regions.by_data_centre = {"north": "eu"}
        route = forwarding.build_route(allowed_regions=frozenset(("us",)))
        self.forwarder.policy = forwarding.build_policy(route)
        response = await self.fetch()
        self.assertEqual(response.body, b"no_allowed_region\n")
        self.assertEqual(self.count_received(), 0)
        for code in ("data_centres_evacuated", "no_allowed_region"):
            self.assertEqual(self.counters.total(f"refusal.{code}"), 1)

    async def test_running_stream_continues(self) -> None:
        await self.start_servers(
            "north", "south", action=lambda: self.evacuate("north")
        )
        self.assertTrue((await self.fetch()).is_complete)
        self.assertEqual(self.count_at("north", "south"), [1, 0])
        await self.fetch()
        self.assertEqual(self.count_at("north", "south"), [1, 1])

    async def test_broken_stream_resumes_elsewhere(self) -> None:
        def end() -> bool:
            self.evacuate("north", "south")
            return True

        await self.start_servers("north", "south", "west", action=end)
        self.assertTrue((await self.fetch()).is_complete)
        self.assertEqual(self.count_at("north", "south", "west"), [1, 0, 1])

    async def test_error_does_not_deny_that_the_request_ran(self) -> None:
        async def lose(request, writer) -> None:
            self.evacuate(*_KNOWN)
            writer.transport.abort()

        await self.start_server("a", lose)
        await self.start_server("b", lose)
        self.assertEqual((await self.fetch()).status, 502)
        self.assertEqual(self.count_received(), 1)

    async def test_request_is_withdrawn_while_it_connects(self) -> None:
        connect = connection.Exchange.connect

        async def connect_slowly(exchange, client) -> None:
            await connect(exchange, client)
            self.evacuate("north")

        await self.start_servers("north", "south")
        with mock.patch.object(connection.Exchange, "connect", connect_slowly):
            response = await self.fetch()
        self.assertEqual(response.status, 200)
        self.assertEqual(self.count_at("north", "south"), [0, 1])

    async def test_evacuation_begins_while_a_request_waits(self) -> None:
        async def pause(request, writer) -> None:
            scripted_servers.write_response(
                request,
                writer,
                b"",
                status="503 Paused",
                Not_Executed="1",
                Retry_After="0.4",
            )

        await self.start_server("a", pause)
        pending = asyncio.create_task(self.fetch())
        while not self.counters.total("statement.pause"):
            await asyncio.sleep(0.001)
        self.evacuate("north")
        self.loop.skip(0.4)
        self.assertEqual((await pending).body, b"data_centres_evacuated\n")
        self.assertEqual(self.count_received(), 1)

    async def escalate(self, *evacuated: str) -> list[int]:
        """Escalates to `south`, with `west` as the source of the prefix.

        Args:
            *evacuated: Places that are evacuated while reports are read.

        Returns:
            The number of requests in each place.
        """

        async def plan(*arguments) -> escalation.EscalationPlan:
            del arguments
            self.evacuate(*evacuated)
            _, south, west = self.directory.list_usable("engines")
            return escalation.EscalationPlan(
                server=south,
                first_event_s=0.01,
                finish_s=0.1,
                queued=0,
                running=0,
                cached_tokens=0,
                samples=0,
                prefix_source=west,
            )

        route = forwarding.build_route(models=forwarding.MODELS)
        self.forwarder.policy = forwarding.build_policy(route)
        await self.start_servers("north", "south", "west")
        with mock.patch.object(planner.EscalationPlanner, "plan", plan):
            await self.fetch(Model="*")
        return self.count_at("north", "south", "west")

    async def test_escalation_avoids_a_server_evacuated_meanwhile(self) -> None:
        self.assertEqual((await self.escalate("south"))[1], 0)
        self.assertEqual(self.count_received(), 2)

    async def test_prefix_is_not_fetched_from_an_evacuated_server(self) -> None:
        self.assertEqual(await self.escalate("west"), [1, 1, 0])
        (request,) = self.servers["south"].received
        self.assertNotIn(headers.PREFIX_SOURCE, request.headers)
