"""Tests of the adapter to the users' platform, against a store stub."""

import asyncio
import json
import os
import pathlib
import random
import tempfile
import unittest
from unittest import mock
from urllib import parse

from dragonflydyke import settings
from dragonflydyke.forwarding import (
    cold_servers,
    controller,
    model,
    node,
    quarantine,
    rollout_evidence,
    rollouts,
)
from dragonflydyke.objects import freshness, replicas, watchers
from dragonflydyke.objects import model as objects
from dragonflydyke.platform import process, records
from tests.builders import shared_objects, skipping_loop, store, stored_records


def _entry(name: str, value: object, version: int = 1) -> objects.StoredObject:
    return objects.StoredObject("kind", name, version, value)


class RecordTest(unittest.TestCase):
    """Guards against partial decoding of invalid objects."""

    def test_configuration_is_decoded(self) -> None:
        entry = _entry("main", store.build_policy_spec())
        (policy,) = stored_records.decode_all("config", entry)
        self.assertEqual(policy.version, 7)
        route = policy.find_route("API.example", "/streams/1")
        assert route is not None
        self.assertIs(route.kind, model.RequestKind.STREAM)
        self.assertEqual((route.timeout_s, route.max_event_gap_s), (6.0, 1.5))
        self.assertEqual(route.models, ("small", "large"))
        self.assertEqual(len(route.pools), 2)
        account = policy.find_account("k2")
        assert account is not None
        self.assertEqual((account.name, account.priority), ("acme", 1))

    def test_limits_of_servers_and_clients_are_decoded(self) -> None:
        spec = store.build_policy_spec()
        spec["services"][0] |= {"coldS": 3.0, "coldPerS": 5.2}
        spec["routes"][0]["allowedRegions"] = ["west"]
        (policy,) = stored_records.decode_all("config", _entry("main", spec))
        pool = policy.pools["engines"]
        self.assertEqual(pool.cold_start, model.ColdStart(3.0, 5.2))
        assert pool.engine is not None
        self.assertEqual(pool.engine.memory_tokens, 500_000)
        self.assertEqual(pool.engine.model_costs, {"small": 0.01})
        self.assertEqual(policy.limits.header_timeout_s, 3.0)
        self.assertEqual(policy.limits.max_header_bytes, 16_384)
        route = policy.find_route("api.example", "/streams/1")
        assert route is not None
        self.assertEqual(route.allowed_regions, {"west"})

    def test_changed_cold_time_is_no_other_server(self) -> None:
        """Attempts keep their entry while heartbeats update the list."""
        entries = [
            _entry("s", store.build_server_spec(coldRemainingMs=remaining_ms))
            for remaining_ms in (2_500, 0, -1, 1e15)
        ]
        servers = stored_records.decode_all("servers", *entries)
        self.assertEqual([s.cold_s for s in servers], [2.5, 0.0, 0.0, 600.0])
        self.assertEqual(servers[0], servers[1])

    def test_invalid_configuration_is_ignored(self) -> None:
        entry = _entry("main", {"version": "seven"})
        self.assertEqual(stored_records.decode_all("config", entry), [])

    def test_invalid_servers_are_ignored(self) -> None:
        unreadable = (
            None,
            "text",
            store.build_server_spec(state="resting"),
            store.build_server_spec(slots="64"),
            store.build_server_spec(slots=True),
            store.build_server_spec(address="10.0.0.9"),
            store.build_server_spec(zone=None),
            store.build_server_spec(models={}),
            {k: v for k, v in store.build_server_spec().items() if k != "zone"},
        )
        entries = [_entry(f"bad{n}", spec) for n, spec in enumerate(unreadable)]
        entries.append(_entry("good", store.build_server_spec()))
        servers = stored_records.decode_all("servers", *entries)
        self.assertEqual([server.name for server in servers], ["good"])
        self.assertEqual(servers[0].backend.url, "http://10.0.0.9:8080")

    def test_progress_is_equal_after_encoding_and_decoding(self) -> None:
        progress = rollouts.Progress(
            "v2",
            rollouts.Stage.CANARY,
            {"vm1": {"r1": rollout_evidence.RouteEvidence()}},
        )
        status = json.loads(json.dumps(records.write_progress(progress)))
        entry = objects.StoredObject(
            "rollouts",
            "engines",
            3,
            {"service": "engines", "target": "v2", "rampS": 24},
            status,
        )
        (stored,) = stored_records.decode_all("rollouts", entry)
        self.assertEqual(stored.progress, progress)
        self.assertEqual(stored.order.duration_s, 24.0)


