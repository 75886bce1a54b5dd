"""Errors that name their code, the step and the peer at which they arose."""

import enum


class Execution(enum.Enum):
    """Whether the work behind a failed request was executed."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """The step of a request or control operation at which an error arose."""

    READ_SETTINGS = "read_settings"
    READ_REQUEST = "read_request"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    VERIFY_SESSION = "verify_session"
    ROUTE = "route"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    AWAIT_ANSWER = "await_answer"
    READ_ANSWER = "read_answer"
    BILL = "bill"
    READ_PLATFORM = "read_platform"
    WRITE_PLATFORM = "write_platform"
    CALL_PEER = "call_peer"
    LOAD_CONFIGURATION = "load_configuration"
    APPLY_CONFIGURATION = "apply_configuration"
    ROLL_OUT = "roll_out"
    ORDER_ENGINE = "order_engine"


class DragonflydykeError(Exception):
    """Base of all errors that the programs raise on purpose.

    Attributes:
        code: Stable identifier, listed in docs/errors.md.
        message: What went wrong and what to do next.
        step: Step at which the error arose.
        peer: Name or address of the other side, empty if there is none.
        execution: Whether the request was executed.
        retry_after_s: Seconds after which a retry is useful, or None when a
            retry of the same request cannot succeed.
        status: HTTP status with which the error is reported.
        field: Name of the faulty request or configuration field.
    """

    __slots__ = (
        "code",
        "execution",
        "field",
        "message",
        "peer",
        "retry_after_s",
        "status",
        "step",
    )

    def __init__(
        self,
        code: str,
        message: str,
        *,
        step: Step,
        peer: str = "",
        execution: Execution = Execution.NOT_RUN,
        retry_after_s: float | None = None,
        status: int = 500,
        field: str = "",
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.execution = execution
        self.retry_after_s = retry_after_s
        self.status = status
        self.field = field

    def __str__(self) -> str:
        """Returns code, step, peer and message on one line."""
        peer = f" at {self.peer}" if self.peer else ""
        return f"{self.code} in {self.step}{peer}: {self.message}"


class InvariantError(AssertionError):
    """An invariant of the program does not hold; always a fault in it."""


def check_invariant(condition: bool, message: str) -> None:
    """Raises InvariantError unless the condition holds.

    Unlike an assert statement, the check stays on under `python -O`.

    Args:
        condition: What must hold.
        message: The invariant, with the values that broke it.

    Raises:
        InvariantError: If the condition is false.
    """
    if not condition:
        raise InvariantError(message)
