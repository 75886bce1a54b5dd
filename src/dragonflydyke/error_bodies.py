"""JSON representation of errors, shared by the public and the admin API."""

from typing import Any

from dragonflydyke import errors

_TYPES_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
}
_MIN_SERVER_ERROR_STATUS = 500


def build_content(
    error: errors.DragonflydykeError, request_id: str
) -> dict[str, Any]:
    """Returns the fields of the `error` object of a response."""
    return {
        "message": error.message,
        "type": _determine_error_type(error.status),
        "code": error.code,
        "param": error.field or None,
        "step": str(error.step),
        "peer": error.peer,
        "execution": error.execution.value,
        "retry": error.retry_after_s is not None,
        "retry_after_s": error.retry_after_s,
        "request_id": request_id,
    }


def _determine_error_type(status: int) -> str:
    if status in _TYPES_BY_STATUS:
        return _TYPES_BY_STATUS[status]
    if status >= _MIN_SERVER_ERROR_STATUS:
        return "server_error"
    return "invalid_request_error"
