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
from tests.builders import documents, gateway, virtual_loop

STOP = model.StopCondition(min_samples=4, min_rating=0.5, max_error_share=0.3)
STEPS = (model.RolloutStep(0.05, 60.0), model.RolloutStep(0.5, 60.0))
ROLL_OUT = model.Rollout("r", "planner-small", "v1", "v2", STEPS, STOP)
STATES = strategies.sampled_from(list(model.VersionState))
PHASES = strategies.sampled_from([None, *rollouts.RollOutPhase])
REQUESTS = 4_000


def build_in_force(
    phase: rollouts.RollOutPhase | None,
    step: int = 0,
    states: tuple[model.VersionState, ...] = (model.VersionState.ACTIVE,) * 2,
    allowed: tuple[str, ...] = (),
) -> gateway.FixedInForce:
    """Returns a roll-out from v1 to v2 of `planner-small`."""
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
        decided["r"] = rollouts.RollOutState("r", phase, step, 0, "vm", 1)
    return gateway.FixedInForce(document, roll_outs=decided)


def plan(
    in_force: gateway.FixedInForce,
    name: str = "planner-small",
    request_id: str = "id",
    session: sessions.Session | None = None,
    restraint: counts.VersionCounts | None = None,
    request_class: str = "line_question",
) -> routing.Plan:
    """Plans a request of the first account."""
    return routing.plan(
        in_force,
        in_force.document.client_accounts[0],
        name,
        in_force.document.request_class(request_class),
        session,
        request_id,
        restraint=restraint,
    )


