"""Tests of reads of the store whose responses take long to arrive."""

import asyncio

from dragonflydyke.objects import model, watchers
from tests.builders import skipping_loop, store, watched_kinds

_MAX_AGE_S = 3.0
# A large configuration over a narrow link: more time than a call may take, with
# progress all the while.
_SLOW = store.Transfer(pieces=8, pause_s=0.25)
# Real time that a step of the clock leaves to the calls.
_PAUSE_S = 0.01


class SlowTransferTest(store.StoreTestCase):
    """Guards against a slow transfer that counts as a store that is away.

    The nodes with the narrowest links never took a configuration whose transfer
    took longer than a call may last, and listed all kinds again and again.
    """

    async def start_watches(self) -> watched_kinds.WatchedKinds:
        """Returns the watches of all kinds, which wait for a change."""
        watched = watched_kinds.WatchedKinds(
            self.store,
            self.counters,
            watchers.WatchTiming(_MAX_AGE_S),
            _MAX_AGE_S,
        )
        for kind in watched.watchers:
            await self.stub.put(kind, "first", {})
        watched.start(self.addCleanup)
        await skipping_loop.wait_until(lambda: self.stub.open_watches == 4)
        return watched

    async def test_long_list_with_progress_is_read(self) -> None:
        await self.stub.put("config", "main", {"version": 7})
        self.stub.transfers["config"] = _SLOW
        reading = asyncio.ensure_future(
            self.store.list_all(
                "config", consistency=model.ReadConsistency.LINEARIZABLE
            )
        )
        await self.pass_time(2.5, _PAUSE_S)
        listed = await reading
        self.assertEqual([entry.name for entry in listed.objects], ["main"])

    async def test_transfer_without_progress_fails_in_time(self) -> None:
        await self.stub.put("config", "main", {"version": 7})
        self.stub.transfers["config"] = store.Transfer(
            pieces=8, pause_s=0.25, stops_after=2
        )
        reading = asyncio.ensure_future(
            self.store.list_all(
                "config", consistency=model.ReadConsistency.LINEARIZABLE
            )
        )
        await self.pass_time(1.9, _PAUSE_S)
        with self.assertRaises(model.PlatformUnavailableError):
            await asyncio.wait_for(reading, 0.5)

    async def test_change_that_is_arriving_is_not_read_again(self) -> None:
        watched = await self.start_watches()
        self.stub.transfers["config"] = _SLOW
        await self.stub.put("config", "second", {})
        self.stub.calls.clear()
        await self.pass_time(_MAX_AGE_S, _PAUSE_S)
        self.assertIn("second", watched.names["config"])
        repeated = [
            call
            for call in self.stub.calls
            if "/config?" in call and "waitMs=0" in call
        ]
        self.assertEqual(repeated, [])

    async def test_response_that_begins_after_it_was_given_up(self) -> None:
        watched = await self.start_watches()
        watcher = watched.watchers["config"]
        self.stub.transfers["config"] = store.Transfer(
            pieces=2, pause_s=0.6, stops_after=1
        )
        await self.stub.put("config", "second", {})
        # The body begins after 0.6 s.
        with self.assertRaises(model.PlatformUnavailableError):
            self.stub.rejection_status = 503
            await watched.retry_gate.call(watched.reader.read_version)
        self.stub.rejection_status = 0
        self.stub.transfers.clear()
        await self.pass_time(1.0, _PAUSE_S)
        self.assertTrue(
            await asyncio.wait_for(
                watcher.catch_up(self.stub.revision, self.loop.time()), 1.0
            )
        )

    async def test_slow_kind_does_not_hide_changes_of_the_others(self) -> None:
        """The checks of all kinds waited for a configuration that arrived.

        A change whose watch is silent then became known with the configuration,
        several times later than its limit.
        """
        watched = await self.start_watches()
        self.stub.silence_watches("servers")
        self.stub.transfers["config"] = store.Transfer(pieces=40, pause_s=0.25)
        await self.stub.put("config", "second", {})
        # The check that finds the new configuration runs and waits for it.
        await self.pass_time(2.0, _PAUSE_S)
        await self.stub.put("servers", "second", {})
        await self.pass_time(_MAX_AGE_S, _PAUSE_S)
        self.assertNotIn("second", watched.names["config"])
        self.assertIn("second", watched.names["servers"])
        await self.pass_time(9.0, _PAUSE_S)
        self.assertIn("second", watched.names["config"])

    async def test_change_arrives_over_a_narrow_link(self) -> None:
        watched = await self.start_watches()
        self.stub.transfers["config"] = _SLOW
        await self.stub.put("config", "second", {})
        await self.pass_time(_MAX_AGE_S, _PAUSE_S)
        self.assertIn("second", watched.names["config"])
        totals = self.counters.totals()
        self.assertNotIn("watch.servers.platform_unavailable", totals)
