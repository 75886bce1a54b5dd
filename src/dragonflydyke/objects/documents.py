"""Decodes JSON documents of a store that several writers share.

One odd object must not hide the others in the same response, so that values
beyond the limits of the decoder are replaced by ones that no reader accepts.
Bytes that are not UTF-8 become surrogates, which no reader accepts either.
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
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
_OPENING = ("[", "{")
_CLOSING = ("]", "}")
_SPACE = re.compile(r"[ \t\n\r]*")


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
    cursor = Cursor(body)
    try:
        value = cursor.read_value()
        cursor.expect_end()
    except (ValueError, RecursionError) as error:
        raise build_document_error(error, peer=peer) from error
    return value


def build_document_error(
    error: Exception, *, peer: str
) -> model.PlatformUnavailableError:
    """Returns the error of a store whose response is not JSON."""
    return model.PlatformUnavailableError(
        f"response is not JSON: {type(error).__name__}",
        step=errors.Step.READ_PLATFORM,
        peer=peer,
    )


class Cursor:
    """Reads a JSON document value by value.

    All methods raise ValueError or RecursionError if what follows is something
    else; the position is then undefined.

    Attributes:
        position: Index in `text` of what is read next.
        text: The document.
    """

    __slots__ = ("_has_open_value", "position", "text")

    def __init__(self, body: bytes) -> None:
        """Creates a cursor at the start of a document."""
        self.text = body.decode("utf-8", "surrogateescape")
        self.position = 0
        # Whether a deep value was found that does not end. Looking for the end
        # of each value inside it would take minutes.
        self._has_open_value = False

    def take(self, char: str) -> bool:
        """Skips a character if it comes next; returns whether it did."""
        self._skip_space()
        if not self.text.startswith(char, self.position):
            return False
        self.position += len(char)
        return True

    def expect(self, char: str) -> None:
        """Skips a character that has to come next."""
        if not self.take(char):
            raise ValueError(f"no {char!r} at {self.position}")

    def expect_end(self) -> None:
        """Checks that nothing else follows."""
        self._skip_space()
        if self.position != len(self.text):
            raise ValueError(f"more data at {self.position}")

    def read_name(self) -> str:
        """Returns the name of a member of an object, without its value."""
        name = self.read_value()
        if not isinstance(name, str):
            raise ValueError(f"no name before {self.position}")
        self.expect(":")
        return name

    def read_value(self) -> Any:
        """Returns the value that comes next."""
        self._skip_space()
        try:
            value, end = _DECODER.raw_decode(self.text, self.position)
        except RecursionError:
            shallow, end = self._cut_deep_values()
            value = _DECODER.decode(shallow)
        self.position = end
        return value

    def _skip_space(self) -> None:
        found = _SPACE.match(self.text, self.position)
        assert found is not None
        self.position = found.end()

    def _cut_deep_values(self) -> tuple[str, int]:
        """Returns the next value, with null for deep ones, and its end."""
        if self._has_open_value:
            raise ValueError(f"a deep value at {self.position}")
        kept = []
        depth = 0
        start = self.position
        for token in _TOKEN.finditer(self.text, self.position):
            if token.group() in _OPENING:
                depth += 1
                if depth == _MAX_DEPTH:
                    kept.append(self.text[start : token.start()])
            elif token.group() in _CLOSING:
                depth -= 1
                if depth == _MAX_DEPTH - 1:
                    kept.append("null")
                    start = token.end()
                if not depth:
                    kept.append(self.text[start : token.end()])
                    return "".join(kept), token.end()
        self._has_open_value = True
        raise ValueError(f"no end of the value at {self.position}")


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else math.inf


_DECODER = json.JSONDecoder(parse_int=_parse_integer)
