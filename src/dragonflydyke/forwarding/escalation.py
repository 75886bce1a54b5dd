"""Selection of the engine for an escalated request, or of none; no I/O.

Designed for peaks at which the escalated requests of all nodes need about as
much prefill time as the engines have. An engine prefills one prompt at a time,
and a long prompt takes the largest model a second, so a node that cannot
observe the requests of the others must ask engines for their queues. It asks a
few of them: the affinity server of the prefix, others of the local data centre,
whose phases of demand coincide, and one elsewhere. A request that would get its
first event too late everywhere is not escalated, so that the queues stay short
enough for those that are.
"""

import dataclasses
import random
from collections.abc import Mapping, Sequence

from dragonflydyke.forwarding import directory, selection
from dragonflydyke.scheduling import costs, estimates

# The affinity server has the prefix only if it served it before.
_PREFIX_HIT_SHARE = 0.7
# Traffic between data centres is expensive.
_REMOTE_PENALTY_S = 0.15
# Fraction of the target latency by which the first event must be expected.
_MAX_LATENCY_SHARE = 0.9
# An engine with a shorter queue has had time to start a request that has waited
# for longer than predicted.
_MIN_BUSY_QUEUE_S = 0.5
# Each report is a call to an engine, so short prompts get by with fewer.
_SHORT_PROMPT_TOKENS = 2_500
_SHORT_PROMPT_REPORTS = 2
_LONG_PROMPT_LOCAL_REPORTS = 2
_LONG_PROMPT_REMOTE_REPORTS = 1


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Load of an engine some hundred milliseconds ago.

    Attributes:
        waiting: Requests that were not admitted yet.
        running: Requests that were admitted.
        streaming: Admitted requests that finished their prefill.
    """

    waiting: int
    running: int
    streaming: int

    @property
    def queued(self) -> int:
        """Requests whose prefill was not finished."""
        return self.waiting + max(0, self.running - self.streaming)

    def is_busy(self, queued_request_s: float) -> bool:
        """Returns whether the queue explains that a request has not started.

        Args:
            queued_request_s: Wait that each queued request causes.
        """
        return self.queued * queued_request_s >= _MIN_BUSY_QUEUE_S


@dataclasses.dataclass(slots=True, frozen=True)
class EscalationCandidates:
    """Engines whose reports decide where an escalated request runs.

    Attributes:
        affinity_server: Server whose cache may hold the prefix, None if the
            prompt is too short for that to matter.
        others: Further servers.
    """

    affinity_server: directory.ServerEntry | None
    others: tuple[directory.ServerEntry, ...]

    @property
    def servers(self) -> tuple[directory.ServerEntry, ...]:
        """All candidates."""
        if self.affinity_server is None:
            return self.others
        return (self.affinity_server, *self.others)


@dataclasses.dataclass(slots=True, frozen=True)
class EscalationPlan:
    """Where an escalated request runs.

    Attributes:
        server: The selected engine.
        first_event_s: Predicted seconds until its first event.
        finish_s: Predicted seconds until its last event.
        queued: Requests whose prefill was not finished at the engine.
        running: Running requests at the engine.
        cached_tokens: Prompt tokens that are expected in the engine's cache.
        samples: Observations that the predictions are based on.
        prefix_source: Engine from which the selected one may fetch the prefix,
            None if it is the affinity server itself.
        wait_s: Part of the prediction that the queue takes.
        is_busy: Whether the engine would not begin the request at once.
    """

    server: directory.ServerEntry
    first_event_s: float
    finish_s: float
    queued: int
    running: int
    cached_tokens: int
    samples: int
    prefix_source: directory.ServerEntry | None
    wait_s: float = 0.0
    is_busy: bool = False


def select_candidates(
    profile: selection.RequestProfile,
    model_name: str,
    servers: Sequence[directory.ServerEntry],
    data_centre: str,
    source: random.Random,
) -> EscalationCandidates:
    """Returns the engines to ask for reports.

    Args:
        profile: Profile of the request.
        model_name: Model to which it is escalated.
        servers: Servers that accept new requests.
        data_centre: Data centre of this node.
        source: Random source, so that nodes do not all ask the same servers.
    """
    local = [s for s in servers if s.backend.data_centre == data_centre]
    remote = [s for s in servers if s.backend.data_centre != data_centre]
    if profile.prompt_tokens < _SHORT_PROMPT_TOKENS:
        near = local if len(local) >= _SHORT_PROMPT_REPORTS else servers
        return EscalationCandidates(
            None, _sample(near, _SHORT_PROMPT_REPORTS, source)
        )
    # Caches hold prefixes by model, so the models' affinity servers differ.
    affinity_server = selection.find_affinity_server(
        f"{model_name} {profile.affinity_key}", servers
    )
    others = (
        *_sample(local, _LONG_PROMPT_LOCAL_REPORTS, source),
        *_sample(remote, _LONG_PROMPT_REMOTE_REPORTS, source),
    )
    return EscalationCandidates(
        affinity_server, tuple(s for s in others if s is not affinity_server)
    )


def plan_escalation(
    profile: selection.RequestProfile,
    candidates: EscalationCandidates,
    reports: Mapping[str, EngineReport],
    data_centre: str,
    cost_model: costs.CostModel,
    model_name: str,
    now_s: float,
) -> EscalationPlan | None:
    """Returns the plan with the earliest first event.

    Args:
        profile: Profile of the request.
        candidates: Engines that were asked for reports.
        reports: Reports by the names of the engines that answered.
        data_centre: Data centre of this node.
        cost_model: Predicts the times of the request.
        model_name: Model to which it is escalated.
        now_s: Loop time.

    Returns:
        The plan, or None if no engine answered.
    """
    key = estimates.WorkKey(profile.pool.name, model_name)
    queued_request_s = cost_model.find_queued_request_s(key, now_s)
    plans = []
    for server in candidates.servers:
        report = reports.get(server.name)
        if report is None:
            continue
        has_affinity = server is candidates.affinity_server
        work = _describe_work(profile, has_affinity=has_affinity)
        estimate = cost_model.predict(
            key, work, server.name, report.queued, report.running, now_s
        )
        plan = EscalationPlan(
            server=server,
            first_event_s=estimate.first_event_s,
            finish_s=estimate.finish_s,
            queued=report.queued,
            running=report.running,
            cached_tokens=work.cached_tokens,
            samples=estimate.samples,
            prefix_source=_find_prefix_source(server, candidates, reports),
            wait_s=estimate.wait_s,
            is_busy=report.is_busy(queued_request_s),
        )
        is_remote = server.backend.data_centre != data_centre
        cost_s = plan.first_event_s + is_remote * _REMOTE_PENALTY_S
        plans.append((cost_s, plan))
    if not plans:
        return None
    return min(plans, key=lambda entry: entry[0])[1]


def _find_prefix_source(
    server: directory.ServerEntry,
    candidates: EscalationCandidates,
    reports: Mapping[str, EngineReport],
) -> directory.ServerEntry | None:
    """Returns the engine from which a server may fetch the prefix, or None."""
    source = candidates.affinity_server
    if source is None or source is server or source.name not in reports:
        return None
    return source


def is_in_time(
    plan: EscalationPlan, target_latency_s: float, elapsed_s: float
) -> bool:
    """Returns whether the first event is expected within the target latency.

    Args:
        plan: Plan of the escalation.
        target_latency_s: Target latency of the route in seconds.
        elapsed_s: Seconds since the request arrived.
    """
    limit_s = target_latency_s * _MAX_LATENCY_SHARE
    return elapsed_s + plan.first_event_s <= limit_s


def _describe_work(
    profile: selection.RequestProfile, *, has_affinity: bool
) -> estimates.Work:
    cached = profile.shared_prefix_tokens * _PREFIX_HIT_SHARE
    return estimates.Work(
        prompt_tokens=profile.prompt_tokens,
        cached_tokens=round(cached) if has_affinity else 0,
        output_tokens=profile.output_tokens,
    )


def _sample(
    servers: Sequence[directory.ServerEntry], count: int, source: random.Random
) -> tuple[directory.ServerEntry, ...]:
    return tuple(source.sample(servers, min(count, len(servers))))
