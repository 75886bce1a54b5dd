"""Builders of the errors of requests to backend servers."""

from dragonflydyke import errors

CONNECTION_LOST = "backend_connection_lost"
UNREACHABLE = "backend_unreachable"
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_RETRY_AFTER_S = 1.0


def build_unreachable_error(
    peer: str, cause: object
) -> errors.DragonflydykeError:
    """Returns the error for a connection that could not be opened."""
    return errors.DragonflydykeError(
        UNREACHABLE,
        f"connection failed: {cause}; use another backend server",
        step=errors.Step.CONNECT,
        peer=peer,
        retry_after_s=_RETRY_AFTER_S,
        status=_BAD_GATEWAY,
    )


def build_invalid_request_error(
    peer: str, cause: object
) -> errors.DragonflydykeError:
    """Returns the error for a request that is not valid HTTP."""
    return errors.DragonflydykeError(
        "backend_request_invalid",
        f"request not sent: {cause}; correct the path or the headers",
        step=errors.Step.SEND,
        peer=peer,
    )


def build_deadline_error(
    peer: str, step: errors.Step, execution: errors.Execution
) -> errors.DragonflydykeError:
    """Returns the error for a request that exceeded its deadline."""
    return errors.DragonflydykeError(
        "backend_deadline_exceeded",
        "the deadline of the request was exceeded; retry with a later deadline",
        step=step,
        peer=peer,
        execution=execution,
        retry_after_s=_RETRY_AFTER_S,
        status=_GATEWAY_TIMEOUT,
    )


def build_connection_lost_error(
    peer: str, step: errors.Step, cause: object
) -> errors.DragonflydykeError:
    """Returns the error for a connection that was lost after it was opened."""
    return errors.DragonflydykeError(
        CONNECTION_LOST,
        f"connection lost: {cause}; the request may have run",
        step=step,
        peer=peer,
        execution=errors.Execution.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
        status=_BAD_GATEWAY,
    )


def build_invalid_response_error(
    peer: str, step: errors.Step, cause: object
) -> errors.DragonflydykeError:
    """Returns the error for a response that violates the protocol."""
    return errors.DragonflydykeError(
        "backend_answer_invalid",
        f"{cause}; check the backend server",
        step=step,
        peer=peer,
        execution=errors.Execution.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
        status=_BAD_GATEWAY,
    )


def build_order_rejected_error(
    peer: str, status: int
) -> errors.DragonflydykeError:
    """Returns the error for an order that an engine rejected."""
    return errors.DragonflydykeError(
        "engine_order_refused",
        f"the engine rejected the order with status {status}; "
        "a newer lease holder sends orders",
        step=errors.Step.ORDER_ENGINE,
        peer=peer,
        status=status,
    )
