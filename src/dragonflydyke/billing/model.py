"""Bills and their serialised forms: JSON on the platform, protobuf to peers."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Mapping
from typing import Any

from dragonflydyke.protocol import node_pb2

# Domain separation for the digest, not a secret. A secret key would have to be
# rotated, and a retry after the rotation would get a different bill_id.
_BILL_ID_KEY = b"dragonflydyke.bill_id.1"


class Outcome(enum.StrEnum):
    """Final state of a billed request."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class BillAttempt:
    """One dispatch of a request to a backend server.

    Attributes:
        version: Version of the model, or operation of the service.
        backend_server: Server to which the request was sent.
        outcome: How the attempt finished.
        cost: Cost in micro-units of currency.
    """

    version: str
    backend_server: str
    outcome: str
    cost: int


@dataclasses.dataclass(slots=True)
class Bill:
    """The bill of one dispatched request.

    Attributes:
        bill_id: Identifier shared by all retries with the same idempotency key.
        request_id: Identifier of this request.
        client_account: Account that is charged.
        request_class: Class of the request, empty for calls to a plain service.
        model: Name of the model or service.
        version: Version of the model, or operation of the service.
        backend_server: Server that sent the response.
        prompt_tokens: Number of tokens in the prompt.
        completion_tokens: Number of tokens generated.
        cost: Total cost in micro-units of currency.
        outcome: Final state of the request.
        attempts: All dispatches, in the order in which they were made.
        revision: Configuration revision in force for the request.
        finished_at_ms: Unix time of the end of the request in milliseconds.
        incarnation: Router process whose journal has the bill; set by
            BillWriter.
        sequence: Position of the bill in that journal; set by BillWriter.
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
        """Returns the JSON value that is stored in the journal.

        Omits the incarnation, which is part of the name of the journal entry,
        and a request_id that equals the bill_id.
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
        """Returns the protobuf message that is sent to replicas."""
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
    """Parses the JSON value that is stored in the journal.

    Args:
        value: Stored value, as returned by `Bill.to_mapping`.
        incarnation: Incarnation in the name of the journal entry.

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
    """Converts the protobuf message that replicas receive.

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
    """Returns the bill_id of all requests with the same idempotency key.

    The result is deterministic, so that retries sent to different routers get
    the same bill_id.
    """
    account = client_account.encode()
    # The length prefix prevents ("a", "bc") and ("ab", "c") from colliding.
    message = b"%d:%b%b" % (len(account), account, idempotency_key.encode())
    return hmac.digest(_BILL_ID_KEY, message, hashlib.sha256).hex()[:32]
