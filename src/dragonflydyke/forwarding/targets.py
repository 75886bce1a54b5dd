"""Choice of the server and model for the next attempt of a request."""

import asyncio

from dragonflydyke import logs
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    contexts,
    decisions,
    directory,
    escalation,
    selection,
    urgency,
)

# Slots depend on the time of day, which differs slightly from the loop's time.
_MIN_SLOT_DELAY_S = 0.005

_LOGGER = logs.get_logger("forwarding")


class TargetSelector:
    """Selects where the attempts of one request run.

    Attributes:
        plan: Escalation that the next attempt should follow, None for none.
    """

    __slots__ = (
        "_admitted",
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
        self.plan: escalation.EscalationPlan | None = None

    def list_servers(self) -> tuple[directory.ServerEntry, ...]:
        """Returns the servers that this request may use during a rollout."""
        self._services.directory.expire(_now_s())
        pool = self._admitted.pool.name
        details = self._context.request.details
        rule = self._services.rollout_controller.select_version_rule(
            pool, details.session or details.request_id
        )
        servers = self._services.directory.list_usable(pool)
        return selection.filter_versions(rule, servers)

    async def await_slot(self) -> bool:
        """Waits until the servers allow a request to one of them.

        Returns:
            Whether they do, or whether there is no server at all.
        """
        statements = self._services.statements
        while True:
            servers = self.list_servers()
            if not servers or statements.list_allowed(servers):
                return True
            now_s = _now_s()
            delay_s = statements.find_delay_s(servers)
            wait_s = decisions.find_slot_wait_s(
                self._admitted.route,
                elapsed_s=now_s - self._context.request.received_s,
                remaining_s=self._admitted.deadline_s - now_s,
                started=self._state.response_started,
            )
            if delay_s > wait_s or self._context.writer.is_closed:
                self._services.counters.increment("limit.exceeded")
                self._state.retry_after_s = delay_s
                _LOGGER.info(
                    "no server accepts a request yet",
                    request=self._context.request.details.request_id,
                    servers=len(servers),
                    delay_s=round(delay_s, 3),
                )
                return False
            await asyncio.sleep(max(delay_s, _MIN_SLOT_DELAY_S))

    def explain_no_target(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> decisions.AttemptOutcome:
        """Returns why no attempt can be made, given the usable servers."""
        if servers:
            return decisions.AttemptOutcome.LIMITED
        if self._services.directory.has_leaving(self._admitted.pool.name):
            return decisions.AttemptOutcome.SERVERS_LEAVE
        return decisions.AttemptOutcome.NO_SERVER

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
        # Another request may have used the slot while reports were read.
        if plan is not None and statements.allows(plan.server):
            self._log_plan(plan, len(servers))
            return self._build_target(plan.server, plan)
        selected = self._select_server(statements.list_allowed(servers))
        return self._build_target(selected.server) if selected else None

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
        servers = self._services.statements.list_allowed(servers)
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
                uses_cascade=bool(model_name),
                is_escalated=state.needs_largest_model,
                prompt_tokens=self._profile.prompt_tokens,
            ),
            plan,
        )

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
            servers_age_s=self._services.directory.find_age_s(_now_s()),
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
            servers_age_s=self._services.directory.find_age_s(now_s),
        )
        return selected


def _now_s() -> float:
    return asyncio.get_running_loop().time()
