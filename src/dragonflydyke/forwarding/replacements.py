"""Decides whether an attempt under way may be given up for another one; no I/O.

Designed for a server that is silent while many requests wait for it: all of
them decide at the same time, and the retry budget has a retry for a few. The
retry is taken at the moment of the decision, so that no attempt is given up for
one that cannot follow.
"""

import dataclasses
from typing import Protocol

from dragonflydyke.forwarding import contexts, decisions, targets


class ReplaceableAttempt(Protocol):
    """An attempt that its server may be running."""

    @property
    def is_held(self) -> bool:
        """Whether its response is, or was, held while another one ran."""


class AttemptReplacement:
    """Takes the retries that replace the attempts of one request."""

    __slots__ = ("_context", "_targets")

    def __init__(
        self,
        context: contexts.RequestContext,
        target_selector: targets.TargetSelector,
    ) -> None:
        """Creates a replacement without any retry taken."""
        self._context = context
        self._targets = target_selector

    def may_follow(self, attempt: ReplaceableAttempt) -> bool:
        """Returns whether another attempt would follow if this one ended now.

        Others may take the retry before the attempt is given up.
        """
        step = decisions.decide_next_step(
            self._context.admitted.route,
            decisions.AttemptOutcome.LOST,
            self._describe_progress(attempt),
        )
        return (
            step is decisions.NextStep.RETRY
            and self._context.retry_budget.has_retries_left
            and self._targets.has_allowed_server()
        )

    def try_reserve(self, attempt: ReplaceableAttempt) -> bool:
        """Takes the retry that replaces an attempt.

        Returns:
            Whether the attempt may be given up, which has to follow at once.
        """
        return self.may_follow(attempt) and self._context.try_pay_retry()

    def _describe_progress(
        self, attempt: ReplaceableAttempt
    ) -> decisions.RequestProgress:
        """Returns the progress of the request as if the attempt had ended."""
        progress = self._targets.describe_progress()
        return dataclasses.replace(
            progress,
            # An attempt is counted when it ends, or when its response is held.
            attempts=progress.attempts + (not attempt.is_held),
            may_have_run=True,
        )
