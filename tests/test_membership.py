"""Tests of several memberships on a virtual loop."""

import asyncio
import os
import random

from dragonflydyke import errors, objects
from dragonflydyke.membership import announcements, permit, relays
from dragonflydyke.protocol import node_pb2
from tests.builders import fleet, virtual_loop

_SEED_VARIABLE = "DRAGONFLYDYKE_SEED"
_CONVERGENCE_S = 12.0


class MembershipTestCase(virtual_loop.VirtualTimeTestCase):
    """Starts a fleet with one accepted revision."""

    size = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = fleet.Fleet(self.size)
        self.addAsyncCleanup(self.fleet.stop)
        for name in self.fleet.names:
            await self.fleet.start(name)
        await self.loop.advance(2.5)
        await self.apply_document("vm-0", {"n": 0})
        await self.loop.advance(_CONVERGENCE_S)

    async def apply_document(self, name, mapping=None, base_revision=None):
        """Applies a document while the clock runs."""
        task = asyncio.ensure_future(
            self.fleet.nodes[name].writer.apply(
                mapping or {}, "operator", base_revision
            )
        )
        while not task.done():
            await self.loop.advance(0.05)
        return await task

    async def assert_apply_rejected(
        self, code, name, base_revision=None
    ) -> None:
        with self.assertRaises(errors.DragonflydykeError) as raised:
            await self.apply_document(name, None, base_revision)
        self.assertEqual(code, raised.exception.code)

    def revisions(self) -> list[int]:
        return [m.state.revision for m in self.fleet.nodes.values()]


