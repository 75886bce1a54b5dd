"""Tests of the limit on the age of what a node knows of the store."""

import asyncio

from dragonflydyke.objects import watchers
from tests.builders import skipping_loop, store, watched_kinds

# The smallest limits of the deployments: a configuration, and a server that
# drains, take effect within this time.
_MAX_AGE_S = 2.0
_TIMING = watchers.WatchTiming(3.0)
# The state of a test moves within this time, by the clock of its loop.
_STEP_S = 0.1
# Reads the version of the store, at the start of a check.
_CHECK_CALL = "GET /api/objects/rollouts"


class WatchedStoreTestCase(store.StoreTestCase):
    """Test case with the watchers of a node whose replicas are current."""

    async def asyncSetUp(self) -> None:
        """Starts the watchers and makes a change that the replicas show."""
        await super().asyncSetUp()
        self.watched = watched_kinds.WatchedKinds(
            self.store,
            self.counters,
            _TIMING,
            _MAX_AGE_S,
        )
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "first", {})
        self.watched.start(self.addCleanup)
        await skipping_loop.wait_until(
            lambda: len(self.watched.names) == len(watched_kinds.KINDS)
        )
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "second", {})
            await self.wait_for(kind, {"first", "second"})
        await self.pass_time(_STEP_S)

    async def wait_for(self, kind: str, names: set[str]) -> None:
        """Waits until a kind has these names, and its next watch has begun."""
        await skipping_loop.wait_until(
            lambda: self.watched.names[kind] == names
        )
        self.loop.skip(_TIMING.coalescing_delay_s)
        await skipping_loop.wait_until(
            lambda: self.stub.open_watches >= len(watched_kinds.KINDS)
        )

    async def pass_time(
        self, seconds: float, pause_s: float = _STEP_S / 10
    ) -> None:
        """Advances the clock; see `SkippingTestCase`."""
        await super().pass_time(seconds, pause_s)

    async def check_changes_take_effect(self) -> None:
        """Checks that a change of each kind takes effect within the limit."""
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "third", {})
            await self.stub.remove(kind, "first")
        await self.pass_time(_MAX_AGE_S - 2 * _STEP_S)
        for kind in watched_kinds.KINDS:
            with self.subTest(kind):
                self.assertEqual(self.watched.names[kind], {"second", "third"})


class LaggingReplicaTest(WatchedStoreTestCase):
    """Guards against replicas that withhold changes once they were current.

    A configuration, a draining server and an order of a rollout were hidden
    from all nodes for as long as the replicas lagged.
    """

    async def test_change_beside_lagging_replicas_takes_effect(self) -> None:
        self.stub.stuck_revision = self.stub.revision
        await self.check_changes_take_effect()

    async def test_replicas_are_used_again_once_they_are_current(self) -> None:
        """Linearizable watches cost ten times as much."""
        self.stub.stuck_revision = self.stub.revision
        await self.check_changes_take_effect()
        self.stub.stuck_revision = None
        for name in ("fourth", "fifth", "sixth"):
            await self.stub.put("config", name, {})
            await self.pass_time(_MAX_AGE_S)
        self.stub.calls.clear()
        await self.stub.put("config", "seventh", {})
        await self.pass_time(_STEP_S)
        watches = [
            call
            for call in self.stub.calls
            if "config?watch" in call and "waitMs=0" not in call
        ]
        self.assertFalse([c for c in watches if "allowStale" not in c])

    async def test_age_grows_until_it_is_proved(self) -> None:
        """A response of a replica does not prove that nothing has changed."""
        watcher = self.watched.watchers["config"]
        self.stub.stuck_revision = self.stub.revision
        self.stub.rejection_status = 503
        confirmed_s = watcher.confirmed_s
        await self.pass_time(_MAX_AGE_S)
        self.assertEqual(watcher.confirmed_s, confirmed_s)
        self.stub.rejection_status = 0
        await self.pass_time(_MAX_AGE_S)
        self.assertNotEqual(watcher.confirmed_s, confirmed_s)


class FailingListenerTest(WatchedStoreTestCase):
    """Guards against changes that count as known although nobody has them."""

    async def test_kind_is_listed_again_after_an_error(self) -> None:
        watcher = self.watched.watchers["servers"]
        listen = watcher._listener
        failures = iter((True,))

        def fail_once(snapshot: watchers.KindSnapshot, gap: bool) -> None:
            if next(failures, False):
                raise ValueError("unexpected")
            listen(snapshot, gap)

        watcher._listener = fail_once
        self.stub.silence_watches("servers")
        await self.stub.put("servers", "third", {})
        with self.assertRaises(ValueError):
            await self.watched.monitor.check()
        names = {"first", "second", "third"}
        async with asyncio.timeout(_MAX_AGE_S):
            await skipping_loop.wait_until(
                lambda: self.watched.names["servers"] == names
            )


