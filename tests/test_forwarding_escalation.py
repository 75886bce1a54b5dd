"""Tests of the selection of engines for escalated requests, without I/O."""

import os
import random
import unittest

from dragonflydyke.forwarding import directory, escalation, model, selection
from dragonflydyke.scheduling import costs
from tests.builders import engine_queues, forwarding

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
_TARGET_S = 2.5
_POOL = model.Pool("engines", has_engines=True)
_IDLE = escalation.EngineReport(waiting=0, running=0, streaming=0)
_BUSY = escalation.EngineReport(waiting=3, running=1, streaming=0)


def _build_profile(tokens: int, shared: int = 0) -> selection.RequestProfile:
    return selection.RequestProfile(
        _POOL,
        affinity_key="prefix",
        shared_prefix_tokens=shared,
        unshared_tokens=tokens - shared,
    )


class CandidatesTest(unittest.TestCase):
    """Guards against nodes that ask too many engines, or all the same ones."""

    def setUp(self) -> None:
        self.servers = [
            forwarding.build_server_entry(f"{place}{n}", data_centre=place)
            for place in (forwarding.DATA_CENTRE, "south")
            for n in range(10)
        ]

    def select(self, tokens: int, seed: int = _SEED) -> list[str]:
        """Returns the names of the candidates of a long or short prompt."""
        candidates = escalation.select_candidates(
            _build_profile(tokens),
            "large",
            self.servers,
            forwarding.DATA_CENTRE,
            random.Random(seed),
        )
        return [server.name for server in candidates.servers]

    def test_each_engine_is_asked_once(self) -> None:
        for seed in range(50):
            names = self.select(9_000, seed)
            self.assertEqual(len(names), len(set(names)))
            self.assertLessEqual(len(names), 4)

    def test_nodes_agree_on_the_affinity_server_only(self) -> None:
        found = [set(self.select(9_000, seed)) for seed in range(20)]
        self.assertEqual(len(set.intersection(*found)), 1)
        self.assertGreater(len(set.union(*found)), 12)

    def test_short_prompts_ask_few_local_engines(self) -> None:
        names = self.select(500)
        self.assertEqual(len(names), 2)
        self.assertTrue(all(forwarding.DATA_CENTRE in name for name in names))

    def test_small_fleets_have_fewer_candidates(self) -> None:
        self.servers = self.servers[:1]
        self.assertEqual(len(self.select(9_000)), 1)
        self.assertEqual(len(self.select(500)), 1)
        self.servers = []
        self.assertEqual(self.select(9_000), [])


class PlanTest(unittest.TestCase):
    """Guards against escalations to busy or silent engines."""

    def setUp(self) -> None:
        self.home = forwarding.build_server_entry("home")
        self.other = forwarding.build_server_entry("other")
        self.remote = forwarding.build_server_entry(
            "remote", data_centre="south"
        )

    def plan(
        self,
        reports: dict[str, escalation.EngineReport],
        *others: directory.ServerEntry,
    ) -> escalation.EscalationPlan | None:
        """Returns the plan for a long prompt with a shared prefix."""
        candidates = escalation.EscalationCandidates(
            self.home, others or (self.other, self.remote)
        )
        return escalation.plan_escalation(
            _build_profile(12_000, shared=9_000),
            candidates,
            reports,
            forwarding.DATA_CENTRE,
            costs.CostModel(),
            "large",
            0.0,
        )

    def test_idle_affinity_server_is_preferred(self) -> None:
        plan = self.plan({"home": _IDLE, "other": _IDLE, "remote": _IDLE})
        self.assertEqual((plan.server, plan.prefix_source), (self.home, None))

    def test_busy_affinity_server_is_the_source_of_the_prefix(self) -> None:
        plan = self.plan({"home": _BUSY, "other": _IDLE, "remote": _IDLE})
        self.assertEqual(plan.server, self.other)
        self.assertEqual(plan.prefix_source, self.home)

    def test_silent_affinity_server_is_no_source(self) -> None:
        plan = self.plan({"other": _IDLE})
        self.assertEqual((plan.server, plan.prefix_source), (self.other, None))

    def test_other_data_centre_helps_only_at_local_peaks(self) -> None:
        one = escalation.EngineReport(waiting=0, running=1, streaming=1)
        plan = self.plan({"other": one, "remote": _IDLE})
        self.assertEqual(plan.server, self.other)
        plan = self.plan({"other": _BUSY, "remote": _IDLE})
        self.assertEqual(plan.server, self.remote)

    def test_no_report_gives_no_plan(self) -> None:
        self.assertIsNone(self.plan({}))

    def test_requests_that_produce_events_do_not_delay_a_prefill(self) -> None:
        busy = escalation.EngineReport(waiting=0, running=30, streaming=30)
        self.assertEqual(busy.queued, 0)
        # The two numbers are not read at the same instant.
        torn = escalation.EngineReport(waiting=0, running=2, streaming=3)
        self.assertEqual(torn.queued, 0)


class PeakTest(unittest.TestCase):
    """Guards against queues of several target latencies under peak load.

    On 195 nodes, each prefix had a fixed engine for the largest model. Engines
    had queues of many seconds next to idle ones, and at peaks all of them did.
    """

    def setUp(self) -> None:
        self.servers = engine_queues.build_servers(12)

    def replay(self, policy: engine_queues.Policy, seed: int) -> float:
        """Returns the share of requests in time over two peaks."""
        arrivals = engine_queues.build_peaks(12, 34.0, random.Random(seed))
        return engine_queues.replay(arrivals, self.servers, policy, _TARGET_S)

    def test_planned_escalations_start_in_time(self) -> None:
        for seed in range(_SEED, _SEED + 5):
            source = random.Random(seed)

            def select_planned(
                queues: engine_queues.EngineQueues,
                arrival: engine_queues.Arrival,
                source: random.Random = source,
            ) -> str | None:
                candidates = escalation.select_candidates(
                    arrival.profile,
                    "large",
                    self.servers,
                    forwarding.DATA_CENTRE,
                    source,
                )
                plan = escalation.plan_escalation(
                    arrival.profile,
                    candidates,
                    {
                        server.name: queues.report(server.name, arrival.at_s)
                        for server in candidates.servers
                    },
                    forwarding.DATA_CENTRE,
                    costs.CostModel(),
                    "large",
                    arrival.at_s,
                )
                if plan and escalation.is_in_time(plan, _TARGET_S, 0.0):
                    return plan.server.name
                return None

            with self.subTest(seed=seed):
                planned = self.replay(select_planned, seed)
                fixed = self.replay(self._select_affinity, seed)
                print(f"seed {seed}: in time {planned:.3f}, {fixed:.3f} before")
                self.assertGreater(planned, fixed + 0.2)

    def _select_affinity(
        self,
        queues: engine_queues.EngineQueues,
        arrival: engine_queues.Arrival,
    ) -> str | None:
        del queues
        server = selection.find_affinity_server(
            arrival.profile.affinity_key, self.servers
        )
        return server.name if server else None
