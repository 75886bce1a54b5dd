"""Retry loop of one request: attempts until a response or an error."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any

from dragonflydyke import errors, logs
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    contexts,
    decisions,
    directory,
    escalation,
    held_streams,
    messages,
    outcomes,
    replacements,
    selection,
    targets,
)
from dragonflydyke.scheduling import fallbacks

_LOGGER = logs.get_logger("forwarding")


@dataclasses.dataclass(slots=True, frozen=True)
class _HeldAttempt:
    """An attempt at the smallest model whose response is held.

    Attributes:
        attempt: The attempt, which is neither closed nor recorded yet.
        details: Contents of the headers of its response.
        servers: Servers that the request could use when it began.
    """

    attempt: attempts.Attempt
    details: messages.ResponseDetails
    servers: tuple[directory.ServerEntry, ...]


class RequestRun:
    """Sends a request to successive servers until a response is delivered.

    One attempt runs at a time, except that a response of the smallest model is
    held, and read on, while the largest model is tried.
    """

    __slots__ = (
        "_admitted",
        "_context",
        "_held",
        "_predicted_first_event_s",
        "_recorder",
        "_replacement",
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
        self._held: _HeldAttempt | None = None
        self._predicted_first_event_s: float | None = None
        self._recorder = outcomes.OutcomeRecorder(services, context)
        self._targets = targets.TargetSelector(
            services,
            context,
            selection.build_profile(
                context.request, context.admitted, services.costs, _now_s()
            ),
        )
        self._replacement = replacements.AttemptReplacement(
            context, self._targets
        )

    async def run(self) -> None:
        """Makes attempts until a response is delivered to the client.

        A cancellation means that the node stops. It ends here if the held
        stream is complete, which takes no time to deliver.

        Raises:
            DragonflydykeError: If there is no response to deliver.
            ClientDisconnectedError: If the client disconnected.
        """
        try:
            await self._make_attempts()
        except errors.DragonflydykeError as error:
            if not await self._try_fallback(error.code):
                raise
        except asyncio.CancelledError:
            stream = self._state.held_stream
            if stream is None or not stream.is_complete:
                raise
            if not await self._try_fallback(
                decisions.AttemptOutcome.NODE_STOPPED
            ):
                raise
        finally:
            self._close_held()
            self._context.refund_unused_retries()

    async def _make_attempts(self) -> None:
        outcome = await self._attempt_in_time()
        while True:
            progress = self._targets.describe_progress()
            step = self._decide_next(outcome, progress)
            if step is decisions.NextStep.DONE:
                return
            if step is decisions.NextStep.RETRY:
                self._services.counters.increment(f"retry.{outcome}")
                self._update_cascade_state(outcome)
                outcome = await self._attempt_in_time()
                continue
            if self._has_fallback:
                outcome = await self._relay_held(outcome)
                continue
            failure = self._state.take_failure()
            if failure is not None and not self._state.response_started:
                failure.send(self._context.writer)
                return
            raise decisions.build_failure(outcome, progress)

    async def _attempt_in_time(self) -> decisions.AttemptOutcome:
        """Makes an attempt that leaves time to relay the held stream.

        The limit covers all that precedes the first event: slots, reports,
        connections and queues. It ends when the response to the client starts,
        or when the held stream is lost.
        """
        if not self._has_fallback:
            return await self._attempt()
        try:
            async with asyncio.timeout_at(self._find_latest_s()) as timer:
                self._state.fallback_timer = timer
                return await self._attempt()
        except TimeoutError:
            return decisions.AttemptOutcome.DEADLINE_NEAR
        finally:
            self._state.fallback_timer = None

    @property
    def _has_fallback(self) -> bool:
        stream = self._state.held_stream
        return stream is not None and stream.is_usable

    def _find_latest_s(self) -> float:
        """Returns until when a first event of the largest model is useful."""
        now_s = _now_s()
        pace = self._services.pace
        # A response that is still to be held is treated as complete.
        held = self._context.expect_held(pace, now_s)
        return fallbacks.find_latest_first_event_s(
            self._context.describe_limits(),
            self._context.expect_stream(pace, now_s),
            held or fallbacks.ExpectedRest(is_complete=True),
            now_s,
        )

    def _hold(
        self,
        attempt: attempts.Attempt,
        details: messages.ResponseDetails,
        servers: tuple[directory.ServerEntry, ...],
    ) -> None:
        """Keeps an attempt open whose response is held."""
        self._services.counters.increment("fallback.kept")
        self._held = _HeldAttempt(attempt, details, servers)
        self._state.close_held_stream = self._close_held
        self._state.held_stream = attempt.hold(details, self._follow_held)

    def _follow_held(self) -> None:
        """Acts on an event, the end or the loss of the held stream."""
        stream = self._state.held_stream
        if stream is None:
            return
        if stream.is_usable:
            self._state.schedule_fallback(self._find_latest_s())
            return
        # Without a fallback, nothing is gained by an early end of the attempt.
        self._state.schedule_fallback(None)
        held = self._take_held()
        assert held is not None
        failure = held.attempt.hold_failure
        cause, reason = "memory", "no memory for held streams"
        outcome = decisions.AttemptOutcome.LOW_CONFIDENCE
        if failure is not None:
            cause, reason = "lost", failure.reason
            # A deadline that passes is counted once, for the other attempt.
            if failure.outcome is decisions.AttemptOutcome.LOST:
                outcome = failure.outcome
        self._services.counters.increment(f"fallback.not_kept.{cause}")
        _LOGGER.info(
            "no answer in hand",
            request=self._context.request.details.request_id,
            reason=reason,
        )
        self._end_held(held, outcome, reason)

    def _close_held(self) -> None:
        """Closes the held stream, if any, which is not needed any more."""
        held = self._take_held()
        if held is not None:
            self._services.counters.increment("fallback.discarded")
            self._end_held(held, decisions.AttemptOutcome.LOW_CONFIDENCE, "")

    def _take_held(self) -> _HeldAttempt | None:
        held, self._held = self._held, None
        self._state.held_stream = None
        self._state.close_held_stream = None
        return held

    def _end_held(
        self,
        held: _HeldAttempt,
        outcome: decisions.AttemptOutcome,
        reason: str,
    ) -> None:
        held.attempt.close()
        if outcome is not decisions.AttemptOutcome.LOW_CONFIDENCE:
            self._recorder.record_progress(
                held.attempt, outcome, reason, is_counted=True
            )
        self._recorder.record_end(held.attempt, outcome, reason, held.servers)

    async def _try_fallback(self, cause: str) -> bool:
        if not self._has_fallback:
            return False
        outcome = await self._relay_held(cause)
        return outcome is decisions.AttemptOutcome.DELIVERED

    async def _relay_held(self, cause: str) -> decisions.AttemptOutcome:
        """Relays the held stream in place of a failure.

        Args:
            cause: Outcome of the last attempt.

        Returns:
            The outcome of the attempt whose stream it is.
        """
        stream = self._state.held_stream
        assert stream is not None
        inputs = self._describe_relay(stream, cause)
        held = self._take_held()
        assert held is not None
        # A stream that is lost is resumed with its own model.
        self._state.fell_back = True
        self._targets.plan = None
        outcome = decisions.AttemptOutcome.DELIVERED
        reason = ""
        try:
            await _run_until_disconnect(
                self._context.writer, held.attempt.deliver(held.details)
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
            self._end_held(held, outcome, reason)
        result = f"delivered.{cause}"
        if outcome is not decisions.AttemptOutcome.DELIVERED:
            result = f"failed.{outcome}"
        self._services.counters.increment(f"fallback.{result}")
        _LOGGER.info(
            "answer in hand delivered"
            if outcome is decisions.AttemptOutcome.DELIVERED
            else "answer in hand was lost",
            request=self._context.request.details.request_id,
            outcome_reason=reason,
            **inputs,
        )
        await self._recorder.report_crash(held.attempt, reason)
        return outcome

    def _describe_relay(
        self, stream: held_streams.HeldStream, cause: str
    ) -> dict[str, object]:
        """Returns the inputs of the decision to relay the held stream."""
        now_s = _now_s()
        pace = self._services.pace
        expected = self._context.expect_stream(pace, now_s)
        held = self._context.expect_held(pace, now_s)
        received_s = self._context.request.received_s
        return {
            "reason": cause,
            "confidence": stream.confidence,
            "events": stream.event_count,
            "was_complete": stream.is_complete,
            "held_rest_s": round(held.rest_s, 3) if held else None,
            "waited_s": round(now_s - received_s, 3),
            "remaining_s": round(self._admitted.deadline_s - now_s, 3),
            "predicted_first_event_s": self._predicted_first_event_s,
            "predicted_rest_s": round(expected.rest_s, 3),
            "expected_events": expected.events,
        }

    def _decide_next(
        self,
        outcome: decisions.AttemptOutcome,
        progress: decisions.RequestProgress,
    ) -> decisions.NextStep:
        step = decisions.decide_next_step(
            self._admitted.route, outcome, progress
        )
        reason = str(outcome)
        if step is decisions.NextStep.RETRY:
            obstacle = self._find_obstacle(outcome)
            if obstacle:
                step, reason = decisions.NextStep.GIVE_UP, obstacle
        if (
            step is decisions.NextStep.RETRY
            and self._state.paid_retries < self._state.sent_attempts
            and not self._context.try_pay_retry()
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

    def _find_obstacle(self, outcome: decisions.AttemptOutcome) -> str:
        """Returns why the held stream is better than a retry, empty if not."""
        if not self._has_fallback:
            return ""
        if _now_s() + decisions.MIN_ATTEMPT_S >= self._find_latest_s():
            return "deadline near"
        # Without another engine, the request would return to the smallest
        # model, whose response is held.
        if (
            outcome is decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT
            and self._have_all_servers_failed()
        ):
            return "no other engine"
        return ""

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
            # Other requests may have used the last slots, or an evacuation may
            # have begun, while reports of engines were read.
            return self._targets.explain_no_target()
        self._services.statements.record_start(target.server)
        attempt = attempts.Attempt(
            self._services,
            self._context,
            target,
            self._targets.review_wait,
            self._replacement,
        )
        self._state.dispatches += 1
        self._services.selector.record_start(
            target.profile, target.server, _now_s()
        )
        outcome = decisions.AttemptOutcome.DELIVERED
        reason = ""
        try:
            await _run_until_disconnect(
                self._context.writer, self._run_attempt(attempt, servers)
            )
        except attempts.AttemptFailedError as error:
            outcome, reason = error.outcome, error.reason
        except contexts.ClientDisconnectedError:
            outcome = decisions.AttemptOutcome.CLIENT_DISCONNECTED
            raise
        except asyncio.CancelledError:
            timer = self._state.fallback_timer
            outcome = decisions.AttemptOutcome.NODE_STOPPED
            if timer is not None and timer.expired():
                outcome = decisions.AttemptOutcome.DEADLINE_NEAR
            raise
        finally:
            self._recorder.record_progress(attempt, outcome, reason)
            # A held attempt goes on, and may even have ended by itself.
            if not attempt.is_held:
                attempt.close()
                self._recorder.record_end(attempt, outcome, reason, servers)
        await self._recorder.report_crash(attempt, reason)
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

    async def _run_attempt(
        self,
        attempt: attempts.Attempt,
        servers: tuple[directory.ServerEntry, ...],
    ) -> None:
        """Sends the request, and delivers the response if it is good enough.

        Otherwise the attempt stays open, and its response is held while the
        largest model is tried.
        """
        details = await attempt.start()
        if attempt.is_event_stream(details) and self._should_escalate(details):
            await attempt.await_first_bytes()
            plan = await self._plan_escalation(details)
            if plan is not None:
                self._targets.plan = plan
                self._predicted_first_event_s = round(plan.first_event_s, 3)
                self._hold(attempt, details, servers)
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
        if not self._context.try_pay_retry():
            self._log_no_escalation(details, None, "no retry budget")
            return None
        plan = await self._targets.read_plan(self._targets.list_servers())
        route = self._admitted.route
        now_s = _now_s()
        elapsed_s = now_s - self._context.request.received_s
        bounds = self._services.wait_bounds
        pool = self._admitted.pool.name
        if plan is None:
            reason = "no report"
        elif not bounds.may_wait(
            pool, route.target_latency_s, plan.wait_s, now_s
        ):
            reason = "delays requests with tighter targets"
        elif not escalation.is_in_time(plan, route.target_latency_s, elapsed_s):
            reason = "too late everywhere"
        elif now_s + plan.first_event_s > self._find_latest_s():
            reason = "cannot finish"
        else:
            self._services.counters.increment("escalation.planned")
            return plan
        self._context.refund_retry()
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
            wait_s=round(plan.wait_s, 3) if plan else None,
        )

    def _update_cascade_state(self, outcome: decisions.AttemptOutcome) -> None:
        state = self._state
        if outcome is decisions.AttemptOutcome.LOW_CONFIDENCE:
            state.escalated = True
            return
        state.repeats_largest = state.escalated
        if (
            outcome is decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT
            and state.escalated
        ):
            state.fell_back = self._have_all_servers_failed()

    def _have_all_servers_failed(self) -> bool:
        failed = self._state.failed_servers
        return all(
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
