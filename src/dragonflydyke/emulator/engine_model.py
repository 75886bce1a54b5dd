"""Behaviour, requests and generated text of an emulated engine."""

import dataclasses
import hashlib
import random
from typing import Any

from dragonflydyke.emulator import faults, quality

CHARACTERS_PER_TOKEN = 4
_VOCABULARY = (
    "pallet",
    "quote",
    "carton",
    "order",
    "line",
    "café",
    "cargo",
    "plan",
    "caja",
    "tŷ",
    "label",
    "route",
    "stack",
    "weight",
    "cyfrif",
    "slot",
)


@dataclasses.dataclass(slots=True)
class EngineBehaviour(faults.StatingFaults):
    """Speed, limits and faults, which can be changed at run time.

    For the fields that count requests, -1 means all requests.

    Attributes:
        prefill_s: Seconds of prefill per prompt token that is not cached.
        decode_s: Seconds per completion token.
        batch_slowdown: Relative slowdown of decoding when all slots are busy,
            compared with one busy slot.
        slots: Maximum number of requests that run at the same time.
        queue_limit: Maximum length of the queue; further requests are rejected
            with 503 and not run.
        completion_tokens: Tokens of a completion that max_tokens does not
            truncate.
        cache_blocks: Capacity of the prefix cache in blocks of 16 tokens.
        abandoned_s: Time in seconds after which a stream without readers is
            cancelled.
        retained_s: Time in seconds for which a finished stream can be resumed.
        load_lag_s: Age of the reported load in seconds.
        load_s: Time to load a version, in seconds.
        checks_fencing: Whether orders with a stale fencing token are rejected.
        slow_factor: Multiplier of the prefill and decode times.
        slow_for_s: Seconds after which slow_factor is reset to 1; 0 for never.
        error_share: Fraction of requests that get 500 without being run.
        bad_versions: Versions whose completions start with the low-quality
            marker.
        stall_requests: Number of requests that stall.
        stall_after_tokens: Tokens that are produced before the stall.
        stall_s: Duration of a stall in seconds.
        cut_before_requests: Number of requests whose connection is closed
            before they run.
        cut_after_requests: Number of requests that run and whose connection is
            closed before the response starts.
        cut_answers: Number of responses, including resumed ones, that are
            truncated by closing the connection.
        cut_after_events: Events of a truncated stream that are sent completely.
    """

    prefill_s: float = 0.0
    decode_s: float = 0.0
    batch_slowdown: float = 0.0
    slots: int = 8
    queue_limit: int = 1_000
    completion_tokens: int = 32
    cache_blocks: int = 4_096
    abandoned_s: float = 10.0
    retained_s: float = 60.0
    load_lag_s: float = 0.0
    load_s: float = 0.0
    checks_fencing: bool = True
    slow_factor: float = 1.0
    slow_for_s: float = 0.0
    error_share: float = 0.0
    bad_versions: list[str] = dataclasses.field(default_factory=list)
    stall_requests: int = 0
    stall_after_tokens: int = 1
    stall_s: float = 0.0
    cut_before_requests: int = 0
    cut_after_requests: int = 0
    cut_answers: int = 0
    cut_after_events: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class ChatRequest:
    """A parsed chat completion request.

    Attributes:
        version: `model@version`.
        text: All messages, concatenated.
        max_tokens: Limit of completion tokens, or None.
        is_streaming: Whether the response is sent as events.
        priority: Requests with a lower number run first.
    """

    version: str
    text: str
    max_tokens: int | None
    is_streaming: bool
    priority: int

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens."""
        return max(1, -(-len(self.text) // CHARACTERS_PER_TOKEN))


def parse_chat_request(body: Any) -> ChatRequest:
    """Parses the body of a chat completion request.

    Raises:
        ValueError: If a field is missing or invalid; the message names it.
    """
    if not isinstance(body, dict):
        raise ValueError("the body must be a JSON object")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("messages must be a list with at least one message")
    max_tokens = body.get("max_completion_tokens", body.get("max_tokens"))
    if max_tokens is not None and (
        type(max_tokens) is not int or max_tokens < 1
    ):
        raise ValueError("max_tokens must be a whole number of at least 1")
    priority = body.get("priority", 0)
    if type(priority) is not int:
        raise ValueError("priority must be a whole number")
    version = body.get("model")
    if not isinstance(version, str):
        raise ValueError("model must be a string")
    return ChatRequest(
        version=version,
        text="".join(_format_message(message) for message in messages),
        max_tokens=max_tokens,
        is_streaming=bool(body.get("stream", False)),
        priority=priority,
    )


def _format_message(message: Any) -> str:
    if not isinstance(message, dict):
        raise ValueError("each message must be a JSON object")
    content = message.get("content") or ""
    if isinstance(content, list):
        content = "".join(
            part.get("text", "") for part in content if isinstance(part, dict)
        )
    if not isinstance(content, str):
        raise ValueError("content must be a string or a list of parts")
    return f"{message.get('role', '')}: {content}\n"


def generate_token(
    request: ChatRequest, seed: int, index: int, low_quality: bool
) -> str:
    """Returns one token of a completion, determined by the arguments."""
    if low_quality and index == 0:
        return quality.LOW_QUALITY_MARKER
    digest = hashlib.blake2b(
        f"{seed}:{request.version}:{index}:{request.text}".encode(),
        digest_size=2,
    ).digest()
    word = _VOCABULARY[digest[0] % len(_VOCABULARY)]
    return word if index == 0 else f" {word}"


def draw_fraction(seed: int, request_id: str, request_number: int) -> float:
    """Returns a number in [0, 1) that depends only on the arguments."""
    return random.Random(f"{seed}:{request_id}:{request_number}").random()
