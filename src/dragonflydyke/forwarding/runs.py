"""Retry loop of one request: attempts until a response or an error."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from dragonflydyke import logs
from dragonflydyke.backends import failures
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    contexts,
    decisions,
    directory,
    escalation,
    messages,
    selection,
    targets,
)

_OUTCOMES_WITHOUT_FAILURE = frozenset(
    (
        decisions.AttemptOutcome.DELIVERED,
        decisions.AttemptOutcome.LOW_CONFIDENCE,
    )
)
_INCONCLUSIVE_OUTCOMES = frozenset(
    (
        decisions.AttemptOutcome.CLIENT_DISCONNECTED,
        decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT,
        decisions.AttemptOutcome.NODE_STOPPED,
    )
)

_LOGGER = logs.get_logger("forwarding")


class RequestRun:
    """Sends a request to successive servers until a response is delivered."""

    __slots__ = (
        "_admitted",
        "_context",
        "_services",
        "_state",
        "_targets",
    )

    def __init__(
        self,
        services: contexts.ForwardingServices,
        context: contexts.RequestContext,
    ) -> None:
        """Creates a run without any attempt."""
        self._services = services
        self._context = context
        self._admitted = context.admitted
        self._state = context.state
        self._targets = targets.TargetSelector(
            services,
            context,
            selection.build_profile(
                context.request, context.admitted, services.costs, _now_s()
            ),
        )

    async def run(self) -> None:
        """Makes attempts until a response is delivered to the client.

        Raises:
            DragonflydykeError: If there is no response to deliver.
            ClientDisconnectedError: If the client disconnected.
        """
        while True:
            outcome = await self._attempt()
            progress = self._describe_progress()
            step = self._decide_next(outcome, progress)
            if step is decisions.NextStep.DONE:
                return
            if step is decisions.NextStep.RETRY:
                self._services.counters.increment(f"retry.{outcome}")
                self._update_cascade_state(outcome)
                continue
            failure = self._state.take_failure()
            if failure is not None and not self._state.response_started:
                failure.send(self._context.writer)
                return
            raise decisions.build_failure(outcome, progress)

    def _describe_progress(self) -> decisions.RequestProgress:
        return decisions.RequestProgress(
            attempts=self._state.attempts,
            dispatches=self._state.dispatches,
            may_have_run=self._state.may_have_run,
            remaining_s=self._admitted.deadline_s - _now_s(),
            retry_after_s=self._state.retry_after_s,
        )

    def _decide_next(
        self,
        outcome: decisions.AttemptOutcome,
        progress: decisions.RequestProgress,
    ) -> decisions.NextStep:
        step = decisions.decide_next_step(
            self._admitted.route, outcome, progress
        )
        reason = str(outcome)
        if (
            step is decisions.NextStep.RETRY
            and self._is_charged(outcome)
            and not self._context.retry_budget.try_spend()
        ):
            step = decisions.NextStep.GIVE_UP
            reason = "no retry budget"
        if step is not decisions.NextStep.DONE:
            _LOGGER.info(
                "next step",
                request=self._context.request.details.request_id,
                step=step.value,
                reason=reason,
                attempts=progress.attempts,
                may_have_run=progress.may_have_run,
                remaining_s=round(progress.remaining_s, 3),
            )
        return step

    def _is_charged(self, outcome: decisions.AttemptOutcome) -> bool:
        """Returns whether the next attempt costs a retry.

        An escalation has paid before the first response was discarded. A
        request that has not reached any server costs no retry.
        """
        if outcome is decisions.AttemptOutcome.LOW_CONFIDENCE:
            return False
        return self._state.sent_attempts > 0

    async def _attempt(self) -> decisions.AttemptOutcome:
        """Makes one attempt and returns its outcome."""
        await self._services.store_knowledge.refresh_if_overdue()
        quarantined = self._find_quarantine()
        if quarantined is not None:
            return quarantined
        if not await self._targets.await_slot():
            return decisions.AttemptOutcome.LIMITED
        servers = self._targets.list_servers()
        target = await self._targets.select_target(servers)
        if target is None:
            # Other requests may have used the last slots while reports of
            # engines were read.
            return self._targets.explain_no_target(servers)
        self._services.statements.record_start(target.server)
        attempt = attempts.Attempt(self._services, self._context, target)
        self._state.dispatches += 1
        self._services.selector.record_start(
            target.profile, target.server, _now_s()
        )
        outcome = decisions.AttemptOutcome.DELIVERED
        reason = ""
        try:
            await _run_until_disconnect(
                self._context.writer, self._run_attempt(attempt)
            )
        except attempts.AttemptFailedError as error:
            outcome, reason = error.outcome, error.reason
        except contexts.ClientDisconnectedError:
            outcome = decisions.AttemptOutcome.CLIENT_DISCONNECTED
            raise
        except asyncio.CancelledError:
            outcome = decisions.AttemptOutcome.NODE_STOPPED
            raise
        finally:
            attempt.close()
            self._record_attempt(attempt, outcome, reason, servers)
        if reason == failures.CONNECTION_LOST and attempt.may_have_crashed:
            await self._services.crash_reporter.report(
                attempt.server,
                self._context.request.details.request_id,
                self._context.describe_content(),
            )
        return outcome

    def _find_quarantine(self) -> decisions.AttemptOutcome | None:
        """Returns why the request must not be sent to any server, or None."""
        requests = self._services.quarantine
        pool = self._admitted.pool.name
        if not requests.has_reports(pool):
            return None
        content = self._context.describe_content()
        if requests.excludes_repetition(pool, content.fingerprint):
            self._services.counters.increment("crash.request_rejected")
            self._log_quarantine(fingerprint=content.fingerprint)
            return decisions.AttemptOutcome.REPETITION_QUARANTINED
        parts = requests.find_combination(pool, content.parts)
        if parts is None:
            return None
        self._services.counters.increment("crash.prompt_rejected")
        self._log_quarantine(parts=sorted(parts))
        return decisions.AttemptOutcome.QUARANTINED

    def _log_quarantine(self, **cause: object) -> None:
        _LOGGER.info(
            "request is in quarantine",
            request=self._context.request.details.request_id,
            **cause,
        )

    async def _run_attempt(self, attempt: attempts.Attempt) -> None:
        """Sends the request, and delivers the response if it is good enough."""
        details = await attempt.start()
        if attempt.is_event_stream(details) and self._should_escalate(details):
            await attempt.await_first_bytes()
            self._targets.plan = await self._plan_escalation(details)
            if self._targets.plan is not None:
                raise attempts.AttemptFailedError(
                    decisions.AttemptOutcome.LOW_CONFIDENCE,
                    f"confidence {details.confidence:.2f}",
                )
        await attempt.deliver(details)

    def _should_escalate(self, details: messages.ResponseDetails) -> bool:
        return (
            self._context.request.details.wants_any_model
            and not self._state.response_started
            and not cascade.is_acceptable(
                self._admitted.route,
                self._state.describe_cascade(),
                details.confidence,
            )
        )

    async def _plan_escalation(
        self, details: messages.ResponseDetails
    ) -> escalation.EscalationPlan | None:
        """Spends a retry on an escalation and returns where it should run.

        Returns:
            The plan, or None if the response at hand should be delivered.
        """
        retry_budget = self._context.retry_budget
        if not retry_budget.try_spend():
            self._log_no_escalation(details, None, "no retry budget")
            return None
        plan = await self._targets.read_plan(self._targets.list_servers())
        route = self._admitted.route
        elapsed_s = _now_s() - self._context.request.received_s
        if plan is None:
            reason = "no report"
        elif escalation.is_in_time(plan, route.target_latency_s, elapsed_s):
            self._services.counters.increment("escalation.planned")
            return plan
        else:
            reason = "too late everywhere"
        retry_budget.refund()
        self._log_no_escalation(details, plan, reason)
        return None

    def _log_no_escalation(
        self,
        details: messages.ResponseDetails,
        plan: escalation.EscalationPlan | None,
        reason: str,
    ) -> None:
        self._services.counters.increment("escalation.declined")
        _LOGGER.info(
            "not escalated",
            request=self._context.request.details.request_id,
            reason=reason,
            confidence=details.confidence,
            first_event_s=round(plan.first_event_s, 3) if plan else None,
        )

    def _record_attempt(
        self,
        attempt: attempts.Attempt,
        outcome: decisions.AttemptOutcome,
        reason: str,
        servers: tuple[directory.ServerEntry, ...],
    ) -> None:
        """Records the outcome of an attempt in all statistics."""
        server = attempt.server
        if attempt.may_have_run and not self._was_server_stopped(
            server, outcome
        ):
            self._state.attempts += 1
        self._state.sent_attempts += attempt.was_sent
        self._state.may_have_run |= attempt.may_have_run
        attempt.record_outcome(outcome)
        attempt.times.ended_s = _now_s()
        self._services.cost_recorder.record(
            attempt.target.profile,
            server,
            attempt.target.plan,
            attempt.times,
            outcome,
        )
        self._state.attempt_history.append(f"{server.name}:{outcome}:{reason}")
        if outcome not in _OUTCOMES_WITHOUT_FAILURE:
            self._state.failed_servers.append(server.name)
        if outcome is decisions.AttemptOutcome.LOST:
            self._log_loss(attempt, reason)
        ejected = self._services.selector.record_outcome(
            attempt.target.profile,
            server,
            _now_s(),
            failed=None if attempt.stated_pause else _classify_failure(outcome),
            peers=servers,
        )
        if ejected:
            self._services.counters.increment("server.ejected")
            _LOGGER.notice("server ejected", server=server.name)

    def _log_loss(self, attempt: attempts.Attempt, reason: str) -> None:
        started_s = attempt.response_started_s
        details = self._context.request.details
        _LOGGER.info(
            "response lost",
            request=details.request_id,
            server=attempt.server.name,
            server_started_ms=attempt.server.started_ms,
            reason=reason,
            events=attempt.event_count,
            response_age_s=round(_now_s() - started_s, 4)
            if started_s is not None
            else None,
            shared_parts=[part.part_id for part in details.shared_parts],
            fingerprint=self._context.describe_content().fingerprint,
        )

    def _was_server_stopped(
        self, server: directory.ServerEntry, outcome: decisions.AttemptOutcome
    ) -> bool:
        """Returns whether an attempt was lost because its server was stopped.

        The servers of the old version stop as soon as a rollout completes.
        """
        if outcome is not decisions.AttemptOutcome.LOST:
            return False
        rule = self._services.rollout_controller.select_version_rule(
            server.pool, ""
        )
        has_other_version = bool(rule.preferred) and not rule.matches(
            server.version
        )
        return has_other_version or not self._services.directory.is_usable(
            server
        )

    def _update_cascade_state(self, outcome: decisions.AttemptOutcome) -> None:
        if outcome is decisions.AttemptOutcome.LOW_CONFIDENCE:
            self._state.escalated = True
        elif (
            outcome is decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT
            and self._state.escalated
        ):
            failed = self._state.failed_servers
            self._state.fell_back = all(
                server.name in failed for server in self._targets.list_servers()
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


async def _run_until_disconnect(
    writer: contexts.ResponseWriter, coroutine: Coroutine[Any, Any, None]
) -> None:
    """Runs a coroutine; cancels it when the client disconnects.

    Raises:
        ClientDisconnectedError: If the client disconnected.
    """
    task = asyncio.ensure_future(coroutine)
    writer.set_close_callback(task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if writer.is_closed:
            raise contexts.ClientDisconnectedError from None
        raise
    finally:
        writer.set_close_callback(None)
        # The traceback of an error refers to this frame. Together with the task
        # it would be a cycle, which keeps all that the attempt has read until a
        # run of the garbage collector.
        del task


def _classify_failure(outcome: decisions.AttemptOutcome) -> bool | None:
    """Returns whether the server failed an attempt, None if unknown."""
    if outcome in _INCONCLUSIVE_OUTCOMES:
        return None
    return outcome not in _OUTCOMES_WITHOUT_FAILURE
