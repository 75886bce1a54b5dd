"""Reads the pages of lists and watches of a store that several writers share.

The items of a page are decoded one at a time. The values of an item can take
tens of times the memory of its text, so that a page as a whole, or a list of
them, could exceed the memory of a VM.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from dragonflydyke.objects import documents

_Converted = TypeVar("_Converted")


class Page(Generic[_Converted]):
    """Contents of a page.

    Attributes:
        items: Converted items, None if the page has no list of them.
        members: The other members.
    """

    __slots__ = ("items", "members")

    def __init__(self) -> None:
        self.items: list[_Converted] | None = None
        self.members: dict[str, Any] = {}


def read_page(
    body: bytes,
    items_name: str,
    convert: Callable[[Any], _Converted],
    *,
    peer: str,
) -> Page[_Converted]:
    """Reads a page.

    Args:
        body: Text of the page, a JSON object.
        items_name: Name of the member that lists the items.
        convert: Returns what is kept of an item, which is a JSON value.
        peer: Name of the store in errors.

    Raises:
        PlatformUnavailableError: If the page is not JSON.
    """
    page: Page[_Converted] = Page()
    try:
        cursor = documents.Cursor(body)
        cursor.expect("{")
        is_open = not cursor.take("}")
        while is_open:
            name = cursor.read_name()
            if name == items_name and cursor.take("["):
                page.items = _ItemReader(cursor, convert).read_all()
            else:
                page.members[name] = cursor.read_value()
            is_open = cursor.take(",")
            if not is_open:
                cursor.expect("}")
        cursor.expect_end()
    except (ValueError, RecursionError) as error:
        raise documents.build_document_error(error, peer=peer) from error
    return page


class _ItemReader(Generic[_Converted]):
    """Reads the items of a list whose opening bracket was read."""

    __slots__ = ("_convert", "_cursor", "_has_more")

    def __init__(
        self, cursor: documents.Cursor, convert: Callable[[Any], _Converted]
    ) -> None:
        self._convert = convert
        self._cursor = cursor
        self._has_more = False

    def read_all(self) -> list[_Converted]:
        """Returns the converted items and skips the closing bracket."""
        found: list[_Converted] = []
        self._has_more = not self._cursor.take("]")
        while self._has_more:
            # Nothing refers to the value of an item once it is converted.
            found.append(self._convert(self._read_item()))
        return found

    def _read_item(self) -> Any:
        """Returns the next item and skips what separates it from the rest."""
        item = self._cursor.read_value()
        self._has_more = self._skip_separator()
        return item

    def _skip_separator(self) -> bool:
        """Returns whether an item follows; otherwise the list has ended."""
        if self._cursor.take(","):
            return True
        self._cursor.expect("]")
        return False