class PermitTest(MembershipTestCase):
    """Guards against nodes that serve without knowing that they may."""

    async def test_isolation(self) -> None:
        """Only a node cut off from platform and peers stops, within 4 s."""
        everyone = set(self.fleet.names)
        self.assertEqual(everyone, self.fleet.serving_vms())
        self.fleet.platform_access["vm-1"].is_unreachable = True
        await self.loop.advance(10)
        self.assertEqual(everyone, self.fleet.serving_vms())
        self.fleet.isolate("vm-1")
        await self.loop.advance(4.1)
        self.assertEqual(everyone - {"vm-1"}, self.fleet.serving_vms())
        with self.assertRaises(errors.DragonflydykeError) as raised:
            self.fleet.nodes["vm-1"].permit.check()
        self.assertEqual("not_confirmed", raised.exception.code)
        self.fleet.platform_access["vm-1"].is_unreachable = False
        await self.loop.advance(2)
        self.assertEqual(everyone, self.fleet.serving_vms())

    async def test_platform_outage_and_minority(self) -> None:
        """During an outage only the majority of the listed VMs serves."""
        self.fleet.platform.available = False
        await self.loop.advance(20)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())
        for member in self.fleet.nodes.values():
            rule = member.permit.current_rule()
            self.assertIs(permit.PermitRule.PLATFORM_OUTAGE, rule)
        self.fleet.partition({"vm-2"})
        await self.loop.advance(2.7)
        self.assertEqual({"vm-0", "vm-1"}, self.fleet.serving_vms())
        await self.assert_apply_rejected("no_majority", "vm-2")
        await self.assert_apply_rejected("platform_unavailable", "vm-0")

    async def test_paused_node_has_no_permit_when_it_wakes(self) -> None:
        """Ages are computed at the check, before anything else ran."""
        self.loop._now_s += 60
        self.assertEqual(set(), self.fleet.serving_vms())
        await self.loop.advance(3)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())

    async def test_delayed_request_does_not_look_fresh(self) -> None:
        """A report that waited in a socket counts from its echo."""
        first, second = (self.fleet.nodes[n] for n in ("vm-0", "vm-1"))
        late = second._reports.build("vm-0")
        unknown = second._reports.build("")
        self.fleet.isolate("vm-1")
        self.fleet.platform_access["vm-0"].is_unreachable = True
        self.fleet.isolate("vm-0")
        await self.loop.advance(5)
        self.assertFalse(first.permit.is_granted())
        await first.exchange(late)
        await first.exchange(unknown)
        self.assertFalse(first.permit.is_granted())
        self.assertNotIn("vm-1", first.peer_tracker.alive_vms(self.loop.time()))

    async def test_slow_answers_carry_their_round_trip(self) -> None:
        """An answer counts from the moment of its request."""
        self.fleet.platform_access["vm-0"].is_unreachable = True
        self.fleet.round_trips_s = {("vm-0", n): 0.9 for n in self.fleet.names}
        self.fleet.round_trips_s |= {(n, "vm-0"): 0.9 for n in self.fleet.names}
        await self.loop.advance(10)
        member = self.fleet.nodes["vm-0"]
        age_s = member._confirmation_tracker.newest_age(self.loop.time())
        self.assertGreaterEqual(age_s, 0.9)
        self.assertTrue(member.permit.is_granted())

    async def test_restarted_peer_does_not_stand_for_its_promise(self) -> None:
        """A new incarnation does not count under rule B for 10 s."""
        self.fleet.platform.available = False
        await self.loop.advance(6)
        self.fleet.partition({"vm-2"})
        await self.fleet.crash("vm-1")
        self.fleet.partition({"vm-2"})
        await self.fleet.start("vm-1")
        await self.loop.advance(5)
        self.assertEqual(set(), self.fleet.serving_vms())
        await self.loop.advance(6)
        self.assertEqual({"vm-0", "vm-1"}, self.fleet.serving_vms())

    async def test_start_during_an_outage(self) -> None:
        """A new node takes its state from seed peers, then serves."""
        await self.fleet.crash("vm-2")
        self.fleet.platform.available = False
        await self.loop.advance(5)
        member = await self.fleet.start("vm-2")
        self.assertEqual(1, member.state.revision)
        self.assertEqual(1, len(member.state.current.key_ring.keys))
        await self.loop.advance(3)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())

    async def test_outage_rule_obeys_heard_vms(self) -> None:
        """A pending change or higher revision of a heard VM ends rule B."""
        change = node_pb2.ChangeAnnouncement(change_id="x", revision=2)
        await self.fleet.nodes["vm-1"].announce_change(change)
        self.fleet.platform.available = False
        await self.loop.advance(6)
        self.assertEqual(set(), self.fleet.serving_vms())
        change.resolved = True
        await self.fleet.nodes["vm-1"].announce_change(change)
        await self.loop.advance(2)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())
        newer = node_pb2.NodeReport(vm="vm-9", revision=2, uptime_ms=60_000)
        now_s = self.loop.time()
        self.fleet.nodes["vm-0"].peer_tracker.record(newer, now_s, now_s)
        self.assertFalse(self.fleet.nodes["vm-0"].permit.is_granted())

    async def test_late_reports_do_not_replace_newer_ones(self) -> None:
        """Neither an older report nor a dead incarnation comes back."""
        known = self.fleet.nodes["vm-0"].peer_tracker
        now_s = self.loop.time()
        for incarnation, sent_at_ms, not_before_s in (
            (1, 500, now_s - 2),
            (1, 400, now_s - 1),
            (2, 10, now_s),
            (1, 600, now_s - 1),
        ):
            report = node_pb2.NodeReport(
                vm="vm-9", incarnation=incarnation, sent_at_ms=sent_at_ms
            )
            known.record(report, not_before_s, now_s)
        self.assertEqual(2, known.newest_report("vm-9").report.incarnation)
        counts = known.fleet_version_counts()
        self.assertIn(("vm-9", 1), counts)
        late = self.fleet.counters["vm-0"].total("contacts.late_report")
        self.assertEqual(1, late)

    async def test_confirmation_waits_for_its_version(self) -> None:
        """A confirmation of control objects not yet adopted is no permit."""
        self.fleet.failing_calls.add("fetch_state")
        self.fleet.platform_access["vm-1"].is_unreachable = True
        await self.apply_document("vm-0")
        await self.loop.advance(5)
        self.assertEqual(1, self.fleet.nodes["vm-1"].state.revision)
        self.assertEqual({"vm-0", "vm-2"}, self.fleet.serving_vms())
        self.fleet.failing_calls.clear()
        await self.loop.advance(2)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())

    async def test_leaving_is_reported(self) -> None:
        """Peers learn of a planned stop at once."""
        await self.fleet.nodes.pop("vm-2").stop()
        for member in self.fleet.nodes.values():
            self.assertEqual({"vm-2"}, member.peer_tracker.leaving_vms())


