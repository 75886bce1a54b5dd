"""Choice of the server and model for the next attempt of a request."""

import asyncio
import dataclasses
from collections.abc import Callable

from dragonflydyke import logs
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    contexts,
    decisions,
    directory,
    escalation,
    locations,
    regions,
    selection,
    urgency,
)
from dragonflydyke.scheduling import fallbacks

# Slots depend on the time of day, which differs slightly from the loop's time.
_MIN_SLOT_DELAY_S = 0.005

_EXCLUSIONS = {
    locations.Exclusion.EVACUATED: (
        decisions.AttemptOutcome.DATA_CENTRES_EVACUATED
    ),
    locations.Exclusion.REGION: decisions.AttemptOutcome.NO_ALLOWED_REGION,
}

_LOGGER = logs.get_logger("forwarding")


class TargetSelector:
    """Selects where the attempts of one request run.

    Attributes:
        plan: Escalation that the next attempt should follow, None for none.
    """

    __slots__ = (
        "_admitted",
        "_allowed_regions",
        "_compared_servers",
        "_context",
        "_profile",
        "_services",
        "_state",
        "plan",
    )

    def __init__(
        self,
        services: contexts.ForwardingServices,
        context: contexts.RequestContext,
        profile: selection.RequestProfile,
    ) -> None:
        """Creates a selector without a plan."""
        self._services = services
        self._context = context
        self._admitted = context.admitted
        self._state = context.state
        self._profile = profile
        self._allowed_regions = regions.find_allowed_regions(
            self._admitted.route, self._admitted.account
        )
        self.plan: escalation.EscalationPlan | None = None
        # Busy engines that were compared with others.
        self._compared_servers: set[str] = set()

    def list_servers(self) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers that this request may use now.

        Each choice of a server goes through this method: waits for a slot,
        selections, escalation plans and their prefix sources.
        """
        return self._find_usable().servers

    def describe_progress(self) -> decisions.RequestProgress:
        """Returns the attempts that have ended so far."""
        return decisions.RequestProgress(
            attempts=self._state.attempts,
            dispatches=decisions.count_dispatches(
                self._state.dispatches,
                self._state.refusals.total(),
                has_other_data_centre=self.has_other_data_centre(),
            ),
            may_have_run=self._state.may_have_run,
            remaining_s=self._admitted.deadline_s - _now_s(),
            retry_after_s=self._state.retry_after_s,
        )

    def has_allowed_server(self) -> bool:
        """Returns whether a server would accept an attempt now."""
        return bool(self._services.statements.list_allowed(self.list_servers()))

    def _find_usable(self) -> locations.UsableServers:
        now_s = _now_s()
        self._services.directory.expire(now_s)
        pool = self._admitted.pool.name
        details = self._context.request.details
        rule = self._services.rollout_controller.select_version_rule(
            pool, details.session or details.request_id
        )
        return self._services.locations.select(
            self._services.directory.list_usable(pool),
            rule,
            self._allowed_regions,
            now_s,
        )

    async def await_slot(self) -> bool:
        """Waits until the servers allow a request to one of them.

        Returns:
            Whether they do, or whether there is no server at all.
        """
        statements = self._services.statements
        has_waited = False
        while True:
            servers = self.list_servers()
            preferred = self._list_preferred(servers)
            if not servers or statements.list_allowed(preferred):
                return True
            now_s = _now_s()
            delay_s = statements.find_delay_s(preferred)
            has_cold = statements.has_cold(preferred)
            wait_s = decisions.find_slot_wait_s(
                self._admitted.route,
                elapsed_s=now_s - self._context.request.received_s,
                remaining_s=self._admitted.deadline_s - now_s,
                started=self._state.response_started,
                # The other servers may be usable after all.
                has_cold=has_cold and len(preferred) == len(servers),
            )
            if delay_s > wait_s or self._context.writer.is_closed:
                if statements.list_allowed(servers):
                    return True
                self._record_no_slot(servers, delay_s, has_cold=has_cold)
                return False
            if has_cold and not has_waited:
                has_waited = True
                self._services.counters.increment("limit.cold_waited")
            await asyncio.sleep(max(delay_s, _MIN_SLOT_DELAY_S))

    def _record_no_slot(
        self,
        servers: tuple[directory.ServerEntry, ...],
        delay_s: float,
        *,
        has_cold: bool,
    ) -> None:
        """Records that a request is rejected as no server accepts it."""
        self._services.counters.increment("limit.exceeded")
        if has_cold:
            self._services.counters.increment("limit.cold_rejected")
        self._state.retry_after_s = delay_s
        states = map(self._services.statements.find_cold_state, servers)
        reasons = {state.reason.value for state in states if state is not None}
        _LOGGER.info(
            "no server accepts a request yet",
            request=self._context.request.details.request_id,
            servers=len(servers),
            delay_s=round(delay_s, 3),
            reason="cold" if has_cold else "limited",
            cold_reasons=sorted(reasons),
            brittle=self._services.statements.count_brittle(servers),
        )

    def has_other_data_centre(self) -> bool:
        """Returns whether servers are usable in a data centre not tried.

        That is one that refused no connection of this request.
        """
        refusals = self._state.refusals
        return bool(refusals) and any(
            not refusals[server.backend.data_centre]
            for server in self.list_servers()
        )

    def _list_preferred(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers outside data centres that are avoided, or all."""
        return self._services.failure_domains.list_preferred(
            servers, self._state.refusals, _now_s()
        )

    def explain_no_target(self) -> decisions.AttemptOutcome:
        """Returns why no attempt can be made."""
        usable = self._find_usable()
        if usable.servers:
            return decisions.AttemptOutcome.LIMITED
        if usable.exclusion is not None:
            outcome = _EXCLUSIONS[usable.exclusion]
            self._log_exclusion(usable, outcome)
            return outcome
        if self._services.directory.has_leaving(self._admitted.pool.name):
            return decisions.AttemptOutcome.SERVERS_LEAVE
        return decisions.AttemptOutcome.NO_SERVER

    def _log_exclusion(
        self, usable: locations.UsableServers, reason: str
    ) -> None:
        allowed = self._allowed_regions
        _LOGGER.info(
            "location excludes all servers",
            request=self._context.request.details.request_id,
            reason=reason,
            evacuated=sorted(
                {server.backend.data_centre for server in usable.evacuated}
            ),
            allowed_regions=None if allowed is None else sorted(allowed),
            evacuated_servers=len(usable.evacuated),
            outside_servers=len(usable.outside),
        )

    async def read_plan(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> escalation.EscalationPlan | None:
        """Returns the best engine for the largest model, None if unknown."""
        return await self._services.planner.plan(
            self._profile,
            self._admitted.route.models[-1],
            self._list_candidates(servers),
        )

    async def select_target(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> attempts.AttemptTarget | None:
        """Returns where the next attempt runs, None if no server accepts it."""
        statements = self._services.statements
        plan, self.plan = self.plan, None
        state = self._state.describe_cascade()
        if plan is None and state.needs_largest_model and servers:
            plan = await self.read_plan(servers)
        # Another request may have used the slot, or an evacuation may have
        # begun, while reports were read.
        usable = self._find_usable()
        servers = usable.servers
        if usable.evacuated:
            self._services.counters.increment("evacuation.excluded")
        if (
            plan is not None
            and plan.server in servers
            and statements.allows(plan.server)
        ):
            self._log_plan(plan, len(servers))
            source = plan.prefix_source
            if source is not None and source not in servers:
                source = None
            plan = dataclasses.replace(plan, prefix_source=source)
            return self._build_target(plan.server, plan)
        selected = self._select_server(
            self._list_preferred(statements.list_allowed(servers))
        )
        return self._build_target(selected.server) if selected else None

    async def review_wait(
        self,
        target: attempts.AttemptTarget,
        waited_s: float,
        try_reserve: Callable[[], bool],
    ) -> fallbacks.WaitDecision:
        """Decides on a request that its engine has not started.

        If the request is to move, the next attempt follows the plan.

        Args:
            target: Where the request waits.
            waited_s: Seconds for which it has waited there.
            try_reserve: Takes a retry for a request that does not wait on;
                returns whether there was one. Otherwise it waits.
        """
        planner = self._services.planner
        model_name = target.model_name or self._context.request.details.model
        report = await planner.read_report(target.server)
        is_busy = None
        if report is not None:
            is_busy = planner.is_busy(target.server, model_name, report)
        plan = None
        if is_busy and fallbacks.is_overdue(waited_s, target.first_event_s):
            plan = await self._plan_move(target.server, model_name)
        decision = fallbacks.decide_wait(
            fallbacks.UnstartedRequest(
                waited_s=waited_s,
                useful_s=self._find_useful_wait_s(),
                is_engine_busy=is_busy,
                alternative=fallbacks.AlternativeEngine(
                    plan.first_event_s, plan.is_busy
                )
                if plan
                else None,
            )
        )
        if decision.step is not fallbacks.WaitStep.WAIT and not try_reserve():
            decision = fallbacks.WaitDecision(
                fallbacks.WaitStep.WAIT, "no retry left"
            )
        self._services.counters.increment(f"unstarted.{decision.step.value}")
        if decision.step is fallbacks.WaitStep.WAIT:
            return decision
        self._log_unstarted(target, decision, waited_s, report, plan)
        if decision.step is fallbacks.WaitStep.MOVE:
            assert plan is not None
            if not self._state.escalated:
                # The smallest model has other affinity servers.
                plan = dataclasses.replace(plan, prefix_source=None)
            self.plan = plan
        return decision

    async def _plan_move(
        self, server: directory.ServerEntry, model_name: str
    ) -> escalation.EscalationPlan | None:
        """Returns the best engine other than a busy one, or None.

        It is looked for once for each busy engine, as each report is a call to
        an engine.
        """
        if server.name in self._compared_servers:
            return None
        self._compared_servers.add(server.name)
        excluded = {server.name, *self._state.failed_servers}
        allowed = self._services.statements.list_allowed(self.list_servers())
        return await self._services.planner.plan(
            self._profile,
            model_name,
            tuple(s for s in allowed if s.name not in excluded),
        )

    def _find_useful_wait_s(self) -> float:
        """Returns for how long a first event of the engine is of use."""
        now_s = _now_s()
        pace = self._services.pace
        held = self._context.expect_held(pace, now_s)
        latest_s = fallbacks.find_latest_first_event_s(
            self._context.describe_limits(),
            self._context.expect_stream(pace, now_s),
            held or fallbacks.ExpectedRest(is_complete=True),
            now_s,
        )
        return latest_s - now_s

    def _log_unstarted(
        self,
        target: attempts.AttemptTarget,
        decision: fallbacks.WaitDecision,
        waited_s: float,
        report: escalation.EngineReport | None,
        plan: escalation.EscalationPlan | None,
    ) -> None:
        _LOGGER.info(
            "engine has not started a request",
            request=self._context.request.details.request_id,
            server=target.server.name,
            step=decision.step.value,
            reason=decision.reason,
            waited_s=round(waited_s, 3),
            predicted_first_event_s=target.first_event_s,
            queued=report.queued if report else None,
            other=plan.server.name if plan else "",
            other_first_event_s=round(plan.first_event_s, 3) if plan else None,
        )

    def _describe_attempt(self) -> selection.RequestProfile:
        """Returns the profile of the next attempt, with learned costs."""
        name = self._select_model() or self._context.request.details.model
        return selection.apply_costs(
            self._profile, name, self._services.costs, _now_s()
        )

    def _select_model(self) -> str:
        """Returns the model that the router chooses, empty if it does not."""
        if not self._context.request.details.wants_any_model:
            return ""
        return cascade.select_model(
            self._admitted.route, self._state.describe_cascade()
        )

    def _list_candidates(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> tuple[directory.ServerEntry, ...]:
        failed = self._state.failed_servers
        servers = self._list_preferred(
            self._services.statements.list_allowed(servers)
        )
        servers = tuple(s for s in servers if s.name not in failed) or servers
        return tuple(
            self._services.selector.list_with_room(self._profile, servers)
        )

    def _build_target(
        self,
        server: directory.ServerEntry,
        plan: escalation.EscalationPlan | None = None,
    ) -> attempts.AttemptTarget:
        state = self._state.describe_cascade()
        model_name = self._select_model()
        return attempts.AttemptTarget(
            server,
            self._describe_attempt(),
            model_name,
            urgency.select_urgency(
                self._admitted,
                self._context.request.details.request_id,
                uses_cascade=bool(model_name),
                is_escalated=state.needs_largest_model,
                is_repeated=state.repeats_largest,
                prompt_tokens=self._profile.prompt_tokens,
                used_share=self._find_used_share(),
            ),
            plan,
        )

    def _find_used_share(self) -> float:
        """Returns the fraction of the target latency that is over."""
        elapsed_s = _now_s() - self._context.request.received_s
        return elapsed_s / self._admitted.route.target_latency_s

    def _log_plan(
        self, plan: escalation.EscalationPlan, usable_count: int
    ) -> None:
        _LOGGER.info(
            "attempt",
            request=self._context.request.details.request_id,
            server=plan.server.name,
            version=plan.server.version,
            cost_s=round(plan.first_event_s, 3),
            finish_s=round(plan.finish_s, 3),
            samples=plan.samples,
            has_beginning=plan.prefix_source is None,
            in_progress=plan.queued,
            usable=usable_count,
            servers_changed_s=self._services.directory.find_age_s(_now_s()),
        )

    def _select_server(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> selection.SelectedServer | None:
        now_s = _now_s()
        profile = self._describe_attempt()
        selected = self._services.selector.select_server(
            profile, servers, now_s, self._state.failed_servers
        )
        _LOGGER.info(
            "attempt",
            request=self._context.request.details.request_id,
            server=selected.server.name if selected else "",
            version=selected.server.version if selected else "",
            cost_s=round(selected.cost_s, 3) if selected else None,
            finish_s=round(profile.duration_s, 3),
            speed_factor=round(selected.speed_factor, 2) if selected else None,
            has_beginning=selected.is_affinity_target if selected else None,
            in_progress=selected.in_flight if selected else None,
            usable=len(servers),
            servers_changed_s=self._services.directory.find_age_s(now_s),
        )
        return selected


def _now_s() -> float:
    return asyncio.get_running_loop().time()
