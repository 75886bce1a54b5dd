"""Retry loop of one request: attempts until a response or an error."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from dragonflydyke import logs
from dragonflydyke.forwarding import (
    attempts,
    decisions,
    directory,
    messages,
    selection,
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
    )
)

_LOGGER = logs.get_logger("forwarding")


class RequestRun:
    """Sends a request to successive servers until a response is delivered."""

    __slots__ = ("_admitted", "_context", "_profile", "_services", "_state")

    def __init__(
        self,
        services: attempts.ForwardingServices,
        context: attempts.RequestContext,
    ) -> None:
        """Creates a run without any attempt."""
        self._services = services
        self._context = context
        self._admitted = context.admitted
        self._state = context.state
        self._profile = _build_profile(context.request, context.admitted)

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
            if (
                self._state.server_failure is not None
                and not self._state.response_started
            ):
                self._state.server_failure.send(self._context.writer)
                return
            raise decisions.build_failure(outcome, progress)

    def _describe_progress(self) -> decisions.RequestProgress:
        now_s = asyncio.get_running_loop().time()
        return decisions.RequestProgress(
            attempts=self._state.attempts,
            dispatches=self._state.dispatches,
            may_have_run=self._state.may_have_run,
            remaining_s=self._admitted.deadline_s - now_s,
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
        # A request that has not reached any server costs no retry budget.
        is_charged = self._state.sent_attempts > 0
        wants_retry = step is decisions.NextStep.RETRY
        if (
            wants_retry
            and is_charged
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

    async def _attempt(self) -> decisions.AttemptOutcome:
        """Makes one attempt and returns its outcome."""
        servers = self._list_servers()
        selected = self._select_server(servers)
        if selected is None:
            return decisions.AttemptOutcome.NO_SERVER
        attempt = attempts.Attempt(
            self._services, self._context, selected.server
        )
        self._state.dispatches += 1
        self._services.selector.record_start(self._profile, selected.server)
        outcome = decisions.AttemptOutcome.DELIVERED
        reason = ""
        try:
            await _run_until_disconnect(self._context.writer, attempt.run())
        except attempts.AttemptFailedError as error:
            outcome, reason = error.outcome, error.reason
        except attempts.ClientDisconnectedError:
            outcome = decisions.AttemptOutcome.CLIENT_DISCONNECTED
            raise
        finally:
            attempt.close()
            self._record_attempt(attempt, outcome, reason, servers)
        return outcome

    def _select_server(
        self, servers: tuple[directory.ServerEntry, ...]
    ) -> selection.SelectedServer | None:
        now_s = asyncio.get_running_loop().time()
        selected = self._services.selector.select_server(
            self._profile, servers, now_s, self._state.failed_servers
        )
        _LOGGER.info(
            "attempt",
            request=self._context.request.details.request_id,
            server=selected.server.name if selected else "",
            version=selected.server.version if selected else "",
            cost_s=round(selected.cost_s, 3) if selected else None,
            has_beginning=selected.is_affinity_target if selected else None,
            in_progress=selected.in_flight if selected else None,
            usable=len(servers),
            servers_age_s=self._services.directory.find_age_s(now_s),
        )
        return selected

    def _list_servers(self) -> tuple[directory.ServerEntry, ...]:
        self._services.directory.expire(asyncio.get_running_loop().time())
        pool = self._admitted.pool.name
        details = self._context.request.details
        rule = self._services.rollout_controller.select_version_rule(
            pool, details.session or details.request_id
        )
        servers = self._services.directory.list_usable(pool)
        return selection.filter_versions(rule, servers)

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
        self._state.attempt_history.append(f"{server.name}:{outcome}:{reason}")
        if outcome not in _OUTCOMES_WITHOUT_FAILURE:
            self._state.failed_servers.append(server.name)
        ejected = self._services.selector.record_outcome(
            self._profile,
            server,
            asyncio.get_running_loop().time(),
            failed=_classify_failure(outcome),
            peers=servers,
        )
        if ejected:
            self._services.counters.increment("server.ejected")
            _LOGGER.notice("server ejected", server=server.name)

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
        elif outcome is decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT:
            self._state.fell_back = True


async def _run_until_disconnect(
    writer: attempts.ResponseWriter, coroutine: Coroutine[Any, Any, None]
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
            raise attempts.ClientDisconnectedError from None
        raise
    finally:
        writer.set_close_callback(None)


def _classify_failure(outcome: decisions.AttemptOutcome) -> bool | None:
    """Returns whether the server failed an attempt, None if unknown."""
    if outcome in _INCONCLUSIVE_OUTCOMES:
        return None
    return outcome not in _OUTCOMES_WITHOUT_FAILURE


def _build_profile(
    request: messages.IncomingRequest, admitted: decisions.AdmittedRequest
) -> selection.RequestProfile:
    details = request.details
    if not admitted.pool.has_engines:
        return selection.RequestProfile(
            admitted.pool, body_bytes=len(request.body)
        )
    shared = details.shared_prefix
    shared_tokens = sum(part.tokens for part in details.prompt[:-1])
    return selection.RequestProfile(
        pool=admitted.pool,
        affinity_key=shared.part_id if shared else "",
        shared_prefix_tokens=shared_tokens,
        unshared_tokens=max(0, details.prompt_tokens - shared_tokens),
        output_tokens=details.length_hint or details.max_output_tokens,
        body_bytes=len(request.body),
    )