class UnchangedStoreTest(WatchedStoreTestCase):
    """Guards against checks that cost more than they need to."""

    async def test_check_without_changes_is_one_call(self) -> None:
        await self.pass_time(2 * _MAX_AGE_S)
        self.stub.calls.clear()
        await self.watched.monitor.check()
        self.assertEqual(self.stub.calls, [_CHECK_CALL])

    async def test_change_that_a_watch_delivers_is_not_read_again(self) -> None:
        await self.pass_time(2 * _MAX_AGE_S)
        await self.stub.put("config", "third", {})
        await self.wait_for("config", {"first", "second", "third"})
        self.stub.calls.clear()
        await self.watched.monitor.check()
        self.assertFalse([c for c in self.stub.calls if "config" in c])


class SuspendedProcessTest(WatchedStoreTestCase):
    """Guards against requests served on what was known before a suspension.

    The timers of a process that continues and the requests in its sockets are
    due at the same moment.
    """

    async def change_while_suspended(self) -> None:
        """Makes changes that no watch delivers, and advances the clock."""
        self.stub.silence_watches(*watched_kinds.KINDS)
        for kind in watched_kinds.KINDS:
            await self.stub.put(kind, "third", {})
        self.loop.skip(3 * _MAX_AGE_S)

    async def test_changes_are_known_before_the_next_use(self) -> None:
        await self.change_while_suspended()
        self.assertNotIn("third", self.watched.names["servers"])
        await self.watched.monitor.refresh_if_overdue()
        for kind in watched_kinds.KINDS:
            self.assertIn("third", self.watched.names[kind])

    async def test_all_uses_wait_for_the_same_check(self) -> None:
        await self.change_while_suspended()
        self.stub.calls.clear()
        # The timers of the monitor itself run first.
        await asyncio.sleep(0)
        await asyncio.gather(
            *(self.watched.monitor.refresh_if_overdue() for _ in range(10))
        )
        for kind in watched_kinds.KINDS:
            self.assertIn("third", self.watched.names[kind])
        reads = [c for c in self.stub.calls if c == _CHECK_CALL]
        self.assertLessEqual(len(reads), 2)

    async def test_store_that_is_away_delays_a_use_briefly(self) -> None:
        self.stub.rejection_status = 503
        self.loop.skip(3 * _MAX_AGE_S)
        started_s = self.loop.time()
        await self.watched.monitor.refresh_if_overdue()
        self.assertLess(self.loop.time() - started_s, _MAX_AGE_S / 5)

    async def test_running_process_does_not_wait(self) -> None:
        for _ in range(30):
            await self.pass_time(_STEP_S)
            self.stub.calls.clear()
            await self.watched.monitor.refresh_if_overdue()
            self.assertNotIn(_CHECK_CALL, self.stub.calls)


class LostResponseTest(WatchedStoreTestCase):
    """Guards against changes whose response to a watch was lost.

    An order of a rollout was unknown to all nodes for up to 16 s. The
    connection of the watch is sound, so that no probe shows the loss.
    """

    async def test_change_in_a_lost_response_takes_effect(self) -> None:
        for kind in watched_kinds.KINDS:
            with self.subTest(kind):
                self.stub.silence_watches(kind)
                await self.stub.put(kind, "third", {})
                await self.pass_time(_MAX_AGE_S - 2 * _STEP_S)
                names = self.watched.names[kind]
                self.assertEqual(names, {"first", "second", "third"})

    async def test_watch_is_open_again_after_a_lost_response(self) -> None:
        """Later changes would otherwise arrive late, too."""
        self.stub.silence_watches("rollouts")
        await self.stub.put("rollouts", "third", {})
        await self.pass_time(2 * _MAX_AGE_S)
        await self.stub.remove("rollouts", "first")
        await asyncio.sleep(_STEP_S)
        names = self.watched.names["rollouts"]
        self.assertEqual(names, {"second", "third"})

    async def test_response_that_was_overtaken_is_ignored(self) -> None:
        """An object that was removed meanwhile would return."""
        watcher = self.watched.watchers["servers"]
        since = watcher.version
        assert since is not None
        await self.stub.put("servers", "third", {})
        late = await self.watched.reader.read_changes("servers", since, since)
        await self.stub.remove("servers", "third")
        await self.pass_time(_MAX_AGE_S)
        watcher._apply(late, since)
        self.assertEqual(self.watched.names["servers"], {"first", "second"})
