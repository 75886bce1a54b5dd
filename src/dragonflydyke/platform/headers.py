"""Headers of the platform's requests and responses."""

import math

from tornado import httputil

from dragonflydyke.backends import statements
from dragonflydyke.forwarding import messages

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
MODEL = "Model"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = "Token-Count"
# Parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PREFIX = "Prompt-Prefix"
LENGTH_HINT = "Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
EXPECTED_SERVER = "Expect-Runner"
ACCOUNT = "Tenant"
URGENCY = "Request-Urgency"
SIGNATURE = "Runner-Seal"
NOT_RUN = "Not-Executed"
CONFIDENCE = "Confidence"
# Requests a second that a server accepts from all nodes together.
SERVER_LIMIT = "Server-Limit"
# Milliseconds for which a server stays cold.
COLD_MS = "Cold-Ms"
# Rejections a second beyond which a server falls over.
SERVER_BRITTLE = "Server-Brittle"
SESSION = "Session"
# Address of an engine from which the server may fetch a cached prefix.
PREFIX_SOURCE = "Kv-Fetch"
_KEY_SCHEME = "token"
_ANY_MODEL = "*"
_EVENT_STREAM = "text/event-stream"
_EVENT_ID_FIELD = b"id:"
_MS_PER_S = 1_000
# The address belongs to another server, which did not run the request.
_MISDIRECTED = 421

# Headers that apply to a single connection or to the framing of a body.
_HOP_BY_HOP = (
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Te",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
)
# Headers that only the router may set. Otherwise clients could use reserved
# memory, another client account or another server.
_ROUTER_ONLY = (
    AUTHORIZATION,
    EXPECTED_SERVER,
    ACCOUNT,
    URGENCY,
    "Expect-Version",
    "Hold",
    "Pin-Ms",
    "Kv-Backup",
    PREFIX_SOURCE,
    "Kv-From",
)


class HeaderCodec:
    """Translates the platform's headers; see `messages.HeaderCodec`."""

    __slots__ = ()

    def read_request(
        self, headers: httputil.HTTPHeaders
    ) -> messages.RequestDetails:
        """Returns the contents of the headers of a request.

        Raises:
            ValueError: If the deadline is not a number.
        """
        deadline = headers.get(DEADLINE_MS)
        prompt_tokens, output_tokens = _read_counts(headers.get(TOKEN_COUNT))
        model = headers.get(MODEL, "")
        last = headers.get(LAST_EVENT_ID, "")
        return messages.RequestDetails(
            request_id=headers.get(REQUEST_ID, ""),
            deadline_s=float(deadline) / _MS_PER_S if deadline else None,
            api_key=_read_key(headers.get(AUTHORIZATION, "")),
            model=model,
            wants_any_model=model == _ANY_MODEL,
            prompt=_read_prompt(headers.get(PROMPT_PREFIX, "")),
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            length_hint=_read_count(headers.get(LENGTH_HINT, "")),
            last_event_id=_read_event_id(last),
            session=headers.get(SESSION, ""),
        )

    def write_request(
        self, request: messages.IncomingRequest, dispatch: messages.Dispatch
    ) -> httputil.HTTPHeaders:
        """Returns the headers for a server, without framing headers."""
        headers = _copy_end_to_end(request.headers)
        for name in _ROUTER_ONLY:
            headers.pop(name, None)
        headers["Host"] = request.host
        headers[EXPECTED_SERVER] = dispatch.server
        remaining_ms = max(1, int(dispatch.remaining_s * _MS_PER_S))
        headers[DEADLINE_MS] = str(remaining_ms)
        if dispatch.account:
            headers[ACCOUNT] = dispatch.account
        if dispatch.model:
            headers[MODEL] = dispatch.model
        if dispatch.urgency is not None:
            headers[URGENCY] = str(dispatch.urgency)
        if dispatch.last_event_id is not None:
            headers[LAST_EVENT_ID] = str(dispatch.last_event_id)
        if dispatch.prefix_source:
            headers[PREFIX_SOURCE] = dispatch.prefix_source
        return headers

    def read_response(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> messages.ResponseDetails:
        """Returns the contents of status and headers of a response."""
        content_type = headers.get("Content-Type", "")
        confidence = headers.get(CONFIDENCE, "")
        return messages.ResponseDetails(
            request_id=headers.get(REQUEST_ID, ""),
            is_signed=SIGNATURE in headers,
            not_run=NOT_RUN in headers or status == _MISDIRECTED,
            is_misdirected=status == _MISDIRECTED,
            is_stream=content_type.startswith(_EVENT_STREAM),
            has_content_encoding="Content-Encoding" in headers,
            confidence=_read_count(confidence) / 100 if confidence else None,
            server_limit_per_s=statements.parse_quantity(
                headers.get(SERVER_LIMIT, "")
            ),
            server_leaves=statements.says_leaving(headers),
            pause_s=statements.find_pause_s(status, headers),
            cold_s=_read_cold_s(headers.get(COLD_MS)),
            tolerated_rejections_per_s=_read_tolerance(
                headers.get(SERVER_BRITTLE)
            ),
        )

    def write_response(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a server's response for the client."""
        return _copy_end_to_end(headers)

    def write_rejection(
        self, request_id: str, retry_after_s: float | None
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a response that the router itself creates."""
        headers = httputil.HTTPHeaders({"Content-Type": "text/plain"})
        if request_id:
            headers[REQUEST_ID] = request_id
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.3f}"
        return headers

    def read_event_id(self, event: bytes) -> int | None:
        """Returns the id of an event of a stream, None if it has none."""
        for line in event.split(b"\n"):
            if line.startswith(_EVENT_ID_FIELD):
                return _read_event_id(line[len(_EVENT_ID_FIELD) :].strip())
        return None


def _copy_end_to_end(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    copied = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP_BY_HOP:
            copied.add(name, value)
    return copied


def _read_key(authorization: str) -> str:
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else ""


def _read_event_id(text: str | bytes) -> int | None:
    # The first condition excludes digits of other scripts, which `int` rejects.
    return int(text) if text.isascii() and text.isdigit() else None


def _read_count(text: str) -> int:
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return 0


def _read_cold_s(text: str | None) -> float | None:
    if text is None:
        return None
    quantity = statements.parse_quantity(text)
    return math.inf if quantity is None else quantity / _MS_PER_S


def _read_tolerance(text: str | None) -> float | None:
    """Returns the tolerated rejections, 0 for a value that is no number.

    A server that says that it is brittle is treated as such in any case.
    """
    if text is None:
        return None
    return statements.parse_quantity(text) or 0.0


def _read_counts(text: str | None) -> tuple[int, int]:
    first, _, second = (text or "").partition(",")
    return _read_count(first), _read_count(second)


def _read_prompt(text: str) -> tuple[messages.PromptPart, ...]:
    parts = []
    for entry in text.split(","):
        part_id, separator, tokens = entry.strip().partition(":")
        if separator:
            parts.append(messages.PromptPart(part_id, _read_count(tokens)))
    return tuple(parts)