class WriterTest(MembershipTestCase):
    """Guards against lost, doubled and reverted configurations."""

    async def test_two_operators(self) -> None:
        """Exactly one of two changes from the same base is accepted."""
        results = await self.gather_applies(("vm-0", "vm-1"), 1)
        codes = [getattr(r, "code", "accepted") for r in results]
        self.assertCountEqual(["accepted", "revision_conflict"], codes)
        await self.loop.advance(3)
        self.assertEqual([2, 2, 2], self.revisions())
        await self.assert_apply_rejected("revision_conflict", "vm-2", 1)
        history = await self.fleet.nodes["vm-2"].writer.history()
        self.assertEqual([2, 1], [change.revision for change in history])

    async def gather_applies(self, names, base_revision):
        """Applies at several nodes at once; returns results and errors."""
        both = asyncio.gather(
            *(
                self.fleet.nodes[n].writer.apply({}, n, base_revision)
                for n in names
            ),
            return_exceptions=True,
        )
        while not both.done():
            await self.loop.advance(0.05)
        return await both

    async def test_lost_answer(self) -> None:
        """The outcome of a write is read back by its change_id."""
        # The second write, after that of the archive.
        self.fleet.platform_access["vm-0"].responses_to_lose = 2
        change = await self.apply_document("vm-0")
        self.assertEqual(2, change.revision)
        await self.loop.advance(3)
        self.assertEqual([2, 2, 2], self.revisions())

    async def test_outage_after_lost_answer(self) -> None:
        """The change stays pending until its outcome is read."""

        def lose() -> None:
            self.fleet.platform.available = False
            raise objects.OutcomeUnknownError("lost", peer="platform")

        self.fleet.platform_access["vm-0"].after_config_write = lose
        await self.assert_apply_rejected("platform_outcome_unknown", "vm-0")
        await self.loop.advance(20)
        self.assertEqual(set(), self.fleet.serving_vms())
        self.fleet.platform.available = True
        await self.loop.advance(5)
        self.assertEqual([2, 2, 2], self.revisions())
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())

    async def test_acceptor_cut_off_after_its_write(self) -> None:
        """Peers that acknowledged a change never serve without it.

        With a pending time of 10 s alone, the other two nodes served the old
        revision as a majority from the eleventh second on.
        """

        def cut() -> None:
            self.fleet.isolate("vm-0")
            self.fleet.platform_access["vm-1"].is_unreachable = True
            self.fleet.platform_access["vm-2"].is_unreachable = True

        self.fleet.platform_access["vm-0"].after_config_write = cut
        await self.apply_document("vm-0")
        await self.loop.advance(5)
        for _ in range(25):
            self.assertEqual({"vm-0"}, self.fleet.serving_vms())
            await self.loop.advance(1)
        self.fleet.reconnect("vm-0")
        await self.loop.advance(3)
        self.assertEqual([2, 2, 2], self.revisions())
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())

    async def test_stale_read_is_ignored(self) -> None:
        """An old list is counted, changes nothing and confirms nothing."""
        old = self.fleet.platform.store.list("control")
        await self.apply_document("vm-0")
        await self.loop.advance(3)
        for name in self.fleet.names:
            self.fleet.platform_access[name].stale_list = old
        await self.loop.advance(5)
        self.assertEqual([2, 2, 2], self.revisions())
        self.assertGreater(
            self.fleet.counters["vm-1"].total("poll.stale_read"), 0
        )
        rules = {m.permit.current_rule() for m in self.fleet.nodes.values()}
        self.assertEqual({permit.PermitRule.PLATFORM_OUTAGE}, rules)

    async def test_lower_revision_is_an_invariant_violation(self) -> None:
        """A withdrawn version stays withdrawn whatever the platform says."""
        await self.apply_document("vm-0")
        await self.loop.advance(3)
        store = self.fleet.platform.store
        config = store.get("control", "config")
        store.put(
            "control", "config", {**config.value, "revision": 1}, config.version
        )
        await self.loop.advance(5)
        self.assertEqual([2, 2, 2], self.revisions())
        counters = self.fleet.counters["vm-1"]
        self.assertGreater(counters.total("invariant.broken"), 0)

    async def test_unreadable_objects(self) -> None:
        """Garbage is ignored; an unreadable newer revision ends the permit."""
        store = self.fleet.platform.store
        store.put("control", "rollout.a", {"state": "odd"}, None)
        await self.loop.advance(6)
        self.assertEqual(set(self.fleet.names), self.fleet.serving_vms())
        config = store.get("control", "config")
        value = {**config.value, "revision": 2, "document": {"broken": 1}}
        store.put("control", "config", value, config.version)
        await self.loop.advance(6)
        self.assertEqual([1, 1, 1], self.revisions())
        for member in self.fleet.nodes.values():
            rule = member.permit.current_rule()
            self.assertIsNot(permit.PermitRule.CONFIRMED, rule)

    async def test_stop_during_an_apply_gives_a_typed_error(self) -> None:
        """A planned stop must not end the operator's call without a reason."""
        for name in ("vm-1", "vm-2"):
            self.fleet.round_trips_s["vm-0", name] = 1.0
        applying = asyncio.ensure_future(
            self.fleet.nodes["vm-0"].writer.apply({}, "operator")
        )
        await self.loop.advance(0.1)
        await self.fleet.nodes["vm-0"].writer.stop()
        with self.assertRaises(errors.DragonflydykeError) as raised:
            await applying
        self.assertEqual(raised.exception.code, "router_leaving")
        self.assertIs(raised.exception.execution, errors.Execution.UNKNOWN)

    async def test_foreign_value_gives_a_typed_error(self) -> None:
        """An object that no router wrote is named, not a KeyError."""
        store = self.fleet.platform.store
        present = store.get("control", "config")
        store.put("control", "config", {"revision": 9}, present.version)
        await self.assert_apply_rejected("platform_object_invalid", "vm-0")

    async def test_acceptor_dies_after_announcing(self) -> None:
        """An outcome that never comes is settled by the platform."""
        announcement = node_pb2.ChangeAnnouncement(
            acceptor="vm-0", change_id="dead", revision=2
        )
        for name in ("vm-1", "vm-2"):
            member = self.fleet.nodes[name]
            await member.announce_change(announcement)
        await self.fleet.crash("vm-0")
        await self.loop.advance(announcements.PENDING_S + 3)
        self.fleet.platform.available = False
        await self.loop.advance(10)
        self.assertEqual({"vm-1", "vm-2"}, self.fleet.serving_vms())

    async def test_unacknowledged_change_is_not_written(self) -> None:
        """Contact alone does not suffice; a majority must acknowledge."""
        self.fleet.failing_calls.add("announce_change")
        await self.assert_apply_rejected("no_majority", "vm-0")
        stored = self.fleet.platform.store.get("control", "config")
        self.assertEqual(1, stored.value["revision"])

    async def test_key_rotation(self) -> None:
        """Every router gets the new key and keeps the old one."""
        first = self.fleet.nodes["vm-1"].state.current.key_ring.keys
        await self.fleet.nodes["vm-0"].keys.rotate()
        await self.loop.advance(2)
        keys = self.fleet.nodes["vm-1"].state.current.key_ring.keys
        self.assertEqual(first, keys[:1])
        self.assertEqual(2, len(keys))

    async def test_second_rotation_waits_for_the_first(self) -> None:
        """Regression: a key must not sign before all routers have it."""
        keeper = self.fleet.nodes["vm-0"].keys
        await keeper.rotate()
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await keeper.rotate()
        error = caught.exception
        self.assertEqual("session_keys_rotated_recently", error.code)
        self.assertEqual(409, error.status)
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)


