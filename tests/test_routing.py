"""Tests of the selection of versions and backend servers."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies

from dragonflydyke import errors, metrics, routing
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import counts
from dragonflydyke.rollouts import model as rollouts
from dragonflydyke.routing import outliers, servers
from dragonflydyke.sessions import model as sessions
from tests.builders import (
    documents,
    gateway,
    memory_growth,
    virtual_loop,
)

STOP = model.StopCondition(min_samples=4, min_rating=0.5, max_error_share=0.3)
STEPS = (model.RolloutStep(0.05, 60.0), model.RolloutStep(0.5, 60.0))
ROLL_OUT = model.Rollout("r", "planner-small", "v1", "v2", STEPS, STOP)
STATES = strategies.sampled_from(list(model.VersionState))
PHASES = strategies.sampled_from([None, *rollouts.RolloutPhase])
REQUESTS = 4_000


def build_in_force(
    phase: rollouts.RolloutPhase | None,
    step: int = 0,
    states: tuple[model.VersionState, ...] = (model.VersionState.ACTIVE,) * 2,
    allowed: tuple[str, ...] = (),
) -> gateway.FixedInForce:
    """Returns a configuration with a rollout of `planner-small` v1 to v2."""
    versions = tuple(
        documents.build_version(f"v{i + 1}", state, quality=0.9)
        for i, state in enumerate(states)
    )
    large = model.Model(
        "planner-large",
        (documents.build_version(completion_price=8_000_000, quality=0.98),),
    )
    document = documents.build_document(
        models=(model.Model("planner-small", versions), large),
        roll_outs=(ROLL_OUT,),
    )
    accounts = [
        dataclasses.replace(account, versions=allowed)
        for account in document.client_accounts
    ]
    document = dataclasses.replace(document, client_accounts=tuple(accounts))
    decided = {}
    if phase is not None:
        decided["r"] = rollouts.RolloutState("r", phase, step, 0, "vm", 1)
    return gateway.FixedInForce(document, roll_outs=decided)


def plan(
    in_force: gateway.FixedInForce,
    name: str = "planner-small",
    request_id: str = "id",
    session: sessions.Session | None = None,
    suspension: counts.VersionCounts | None = None,
    request_class: str = "line_question",
) -> routing.Plan:
    """Plans a request of the first client account."""
    return routing.plan(
        in_force,
        in_force.document.client_accounts[0],
        name,
        in_force.document.request_class(request_class),
        session,
        request_id,
        suspension=suspension,
    )


class PlanTest(virtual_loop.VirtualTimeTestCase):
    """Guards against requests that are sent to the wrong version."""

    @hypothesis.given(
        phase=PHASES,
        states=strategies.tuples(STATES, STATES, STATES),
        allowed=strategies.sets(
            strategies.sampled_from(
                ["planner-small@v1", "planner-small@v2", "planner-large@v1"]
            )
        ),
        name=strategies.sampled_from(
            ["planner-small", "planner-small@v2", "planning", "planner-large"]
        ),
        in_session=strategies.booleans(),
        request_id=strategies.text(max_size=8),
    )
    def test_only_allowed_versions(
        self, phase, states, allowed, name, in_session, request_id
    ) -> None:
        # Guards against a version that the client account, the state of the
        # version or the rollout does not allow.
        in_force = build_in_force(phase, 0, states, tuple(allowed))
        account = in_force.document.client_accounts[0]
        session = None
        if in_session:
            session = sessions.Session(
                account.name, "s", "planner-small", "v2", 0
            )
        try:
            result = plan(in_force, name, request_id, session)
        except errors.DragonflydykeError as error:
            self.assertIs(error.execution, errors.Execution.NOT_RUN)
            return
        for stage in result.stages:
            if allowed:
                self.assertIn(stage.full_name, allowed)
            state = stage.version.state
            if in_session:
                self.assertIsNot(state, model.VersionState.WITHDRAWN)
                self.assertEqual(stage.full_name, "planner-small@v2")
                continue
            self.assertIs(state, model.VersionState.ACTIVE)
            if stage.full_name == "planner-small@v2":
                self.assertNotIn(phase, (None, rollouts.RolloutPhase.STOPPED))

    def measure_new_share(self, in_force, suspension=None) -> float:
        new = 0
        for i in range(REQUESTS):
            result = plan(in_force, request_id=str(i), suspension=suspension)
            new += result.stages[0].version.name == "v2"
        return new / REQUESTS

    def test_exposure_shares(self) -> None:
        # Guards against a share of new work that is not the one of the step.
        phases = rollouts.RolloutPhase
        for phase, step, share in (
            (None, 0, 0.0),
            (phases.RUNNING, 0, 0.05),
            (phases.RUNNING, 1, 0.5),
            (phases.RUNNING, 7, 0.0),
            (phases.STOPPED, 1, 0.0),
            (phases.FINISHED, 1, 1.0),
        ):
            with self.subTest(phase=phase, step=step):
                measured = self.measure_new_share(build_in_force(phase, step))
                # 5 standard deviations of 4,000 draws are below 0.04.
                self.assertAlmostEqual(measured, share, delta=0.04)
                if share in (0.0, 1.0):
                    self.assertEqual(measured, share)

    def test_local_suspension(self) -> None:
        # Guards against exposure to a version that fails at this node before
        # the driver has decided to stop the rollout.
        local_counts = counts.VersionCounts()
        for failed in (True, True, False, False):
            local_counts.record_request("r", "v2", failed=failed)
        in_force = build_in_force(rollouts.RolloutPhase.RUNNING, 1)
        self.assertEqual(self.measure_new_share(in_force, local_counts), 0.0)

    def test_session_keeps_its_version_in_all_phases(self) -> None:
        # Guards against sessions that change version or model when a rollout
        # advances, stops or finishes.
        pinned = sessions.Session("a", "s", "planner-small", "v2", 0)
        for phase in (None, *rollouts.RolloutPhase):
            result = plan(build_in_force(phase), session=pinned)
            self.assertEqual(result.stages[0].version.name, "v2")
        with self.assertRaises(errors.DragonflydykeError) as caught:
            plan(build_in_force(None), "planner-large", session=pinned)
        self.assertEqual(caught.exception.code, "session_model_mismatch")

    def test_request_for_the_new_version_by_name(self) -> None:
        # Guards against exposure above the share of the step by requests that
        # name the new version.
        in_force = build_in_force(rollouts.RolloutPhase.RUNNING, 1)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            plan(in_force, "planner-small@v2")
        self.assertEqual(caught.exception.code, "version_not_exposed")

    def test_first_stage_reaches_the_target(self) -> None:
        # Guards against cascades that start below the quality target.
        in_force = build_in_force(None)
        names = [s.model for s in plan(in_force, "planning").stages]
        self.assertEqual(names, ["planner-small", "planner-large"])
        costly = plan(in_force, "planning", request_class="survey_draft")
        self.assertEqual([s.model for s in costly.stages], ["planner-large"])

    def test_cheaper_stage_while_its_responses_pass(self) -> None:
        # Guards against paying for both stages when most responses of the
        # cheaper one are rejected, and against its use without a check.
        in_force = build_in_force(None)
        waiting = model.RequestClass(
            "survey_draft", 0.95, 120.0, may_wait_s=60.0
        )
        account = in_force.document.client_accounts[0]

        def first(rates: routing.AcceptanceRates | None) -> str:
            planned = routing.plan(
                in_force, account, "planning", waiting, None, "id", rates=rates
            )
            return planned.stages[0].model

        rates = routing.AcceptanceRates()
        self.assertEqual(first(None), "planner-large")
        self.assertEqual(first(rates), "planner-small")
        for _ in range(100):
            rates.record("survey_draft", "planner-small@v2", False)
            rates.record("survey_draft", "planner-small@v1", False)
        self.assertEqual(first(rates), "planner-large")
        tried = [first(rates) for _ in range(2_000)]
        self.assertIn("planner-small", tried)


class PoolTest(virtual_loop.VirtualTimeTestCase):
    """Guards the selection of backend servers and the limit on retries."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.counters = metrics.Counters()
        self.pool = routing.ServerPool(
            "cartago-a", "entry-1", self.counters, source=random.Random(1)
        )

    def build(self, *data_centres: str) -> tuple[model.BackendServer, ...]:
        engines = tuple(
            dataclasses.replace(
                documents.build_engine(
                    f"engine-{i}", data_centre=name, slots=2
                ),
                vm=f"vm-{i}",
            )
            for i, name in enumerate(data_centres)
        )
        document = documents.build_document(backend_servers=engines)
        in_force = gateway.FixedInForce(document)
        return self.pool.list_candidates(in_force, "planner-small@v1")

    def select_names(self, candidates, exclude=()) -> set[str]:
        selections = [
            self.pool.select_server(candidates, exclude) for _ in range(100)
        ]
        return {
            selection.name for selection in selections if selection is not None
        }

    async def test_local_data_centre_until_full(self) -> None:
        # Guards against remote servers while a local one has capacity.
        candidates = self.build("cartago-a", "cartago-b", "heredia-a")
        self.assertEqual(self.select_names(candidates), {"engine-0"})
        for _ in range(2):
            self.pool.start_attempt(candidates[0])
        self.assertEqual(self.select_names(candidates), {"engine-1"})

    async def test_server_that_said_it_leaves_gets_no_requests(self) -> None:
        candidates = self.build("cartago-a", "cartago-b")
        self.pool.record_statement(candidates[0], leaves=True, pause_s=None)
        self.assertEqual(self.select_names(candidates), {"engine-1"})
        # The configuration does not tell whether it started again.
        await self.loop.advance(61.0, step_s=1.0)
        self.assertEqual(self.select_names(candidates), {"engine-0"})

    async def test_server_that_pauses_gets_no_requests(self) -> None:
        candidates = self.build("cartago-a", "cartago-b")
        self.pool.record_statement(candidates[0], leaves=False, pause_s=4.0)
        self.assertEqual(self.select_names(candidates), {"engine-1"})
        await self.loop.advance(3.9)
        self.assertEqual(self.select_names(candidates), {"engine-1"})
        await self.loop.advance(0.2)
        self.assertEqual(self.select_names(candidates), {"engine-0"})
        for _ in range(4):
            # Requests return one after the other.
            attempt = self.pool.start_attempt(candidates[0])
            attempt.finish(routing.AttemptOutcome.COMPLETED)
        self.assertEqual(self.select_names(candidates), {"engine-1"})
        await self.loop.advance(1.0)
        self.assertEqual(self.select_names(candidates), {"engine-0"})

    async def test_baselines_use_neither_distance_nor_ejection(self) -> None:
        # Guards against baseline strategies that benefit from the features that
        # they are compared with.
        for name in ("random", "round_robin", "least_outstanding"):
            self.pool = routing.ServerPool(
                "cartago-a",
                "entry-1",
                self.counters,
                source=random.Random(1),
                server_choice=name,
            )
            candidates = self.build("cartago-a", "cartago-b", "heredia-a")
            self.assertEqual(len(self.select_names(candidates)), 3)
            for _ in range(outliers._MIN_SAMPLES):
                attempt = self.pool.start_attempt(candidates[0], candidates)
                attempt.finish(routing.AttemptOutcome.FAILED)
            self.assertEqual(len(self.select_names(candidates)), 3)

    async def test_least_outstanding(self) -> None:
        # Guards against a baseline that ignores the load.
        self.pool = routing.ServerPool(
            "cartago-a",
            "entry-1",
            self.counters,
            source=random.Random(1),
            server_choice="least_outstanding",
        )
        candidates = self.build(*["cartago-a"] * 3)
        for server in candidates[:2]:
            self.pool.start_attempt(server)
        self.assertEqual(self.select_names(candidates), {candidates[2].name})

    async def test_excluded_and_leaving_servers(self) -> None:
        # Guards against servers that were tried before or are shutting down.
        candidates = self.build(*["cartago-a"] * 3)
        self.pool.set_leaving_vms(["vm-0"])
        names = self.select_names(candidates, ("engine-1",))
        self.assertEqual(names, {"engine-2"})
        self.pool.set_leaving_vms(["vm-0", "vm-1", "vm-2"])
        self.assertIsNone(self.pool.select_server(candidates))

    async def test_reported_load_decays(self) -> None:
        # Guards against decisions by outdated load reports.
        candidates = self.build("cartago-a", "cartago-a")
        self.pool.record_load_report("engine-0", running=2, waiting=4)
        self.assertEqual(self.select_names(candidates), {"engine-1"})
        await self.loop.advance(60.0, step_s=10.0)
        self.pool.start_attempt(max(candidates, key=lambda server: server.name))
        self.assertEqual(self.select_names(candidates), {"engine-0"})

    async def test_load_reports_follow_the_traffic(self) -> None:
        """Guards against load reports whose cost grows with the servers."""
        engines = [documents.build_engine(f"engine-{i}") for i in range(40)]
        idle = self.pool.select_servers_to_poll(engines, 2)
        self.assertEqual(["engine-0", "engine-1"], [s.name for s in idle])
        for _ in range(4):
            self.pool.select_server(engines[30:33])
        busy = [s.name for s in self.pool.select_servers_to_poll(engines, 2)]
        self.assertEqual(["engine-30", "engine-31", "engine-32"], busy[:3])
        self.assertEqual(6, len(busy))
        self.pool.select_server(engines[30:33])
        again = {s.name for s in self.pool.select_servers_to_poll(engines, 2)}
        self.assertFalse(again & {*busy, "engine-0", "engine-1"})
        await self.loop.advance(2.0)
        third = [s.name for s in self.pool.select_servers_to_poll(engines, 2)]
        self.assertEqual(["engine-30", "engine-31"], third)

    async def test_servers_that_are_gone_use_no_memory(self) -> None:
        # Guards against memory that grows with each server that ever was.
        with memory_growth.measure() as growth:
            for revision in range(2_000):
                engine = documents.build_engine(f"engine-{revision:060}")
                document = documents.build_document(backend_servers=(engine,))
                self.pool.list_candidates(
                    gateway.FixedInForce(document, revision),
                    "planner-small@v1",
                )
                self.pool.select_server([engine])
                self.pool.select_servers_to_poll([engine], 1)
                self.pool.record_load_report(engine.name, 1, 0)
                attempt = self.pool.start_attempt(engine)
                attempt.finish(routing.AttemptOutcome.COMPLETED)
        self.assertLess(growth.size_bytes, 100_000)

    async def test_subset_size_is_limited(self) -> None:
        # Guards against a subset without servers in other data centres, and
        # against nodes that all use the same servers.
        near_data_centres, far_data_centres = (
            ["cartago-a"] * 30,
            ["cartago-b"] * 30,
        )
        subset = self.build(*near_data_centres, *far_data_centres)
        self.assertEqual(len(subset), servers.MAX_SUBSET_SERVERS)
        remote_servers = [s for s in subset if s.data_centre == "cartago-b"]
        self.assertEqual(len(remote_servers), 4)
        self.pool = routing.ServerPool("cartago-a", "entry-2", self.counters)
        self.assertNotEqual(
            self.build(*near_data_centres, *far_data_centres), subset
        )

    async def test_failing_server_is_ejected_and_readmitted(self) -> None:
        # Guards against work for a failing server, and against its loss after
        # it has recovered.
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(outliers._MIN_SAMPLES):
            attempt = self.pool.start_attempt(candidates[0], candidates)
            attempt.finish(routing.AttemptOutcome.FAILED)
        self.assertEqual(self.counters.total("server.ejected"), 1)
        self.assertNotIn(candidates[0].name, self.select_names(candidates))
        await self.loop.advance(30.0, step_s=5.0)
        self.assertIn(candidates[0].name, self.select_names(candidates))

    async def test_polling_engines_keeps_what_is_known_of_services(
        self,
    ) -> None:
        # Guards against a failing plain server that gets requests again at
        # each poll, because only engines are polled.
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(10):
            attempt = self.pool.start_attempt(candidates[0], candidates)
            attempt.finish(routing.AttemptOutcome.FAILED)
        self.assertNotIn(candidates[0].name, self.select_names(candidates))
        self.pool.select_servers_to_poll([], 2)
        self.assertNotIn(candidates[0].name, self.select_names(candidates))

    async def test_slow_server_is_ejected(self) -> None:
        # Guards against work for a server that is much slower than its peers.
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(10):
            for i, server in enumerate(candidates):
                attempt = self.pool.start_attempt(server, candidates)
                attempt.first_byte_latency_s = 2.0 if i == 2 else 0.1
                attempt.finish(routing.AttemptOutcome.COMPLETED)
        self.assertNotIn(candidates[2].name, self.select_names(candidates))

    async def test_long_work_does_not_eject(self) -> None:
        # Guards against ejecting a server because it gets slower kinds of work.
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(10):
            for i, server in enumerate(candidates):
                kind = "long" if i == 2 else "short"
                attempt = self.pool.start_attempt(server, candidates, kind)
                attempt.first_byte_latency_s = 2.0 if i == 2 else 0.1
                attempt.finish(routing.AttemptOutcome.COMPLETED)
        self.assertEqual(self.counters.total("server.ejected"), 0)

    @hypothesis.given(
        strategies.lists(strategies.booleans(), min_size=1, max_size=9)
    )
    def test_ejected_share_is_limited(self, failing) -> None:
        # Guards against a pool that ejects all its servers at once.
        detector = outliers.OutlierDetector()
        names = [str(i) for i in range(len(failing))]
        for name, failed in zip(names, failing, strict=True):
            for _ in range(10):
                detector.record(
                    name, 0.0, failed=failed, latency=None, peers=names
                )
        ejected = detector.find_ejected(names, 1.0)
        self.assertLessEqual(len(ejected), len(names) // 2)
        self.assertEqual(len(ejected), min(sum(failing), len(names) // 2))

    async def test_admission(self) -> None:
        # Guards against accepting work that would miss its deadline in a queue.
        (server,) = self.build("cartago-a")
        attempts = [self.pool.start_attempt(server) for _ in range(2)]
        await self.loop.advance(4.0, step_s=1.0)
        attempts[0].finish(routing.AttemptOutcome.COMPLETED)
        self.pool.check_admission(server, 0.1)
        self.pool.start_attempt(server)
        # One request ahead of two slots that take 4 s each: 2 s and 4 s.
        self.assertEqual(self.pool.predict_wait_s(server), 2.0)
        self.pool.check_admission(server, 6.0)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            self.pool.check_admission(server, 5.9)
        self.assertEqual(caught.exception.retry_after_s, 2.0)
        self.assertEqual(caught.exception.code, "overloaded")

    async def test_retry_budget(self) -> None:
        # Guards against retry storms.
        budget = routing.RetryBudget()
        self.assertEqual(sum(budget.try_spend() for _ in range(100)), 10)
        spent_retries = 0
        for _ in range(1_000):
            budget.record_request(0.1)
            spent_retries += budget.try_spend()
        self.assertIn(spent_retries, (99, 100))

    async def test_low_ratings_suspend_exposure(self) -> None:
        # Guards against exposure of a version with bad ratings at this node,
        # and against a suspension before there are enough samples.
        local_counts = counts.VersionCounts()
        for rating in (0.4, 0.5, 0.4):
            local_counts.record_rating("r", "v2", rating)
        self.assertFalse(local_counts.is_suspended(ROLL_OUT))
        local_counts.record_rating("r", "v2", 0.4)
        self.assertTrue(local_counts.is_suspended(ROLL_OUT))
        expected = counts.VersionCount("r", "v2", 0, 0, 4, 1_700, True)
        self.assertEqual(local_counts.list_counts(), (expected,))

    async def test_changed_configuration_ends_the_suspension(self) -> None:
        # Guards against a rollout that is stopped for suspensions that nodes
        # still report from before it was configured again.
        local_counts = counts.VersionCounts()
        for _ in range(4):
            local_counts.record_rating("r", "v2", 0.4)
        self.assertTrue(local_counts.is_suspended(ROLL_OUT))
        stop = dataclasses.replace(ROLL_OUT.stop, min_rating=0.3)
        changed = dataclasses.replace(ROLL_OUT, stop=stop)
        local_counts.apply_configuration((changed,))
        (reported,) = local_counts.list_counts()
        self.assertFalse(reported.restrained)
        self.assertFalse(local_counts.is_suspended(changed))
        local_counts.apply_configuration((ROLL_OUT,))
        (reported,) = local_counts.list_counts()
        self.assertTrue(reported.restrained)
