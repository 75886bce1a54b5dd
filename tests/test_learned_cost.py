"""Tests of learned costs and speeds; the load is replayed without a network."""

import asyncio
import dataclasses
import math
import os
import random
import statistics
import unittest

from dragonflydyke.forwarding import (
    cost_records,
    escalation,
    model,
    selection,
)
from dragonflydyke.scheduling import costs, estimates, speeds
from tests.builders import forwarding, scripted_servers

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
_CAPACITY = model.EngineCapacity(64, 90_000, 5)
_ENGINES = model.Pool("engines", has_engines=True, engine=_CAPACITY)
_PLAIN = model.Pool("plain")
_KEY = estimates.WorkKey("engines", "large")
_ROUTE = forwarding.build_route(models=forwarding.MODELS)
_SLOW_SHARE = 0.15
_SLOW_FACTOR = 2.5
_SLOW_PERIOD_S = 0.6


def _build_model() -> costs.CostModel:
    """Returns a cost model without samples."""
    policy = model.ForwardingPolicy(
        1, (_ROUTE,), (_ENGINES, _PLAIN), (), model.ClientLimits()
    )
    cost_model = costs.CostModel()
    cost_records.configure(cost_model, policy)
    return cost_model


def _build_observation(**fields: object) -> estimates.Observation:
    usual = estimates.Observation(0.6, 10_000, 0, 0, 0, None, 20)
    return dataclasses.replace(usual, **fields)


def _build_servers(count: int, data_centre: str = forwarding.DATA_CENTRE):
    return [
        forwarding.build_server_entry(
            f"{data_centre}{n}", data_centre=data_centre
        )
        for n in range(count)
    ]


class EqualDecisionsTest(unittest.TestCase):
    """Guards against priors that serve existing deployments differently."""

    def test_selected_servers_equal_those_of_the_constants(self) -> None:
        """The expected cost is that of the code before costs were learned."""
        pool = model.Pool("engines", has_engines=True)
        source = random.Random(_SEED)
        cost_model = _build_model()
        selector = selection.ServerSelector(
            forwarding.DATA_CENTRE, random.Random(3), cost_model.speeds
        )
        expected_random = random.Random(3)
        servers = _build_servers(4) + _build_servers(4, "south")
        loads = {server.name: 0.0 for server in servers}
        running: list[tuple[selection.RequestProfile, object]] = []
        for step in range(3_000):
            profile = selection.RequestProfile(
                source.choice((pool, _PLAIN)),
                source.choice(("", "a", "b", "c")),
                source.randrange(0, 20_000, 100),
                source.randrange(0, 4_000, 100),
                source.randrange(0, 200, 20),
                source.randrange(40_000),
            )
            name = source.choice((*forwarding.MODELS, "unknown"))
            priced = selection.apply_costs(profile, name, cost_model, step)
            key = profile.affinity_key
            home = selection.find_affinity_server(
                key, servers[:4] if key else ()
            )

            def expect_cost(server, profile=profile, home=home) -> float:
                cost_s = loads[server.name] * 2.0
                if server.backend.data_centre != forwarding.DATA_CENTRE:
                    cost_s += 0.01
                    cost_s += profile.body_bytes / 1000 * 0.03
                if home is not None and server is not home:
                    cost_s += profile.shared_prefix_tokens / 20_000.0
                return cost_s

            best = min(
                servers,
                key=lambda s: (expect_cost(s), expected_random.random()),
            )
            selected = selector.select_server(priced, servers, float(step))
            self.assertEqual(selected.server.name, best.name)
            selector.record_start(priced, best, float(step))
            loads[best.name] += _find_constant_time_s(profile)
            running.append((priced, best))
            while len(running) > source.randrange(12):
                ended, server = running.pop(source.randrange(len(running)))
                selector.record_outcome(
                    ended, server, step, failed=False, peers=servers
                )
                left_s = loads[server.name] - _find_constant_time_s(ended)
                is_idle = all(other is not server for _, other in running)
                loads[server.name] = 0.0 if is_idle else max(0.0, left_s)

    def test_escalations_equal_those_of_the_constants(self) -> None:
        source = random.Random(_SEED)
        cost_model = _build_model()
        home, *others = _build_servers(3)
        far = _build_servers(1, "south")[0]
        candidates = escalation.EscalationCandidates(home, (*others, far))
        for _ in range(2_000):
            reports = {
                server.name: escalation.EngineReport(
                    source.randrange(6), source.randrange(40), 20
                )
                for server in candidates.servers
                if source.random() < 0.9
            }
            shared = source.randrange(15_000)
            profile = selection.RequestProfile(
                _ENGINES, "a", shared, source.randrange(5_000), 100
            )
            expected = {
                server.name: reports[server.name].queued * 0.22
                + reports[server.name].running * 0.004
                + (profile.prompt_tokens - shared * 0.7 * (server is home))
                * 60e-6
                for server in candidates.servers
                if server.name in reports
            }
            call = (forwarding.DATA_CENTRE, cost_model, "large", 0.0)
            plan = escalation.plan_escalation(
                profile, candidates, reports, *call
            )
            if not reports:
                self.assertIsNone(plan)
                continue
            best = min(
                expected, key=lambda n: expected[n] + 0.15 * (n == far.name)
            )
            self.assertEqual(plan.server.name, best)
            # Cached tokens are whole numbers now.
            self.assertAlmostEqual(plan.first_event_s, expected[best], 4)
            self.assertEqual(plan.samples, 0)
            self.assertGreater(plan.finish_s, plan.first_event_s)


