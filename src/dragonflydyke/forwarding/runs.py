"""The run of one request: attempts until an answer or an error."""

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
    """Sends a request to one server after the other until it is answered."""

    __slots__ = ("_admitted", "_context", "_profile", "_services", "_state")

    def __init__(
        self,
        services: attempts.ForwardingServices,
        context: attempts.RequestContext,
    ) -> None:
        """Creates a run that has sent nothing."""
        self._services = services
        self._context = context
        self._admitted = context.admitted
        self._state = context.state
        self._profile = _build_profile(context.request, context.admitted)

    async def run(self) -> None:
        """Answers the request.

        Raises:
            DragonflydykeError: If there is no answer to deliver.
            ClientGoneError: If the client left.
        """
        while True:
            end = await self._attempt()
            progress = self._describe_progress()
            step = self._decide_next(end, progress)
            if step is decisions.NextStep.DONE:
                return
            if step is decisions.NextStep.RETRY:
                self._services.counters.increment(f"retry.{end}")
                self._update_cascade_state(end)
                continue
            if (
                self._state.server_failure is not None
                and not self._state.response_started
            ):
                self._state.server_failure.send(self._context.writer)
                return
            raise decisions.build_failure(end, progress)

    def _describe_progress(self) -> decisions.RequestProgress:
        now_s = asyncio.get_running_loop().time()
        return decisions.RequestProgress(
            attempts=self._state.attempts,
            dispatches=self._state.dispatches,
            may_have_run=self._state.may_have_run,
            remaining_s=self._admitted.deadline_s - now_s,
        )

    def _decide_next(
        self, end: decisions.AttemptOutcome, progress: decisions.RequestProgress
    ) -> decisions.NextStep:
        step = decisions.decide_next_step(self._admitted.route, end, progress)
        reason = str(end)
        # What reached no server yet is not a retry to any of them.
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
        """Makes one attempt and returns how it ended."""
        members = self._list_servers()
        choice = self._select_server(members)
        if choice is None:
            return decisions.AttemptOutcome.NO_SERVER
        attempt = attempts.Attempt(self._services, self._context, choice.server)
        self._state.dispatches += 1
        self._services.selector.record_start(self._profile, choice.server)
        end = decisions.AttemptOutcome.DELIVERED
        reason = ""
        try:
            await _run_until_disconnect(self._context.writer, attempt.run())
        except attempts.AttemptFailedError as error:
            end, reason = error.outcome, error.reason
        except attempts.ClientDisconnectedError:
            end = decisions.AttemptOutcome.CLIENT_DISCONNECTED
            raise
        finally:
            attempt.close()
            self._record_attempt(attempt, end, reason, members)
        return end

    def _select_server(
        self, members: tuple[directory.ServerEntry, ...]
    ) -> selection.SelectedServer | None:
        now_s = asyncio.get_running_loop().time()
        choice = self._services.selector.select_server(
            self._profile, members, now_s, self._state.failed_servers
        )
        _LOGGER.info(
            "attempt",
            request=self._context.request.details.request_id,
            server=choice.server.name if choice else "",
            version=choice.server.version if choice else "",
            cost_s=round(choice.cost_s, 3) if choice else None,
            has_beginning=choice.is_affinity_target if choice else None,
            in_progress=choice.in_flight if choice else None,
            usable=len(members),
            servers_age_s=self._services.directory.find_age_s(now_s),
        )
        return choice

    def _list_servers(self) -> tuple[directory.ServerEntry, ...]:
        self._services.directory.expire(asyncio.get_running_loop().time())
        pool = self._admitted.pool.name
        details = self._context.request.details
        rule = self._services.rollout_controller.select_version_rule(
            pool, details.session or details.request_id
        )
        members = self._services.directory.list_usable(pool)
        return selection.filter_versions(rule, members)

    def _record_attempt(
        self,
        attempt: attempts.Attempt,
        end: decisions.AttemptOutcome,
        reason: str,
        members: tuple[directory.ServerEntry, ...],
    ) -> None:
        """Ends the accounts of an attempt."""
        member = attempt.server
        if attempt.may_have_run and not self._was_server_stopped(member, end):
            self._state.attempts += 1
        self._state.sent_attempts += attempt.was_sent
        self._state.may_have_run |= attempt.may_have_run
        attempt.record_outcome(end)
        self._state.attempt_history.append(f"{member.name}:{end}:{reason}")
        if end not in _OUTCOMES_WITHOUT_FAILURE:
            self._state.failed_servers.append(member.name)
        ejected = self._services.selector.record_outcome(
            self._profile,
            member,
            asyncio.get_running_loop().time(),
            failed=_find_server_failure(end),
            peers=members,
        )
        if ejected:
            self._services.counters.increment("server.ejected")
            _LOGGER.notice("server ejected", server=member.name)

    def _was_server_stopped(
        self, member: directory.ServerEntry, end: decisions.AttemptOutcome
    ) -> bool:
        """Returns whether an attempt was lost because its server ended.

        The old servers stop at once when a roll-out completes.
        """
        if end is not decisions.AttemptOutcome.LOST:
            return False
        rule = self._services.rollout_controller.select_version_rule(
            member.pool, ""
        )
        has_other_version = bool(rule.preferred) and not rule.matches(
            member.version
        )
        return has_other_version or not self._services.directory.is_usable(
            member
        )

    def _update_cascade_state(self, end: decisions.AttemptOutcome) -> None:
        if end is decisions.AttemptOutcome.LOW_CONFIDENCE:
            self._state.escalated = True
        elif end is decisions.AttemptOutcome.FIRST_EVENT_TIMEOUT:
            self._state.fell_back = True


async def _run_until_disconnect(
    reply: attempts.ResponseWriter, work: Coroutine[Any, Any, None]
) -> None:
    """Runs work until its end, or cancels it when the client goes."""
    task = asyncio.ensure_future(work)
    reply.set_close_callback(task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if reply.is_closed:
            raise attempts.ClientDisconnectedError from None
        raise
    finally:
        reply.set_close_callback(None)


def _find_server_failure(end: decisions.AttemptOutcome) -> bool | None:
    """Returns whether a server was at fault, None if that is not known."""
    if end in _INCONCLUSIVE_OUTCOMES:
        return None
    return end not in _OUTCOMES_WITHOUT_FAILURE


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
