"""Error types that carry a stable code, the step and the remote peer."""

import enum


class Execution(enum.Enum):
    """Whether a failed request was executed by the server it was sent to."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """Step of a request or control operation in which an error occurred."""

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
    """Base class of all errors that the programs raise deliberately.

    Attributes:
        code: Stable identifier, listed in docs/errors.md.
        message: What went wrong and what the client or operator can do.
        step: Step in which the error occurred.
        peer: Name or address of the remote side, empty if there is none.
        execution: Whether the request was executed.
        retry_after_s: Seconds after which a retry may succeed, or None when a
            retry of the same request cannot succeed.
        status: HTTP status with which the error is reported.
        field: Name of the invalid request or configuration field, empty if
            there is none.
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
    """An invariant of the program was violated, which is always a bug."""


def check_invariant(condition: bool, message: str) -> None:
    """Raises InvariantError unless the condition is true.

    Unlike an assert statement, the check also runs under `python -O`.

    Args:
        condition: Condition that must be true.
        message: The violation, with the values that caused it.

    Raises:
        InvariantError: If the condition is false.
    """
    if not condition:
        raise InvariantError(message)