def _find_constant_time_s(profile: selection.RequestProfile) -> float:
    """Returns the service time by the constants in use before."""
    if not profile.pool.has_engines:
        return 0.09
    tokens = profile.unshared_tokens + profile.output_tokens * 40.0
    return tokens / 20_000.0


class EngineKindsTest(unittest.TestCase):
    """Guards against predictions that fit one kind of engine only."""

    def replay(self, times: tuple[float, float]) -> tuple[float, float]:
        """Returns the median relative errors of late predictions and priors.

        Args:
            times: Seconds per prompt token and of an output token of the faster
                kind. One request a second goes to one of 30 engines.
        """
        source = random.Random(_SEED)
        cost_model, priors = _build_model(), _build_model()
        errors: list[float] = []
        prior_errors: list[float] = []
        for second in range(240):
            number = source.randrange(30)
            tokens = source.randrange(2_000, 18_000)
            factor = source.lognormvariate(0.0, 0.1) * (
                1.6 if number % 2 else 1
            )
            if source.random() < _SLOW_SHARE:
                factor *= _SLOW_FACTOR
            observation = _build_observation(
                first_event_s=factor * tokens * times[0],
                prompt_tokens=tokens,
                event_gap_s=factor * times[1] * 5,
            )
            took_s = factor * (tokens * times[0] + 100 * times[1])
            work = estimates.Work(tokens, 0, 100)
            name = f"e{number}"
            for known, found in ((cost_model, errors), (priors, prior_errors)):
                predicted = known.predict(_KEY, work, name, 0, 0, second)
                found.append(abs(predicted.finish_s / took_s - 1.0))
            cost_model.observe(_KEY, name, observation, second)
        return statistics.median(errors[40:]), statistics.median(prior_errors)

    def test_engines_1_6_times_apart_are_learned_within_tens(self) -> None:
        for times in ((49e-6, 0.010), (80e-6, 0.023), (35e-6, 0.005)):
            error, prior_error = self.replay(times)
            print(
                f"{times}: error {error:.2f}, of the priors {prior_error:.2f}"
            )
            self.assertLess(error, 0.4)

    def test_queue_and_batch_are_told_apart(self) -> None:
        """A wait must not be learned as a slow prefill, or the reverse."""
        source = random.Random(_SEED)
        cost_model = _build_model()
        for second in range(200):
            queued = source.choice((0, 0, 4))
            running = source.choice((0, 30)) if not queued else 0
            tokens = 1_200 if running or queued else 9_000
            seen = _build_observation(
                first_event_s=queued * 0.4 + running * 0.008 + tokens * 60e-6,
                prompt_tokens=tokens,
                queued=queued,
                running=running,
            )
            cost_model.observe(_KEY, f"e{second % 9}", seen, second)

        def predict(tokens: int, queued: int, running: int) -> float:
            work = estimates.Work(tokens, 0, 0)
            return cost_model.predict(
                _KEY, work, "x", queued, running, 200
            ).first_event_s

        self.assertAlmostEqual(predict(10_000, 0, 0), 0.6, delta=0.06)
        self.assertAlmostEqual(predict(0, 1, 0), 0.4, delta=0.06)
        self.assertAlmostEqual(predict(0, 0, 10), 0.08, delta=0.02)


