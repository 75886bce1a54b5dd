"""Text of chat completions, for ratings."""

import json
from collections.abc import Iterator

_EVENT_PREFIX = "data: "
_END_MARKER = "[DONE]"


def extract_text(answer: bytes) -> str:
    """Returns the text of a chat completion, whole or as events."""
    text = answer.decode(errors="replace")
    if text.lstrip().startswith("{"):
        return "".join(_read_texts(text, "message"))
    lines = (
        line.removeprefix(_EVENT_PREFIX)
        for line in text.splitlines()
        if line.startswith(_EVENT_PREFIX)
    )
    return "".join(
        part
        for line in lines
        if line != _END_MARKER
        for part in _read_texts(line, "delta")
    )


def _read_texts(text: str, field: str) -> Iterator[str]:
    try:
        choices = json.loads(text)["choices"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return
    for choice in choices if isinstance(choices, list) else ():
        part = choice.get(field) if isinstance(choice, dict) else None
        content = part.get("content") if isinstance(part, dict) else None
        yield content if isinstance(content, str) else ""
