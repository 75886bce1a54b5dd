"""Headers and error bodies of responses to clients."""

import json
import math
from typing import Any

from dragonflydyke import error_bodies, errors

REQUEST_ID_HEADER = "Dragonflydyke-Request-Id"
VERSION_HEADER = "Dragonflydyke-Version"
SESSION_HEADER = "Dragonflydyke-Session"
REVISION_HEADER = "Dragonflydyke-Revision"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


def build_error(
    error: errors.DragonflydykeError, request_id: str
) -> dict[str, Any]:
    """Returns the JSON object that reports an error to a client."""
    content = error_bodies.build_content(error, request_id)
    content["peer"] = error.peer or None
    return {"error": content}


def encode_error(error: errors.DragonflydykeError, request_id: str) -> bytes:
    """Returns the error encoded as a JSON body."""
    return json.dumps(build_error(error, request_id)).encode()


def format_retry_after(seconds: float) -> str:
    """Returns the `Retry-After` header in whole seconds, at least 1."""
    return str(max(1, math.ceil(seconds)))