class SettingsTest(unittest.TestCase):
    """Guards against a start with invalid settings."""

    def read(self, **changes: object) -> object:
        """Reads a settings file with some fields changed."""
        fields = {
            "nodeName": "edge-1",
            "zone": "north",
            "ip": "10.0.0.4",
            "listen": {"front": "10.0.0.4:8227", "ready": "10.0.0.4:8220"},
            "internalPorts": [7340, 7355],
            "platform": {"address": "10.0.0.7:8223"},
            "bounds": {"graceS": 8},
            "unknown": 1,
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_text(json.dumps(fields | changes))
            variables = {process.SETTINGS_VARIABLE: str(path)}
            with mock.patch.dict(os.environ, variables):
                return process.read_settings()

    def test_settings_are_read(self) -> None:
        values = self.read()
        self.assertEqual(values.front, settings.Address("10.0.0.4", 8227))
        self.assertEqual(values.store_url, "http://10.0.0.7:8223")

    def test_optional_limits_are_read(self) -> None:
        values = self.read(
            bounds={
                "coldOvershoot": 1.5,
                "coldSlack": 5,
                "evacuationMs": 5_000,
            },
            limits={"memoryMb": 160, "maxFds": 1_638},
            zones={"north": "west", "south": "west"},
        )
        self.assertEqual(values.cold_limit, node.ColdLimit(1.5, 5.0))
        self.assertEqual(values.evacuation_s, 5.0)
        self.assertEqual(values.machine.memory_bytes, 160_000_000)
        self.assertEqual(values.machine.max_descriptors, 1_638)
        self.assertEqual(values.regions["south"], "west")

    def test_list_of_servers_is_confirmed_before_it_is_too_old(self) -> None:
        """All servers would count as cold between two checks of the store."""
        slow = {"drainMs": 20_000, "configApplyMs": 20_000}
        values = self.read(bounds=slow | {"coldOvershoot": 1.5})
        self.assertLessEqual(values.max_age_s, cold_servers.MAX_LIST_AGE_S)
        self.assertEqual(self.read(bounds=slow).max_age_s, 20.0)

    def test_deployment_without_the_optional_limits(self) -> None:
        values = self.read()
        self.assertIsNone(values.cold_limit)
        self.assertIsNone(values.evacuation_s)
        self.assertEqual(values.regions, {})

    def test_missing_limits_have_defaults(self) -> None:
        """A deployment without rollouts may omit the limits on them."""
        stated = {"graceS": 8, "exposureShare": 0.15}
        self.assertEqual(self.read(bounds=stated).exposure.share, 0.15)
        values = self.read(bounds={})
        self.assertEqual((values.grace_s, values.exposure.share), (8.0, 0.1))

    def test_error_names_the_invalid_field(self) -> None:
        for changes, field in (
            ({"nodeName": None}, "nodeName"),
            ({"listen": {"front": "nowhere"}}, "listen.front"),
            ({"platform": None}, "platform.address"),
            ({"bounds": {"graceS": "8"}}, "bounds.graceS"),
            ({"bounds": {"evacuationMs": 0}}, "bounds.evacuationMs"),
        ):
            with (
                self.subTest(field=field),
                self.assertRaises(settings.SettingsError) as caught,
            ):
                self.read(**changes)
            self.assertEqual(caught.exception.field, field)


class StoreTest(store.StoreTestCase):
    """Guards against missed changes and overwritten newer versions."""

    async def test_lists_are_read_page_by_page(self) -> None:
        self.stub.page_size = 2
        for number in range(5):
            await self.stub.put("servers", f"s{number}", {})
        listed = await self.store.list_all(
            "servers", consistency=objects.ReadConsistency.LINEARIZABLE
        )
        self.assertEqual(
            [entry.name for entry in listed.objects],
            [f"s{number}" for number in range(5)],
        )

    async def test_progress_write_is_conditional(self) -> None:
        spec = {"service": "engines", "target": "v2", "rampS": 24}
        await self.stub.put("rollouts", "engines", spec)
        (entry,) = (
            await self.store.list_all(
                "rollouts", consistency=objects.ReadConsistency.STALE
            )
        ).objects
        order = rollouts.Order("engines", "v2", 24.0)
        stored = controller.StoredRollout(entry, order, None)
        progress = rollouts.Progress("v2", rollouts.Stage.ROLLED_BACK)
        written = await self.store.write_progress(stored, progress)
        self.assertGreater(written.entry.version, entry.version)
        status = self.stub.objects["rollouts"]["engines"]["status"]
        self.assertEqual(status["state"], "rolled_back")
        with self.assertRaises(controller.RolloutChangedError) as caught:
            await self.store.write_progress(stored, progress)
        self.assertEqual(caught.exception.rollout.progress, progress)

    async def test_crash_reports_are_shared_until_removed(self) -> None:
        report = shared_objects.build_crash_report("aaa", "bbb")
        await self.store.write_crash(report)
        # The response to the first write may get lost.
        await self.store.write_crash(report)
        self.assertEqual(await self.read_crashes(), [report])
        await self.store.remove_crash(report)
        await self.store.remove_crash(report)
        self.assertEqual(await self.read_crashes(), [])

    async def test_nodes_are_registered_and_removed(self) -> None:
        address = settings.Address("10.0.0.1", 7341)
        await self.store.write_node("n/1", 1, address)
        (entry,) = await self.store.list_nodes()
        await self.store.write_node("n/1", 2, address)
        (replaced,) = await self.store.list_nodes()
        self.assertEqual((entry.name, replaced.name), ("n/1", "n/1"))
        self.assertEqual(replaced.address, address)
        # The version tells that the node is alive.
        self.assertGreater(replaced.version, entry.version)
        await self.store.remove_node("n/1")
        await self.store.remove_node("n/1")
        self.assertEqual(await self.store.list_nodes(), ())

    async def test_node_without_a_sound_address_is_listed(self) -> None:
        """Nodes of an earlier release state no address, but count."""
        for name, address in (("a", None), ("b", 7), ("c", "c"), ("d", "d:x")):
            await self.stub.put(records.NODE_KIND, name, {"address": address})
        listed = await self.store.list_nodes()
        self.assertEqual([node.name for node in listed], list("abcd"))
        self.assertEqual({node.address for node in listed}, {None})

    async def read_crashes(self) -> list[quarantine.CrashReport]:
        """Returns the crash reports in the store."""
        listed = await self.store.list_all(
            records.KINDS.crashes,
            consistency=objects.ReadConsistency.LINEARIZABLE,
        )
        return stored_records.list_records(listed.objects)


class WatchTest(store.StoreTestCase):
    """Guards against stale views after the store was unavailable."""

    async def asyncSetUp(self) -> None:
        """Starts a watcher of servers."""
        await super().asyncSetUp()
        self.views: list[tuple[set[str], bool]] = []
        self.retry_gate = watchers.StoreRetryGate(
            random.Random(3),
            lambda: self.store.probe("rollouts"),
            watchers.WatchTiming(),
        )
        self.reader = replicas.ReplicaReader(self.store, "rollouts")
        watcher = watchers.KindWatcher(
            self.reader,
            "servers",
            lambda view, gap: self.views.append((set(view.objects), gap)),
            self.counters,
            self.retry_gate,
            watchers.WatchTiming(),
        )
        await self.stub.put("servers", "a", {})
        task = asyncio.create_task(watcher.run())
        self.addCleanup(task.cancel)
        await self.wait_for({"a"})

    async def wait_for(self, names: set[str]) -> None:
        """Waits until the newest view has these names."""
        await skipping_loop.wait_until(
            lambda: self.views and self.views[-1][0] == names
        )

    async def wait_for_error(self, code: str) -> None:
        """Waits until the watcher has counted an error."""
        name = f"watch.servers.{code}"
        await skipping_loop.wait_until(lambda: self.counters.total(name))

    async def test_changes_are_delivered(self) -> None:
        await self.stub.put("servers", "b", {})
        await self.wait_for({"a", "b"})
        await self.stub.remove("servers", "a")
        await self.wait_for({"b"})

    async def test_concurrent_changes_are_read_in_few_calls(self) -> None:
        """The start of each of 90 servers notified each of 78 nodes."""
        before = len(self.stub.calls)
        for number in range(90):
            await self.stub.put("servers", f"s{number}", {})
            await asyncio.sleep(0)
        await skipping_loop.wait_until(lambda: len(self.views[-1][0]) == 91)
        self.assertLess(len(self.stub.calls) - before, 6)

    async def test_changes_are_followed_through_stale_reads(self) -> None:
        """Linearizable watches of 195 nodes cost a sixth of a day's worth."""
        for name in ("b", "c", "d"):
            await self.stub.put("servers", name, {})
            await skipping_loop.wait_until(
                lambda n=name: n in self.views[-1][0]
            )
        watches = [call for call in self.stub.calls if "watch=" in call]
        self.assertGreater(len(watches), 1)
        self.assertTrue(all("allowStale=1" in call for call in watches))
        others = [call for call in self.stub.calls if "watch=" not in call]
        self.assertEqual(
            others,
            [
                "GET /api/objects/rollouts",
                "GET /api/objects/servers?allowStale=1",
            ],
        )

    async def test_list_of_a_lagging_replica_is_not_used(self) -> None:
        """A node that started while replicas lagged began with old servers."""
        self.stub.page_size = 2
        for name in ("b", "c", "d"):
            await self.stub.put("servers", name, {})
        for lag in (1, 3):
            self.stub.calls.clear()
            self.stub.replica_lag = lag
            reader = replicas.ReplicaReader(self.store, "rollouts")
            listed = await reader.list_all("servers")
            self.assertEqual(
                {entry.name for entry in listed.objects}, set("abcd")
            )
            self.assertEqual(
                objects.find_revision(listed.version), self.stub.revision
            )

    async def test_watches_are_exact_while_replicas_lag(self) -> None:
        """A node that starts after the history was lost sees only the lag."""
        self.stub.replica_lag = 1
        reader = replicas.ReplicaReader(self.store, "rollouts")
        listed = await reader.list_all("servers")
        self.stub.calls.clear()
        await reader.watch("servers", listed.version, 0.0)
        self.assertNotIn("allowStale", self.stub.calls[0])

    async def test_watchers_of_a_node_read_the_version_once(self) -> None:
        """Each start of 195 nodes made four linearizable calls a node."""
        self.stub.calls.clear()
        reader = replicas.ReplicaReader(self.store, "rollouts")
        kinds = ("config", "servers", "rollouts")
        await asyncio.gather(*(reader.list_all(kind) for kind in kinds))
        exact = [
            call
            for call in self.stub.calls
            if "allowStale" not in call and "watch=" not in call
        ]
        self.assertEqual(exact, ["GET /api/objects/rollouts"])

    async def test_watches_are_exact_after_lost_history(self) -> None:
        """Replicas of a store that lost its history lag behind for seconds."""
        await self.stub.put("servers", "b", {})
        await self.wait_for({"a", "b"})
        await self.stub.put("servers", "c", {})
        self.stub.drop_history()
        await self.wait_for({"a", "b", "c"})
        self.stub.replica_lag = 1
        watches = await self.list_watches_of_changes("d", "e")
        self.assertFalse(any("allowStale" in call for call in watches))
        self.stub.replica_lag = 0
        watches = await self.list_watches_of_changes("f", "g", "h")
        self.assertTrue(all("allowStale" in call for call in watches[-2:]))

    async def list_watches_of_changes(self, *names: str) -> list[str]:
        """Makes changes one after the other and returns the watches."""
        before = len(self.stub.calls)
        for name in names:
            await self.stub.put("servers", name, {})
            await skipping_loop.wait_until(
                lambda n=name: n in self.views[-1][0]
            )
        watches = [c for c in self.stub.calls[before:] if "watch=" in c]
        self.assertTrue(watches)
        return watches

    async def test_older_version_of_a_replica_is_ignored(self) -> None:
        """Changes that were read before would be applied a second time."""
        await self.stub.put("servers", "b", {})
        await self.wait_for({"a", "b"})
        self.stub.reported_lag = 3
        await self.stub.put("servers", "c", {})
        await self.wait_for({"a", "b", "c"})
        await self.stub.put("servers", "d", {})
        await self.wait_for({"a", "b", "c", "d"})
        since = [
            int(parse.parse_qs(call.partition("?")[2])["watch"][0])
            for call in self.stub.calls
            if "watch=" in call
        ]
        self.assertEqual(since, sorted(since))

    async def test_objects_are_listed_after_lost_history(self) -> None:
        await self.stub.put("servers", "b", {})
        await self.wait_for({"a", "b"})
        # The watcher is in its coalescing delay, so it misses this change.
        await self.stub.put("servers", "c", {})
        self.stub.drop_history()
        await self.wait_for_error("platform_history_lost")
        await self.wait_for({"a", "b", "c"})
        self.assertIn(({"a", "b", "c"}, True), self.views)

    async def test_rejecting_store_gets_one_call_at_a_time(self) -> None:
        """All watchers of a node called a store that rejected every call."""
        self.stub.rejection_status = 503
        await self.stub.remove("servers", "a")
        await self.wait_for_error("platform_unavailable")
        others = [
            watchers.KindWatcher(
                self.reader,
                kind,
                lambda view, gap: None,
                self.counters,
                self.retry_gate,
                watchers.WatchTiming(),
            )
            for kind in ("config", "rollouts")
        ]
        for other in others:
            self.addCleanup(asyncio.create_task(other.run()).cancel)
        before = len(self.stub.calls)
        await asyncio.sleep(1.5)
        # An uncoordinated watcher calls about every 0.45 s.
        rejected = self.stub.calls[before:]
        self.assertLessEqual(len(rejected), 6)
        before = len(self.stub.calls)
        await asyncio.sleep(3.0)
        # 78 nodes made 1,600 rejected calls in two outages.
        self.assertLessEqual(len(self.stub.calls) - before, 6)
        # Rejected calls are counted too, so that probes are cheap reads.
        self.assertTrue(all("allowStale" in call for call in rejected))
        self.stub.rejection_status = 0
        await skipping_loop.wait_until(lambda: (set(), True) in self.views)
        for kind in ("config", "rollouts"):
            await skipping_loop.wait_until(
                lambda k=kind: any(
                    f"/{k}?watch" in call for call in self.stub.calls
                )
            )

    async def test_watcher_without_failure_lists_after_outage(self) -> None:
        """Its pending watch would have blocked the lists of the others."""
        await self.stub.put("servers", "b", {})
        await self.wait_for({"a", "b"})
        self.stub.rejection_status = 503
        with self.assertRaises(objects.PlatformUnavailableError):
            await self.retry_gate.call(lambda: self.store.probe("config"))
        self.stub.rejection_status = 0
        before = len(self.views)
        await skipping_loop.wait_until(lambda: len(self.views) > before)
        self.assertEqual(self.views[-1], ({"a", "b"}, True))
        self.assertFalse(self.retry_gate.is_unavailable)

    def test_watch_timing_meets_the_limits(self) -> None:
        """A silent store is detected, and objects listed, within the limit."""
        for notice_s in (3.0, 4.0, 5.0, 7.0):
            timing = watchers.WatchTiming(notice_s)
            interval_s = freshness.find_check_interval_s(notice_s)
            self.assertLessEqual(interval_s + 1.0 + 0.4, notice_s)
            self.assertLess(timing.coalescing_delay_s, 1.0)
            # One retry, and a list after it, fit into the limit.
            self.assertLess(timing.max_retry_delay_s + 1.4, notice_s)

    async def test_objects_are_listed_after_store_recovers(self) -> None:
        self.stub.rejection_status = 503
        # Completes the pending watch; the next one is rejected.
        await self.stub.remove("servers", "a")
        await self.wait_for_error("platform_unavailable")
        self.stub.rejection_status = 0
        await skipping_loop.wait_until(lambda: (set(), True) in self.views)