class SpeedTest(unittest.TestCase):
    """Guards against slow servers with a full share, or without any."""

    def test_slow_server_gets_fewer_requests_but_not_none(self) -> None:
        """Servers at 0.7, 0.7 and 1.7, each slower at times; twenty nodes."""
        source = random.Random(_SEED)
        servers = _build_servers(3)
        nodes = []
        for number in range(20):
            costs_of_node = _build_model()
            selector = selection.ServerSelector(
                forwarding.DATA_CENTRE,
                random.Random(number),
                costs_of_node.speeds,
            )
            nodes.append((costs_of_node, selector))
        counts = [0, 0, 0]
        running: list[tuple] = []
        now_s = 0.0
        while now_s < 60.0:
            now_s += source.expovariate(40.0)
            for entry in [e for e in running if e[0] <= now_s]:
                running.remove(entry)
                end_s, took_s, (cost_model, selector), profile, server = entry
                selector.record_outcome(
                    profile, server, end_s, failed=False, peers=servers
                )
                cost_model.observe_plain("streams", server.name, took_s, end_s)
            node = cost_model, selector = source.choice(nodes)
            profile = selection.RequestProfile(_PLAIN, route="streams")
            profile = selection.apply_costs(profile, "", cost_model, now_s)
            server = selector.select_server(profile, servers, now_s).server
            selector.record_start(profile, server, now_s)
            index = servers.index(server)
            took_s = 0.09 * (0.7, 0.7, 1.7)[index]
            took_s *= source.lognormvariate(0.0, 0.2)
            if (now_s + index) % (
                _SLOW_PERIOD_S / _SLOW_SHARE
            ) < _SLOW_PERIOD_S:
                took_s *= _SLOW_FACTOR
            counts[index] += now_s > 30.0
            running.append((now_s + took_s, took_s, node, profile, server))
        share = counts[2] / sum(counts)
        print(f"share of the slow server {share:.3f}")
        self.assertLess(share, 0.27)
        self.assertGreater(share, 0.1)

    def test_passing_slowdown_is_forgotten_within_seconds(self) -> None:
        tracker = speeds.SpeedTracker()
        for step in range(20):
            tracker.observe("a", 1.0, step / 10)
        for step in range(6):
            tracker.observe("a", _SLOW_FACTOR, 2.0 + step / 10)
        self.assertGreater(tracker.find_factor("a", 2.6), 1.3)
        for step in range(9):
            tracker.observe("a", 1.0, 3.0 + step / 10)
        self.assertAlmostEqual(tracker.find_factor("a", 4.0), 1.0, 2)
        # A server that gets no requests becomes usable by time alone.
        tracker.observe("b", _SLOW_FACTOR, 0.0)
        self.assertLess(tracker.find_factor("b", 0.0), 1.3)
        self.assertLess(tracker.find_factor("b", 20.0), 1.1)
        tracker.retain(["a"])
        self.assertEqual(tracker.find_factor("b", 0.0), 1.0)

    def test_full_memory_sends_requests_elsewhere(self) -> None:
        servers = _build_servers(3)
        selector = selection.ServerSelector(
            forwarding.DATA_CENTRE, random.Random(_SEED)
        )
        profile = selection.RequestProfile(_ENGINES, "a", 80_000, 3_000, 300)
        chosen = []
        for _ in range(9):
            selected = selector.select_server(profile, servers, 0.0).server
            selector.record_start(profile, selected, 0.0)
            chosen.append(selected.name)
        # The prefix is held once, so that three fit into 90,000 tokens.
        self.assertEqual(sorted(map(chosen.count, set(chosen))), [3, 3, 3])
        self.assertIsNotNone(selector.select_server(profile, servers, 0.0))

    def test_work_in_flight_is_counted_down(self) -> None:
        """A long response that is nearly done must not repel a new request."""
        cost_model = _build_model()
        seen = _build_observation(event_gap_s=0.05)
        for step in range(20):
            cost_model.observe(_KEY, f"e{step}", seen, step)
        selector = selection.ServerSelector(
            forwarding.DATA_CENTRE, random.Random(_SEED)
        )
        profile = selection.RequestProfile(_ENGINES, "", 0, 5_000, 400)
        profile = selection.apply_costs(profile, "large", cost_model, 20.0)
        servers = _build_servers(1)
        selector.record_start(profile, servers[0], 20.0)
        found = [
            selector.select_server(profile, servers, now_s).cost_s
            for now_s in (20.0, 22.0, 24.0, 100.0)
        ]
        self.assertEqual(found, sorted(found, reverse=True))
        self.assertGreater(found[0], 2 * found[-1])
        self.assertGreater(found[-1], 0.0)


