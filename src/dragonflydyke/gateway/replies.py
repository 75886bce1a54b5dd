"""Error bodies and headers of responses to callers."""

import json
import math
from typing import Any

from dragonflydyke import errors

REQUEST_ID_HEADER = "Dragonflydyke-Request-Id"
VERSION_HEADER = "Dragonflydyke-Version"
SESSION_HEADER = "Dragonflydyke-Session"
REVISION_HEADER = "Dragonflydyke-Revision"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

_TYPES_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
}


def build_error(
    error: errors.DragonflydykeError, request_id: str
) -> dict[str, Any]:
    """Returns the JSON object that tells a caller about an error."""
    return {
        "error": {
            "message": error.message,
            "type": _choose_type(error.status),
            "code": error.code,
            "param": error.field or None,
            "step": str(error.step),
            "peer": error.peer or None,
            "execution": error.execution.value,
            "retry": error.retry_after_s is not None,
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    }


def encode_error(error: errors.DragonflydykeError, request_id: str) -> bytes:
    """Returns the error as a JSON body."""
    return json.dumps(build_error(error, request_id)).encode()


def format_retry_after(seconds: float) -> str:
    """Returns the value of `Retry-After`, in whole seconds."""
    return str(max(1, math.ceil(seconds)))


def _choose_type(status: int) -> str:
    if status in _TYPES_BY_STATUS:
        return _TYPES_BY_STATUS[status]
    return "server_error" if status >= 500 else "invalid_request_error"
