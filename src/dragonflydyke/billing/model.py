"""Bills and their stored and transmitted forms."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Mapping
from typing import Any

from dragonflydyke.protocol import node_pb2

# Not a secret: it only separates these digests from others. A secret that is
# rotated would give a late retry a second bill_id.
_BILL_ID_KEY = b"dragonflydyke.bill_id.1"


class Outcome(enum.StrEnum):
    """How a billed request ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class BillAttempt:
    """One dispatch to a backend server; the cost is in micro-units."""

    version: str
    backend_server: str
    outcome: str
    cost: int


@dataclasses.dataclass(slots=True)
class Bill:
    """The bill of one dispatched request.

    Attributes:
        bill_id: Same for all retries with one idempotency key.
        request_id: Identifier of this request.
        client_account: Account that pays.
        request_class: Class of the request, empty for service calls.
        model: Model or service.
        version: Version of the model, or operation of the service.
        backend_server: Server that gave the answer.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens produced.
        cost: Total in micro-units of currency.
        outcome: How the request ended.
        attempts: All dispatches in order.
        revision: Configuration revision that was in force.
        finished_at_ms: Unix time in milliseconds.
        incarnation: Journal of the bill, set by BillWriter.
        sequence: Position in the journal, set by BillWriter.
    """

    bill_id: str
    request_id: str
    client_account: str
    request_class: str
    model: str
    version: str
    backend_server: str
    prompt_tokens: int
    completion_tokens: int
    cost: int
    outcome: Outcome
    attempts: tuple[BillAttempt, ...]
    revision: int
    finished_at_ms: int
    incarnation: int = 0
    sequence: int = 0

    def to_mapping(self) -> dict[str, Any]:
        """Returns the stored JSON value.

        The incarnation is left out because the journal entry names it, and
        so is a request_id that equals the bill_id.
        """
        value: dict[str, Any] = {
            "sequence": self.sequence,
            "bill_id": self.bill_id,
            "client_account": self.client_account,
            "request_class": self.request_class,
            "model": self.model,
            "version": self.version,
            "backend_server": self.backend_server,
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "cost": self.cost,
            "outcome": self.outcome.value,
            "revision": self.revision,
            "finished_at_ms": self.finished_at_ms,
        }
        if self.request_id != self.bill_id:
            value["request_id"] = self.request_id
        if self.attempts:
            value["attempts"] = [
                [a.version, a.backend_server, a.outcome, a.cost]
                for a in self.attempts
            ]
        return value

    def to_message(self) -> node_pb2.Bill:
        """Returns the message that is sent to holders."""
        return node_pb2.Bill(
            bill_id=self.bill_id,
            request_id=self.request_id,
            client_account=self.client_account,
            request_class=self.request_class,
            model=self.model,
            version=self.version,
            backend_server=self.backend_server,
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.completion_tokens,
            cost=self.cost,
            outcome=self.outcome.value,
            attempts=[
                node_pb2.BillAttempt(
                    version=a.version,
                    backend_server=a.backend_server,
                    outcome=a.outcome,
                    cost=a.cost,
                )
                for a in self.attempts
            ],
            revision=self.revision,
            finished_at_ms=self.finished_at_ms,
            incarnation=self.incarnation,
            sequence=self.sequence,
        )


def parse_bill(value: Mapping[str, Any], incarnation: int) -> Bill:
    """Parses the stored JSON value.

    Raises:
        KeyError: If a field is missing.
        ValueError: If the outcome is unknown.
    """
    return Bill(
        bill_id=value["bill_id"],
        request_id=value.get("request_id", value["bill_id"]),
        client_account=value["client_account"],
        request_class=value["request_class"],
        model=value["model"],
        version=value["version"],
        backend_server=value["backend_server"],
        prompt_tokens=value["prompt_tokens"],
        completion_tokens=value["completion_tokens"],
        cost=value["cost"],
        outcome=Outcome(value["outcome"]),
        attempts=tuple(
            BillAttempt(*attempt) for attempt in value.get("attempts", ())
        ),
        revision=value["revision"],
        finished_at_ms=value["finished_at_ms"],
        incarnation=incarnation,
        sequence=value["sequence"],
    )


def parse_message(message: node_pb2.Bill) -> Bill:
    """Converts the message that holders receive.

    Raises:
        ValueError: If the outcome is unknown.
    """
    return Bill(
        bill_id=message.bill_id,
        request_id=message.request_id,
        client_account=message.client_account,
        request_class=message.request_class,
        model=message.model,
        version=message.version,
        backend_server=message.backend_server,
        prompt_tokens=message.prompt_tokens,
        completion_tokens=message.completion_tokens,
        cost=message.cost,
        outcome=Outcome(message.outcome),
        attempts=tuple(
            BillAttempt(a.version, a.backend_server, a.outcome, a.cost)
            for a in message.attempts
        ),
        revision=message.revision,
        finished_at_ms=message.finished_at_ms,
        incarnation=message.incarnation,
        sequence=message.sequence,
    )


def derive_bill_id(client_account: str, idempotency_key: str) -> str:
    """Returns the bill_id shared by all requests with one idempotency key."""
    account = client_account.encode()
    # The length prevents ("a", "bc") and ("ab", "c") from being equal.
    message = b"%d:%b%b" % (len(account), account, idempotency_key.encode())
    return hmac.digest(_BILL_ID_KEY, message, hashlib.sha256).hex()[:32]
