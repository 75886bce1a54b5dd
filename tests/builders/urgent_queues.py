"""Model of engines that serve prompts by urgency, to replay decisions."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence

from dragonflydyke.forwarding import (
    decisions,
    escalation,
    model,
    selection,
    urgency,
)
from dragonflydyke.scheduling import costs, estimates, fallbacks
from tests.builders import engine_queues, forwarding

_NODES = 30
_MAX_ATTEMPTS = 2
_COST_KEY = estimates.WorkKey("engines", "large")
_PREFILL_S_PER_TOKEN = 62e-6


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of escalated requests.

    `tokens` and `events` are medians; the latter is also the length hint.
    """

    rate_per_s: float
    tokens: int
    events: int
    target_s: float
    deadline_s: float


@dataclasses.dataclass(slots=True)
class Request:
    """A request and its outcome: `largest`, `fallback` or `cut`."""

    kind: Kind
    at_s: float
    profile: selection.RequestProfile
    events: int
    gap_s: float
    outcome: str = ""
    server: str = ""
    attempts: int = 0
    sent_s: float = 0.0
    predicted_s: float = 0.0
    compared: int = 0

    @property
    def limits(self) -> fallbacks.TimeLimits:
        """Its limits."""
        return fallbacks.TimeLimits(
            self.at_s, self.at_s + self.kind.deadline_s, self.kind.target_s, 0.5
        )


def build_requests(
    kinds: Sequence[Kind], duration_s: float, gap_s: float, seed: int
) -> list[Request]:
    """Returns arrivals of some kinds in order; lengths vary around medians."""
    source = random.Random(seed)
    requests = []
    for kind in kinds:
        at_s = 0.0
        while (at_s := at_s + source.expovariate(kind.rate_per_s)) < duration_s:
            tokens = int(source.lognormvariate(math.log(kind.tokens), 0.5))
            requests.append(
                Request(
                    kind,
                    at_s,
                    selection.RequestProfile(
                        model.Pool("engines", has_engines=True),
                        unshared_tokens=tokens,
                    ),
                    int(source.lognormvariate(math.log(kind.events), 0.3)) + 1,
                    gap_s * source.lognormvariate(0.0, 0.2),
                )
            )
    return sorted(requests, key=lambda request: request.at_s)


