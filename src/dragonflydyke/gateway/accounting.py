"""The bill of one request while the request runs."""

import asyncio
import dataclasses
import enum
import time
from typing import Any

from dragonflydyke import billing, errors
from dragonflydyke.gateway import services

_MS_PER_S = 1_000


class Outcome(enum.StrEnum):
    """How a dispatched request or attempt ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One dispatched attempt; the cost is in micro-units of currency."""

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
    """Returns the id under which a request is billed once.

    The digest keeps an account that sends each request with the same key
    from being billed for only one of them.
    """
    if not idempotency_key:
        return request_id
    return billing.derive_bill_id(
        account, f"{idempotency_key}\0{request_digest}"
    )


class BillDraft:
    """Collects the attempts of a request and records its bill once."""

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
        """Whether the bill was handed to the bill writer."""
        return self._recording is not None

    def start_attempt(
        self, model: str, version: str, server: str
    ) -> AttemptRecord:
        """Adds an attempt that is about to be dispatched."""
        errors.check_invariant(
            self._recording is None,
            f"{self.request_id} dispatched after its bill",
        )
        attempt = AttemptRecord(model, version, server)
        self.attempts.append(attempt)
        return attempt

    def remove_attempt(self, attempt: AttemptRecord) -> None:
        """Removes an attempt that certainly did not run."""
        self.attempts.remove(attempt)

    def move_to_end(self, attempt: AttemptRecord) -> None:
        """Makes an attempt the one that answered, which names the bill."""
        self.attempts.sort(key=lambda entry: entry is attempt)

    def compute_cost(self) -> int:
        """Returns the cost of all attempts in micro-units of currency."""
        return sum(attempt.cost for attempt in self.attempts)

    def start_recording(self, outcome: Outcome) -> None:
        """Hands the bill to the bill writer, which runs on its own."""
        errors.check_invariant(
            self._recording is None, f"{self.request_id} billed twice"
        )
        errors.check_invariant(
            bool(self.attempts), f"{self.request_id} billed without dispatch"
        )
        self._services.counters.increment(f"request.{outcome}")
        self._recording = asyncio.ensure_future(
            self._services.bills.record(self._build_bill(outcome))
        )

    async def wait_until_recorded(self) -> None:
        """Returns when the bill is safe; cancelling does not stop it."""
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