class HostileInputTest(unittest.TestCase):
    """Guards against clients and servers that distort the estimates."""

    def test_hostile_hints_are_bounded_by_the_output_of_the_route(self) -> None:
        cost_model = _build_model()

        def expect(hint: int, maximum: int = 1_000_000) -> int:
            return cost_model.expect_output_tokens(
                "streams", hint, maximum, 50.0
            )

        self.assertEqual((expect(120), expect(0), expect(9, 5)), (120, 1e6, 5))
        for step in range(40):
            tokens = (80, 100, 125)[step % 3]
            cost_model.observe_output("streams", f"e{step % 9}", tokens, step)
        self.assertAlmostEqual(expect(0), 100, delta=15)
        self.assertAlmostEqual(expect(120), 120)
        self.assertLess(expect(900_000), 500)
        self.assertGreater(expect(1), 15)
        self.assertEqual(expect(0, maximum=60), 60)

    def test_servers_in_trouble_do_not_distort_the_pool(self) -> None:
        cost_model = _build_model()
        work = estimates.Work(10_000, 0, 100)
        for step in range(60):
            name, factor = ("bad", 30) if step % 2 else (f"e{step % 20}", 1)
            seen = _build_observation(
                first_event_s=0.6 * factor, event_gap_s=0.075 * factor
            )
            cost_model.observe(_KEY, name, seen, step)
        # The other servers take 2.1 s.
        predicted = cost_model.predict(_KEY, work, "e1", 0, 0)
        self.assertLess(predicted.finish_s, 2.1 * 1.5)

    def test_learned_values_stay_within_factors_of_the_priors(self) -> None:
        work = estimates.Work(10_000, 0, 100)
        prior = _build_model().predict(_KEY, work, "x", 0, 0)
        for extreme in (1e-9, 1e9, math.inf, math.nan, -1.0, 0.0):
            cost_model = _build_model()
            seen = _build_observation(
                first_event_s=extreme, event_gap_s=extreme
            )
            for step in range(60):
                cost_model.observe(_KEY, f"e{step % 9}", seen, step)
            found = cost_model.predict(_KEY, work, "x", 0, 0, 60.0)
            self.assertLessEqual(found.finish_s, prior.finish_s * 4.0)
            self.assertGreaterEqual(found.finish_s, prior.finish_s / 4.0)

    def test_a_value_that_stops_its_own_samples_is_forgotten(self) -> None:
        """Too long a predicted wait ends escalations, and so its samples."""
        cost_model = _build_model()
        work = estimates.Work(100, 0, 0)
        prior = cost_model.predict(_KEY, work, "x", 5, 0, 0.0).first_event_s
        for step in range(30):
            seen = _build_observation(prompt_tokens=100, queued=1)
            cost_model.observe(_KEY, f"e{step}", seen, 0.0)
        found = cost_model.predict(_KEY, work, "x", 5, 0, 1.0)
        self.assertGreater(found.first_event_s, prior * 2)
        found = cost_model.predict(_KEY, work, "x", 5, 0, 200.0)
        self.assertEqual(found.first_event_s, prior)


class ForwardedStreamTest(forwarding.ForwardingTestCase):
    """Guards against observations that are lost, or come from lost streams."""

    async def test_complete_streams_become_samples(self) -> None:
        is_lost = True

        async def stream(request, writer) -> None:
            large = request.headers["Model"] == "large"
            scripted_servers.write_stream_start(
                request, writer, Confidence="100" if large else "20"
            )
            last = int(request.headers.get("Last-Event-Id", "0"))
            for event_id in range(last + 1, last + 11):
                scripted_servers.write_event(writer, event_id)
                await writer.drain()
                await asyncio.sleep(0.01)
            if large and is_lost and not last:
                scripted_servers.reset(writer)
            else:
                scripted_servers.write_chunk(writer, b"")

        await self.start_server("a", stream)
        policy = forwarding.build_policy(_ROUTE)
        policy.pools["engines"] = _ENGINES
        self.forwarder.policy = policy
        cost_records.configure(self.costs, policy)
        for expected in (0, 1):
            await self.fetch(Model="*", Token_Count="40,50")
            self.assertEqual(self.counters.total("cost.samples"), expected)
            is_lost = False
        self.assertIn(
            "cost.error.2.count 1", self.cost_recorder.errors.format_text()
        )