class Replay:
    """Replays requests, each at one of some nodes, against their decisions."""

    def __init__(self, engines: int, gap_s: float, seed: int) -> None:
        """Creates idle engines; all streams have a gap of about `gap_s`."""
        self._servers = engine_queues.build_servers(engines)
        self._nodes = [fallbacks.WaitBounds() for _ in range(_NODES)]
        self._gap_s = gap_s
        self._random = random.Random(seed)
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._costs = costs.CostModel()
        self._now_s = 0.0
        self._queues: dict[str, list] = collections.defaultdict(list)
        self._prefilling: dict[str, Request] = {}

    def run(self, requests: Sequence[Request]) -> None:
        """Sets the outcomes of the requests."""
        for request in requests:
            self._call_at(request.at_s, lambda r=request: self._begin(r))
        while self._timers:
            self._now_s, _, call = heapq.heappop(self._timers)
            call()

    def _call_at(self, at_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (at_s, next(self._order), call))

    def _report(self, server: str) -> escalation.EngineReport:
        waiting = sum(r.server == server for *_, r in self._queues[server])
        running = int(server in self._prefilling)
        return escalation.EngineReport(waiting, running, 0)

    def _plan(
        self, request: Request, excluded: str = ""
    ) -> escalation.EscalationPlan | None:
        candidates = escalation.select_candidates(
            request.profile,
            "large",
            [s for s in self._servers if s.name != excluded],
            forwarding.DATA_CENTRE,
            self._random,
        )
        reports = {s.name: self._report(s.name) for s in candidates.servers}
        return escalation.plan_escalation(
            request.profile,
            candidates,
            reports,
            forwarding.DATA_CENTRE,
            self._costs,
            "large",
            self._now_s,
        )

    def _find_latest_s(self, request: Request) -> float:
        stream = fallbacks.ExpectedStream(request.kind.events, self._gap_s)
        held = fallbacks.ExpectedRest(is_complete=True)
        return fallbacks.find_latest_first_event_s(
            request.limits, stream, held, self._now_s
        )

    def _begin(self, request: Request) -> None:
        plan = self._plan(request)
        latest_s = self._find_latest_s(request)
        if (
            plan is None
            or not self._random.choice(self._nodes).may_wait(
                "engines", request.kind.target_s, plan.wait_s, self._now_s
            )
            or not escalation.is_in_time(plan, request.kind.target_s, 0.0)
            or self._now_s + plan.first_event_s > latest_s
        ):
            self._end(request, "fallback")
            return
        self._call_at(latest_s, lambda: self._end(request, "fallback"))
        self._send(request, plan)

    def _send(self, request: Request, plan: escalation.EscalationPlan) -> None:
        request.attempts += 1
        request.server = plan.server.name
        request.sent_s = self._now_s
        request.predicted_s = plan.first_event_s
        rank = urgency.select_urgency(
            decisions.AdmittedRequest(
                forwarding.build_route(), request.profile.pool, None, 0.0, 1
            ),
            str(request.at_s),
            uses_cascade=True,
            is_escalated=True,
            is_repeated=request.attempts > 1,
            prompt_tokens=request.profile.prompt_tokens,
            used_share=(self._now_s - request.at_s) / request.kind.target_s,
        )
        heapq.heappush(
            self._queues[request.server], (rank, next(self._order), request)
        )
        self._start_next(request.server)
        delay_s = fallbacks.find_review_interval_s(request.kind.target_s)
        attempt = request.attempts
        self._call_at(
            self._now_s + delay_s, lambda: self._review(request, attempt)
        )

    def _review(self, request: Request, attempt: int) -> None:
        is_over = request.outcome or request.attempts != attempt
        if is_over or attempt >= _MAX_ATTEMPTS:
            return
        waited_s = self._now_s - request.sent_s
        is_busy = self._report(request.server).is_busy(
            self._costs.find_queued_request_s(_COST_KEY)
        )
        plan = None
        if (
            is_busy
            and request.compared < attempt
            and fallbacks.is_overdue(waited_s, request.predicted_s)
        ):
            request.compared = attempt
            plan = self._plan(request, request.server)
        decision = fallbacks.decide_wait(
            fallbacks.UnstartedRequest(
                waited_s=waited_s,
                useful_s=self._find_latest_s(request) - self._now_s,
                is_engine_busy=is_busy,
                alternative=plan
                and fallbacks.AlternativeEngine(
                    plan.first_event_s, plan.is_busy
                ),
            )
        )
        if decision.step is fallbacks.WaitStep.MOVE:
            self._send(request, plan)
            return
        interval_s = fallbacks.find_review_interval_s(request.kind.target_s)
        self._call_at(
            self._now_s + interval_s, lambda: self._review(request, attempt)
        )

    def _start_next(self, server: str) -> None:
        queue = self._queues[server]
        while queue and queue[0][-1].server != server:
            heapq.heappop(queue)
        if not queue or server in self._prefilling:
            return
        *_, request = heapq.heappop(queue)
        self._prefilling[server] = request
        prefill_s = request.profile.prompt_tokens * _PREFILL_S_PER_TOKEN
        self._call_at(
            self._now_s + prefill_s, lambda: self._stream(server, request)
        )

    def _stream(self, server: str, request: Request) -> None:
        del self._prefilling[server]
        self._start_next(server)
        if request.server != server:
            return
        stream = fallbacks.ExpectedStream(request.kind.events, self._gap_s)
        if not fallbacks.may_finish(self._now_s, request.limits, stream):
            self._end(request, "fallback")
            return
        end_s = self._now_s + (request.events - 1) * request.gap_s
        in_time = end_s <= request.limits.deadline_s
        self._end(request, "largest" if in_time else "cut")

    def _end(self, request: Request, outcome: str) -> None:
        if not request.outcome:
            request.outcome, request.server = outcome, ""
