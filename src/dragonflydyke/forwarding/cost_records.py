"""Turns attempts into observations of the cost model and metrics of errors."""

import dataclasses

from dragonflydyke import latencies, metrics
from dragonflydyke.forwarding import (
    decisions,
    directory,
    escalation,
    model,
    selection,
)
from dragonflydyke.scheduling import costs, estimates

# If the node waited less of the time between events for the server than this
# share, the client read too slowly for the gaps to be those of the server.
_MIN_WAITED_SHARE = 0.5
# Responses that were complete, or whose start was seen and then discarded. All
# other outcomes may come from servers in trouble.
_SOUND_OUTCOMES = frozenset(
    (
        decisions.AttemptOutcome.DELIVERED,
        decisions.AttemptOutcome.LOW_CONFIDENCE,
    )
)


@dataclasses.dataclass(slots=True)
class AttemptTimes:
    """Loop times of an attempt, None before the moment came.

    Attributes:
        sent_s: The request was sent.
        response_started_s: The response started.
        first_event_s: The first event was read.
        last_event_s: The last event so far was read.
        ended_s: The attempt ended.
        waited_s: Seconds between the first and the last event in which the
            node waited for the server.
        events: Events that were read.
        is_resumed: Whether the attempt continued an earlier stream.
    """

    sent_s: float | None = None
    response_started_s: float | None = None
    first_event_s: float | None = None
    last_event_s: float | None = None
    ended_s: float | None = None
    waited_s: float = 0.0
    events: int = 0
    is_resumed: bool = False

    def record_wait(self, started_s: float, ended_s: float) -> None:
        """Records that the node waited for the server."""
        if self.first_event_s is not None:
            self.waited_s += ended_s - started_s

    def record_event(self, now_s: float) -> None:
        """Records that an event was read."""
        self.events += 1
        self.last_event_s = now_s
        if self.first_event_s is None:
            self.first_event_s = now_s

    @property
    def event_gap_s(self) -> float | None:
        """Mean time between events, None if the server did not determine it."""
        if self.first_event_s is None or self.last_event_s is None:
            return None
        took_s = self.last_event_s - self.first_event_s
        if self.events < 2 or self.waited_s < took_s * _MIN_WAITED_SHARE:
            return None
        return took_s / (self.events - 1)


class CostRecorder:
    """Records what attempts took.

    Attributes:
        errors: Absolute errors of the predicted time to the first event.
    """

    __slots__ = ("_counters", "_model", "errors")

    def __init__(
        self, cost_model: costs.CostModel, counters: metrics.Counters
    ) -> None:
        """Creates a recorder.

        Args:
            cost_model: Learns from the observations.
            counters: Receives `cost.samples`.
        """
        self._model = cost_model
        self._counters = counters
        self.errors = latencies.LatencyHistograms()

    def record(
        self,
        profile: selection.RequestProfile,
        server: directory.ServerEntry,
        plan: escalation.EscalationPlan | None,
        times: AttemptTimes,
        outcome: decisions.AttemptOutcome,
    ) -> None:
        """Records an attempt that ended.

        Args:
            profile: Profile of the attempt.
            server: Server of the attempt.
            plan: Plan that selected the server, None without load reports.
            times: When the attempt was sent and answered.
            outcome: How it ended.
        """
        ended_s = times.ended_s
        if outcome not in _SOUND_OUTCOMES or times.sent_s is None:
            return
        if ended_s is None or times.is_resumed:
            return
        if not profile.pool.has_engines:
            samples = self._model.observe_plain(
                profile.route, server.name, ended_s - times.sent_s, ended_s
            )
            self._counters.increment("cost.samples", samples)
            return
        observation = _build_observation(profile, plan, times, times.sent_s)
        if plan is not None and observation.first_event_s is not None:
            self._record_error(profile, plan, observation.first_event_s)
        samples = self._model.observe(
            profile.key, server.name, observation, ended_s
        )
        self._counters.increment("cost.samples", samples)
        engine = profile.pool.engine
        if engine is None or outcome is not decisions.AttemptOutcome.DELIVERED:
            return
        self._model.observe_output(
            profile.route,
            server.name,
            times.events * engine.tokens_per_event,
            ended_s,
        )

    def _record_error(
        self,
        profile: selection.RequestProfile,
        plan: escalation.EscalationPlan,
        first_event_s: float,
    ) -> None:
        index = self._model.find_model_index(profile.key)
        name = "other" if index is None else str(index)
        self.errors.record(
            f"cost.error.{name}", abs(plan.first_event_s - first_event_s)
        )


def configure(
    cost_model: costs.CostModel, policy: model.ForwardingPolicy
) -> None:
    """Applies a configuration to a cost model.

    Costs are learned only in deployments that state the capacity of engines.
    """
    pools = [
        estimates.PoolWork(
            pool.name,
            _list_models(pool.name, pool.engine, policy),
            pool.engine.tokens_per_event,
        )
        for pool in policy.pools.values()
        if pool.engine is not None
    ]
    routes = [route.name for route in policy.routes] if pools else []
    cost_model.configure(pools, routes)


def _list_models(
    pool: str, engine: model.EngineCapacity, policy: model.ForwardingPolicy
) -> tuple[str, ...]:
    """Returns the models of a pool, smallest first."""
    lists = [
        route.models
        for route in policy.routes
        if any(share.pool == pool for share in route.pools)
    ]
    longest = max(lists, key=len, default=())
    if not longest or set(longest) <= engine.model_costs.keys():
        model_costs = engine.model_costs
        return tuple(sorted(model_costs, key=lambda name: model_costs[name]))
    return longest


def _build_observation(
    profile: selection.RequestProfile,
    plan: escalation.EscalationPlan | None,
    times: AttemptTimes,
    sent_s: float,
) -> estimates.Observation:
    # An engine sends the first event together with the start of the response.
    started_s = times.response_started_s
    cached_tokens = plan.cached_tokens if plan else 0
    if plan is not None and plan.prefix_source is not None:
        # The engine may have fetched the prefix instead of a prefill.
        cached_tokens = profile.shared_prefix_tokens
    return estimates.Observation(
        first_event_s=None if started_s is None else started_s - sent_s,
        prompt_tokens=profile.prompt_tokens,
        cached_tokens=cached_tokens,
        queued=plan.queued if plan else None,
        running=plan.running if plan else None,
        event_gap_s=times.event_gap_s,
        events=times.events,
    )
