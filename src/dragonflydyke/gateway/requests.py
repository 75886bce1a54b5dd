"""Parsing and validation of requests from clients."""

import dataclasses
import hashlib
import json
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

from dragonflydyke import errors
from dragonflydyke.configuration import model

SESSION_NEW = "new"
CLASS_HEADER = "Dragonflydyke-Class"
SESSION_HEADER = "Dragonflydyke-Session"
DEADLINE_HEADER = "Dragonflydyke-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"

_MAX_DEADLINE_MS = 3_600_000
_MAX_KEY_CHARACTERS = 256
_MAX_NAME_CHARACTERS = 256
_MS_PER_S = 1_000
_BYTES_PER_TOKEN = 4
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# Lone surrogates cannot be encoded as UTF-8, for example for a bill id.
_FORBIDDEN_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")
_DEADLINE_DIGITS = re.compile(r"[0-9]{1,9}")
_ROUTER_METADATA_FIELDS = ("class", "session", "deadline_ms", "idempotency_key")
_TOKEN_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Router options of a request, from headers or `metadata`.

    Attributes:
        request_class: Name of the request class, empty for the default of the
            client account.
        session: Session token, `new` for a new session, or empty.
        deadline_s: Seconds from receipt to the deadline, None for the default.
        idempotency_key: Idempotency key, empty if there is none.
    """

    request_class: str = ""
    session: str = ""
    deadline_s: float | None = None
    idempotency_key: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ChatRequest:
    """A valid chat completion request.

    `prompt_tokens_estimate` is derived from the length of the body.
    """

    body: Mapping[str, Any]
    model: str
    stream: bool
    include_usage: bool
    options: Options
    digest: str
    prompt_tokens_estimate: int

    def encode_for_engine(
        self, full_name: str, request_class: model.RequestClass
    ) -> bytes:
        """Returns the encoded body to send to an engine.

        Args:
            full_name: Version to use, as `model@version`.
            request_class: Class that sets the priority and the token limit.
        """
        body = dict(self.body)
        body["model"] = full_name
        body["priority"] = request_class.priority
        body["stream"] = self.stream
        body.pop("stream_options", None)
        if self.stream:
            options = dict(self.body.get("stream_options") or {})
            body["stream_options"] = {**options, "include_usage": True}
        self._cap_completion_tokens(body, request_class)
        _remove_router_metadata(body)
        return json.dumps(body, separators=(",", ":")).encode()

    def estimate_tokens(self, request_class: model.RequestClass) -> int:
        """Returns an upper estimate of the tokens that the request uses."""
        limits = [self.body.get(name) for name in _TOKEN_LIMIT_FIELDS]
        given_limits = [limit for limit in limits if limit is not None]
        class_limit = request_class.max_completion_tokens
        return self.prompt_tokens_estimate + min([class_limit, *given_limits])

    def _cap_completion_tokens(
        self, body: dict[str, Any], request_class: model.RequestClass
    ) -> None:
        limit = request_class.max_completion_tokens
        given_fields = [
            n for n in _TOKEN_LIMIT_FIELDS if body.get(n) is not None
        ]
        for name in given_fields or _TOKEN_LIMIT_FIELDS[:1]:
            body[name] = min(body.get(name) or limit, limit)


def check_headers(headers: Iterable[tuple[str, str]]) -> None:
    """Rejects control characters, which could split a forwarded header.

    Raises:
        DragonflydykeError: `invalid_header`, status 400, not run.
    """
    for name, value in headers:
        if _CONTROL_CHARACTERS.search(name) or _CONTROL_CHARACTERS.search(
            value
        ):
            reject(
                "invalid_header",
                "A header contains a control character; remove it.",
                field=_CONTROL_CHARACTERS.sub("?", name),
            )


def parse_chat(headers: Mapping[str, str], raw: bytes) -> ChatRequest:
    """Parses a chat completion request.

    Raises:
        DragonflydykeError: If the request is invalid; status 400, not run.
    """
    body = _parse_object(raw)
    name = body.get("model")
    if not isinstance(name, str) or not 0 < len(name) <= _MAX_NAME_CHARACTERS:
        reject_field("model", "the name of a model or cascade")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        reject_field("messages", "a list with at least one message")
    if not all(isinstance(message, dict) for message in messages):
        reject_field("messages", "a list of objects")
    stream = body.get("stream")
    if stream is not None and not isinstance(stream, bool):
        reject_field("stream", "true or false")
    _check_token_limits(body)
    return ChatRequest(
        body=body,
        model=name,
        stream=bool(stream),
        include_usage=_parse_include_usage(body),
        options=parse_options(headers, _parse_metadata(body)),
        digest=hashlib.sha256(raw).hexdigest(),
        prompt_tokens_estimate=len(raw) // _BYTES_PER_TOKEN,
    )


def parse_options(
    headers: Mapping[str, str], metadata: Mapping[str, Any]
) -> Options:
    """Parses the router options; headers take precedence over `metadata`.

    Raises:
        DragonflydykeError: If an option is invalid; status 400, not run.
    """
    return Options(
        request_class=_read_option(headers, CLASS_HEADER, metadata, "class"),
        session=_read_option(headers, SESSION_HEADER, metadata, "session"),
        deadline_s=_parse_deadline(headers, metadata),
        idempotency_key=_parse_key(headers, metadata),
    )


def reject(code: str, message: str, *, field: str = "") -> NoReturn:
    """Rejects an invalid request.

    Raises:
        DragonflydykeError: Always; status 400, not run.
    """
    raise errors.DragonflydykeError(
        code,
        message,
        step=errors.Step.READ_REQUEST,
        status=400,
        field=field,
    )


def reject_field(field: str, expected: str) -> NoReturn:
    """Rejects a field of the body that has an invalid type or value.

    Raises:
        DragonflydykeError: Always; status 400, not run.
    """
    reject(
        "invalid_request",
        f"{field} must be {expected}; correct it.",
        field=field,
    )


def _parse_object(raw: bytes) -> dict[str, Any]:
    try:
        body = json.loads(
            raw, parse_constant=_reject_constant, parse_float=_parse_float
        )
    except (ValueError, RecursionError):
        reject(
            "invalid_json", "The body is not valid JSON; send a JSON object."
        )
    if not isinstance(body, dict):
        reject("invalid_json", "The body is not a JSON object; send one.")
    return body


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _parse_float(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        _reject_constant(text)
    return value


def _check_token_limits(body: Mapping[str, Any]) -> None:
    for name in _TOKEN_LIMIT_FIELDS:
        value = body.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            reject_field(name, "a whole number of at least 1")


def _parse_include_usage(body: Mapping[str, Any]) -> bool:
    options = body.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        reject_field("stream_options", "an object")
    include = options.get("include_usage", False)
    if not isinstance(include, bool):
        reject_field("stream_options.include_usage", "true or false")
    return include


def _parse_metadata(body: Mapping[str, Any]) -> Mapping[str, Any]:
    metadata = body.get("metadata")
    if metadata is None:
        return {}
    if not isinstance(metadata, dict):
        reject_field("metadata", "an object")
    return metadata


def _remove_router_metadata(body: dict[str, Any]) -> None:
    metadata = body.pop("metadata", None) or {}
    kept = {
        k: v for k, v in metadata.items() if k not in _ROUTER_METADATA_FIELDS
    }
    if kept:
        body["metadata"] = kept


def _read_option(
    headers: Mapping[str, str],
    header: str,
    metadata: Mapping[str, Any],
    name: str,
) -> str:
    if header in headers:
        return headers[header].strip()
    value = metadata.get(name, "")
    if not isinstance(value, str) or _FORBIDDEN_CHARACTERS.search(value):
        reject_field(f"metadata.{name}", "a string without control characters")
    return value


def _parse_key(headers: Mapping[str, str], metadata: Mapping[str, Any]) -> str:
    key = _read_option(headers, IDEMPOTENCY_HEADER, metadata, "idempotency_key")
    if len(key) > _MAX_KEY_CHARACTERS:
        reject(
            "invalid_idempotency_key",
            f"The idempotency key exceeds {_MAX_KEY_CHARACTERS} characters; "
            "shorten it.",
            field=IDEMPOTENCY_HEADER,
        )
    return key


def _parse_deadline(
    headers: Mapping[str, str], metadata: Mapping[str, Any]
) -> float | None:
    value = headers.get(DEADLINE_HEADER, metadata.get("deadline_ms"))
    if value is None:
        return None
    text = str(value).strip()
    if isinstance(value, bool) or not _DEADLINE_DIGITS.fullmatch(text):
        _reject_deadline()
    if not 1 <= int(text) <= _MAX_DEADLINE_MS:
        _reject_deadline()
    return int(text) / _MS_PER_S


def _reject_deadline() -> NoReturn:
    reject(
        "invalid_deadline",
        f"The deadline must be 1 to {_MAX_DEADLINE_MS} milliseconds.",
        field=DEADLINE_HEADER,
    )
