"""Records how the attempts of a request ended."""

import asyncio

from dragonflydyke import logs
from dragonflydyke.backends import failures
from dragonflydyke.forwarding import attempts, contexts, decisions, directory

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
        decisions.AttemptOutcome.DEADLINE_NEAR,
        decisions.AttemptOutcome.CANNOT_FINISH,
    )
)

_LOGGER = logs.get_logger("forwarding")


class OutcomeRecorder:
    """Updates the state of a request and the statistics of its servers."""

    __slots__ = ("_context", "_services", "_state")

    def __init__(
        self,
        services: contexts.ForwardingServices,
        context: contexts.RequestContext,
    ) -> None:
        """Creates the recorder of a request."""
        self._services = services
        self._context = context
        self._state = context.state

    def record_progress(
        self,
        attempt: attempts.Attempt,
        outcome: decisions.AttemptOutcome,
        reason: str,
        *,
        is_counted: bool = False,
    ) -> None:
        """Records the outcome of an attempt in the state of the request.

        Args:
            attempt: The attempt.
            outcome: Its outcome.
            reason: Reason of the outcome, for the log.
            is_counted: Whether it was counted when its response was held.
        """
        server = attempt.server
        if not is_counted:
            if attempt.may_have_run and not self._was_server_stopped(
                server, outcome
            ):
                self._state.attempts += 1
            self._state.sent_attempts += attempt.was_sent
            self._state.may_have_run |= attempt.may_have_run
        self._state.attempt_history.append(f"{server.name}:{outcome}:{reason}")
        if outcome not in _OUTCOMES_WITHOUT_FAILURE:
            self._state.failed_servers.append(server.name)

    def record_end(
        self,
        attempt: attempts.Attempt,
        outcome: decisions.AttemptOutcome,
        reason: str,
        servers: tuple[directory.ServerEntry, ...],
    ) -> None:
        """Records the outcome of an attempt that ended in all statistics."""
        server = attempt.server
        self._services.statements.record_end(server)
        attempt.record_outcome(outcome)
        attempt.times.ended_s = _now_s()
        self._services.cost_recorder.record(
            attempt.target.profile,
            server,
            attempt.target.plan,
            attempt.times,
            outcome,
        )
        if outcome is decisions.AttemptOutcome.LOST:
            self._log_loss(attempt, reason)
            if (
                reason == failures.CONNECTION_LOST
                and attempt.response_started_s is None
            ):
                self._services.failure_domains.record_lost_connection(
                    server, _now_s()
                )
        ejected = self._services.selector.record_outcome(
            attempt.target.profile,
            server,
            _now_s(),
            failed=None
            if attempt.stated_pause or attempt.was_withdrawn
            else _classify_failure(outcome),
            peers=servers,
        )
        if ejected:
            self._services.counters.increment("server.ejected")
            _LOGGER.notice("server ejected", server=server.name)

    async def report_crash(
        self, attempt: attempts.Attempt, reason: str
    ) -> None:
        """Reports to all nodes that an attempt may have crashed its server."""
        if reason == failures.CONNECTION_LOST and attempt.may_have_crashed:
            await self._services.crash_reporter.report(
                attempt.server,
                self._context.request.details.request_id,
                self._context.describe_content(),
            )

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


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _classify_failure(outcome: decisions.AttemptOutcome) -> bool | None:
    """Returns whether the server failed an attempt, None if unknown."""
    if outcome in _INCONCLUSIVE_OUTCOMES:
        return None
    return outcome not in _OUTCOMES_WITHOUT_FAILURE
