"""Tests of the lease, the decisions and the driver of rollouts."""

import dataclasses
import unittest
from collections.abc import Iterable

from dragonflydyke import errors, metrics
from dragonflydyke.configuration import model
from dragonflydyke.emulator import store
from dragonflydyke.rollouts import counts, decisions, driver, lease, orders
from dragonflydyke.rollouts import model as rollout_model
from tests.builders import documents, objects, virtual_loop

_STOP = model.StopCondition(min_samples=20, min_rating=0.8, max_error_share=0.1)
_ROLL_OUT = model.Rollout(
    name="planner-v2",
    model="planner-small",
    from_version="v1",
    to_version="v2",
    steps=(model.RolloutStep(0.05, 60.0), model.RolloutStep(0.5, 60.0)),
    stop=_STOP,
)
_GOOD = decisions.VersionSample(
    requests=100, failures=1, ratings=50, rating_sum=45.0
)
_BAD = decisions.VersionSample(
    requests=100, failures=1, ratings=50, rating_sum=20.0
)


def _running(step: int = 0, since_ms: int = 0) -> rollout_model.RolloutState:
    return rollout_model.RolloutState(
        name=_ROLL_OUT.name,
        phase=rollout_model.RolloutPhase.RUNNING,
        step=step,
        since_ms=since_ms,
        decided_by="vm-1",
        fencing=1,
    )


class DecideTest(unittest.TestCase):
    """Guards against rollouts that advance too early or stop too late."""

    def test_step_lasts_for_its_minimum_duration(self) -> None:
        # Guards against exposure that grows before faults can show.
        self.assertIsNone(
            decisions.decide_next_state(_ROLL_OUT, _running(), _GOOD, 59_000)
        )
        decided = decisions.decide_next_state(
            _ROLL_OUT, _running(), _GOOD, 60_000
        )
        self.assertEqual(decided.step, 1)

    def test_step_does_not_advance_without_ratings(self) -> None:
        # Guards against rollouts that advance while the rating service is
        # unavailable.
        sample = decisions.VersionSample(requests=100)
        self.assertIsNone(
            decisions.decide_next_state(_ROLL_OUT, _running(), sample, 600_000)
        )

    def test_stops_on_low_ratings_and_on_errors(self) -> None:
        # Guards against a bad version that stays exposed, and against stops
        # without a reason.
        failing = decisions.VersionSample(requests=20, failures=3)
        for sample in (_BAD, failing):
            with self.subTest(sample=sample):
                decided = decisions.decide_next_state(
                    _ROLL_OUT, _running(), sample, 1
                )
                self.assertIs(decided.phase, rollout_model.RolloutPhase.STOPPED)
                self.assertTrue(decided.reason)

    def test_many_good_samples_do_not_hide_a_bad_version(self) -> None:
        """Regression test: a suspended rollout neither stopped nor advanced.

        The router suspended exposure by its newest samples, but the decision
        used the sums since the start, in which many good samples hid them.
        """
        version = _ROLL_OUT.to_version
        for is_failing in (False, True):
            local_counts = counts.VersionCounts()
            for _ in range(1_000):
                local_counts.record_request(
                    _ROLL_OUT.name, version, failed=False
                )
                local_counts.record_rating(_ROLL_OUT.name, version, 0.9)
            self.assertFalse(local_counts.is_suspended(_ROLL_OUT))
            for _ in range(_STOP.min_samples):
                if is_failing:
                    local_counts.record_request(
                        _ROLL_OUT.name, version, failed=True
                    )
                else:
                    local_counts.record_rating(_ROLL_OUT.name, version, 0.1)
            self.assertTrue(local_counts.is_suspended(_ROLL_OUT))
            self.assertTrue(
                local_counts.get_count(_ROLL_OUT.name, version).restrained
            )
            # Later good samples, of existing sessions, do not end the
            # suspension.
            for _ in range(_STOP.min_samples):
                local_counts.record_request(
                    _ROLL_OUT.name, version, failed=False
                )
                local_counts.record_rating(_ROLL_OUT.name, version, 0.9)
            self.assertTrue(local_counts.is_suspended(_ROLL_OUT))
        sample = dataclasses.replace(_GOOD, suspended_routers=1)
        decided = decisions.decide_next_state(_ROLL_OUT, _running(), sample, 1)
        self.assertIs(decided.phase, rollout_model.RolloutPhase.STOPPED)

    def test_finishes_after_the_last_step(self) -> None:
        # Guards against rollouts that stay at their last step.
        decided = decisions.decide_next_state(
            _ROLL_OUT, _running(1), _GOOD, 60_000
        )
        self.assertIs(decided.phase, rollout_model.RolloutPhase.FINISHED)

    def test_final_phases_do_not_change(self) -> None:
        # Guards against decisions on a rollout that is stopped or finished.
        for phase in (
            rollout_model.RolloutPhase.STOPPED,
            rollout_model.RolloutPhase.FINISHED,
        ):
            state = dataclasses.replace(_running(), phase=phase)
            self.assertIsNone(
                decisions.decide_next_state(_ROLL_OUT, state, _BAD, 600_000)
            )