class SingleNodeTest(MembershipTestCase):
    """Guards against a single VM that waits for a majority of others."""

    size = 1

    async def test_single_node(self) -> None:
        """One VM applies and serves, through an outage too."""
        self.assertEqual({"vm-0"}, self.fleet.serving_vms())
        self.fleet.platform.available = False
        await self.loop.advance(10)
        self.assertEqual({"vm-0"}, self.fleet.serving_vms())


class EmptyListTest(virtual_loop.VirtualTimeTestCase):
    """Guards against a platform whose list has no VMs."""

    async def test_empty_list(self) -> None:
        """The node is its own majority."""
        own_fleet = fleet.Fleet(1)
        own_fleet.platform.vms = objects.VmList(0, ())
        self.addAsyncCleanup(own_fleet.stop)
        member = await own_fleet.start("vm-0")
        await member.writer.apply({}, "operator", 0)
        await self.loop.advance(2)
        self.assertTrue(member.permit.is_granted())


class RelayTest(virtual_loop.VirtualTimeTestCase):
    """Guards against nodes that no relay reports."""

    async def test_selection(self) -> None:
        """Four relays per data centre; ordinary nodes prefer live ones."""
        vms = [
            objects.ListedVm(f"{dc}-{i}", dc, "entry", "a", "live")
            for dc in ("a", "b")
            for i in range(10)
        ]
        chosen = relays.select_relays(vms)
        self.assertEqual(4, sum(name.startswith("a-") for name in chosen))
        self.assertEqual(8, len(chosen))
        ordinary = next(v.name for v in vms if v.name not in chosen)
        first = relays.select_exchange_targets(
            ordinary, "a", vms, lambda n: True
        )
        self.assertEqual(2, len(first))
        dead = first[0].name
        second = relays.select_exchange_targets(
            ordinary, "a", vms, lambda n: n != dead
        )
        self.assertNotIn(dead, {vm.name for vm in second})

    async def test_large_fleet_serves_through_outage(self) -> None:
        """Ordinary nodes hear the majority through their relays."""
        await self._check_outage(fleet.Fleet(18))

    async def test_fleet_of_six_data_centres_hears_its_majority(self) -> None:
        """Regression: relays passed on only what they heard directly."""
        await self._check_outage(fleet.Fleet(66, data_centres=6))

    async def _check_outage(self, big: fleet.Fleet) -> None:
        self.addAsyncCleanup(big.stop)
        for name in big.names:
            await big.start(name)
        await self.loop.advance(4)
        chosen = relays.select_relays(big.platform.vms.vms)
        acceptor = next(name for name in big.names if name not in chosen)
        task = asyncio.ensure_future(
            big.nodes[acceptor].writer.apply({}, "operator")
        )
        await self.loop.advance(_CONVERGENCE_S)
        self.assertEqual(1, (await task).revision)
        self.assertEqual(set(big.names), big.serving_vms())
        big.platform.available = False
        await self.loop.advance(15)
        self.assertEqual(set(big.names), big.serving_vms())


