"""Collects the billing data of a request while the request is in progress."""

import asyncio
import dataclasses
import enum
import time
from typing import Any

from dragonflydyke import billing, errors
from dragonflydyke.gateway import services

_MS_PER_S = 1_000


class Outcome(enum.StrEnum):
    """Outcome of a dispatched request or attempt."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """Billing data of one dispatched attempt.

    `cost` is in micro-units of currency.
    """

    model: str
    version: str
    backend_server: str
    outcome: str = Outcome.FAILED
    cost: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0


def compute_bill_id(
    account: str, idempotency_key: str, request_digest: str, request_id: str
) -> str:
    """Returns the bill id; requests with the same id are billed once.

    The request digest is part of the id so that a client account that sends
    different requests with the same key is billed for each of them.
    """
    if not idempotency_key:
        return request_id
    return billing.derive_bill_id(
        account, f"{idempotency_key}\0{request_digest}"
    )


class BillDraft:
    """Collects the attempts of a request and records its bill exactly once."""

    __slots__ = (
        "_account",
        "_recording",
        "_request_class",
        "_revision",
        "_services",
        "attempts",
        "bill_id",
        "request_id",
    )

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        *,
        request_id: str,
        bill_id: str,
        account: str,
        request_class: str,
        revision: int,
    ) -> None:
        self._services = gateway_services
        self._account = account
        self._request_class = request_class
        self._revision = revision
        self._recording: asyncio.Future[Any] | None = None
        self.request_id = request_id
        self.bill_id = bill_id
        self.attempts: list[AttemptRecord] = []

    @property
    def is_recording_started(self) -> bool:
        """Whether the bill was passed to the bill writer."""
        return self._recording is not None

    def start_attempt(
        self, model: str, version: str, server: str
    ) -> AttemptRecord:
        """Adds an attempt that is about to be dispatched.

        Raises:
            InvariantError: If the bill was already passed to the bill writer.
        """
        errors.check_invariant(
            self._recording is None,
            f"{self.request_id} was dispatched after its bill was recorded",
        )
        attempt = AttemptRecord(model, version, server)
        self.attempts.append(attempt)
        return attempt

    def remove_attempt(self, attempt: AttemptRecord) -> None:
        """Removes an attempt that is known not to have run."""
        self.attempts.remove(attempt)

    def move_to_end(self, attempt: AttemptRecord) -> None:
        """Moves an attempt to the end of the list.

        The bill takes its model, version and backend server from the last
        attempt, so the attempt that produced the response must be last.
        """
        self.attempts.sort(key=lambda entry: entry is attempt)

    def compute_cost(self) -> int:
        """Returns the total cost of all attempts in micro-units of currency."""
        return sum(attempt.cost for attempt in self.attempts)

    def start_recording(self, outcome: Outcome) -> None:
        """Passes the bill to the bill writer, which records it in a task.

        Raises:
            InvariantError: If the bill was already passed on, or the request
                was never dispatched.
        """
        errors.check_invariant(
            self._recording is None, f"{self.request_id} was billed twice"
        )
        errors.check_invariant(
            bool(self.attempts),
            f"{self.request_id} was billed but never dispatched",
        )
        self._services.counters.increment(f"request.{outcome}")
        self._recording = asyncio.ensure_future(
            self._services.bills.record(self._build_bill(outcome))
        )

    async def wait_until_recorded(self) -> None:
        """Waits until the bill is durable; cancelling does not stop the write.

        Returns at once if no bill was passed to the bill writer.
        """
        if self._recording is not None:
            await asyncio.shield(self._recording)

    def _build_bill(self, outcome: Outcome) -> billing.Bill:
        last = self.attempts[-1]
        return billing.Bill(
            bill_id=self.bill_id,
            request_id=self.request_id,
            client_account=self._account,
            request_class=self._request_class,
            model=last.model,
            version=last.version,
            backend_server=last.backend_server,
            prompt_tokens=sum(a.prompt_tokens for a in self.attempts),
            completion_tokens=sum(a.completion_tokens for a in self.attempts),
            cost=0 if outcome is Outcome.FAILED else self.compute_cost(),
            outcome=billing.Outcome(outcome.value),
            attempts=tuple(
                billing.BillAttempt(
                    version=attempt.version,
                    backend_server=attempt.backend_server,
                    outcome=str(attempt.outcome),
                    cost=attempt.cost,
                )
                for attempt in self.attempts
            ),
            revision=self._revision,
            finished_at_ms=int(time.time() * _MS_PER_S),
        )