class PlanTest(virtual_loop.VirtualTimeTestCase):
    """Guards which versions may answer."""

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
        # Guards against a version that the account, the version's state or
        # the roll-out does not allow.
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
                self.assertNotIn(phase, (None, rollouts.RollOutPhase.STOPPED))

    def count_new(self, in_force, restraint=None) -> float:
        new = 0
        for i in range(REQUESTS):
            result = plan(in_force, request_id=str(i), restraint=restraint)
            new += result.stages[0].version.name == "v2"
        return new / REQUESTS

    def test_exposure_shares(self) -> None:
        phases = rollouts.RollOutPhase
        for phase, step, share in (
            (None, 0, 0.0),
            (phases.RUNNING, 0, 0.05),
            (phases.RUNNING, 1, 0.5),
            (phases.RUNNING, 7, 0.0),
            (phases.STOPPED, 1, 0.0),
            (phases.FINISHED, 1, 1.0),
        ):
            with self.subTest(phase=phase, step=step):
                measured = self.count_new(build_in_force(phase, step))
                # 5 standard deviations of 4,000 draws are below 0.04.
                self.assertAlmostEqual(measured, share, delta=0.04)
                if share in (0.0, 1.0):
                    self.assertEqual(measured, share)

    def test_local_restraint(self) -> None:
        # Guards against exposure to a version that fails at this node while
        # the decision of the driver is still under way.
        own = counts.VersionCounts()
        for failed in (True, True, False, False):
            own.record_request("r", "v2", failed=failed)
        in_force = build_in_force(rollouts.RollOutPhase.RUNNING, 1)
        self.assertEqual(self.count_new(in_force, own), 0.0)

    def test_session_stays_through_steps(self) -> None:
        pinned = sessions.Session("a", "s", "planner-small", "v2", 0)
        for phase in (None, *rollouts.RollOutPhase):
            result = plan(build_in_force(phase), session=pinned)
            self.assertEqual(result.stages[0].version.name, "v2")
        with self.assertRaises(errors.DragonflydykeError) as caught:
            plan(build_in_force(None), "planner-large", session=pinned)
        self.assertEqual(caught.exception.code, "session_model_mismatch")

    def test_named_new_version(self) -> None:
        # Guards against exposure above the step by requests that name it.
        in_force = build_in_force(rollouts.RollOutPhase.RUNNING, 1)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            plan(in_force, "planner-small@v2")
        self.assertEqual(caught.exception.code, "version_not_exposed")

    def test_first_stage_reaches_the_target(self) -> None:
        in_force = build_in_force(None)
        names = [s.model for s in plan(in_force, "planning").stages]
        self.assertEqual(names, ["planner-small", "planner-large"])
        costly = plan(in_force, "planning", request_class="survey_draft")
        self.assertEqual([s.model for s in costly.stages], ["planner-large"])

    def test_cheaper_stage_while_its_answers_pass(self) -> None:
        # Guards against paying for both stages when most are rejected, and
        # against cheap answers that nobody checks.
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
    """Guards the choice of backend servers and the bounds on retries."""

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
        return self.pool.candidates(in_force, "planner-small@v1")

    def pick_names(self, candidates, exclude=()) -> set[str]:
        picks = [self.pool.pick(candidates, exclude) for _ in range(100)]
        return {pick.name for pick in picks if pick is not None}

    async def test_own_data_centre_until_full(self) -> None:
        candidates = self.build("cartago-a", "cartago-b", "heredia-a")
        self.assertEqual(self.pick_names(candidates), {"engine-0"})
        for _ in range(2):
            self.pool.begin(candidates[0])
        self.assertEqual(self.pick_names(candidates), {"engine-1"})

    async def test_baselines_are_plain(self) -> None:
        # Guards against baselines that profit from what they are compared to.
        for name in ("random", "round_robin", "least_outstanding"):
            self.pool = routing.ServerPool(
                "cartago-a",
                "entry-1",
                self.counters,
                source=random.Random(1),
                server_choice=name,
            )
            candidates = self.build("cartago-a", "cartago-b", "heredia-a")
            self.assertEqual(len(self.pick_names(candidates)), 3)
            for _ in range(outliers._MIN_SAMPLES):
                placement = self.pool.begin(candidates[0], candidates)
                placement.end(routing.AttemptEnd.FAILED)
            self.assertEqual(len(self.pick_names(candidates)), 3)

    async def test_least_outstanding(self) -> None:
        self.pool = routing.ServerPool(
            "cartago-a",
            "entry-1",
            self.counters,
            source=random.Random(1),
            server_choice="least_outstanding",
        )
        candidates = self.build(*["cartago-a"] * 3)
        for server in candidates[:2]:
            self.pool.begin(server)
        self.assertEqual(self.pick_names(candidates), {candidates[2].name})

    async def test_excluded_and_leaving(self) -> None:
        candidates = self.build(*["cartago-a"] * 3)
        self.pool.set_leaving_vms(["vm-0"])
        names = self.pick_names(candidates, ("engine-1",))
        self.assertEqual(names, {"engine-2"})
        self.pool.set_leaving_vms(["vm-0", "vm-1", "vm-2"])
        self.assertIsNone(self.pool.pick(candidates))

    async def test_reported_load_decays(self) -> None:
        candidates = self.build("cartago-a", "cartago-a")
        self.pool.record_load("engine-0", running=2, waiting=4)
        self.assertEqual(self.pick_names(candidates), {"engine-1"})
        await self.loop.advance(60.0, step_s=10.0)
        self.pool.begin(max(candidates, key=lambda server: server.name))
        self.assertEqual(self.pick_names(candidates), {"engine-0"})

    async def test_load_reports_follow_the_traffic(self) -> None:
        """Guards against a cost of reports that grows with the servers."""
        engines = [documents.build_engine(f"engine-{i}") for i in range(40)]
        idle = self.pool.take_due_reports(engines, 2)
        self.assertEqual(["engine-0", "engine-1"], [s.name for s in idle])
        for _ in range(4):
            self.pool.pick(engines[30:33])
        busy = [s.name for s in self.pool.take_due_reports(engines, 2)]
        self.assertEqual(["engine-30", "engine-31", "engine-32"], busy[:3])
        self.assertEqual(6, len(busy))
        self.pool.pick(engines[30:33])
        again = {s.name for s in self.pool.take_due_reports(engines, 2)}
        self.assertFalse(again & {*busy, "engine-0", "engine-1"})
        await self.loop.advance(2.0)
        third = [s.name for s in self.pool.take_due_reports(engines, 2)]
        self.assertEqual(["engine-30", "engine-31"], third)

    async def test_subset_is_bounded(self) -> None:
        # Guards against a subset without servers elsewhere, and against
        # nodes that all use the same servers.
        near, far = ["cartago-a"] * 30, ["cartago-b"] * 30
        subset = self.build(*near, *far)
        self.assertEqual(len(subset), servers.MAX_SUBSET_SERVERS)
        elsewhere = [s for s in subset if s.data_centre == "cartago-b"]
        self.assertEqual(len(elsewhere), 4)
        self.pool = routing.ServerPool("cartago-a", "entry-2", self.counters)
        self.assertNotEqual(self.build(*near, *far), subset)

    async def test_failing_server_is_ejected_and_returns(self) -> None:
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(outliers._MIN_SAMPLES):
            placement = self.pool.begin(candidates[0], candidates)
            placement.end(routing.AttemptEnd.FAILED)
        self.assertEqual(self.counters.total("server.ejected"), 1)
        self.assertNotIn(candidates[0].name, self.pick_names(candidates))
        await self.loop.advance(30.0, step_s=5.0)
        self.assertIn(candidates[0].name, self.pick_names(candidates))

    async def test_straggler_is_ejected(self) -> None:
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(10):
            for i, server in enumerate(candidates):
                placement = self.pool.begin(server, candidates)
                placement.latency_s = 2.0 if i == 2 else 0.1
                placement.end(routing.AttemptEnd.COMPLETED)
        self.assertNotIn(candidates[2].name, self.pick_names(candidates))

    async def test_long_work_does_not_eject(self) -> None:
        # Guards against taking a server with slower kinds of work for a
        # straggler.
        candidates = self.build(*["cartago-a"] * 3)
        for _ in range(10):
            for i, server in enumerate(candidates):
                kind = "long" if i == 2 else "short"
                placement = self.pool.begin(server, candidates, kind)
                placement.latency_s = 2.0 if i == 2 else 0.1
                placement.end(routing.AttemptEnd.COMPLETED)
        self.assertEqual(self.counters.total("server.ejected"), 0)

    @hypothesis.given(
        strategies.lists(strategies.booleans(), min_size=1, max_size=9)
    )
    def test_ejected_share_is_bounded(self, failing) -> None:
        # Guards against a pool that ejects all its servers at once.
        detector = outliers.OutlierDetector()
        names = [str(i) for i in range(len(failing))]
        for name, failed in zip(names, failing, strict=True):
            for _ in range(10):
                detector.record(
                    name, 0.0, failed=failed, latency=None, peers=names
                )
        ejected = detector.ejected(names, 1.0)
        self.assertLessEqual(len(ejected), len(names) // 2)
        self.assertEqual(len(ejected), min(sum(failing), len(names) // 2))

    async def test_admission(self) -> None:
        (server,) = self.build("cartago-a")
        placements = [self.pool.begin(server) for _ in range(2)]
        await self.loop.advance(4.0, step_s=1.0)
        placements[0].end(routing.AttemptEnd.COMPLETED)
        self.pool.check_admission(server, 0.1)
        self.pool.begin(server)
        # One request ahead of two slots that take 4 s each: 2 s and 4 s.
        self.assertEqual(self.pool.predict_wait_s(server), 2.0)
        self.pool.check_admission(server, 6.0)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            self.pool.check_admission(server, 5.9)
        self.assertEqual(caught.exception.retry_after_s, 2.0)
        self.assertEqual(caught.exception.code, "overloaded")

    async def test_retry_budget(self) -> None:
        budget = routing.RetryBudget()
        self.assertEqual(sum(budget.try_spend() for _ in range(100)), 10)
        spent = 0
        for _ in range(1_000):
            budget.record_request(0.1)
            spent += budget.try_spend()
        self.assertIn(spent, (99, 100))

    async def test_ratings_stop(self) -> None:
        own = counts.VersionCounts()
        for rating in (0.4, 0.5, 0.4):
            own.record_rating("r", "v2", rating)
        self.assertFalse(own.meets_stop(ROLL_OUT))
        own.record_rating("r", "v2", 0.4)
        self.assertTrue(own.meets_stop(ROLL_OUT))
        expected = counts.VersionCount("r", "v2", 0, 0, 4, 1_700, True)
        self.assertEqual(own.counts(), (expected,))