class RandomisedTest(virtual_loop.VirtualTimeTestCase):
    """Guards the invariants over random cuts, outages and applies."""

    async def test_invariants(self) -> None:
        """No old permit, no revision goes back, one winner per base."""
        seed = int(os.environ.get(_SEED_VARIABLE, random.randrange(2**32)))
        print(f"{_SEED_VARIABLE}={seed}")
        for index in range(_RUNS):
            run = _RandomRun(self.loop, random.Random(f"{seed}.{index}"))
            await run.execute()
            self.accepted += run.accepted_count
        self.assertGreater(self.accepted, 0)

    accepted = 0


_RUNS = 3
_STEPS = 60
_PROPAGATION_S = 6.0


class _RandomRun:
    """One random schedule on a fleet of five."""

    def __init__(
        self, loop: virtual_loop.VirtualLoop, chance: random.Random
    ) -> None:
        self._loop = loop
        self._chance = chance
        self._fleet = fleet.Fleet(5)
        self._accepted_s: dict[int, float] = {}
        self._revisions: dict[str, int] = {}
        self._bases: dict[int, int] = {}
        self._tasks: list[asyncio.Task[object]] = []
        self.accepted_count = 0

    async def execute(self) -> None:
        """Runs all steps and checks after each tenth of a second."""
        for name in self._fleet.names:
            await self._fleet.start(name)
        await self._advance(3)
        self._apply(("vm-0",))
        await self._advance(1)
        for _ in range(_STEPS):
            await self._disturb()
            await self._advance(self._chance.choice((0.1, 0.5, 2, 6)))
        self._heal()
        await self._advance(20)
        serving = self._fleet.serving_vms()
        revisions = [m.state.revision for m in self._fleet.nodes.values()]
        assert serving == set(self._fleet.names), (serving, revisions)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._fleet.stop()

    async def _disturb(self) -> None:
        names = self._fleet.names
        name = self._chance.choice(names)
        actions = {
            "apply": lambda: self._apply((name,)),
            "race": lambda: self._apply(self._chance.sample(names, 2)),
            "isolate": lambda: self._fleet.isolate(name),
            "join": lambda: self._fleet.reconnect(name),
            "split": lambda: self._fleet.partition(
                set(self._chance.sample(names, self._chance.randint(1, 4)))
            ),
            "heal": self._heal,
            "outage": self._toggle_platform,
            "cut": lambda: self._toggle_cut(name),
            "lose": lambda: self._lose(name),
            "slow": lambda: self._slow(name),
        }
        action = self._chance.choice((*actions, "restart"))
        if action == "restart":
            await self._restart(name)
        else:
            actions[action]()

    async def _restart(self, name: str) -> None:
        await self._fleet.crash(name)
        self._revisions.pop(name, None)
        # The start may wait for slow peers, for which the clock must run.
        self._tasks.append(asyncio.ensure_future(self._fleet.start(name)))

    def _heal(self) -> None:
        self._fleet.broken_links.clear()
        self._fleet.round_trips_s.clear()
        self._fleet.platform.available = True
        for view in self._fleet.platform_access.values():
            view.is_unreachable = False

    def _toggle_platform(self) -> None:
        platform = self._fleet.platform
        platform.available = not platform.available

    def _toggle_cut(self, name: str) -> None:
        view = self._fleet.platform_access[name]
        view.is_unreachable = not view.is_unreachable

    def _lose(self, name: str) -> None:
        self._fleet.platform_access[
            name
        ].responses_to_lose += self._chance.randint(1, 2)

    def _slow(self, name: str) -> None:
        for other in self._fleet.names:
            delay_s = self._chance.uniform(0, 1.2)
            self._fleet.round_trips_s[name, other] = delay_s

    def _apply(self, names) -> None:
        stored = self._fleet.platform.store.get("control", "config")
        base = stored.value["revision"] if stored else 0
        for name in names:
            task = asyncio.ensure_future(self._apply_at(name, base))
            self._tasks.append(task)

    async def _apply_at(self, name: str, base: int) -> None:
        writer = self._fleet.nodes[name].writer
        try:
            change = await writer.apply({}, name, base)
        except errors.DragonflydykeError:
            return
        assert base not in self._bases, f"two changes from {base}"
        self._bases[base] = change.revision
        self.accepted_count += 1
        self._accepted_s[change.revision] = self._loop.time()

    async def _advance(self, seconds: float) -> None:
        end_s = self._loop.time() + seconds
        while self._loop.time() < end_s:
            await self._loop.advance(0.1, 0.1)
            self._check()

    def _check(self) -> None:
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()
        limit_s = self._loop.time() - _PROPAGATION_S
        due = [r for r, s in self._accepted_s.items() if s < limit_s]
        for name, member in self._fleet.nodes.items():
            revision = member.state.revision
            assert revision >= self._revisions.get(name, 0), name
            self._revisions[name] = revision
            assert not (
                member.permit.is_granted() and revision < max(due, default=0)
            ), f"{name} serves revision {revision}, accepted {max(due)}"
