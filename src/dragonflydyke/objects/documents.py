"""Decodes JSON documents of a store that several writers share.

One odd object must not hide the others in the same response, so that values
beyond the limits of the decoder are replaced by ones that no reader accepts.
"""

import json
import math
import re
from typing import Any

from dragonflydyke import errors
from dragonflydyke.objects import model

# Depth from which nested values are replaced. Objects of the store, within the
# pages of a list, are less than half as deep.
_MAX_DEPTH = 32
# Longer integers exceed the range of a float, and converting them takes a time
# that grows with the square of their length.
_MAX_DIGITS = 300
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def parse_document(body: bytes, *, peer: str) -> Any:
    """Returns the value of a JSON document.

    Values that are nested too deeply are null, and integers with too many
    digits are infinite.

    Args:
        body: The document.
        peer: Name of the store in errors.

    Raises:
        PlatformUnavailableError: If the document is not JSON.
    """
    try:
        try:
            return json.loads(body, parse_int=_parse_integer)
        except RecursionError:
            return json.loads(_cut_deep_values(body), parse_int=_parse_integer)
    except (ValueError, RecursionError) as error:
        raise model.PlatformUnavailableError(
            f"response is not JSON: {type(error).__name__}",
            step=errors.Step.READ_PLATFORM,
            peer=peer,
        ) from error


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else math.inf


def _cut_deep_values(body: bytes) -> bytes:
    """Returns a document in which values that are too deep are null."""
    kept = []
    depth = 0
    position = 0
    for token in _TOKEN.finditer(body):
        if token.group() in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH:
                kept.append(body[position : token.start()])
        elif token.group() in _CLOSING:
            depth -= 1
            if depth == _MAX_DEPTH - 1:
                kept.append(b"null")
                position = token.end()
    kept.append(body[position:])
    return b"".join(kept)
