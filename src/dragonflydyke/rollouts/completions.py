"""Extraction of the text of chat completions, for ratings."""

import json
from collections.abc import Iterator

_EVENT_PREFIX = "data: "
_END_MARKER = "[DONE]"


def extract_text(body: bytes) -> str:
    """Returns the generated text of a chat completion.

    Args:
        body: Response body, either one JSON object or a stream of events.
            Malformed parts are skipped.
    """
    text = body.decode(errors="replace")
    if text.lstrip().startswith("{"):
        return "".join(_iterate_texts(text, "message"))
    lines = (
        line.removeprefix(_EVENT_PREFIX)
        for line in text.splitlines()
        if line.startswith(_EVENT_PREFIX)
    )
    return "".join(
        part
        for line in lines
        if line != _END_MARKER
        for part in _iterate_texts(line, "delta")
    )


def _iterate_texts(text: str, field: str) -> Iterator[str]:
    try:
        choices = json.loads(text)["choices"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return
    for choice in choices if isinstance(choices, list) else ():
        part = choice.get(field) if isinstance(choice, dict) else None
        content = part.get("content") if isinstance(part, dict) else None
        yield content if isinstance(content, str) else ""