class PlanOrdersTest(unittest.TestCase):
    """Guards against orders that do harm when they arrive late."""

    def test_unloads_only_withdrawn_versions(self) -> None:
        # Guards against unloading a version that is still in use, or one that
        # the configuration does not list.
        versions = (
            documents.build_version("v1"),
            documents.build_version("v0", model.VersionState.WITHDRAWN),
        )
        server = documents.build_engine(
            serves=("planner-small@v1", "planner-small@v0")
        )
        document = documents.build_document(
            models=(model.Model("planner-small", versions),),
            backend_servers=(server,),
        )
        planned = orders.plan_orders(
            document, server, ("planner-small@v0", "other@v7")
        )
        self.assertEqual(
            planned,
            (
                orders.Order(server, orders.OrderKind.LOAD, "planner-small@v1"),
                orders.Order(
                    server, orders.OrderKind.UNLOAD, "planner-small@v0"
                ),
            ),
        )


class LeaseTest(virtual_loop.VirtualTimeTestCase):
    """Guards against two lease holders that act at the same time."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.objects = objects.InMemoryObjectStore()
        self.counters = metrics.Counters()
        self.first = self._build("vm-1")
        self.second = self._build("vm-2")

    def _build(self, holder: str) -> lease.Lease:
        return lease.Lease("rollout", holder, self.objects, self.counters)

    async def test_paused_holder_finds_its_lease_expired(self) -> None:
        # Guards against a lease holder that continues after a pause, while
        # another node has taken the lease over.
        self.assertTrue(await self.first.maintain())
        self.assertFalse(await self.second.maintain())
        await self.loop.advance(lease.DURATION_S)
        self.assertFalse(self.first.is_valid())
        self.assertTrue(await self.second.maintain())
        self.assertEqual(self.second.fencing_token, 2)
        self.assertFalse(await self.first.maintain())
        with self.assertRaises(errors.DragonflydykeError):
            _ = self.first.fencing_token

    async def test_never_two_valid_holders(self) -> None:
        # Guards against a takeover before the previous holder's lease expires.
        await self.first.maintain()
        for _ in range(60):
            await self.second.maintain()
            self.assertFalse(self.first.is_valid() and self.second.is_valid())
            await self.loop.advance(0.5)
        self.assertTrue(self.second.is_valid())

    async def test_lost_response_to_a_renewal_keeps_the_lease(self) -> None:
        # Guards against giving up a lease whose renewal was stored, but whose
        # response was lost.
        await self.first.maintain()
        self.objects.responses_to_lose = 1
        self.assertTrue(await self.first.maintain())

    async def test_lease_expires_during_a_platform_outage(self) -> None:
        # Guards against a lease that stays valid without renewals.
        await self.first.maintain()
        self.objects.available = False
        await self.loop.advance(lease.DURATION_S - lease.MARGIN_S - 0.1)
        self.assertTrue(await self.first.maintain())
        await self.loop.advance(0.2)
        self.assertFalse(await self.first.maintain())

    async def test_released_lease_is_taken_at_once(self) -> None:
        # Guards against waiting for the expiry of a released lease.
        await self.first.maintain()
        await self.first.release()
        self.assertTrue(await self.second.maintain())

    async def test_fencing_tokens_rise_after_a_restore(self) -> None:
        # Guards against engines that reject every order of the new holder, or
        # execute one of an earlier holder.
        copy = self.objects.store.take_copy()
        await self.first.maintain()
        await self.second.maintain()
        await self.loop.advance(lease.DURATION_S)
        await self.second.maintain()
        token = self.second.fencing_token
        self.objects.store.restore(copy)
        third = self._build("vm-3")
        for _ in range(30):
            if await third.maintain():
                break
            await self.loop.advance(0.5)
        self.assertGreater(third.fencing_token, token)

    async def test_never_two_valid_holders_after_a_restore(self) -> None:
        # Guards against a lease that is created anew while the holder of the
        # lost one is still valid, and against the renewal of a lost lease.
        for has_copy in (False, True):
            self.objects.store = store.MemoryStore()
            self.first = self._build("vm-1")
            self.second = self._build("vm-2")
            copy = self.objects.store.take_copy()
            await self.first.maintain()
            await self.second.maintain()
            if has_copy:
                copy = self.objects.store.take_copy()
                await self.first.maintain()
            tokens = {self.first.fencing_token}
            self.objects.store.restore(copy)
            for step in range(60):
                await self.second.maintain()
                if step % 3 == 2:
                    await self.first.maintain()
                held = [
                    node.fencing_token
                    for node in (self.first, self.second)
                    if node.is_valid()
                ]
                self.assertLessEqual(len(held), 1)
                tokens.update(held)
                await self.loop.advance(0.5)
            self.assertEqual(len(tokens), 2)

    async def test_renewal_under_a_repeated_revision_ends_the_lease(
        self,
    ) -> None:
        # Guards against a holder that keeps its token although the platform
        # was restored, as the revision of its condition was issued again.
        await self.first.maintain()
        copy = self.objects.store.take_copy()
        self.objects.store.restore(copy)
        self.objects.ignores_eras = True
        self.assertFalse(await self.first.maintain())


class _View:
    def __init__(self, document: model.Document) -> None:
        self.configuration = document
        self.current = _GOOD
        self.known: rollout_model.RolloutState | None = None

    def document(self) -> model.Document:
        return self.configuration

    def sample(self, roll_out: str, version: str) -> decisions.VersionSample:
        del roll_out, version
        return self.current

    def find_known_state(self, roll_out: str) -> rollout_model.RolloutState:
        del roll_out
        return self.known


class _Engines:
    def __init__(self) -> None:
        self.checked: list[str] = []
        self.sent: list[tuple[str, int]] = []

    async def read_loaded(self, server: model.BackendServer) -> Iterable[str]:
        self.checked.append(server.name)
        return ()

    async def send_order(self, order: orders.Order, fencing: int) -> None:
        self.sent.append((order.version, fencing))


class RolloutDriverTest(virtual_loop.VirtualTimeTestCase):
    """Guards against rollouts that are left unfinished or decided twice."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.objects = objects.InMemoryObjectStore()
        self.view = _View(documents.build_document(roll_outs=(_ROLL_OUT,)))
        self.engines = _Engines()

    def _build(self, vm: str) -> driver.RolloutDriver:
        counters = metrics.Counters()
        rollout_lease = lease.Lease("rollout", vm, self.objects, counters)
        return driver.RolloutDriver(
            vm, rollout_lease, self.objects, self.view, self.engines, counters
        )

    def _state(self) -> rollout_model.RolloutState:
        stored = self.objects.store.get("control", "rollout.planner-v2")
        return rollout_model.parse_state("planner-v2", stored.value)

    async def test_another_driver_stops_what_the_first_started(self) -> None:
        # Guards against rollouts that stay running after the loss of the lease
        # holder.
        await self._build("vm-1").run_round()
        second = self._build("vm-2")
        await second.run_round()
        await self.loop.advance(lease.DURATION_S)
        self.view.current = _BAD
        await second.run_round()
        state = self._state()
        self.assertIs(state.phase, rollout_model.RolloutPhase.STOPPED)
        self.assertEqual((state.decided_by, state.fencing), ("vm-2", 2))

    async def test_stopped_rollout_that_a_restore_lost_is_not_started(
        self,
    ) -> None:
        """Routers write the lost state again within seconds."""
        self.view.known = dataclasses.replace(
            _running(), phase=rollout_model.RolloutPhase.STOPPED
        )
        first = self._build("vm-1")
        await first.run_round()
        self.assertIsNone(
            self.objects.store.get("control", "rollout.planner-v2")
        )
        self.view.known = None
        await first.run_round()
        self.assertIs(self._state().phase, rollout_model.RolloutPhase.RUNNING)

    async def test_malformed_state_stops_no_other_rollout(self) -> None:
        # Guards against a stored state that ends the work of the lease holder
        # for all rollouts and engines.
        other = dataclasses.replace(_ROLL_OUT, name="other")
        self.view.configuration = documents.build_document(
            roll_outs=(other, _ROLL_OUT)
        )
        without_step = _running().to_mapping() | {"step": None}
        for value in ({}, [], {"state": "paused"}, without_step):
            with self.subTest(value=value):
                self.objects = objects.InMemoryObjectStore()
                self.engines = _Engines()
                await self.objects.create("control", "rollout.other", value)
                started = self._build("vm-1")
                started.start()
                await self.loop.advance(2.0 * driver.ROUND_INTERVAL_S)
                self.assertIs(
                    self._state().phase, rollout_model.RolloutPhase.RUNNING
                )
                self.assertNotEqual(self.engines.sent, [])
                await started.stop()

    async def test_unexpected_error_does_not_end_the_rounds(self) -> None:
        # Guards against rollouts that stand still until the router restarts.
        started = self._build("vm-1")
        configuration, self.view.configuration = self.view.configuration, 0
        started.start()
        await self.loop.advance(driver.ROUND_INTERVAL_S)
        self.view.configuration = configuration
        await self.loop.advance(2.0 * driver.ROUND_INTERVAL_S)
        self.assertIs(self._state().phase, rollout_model.RolloutPhase.RUNNING)
        await started.stop()

    async def test_changed_engines_are_ordered_first(self) -> None:
        """Guards against overload, and delayed changes, with many engines."""
        servers = [documents.build_engine(f"engine-{i}") for i in range(40)]
        self.view.configuration = documents.build_document(
            backend_servers=tuple(servers)
        )
        first = self._build("vm-1")
        for _ in range(10):
            before = len(self.engines.checked)
            await first.run_round()
            self.assertLessEqual(len(self.engines.checked) - before, 4)
            await self.loop.advance(1.0)
        self.assertEqual({s.name for s in servers}, set(self.engines.checked))
        servers[30] = documents.build_engine(
            "engine-30", serves=("planner-large@v1",)
        )
        self.view.configuration = documents.build_document(
            backend_servers=tuple(servers)
        )
        del self.engines.checked[:]
        await first.run_round()
        self.assertEqual("engine-30", self.engines.checked[0])

    async def test_orders_carry_the_fencing_token(self) -> None:
        # Guards against orders that an engine cannot recognise as stale.
        await self._build("vm-1").run_round()
        self.assertIn(("planner-small@v1", 1), self.engines.sent)
