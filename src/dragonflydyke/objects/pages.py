"""Reads the pages of lists and watches of a store that several writers share.

The items of a page are decoded one at a time. The values of an item can take
tens of times the memory of its text, so that a page as a whole, or a list of
them, could exceed the memory of a VM. An item that is not JSON is left out
without those beside it: what follows it is found by the member with which it
begins, as all items of a response are written in the same way.
"""

import re
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from dragonflydyke.objects import documents

_FIRST_NAME = re.compile(r'[ \t\n\r]*\{[ \t\n\r]*("[^"\\]*")[ \t\n\r]*:')
# Depth of the members that are read of an item that is not JSON. The object
# of an event is one level below its item.
_UNREADABLE_DEPTH = 2
# Limits the time that a page takes which only looks like one.
_MAX_UNREADABLE_ITEMS = 500

_Converted = TypeVar("_Converted")


class UnreadableItem:
    """An item that is not JSON.

    Attributes:
        members: Members before the first whose value cannot be read. The last
            one may be incomplete.
    """

    __slots__ = ("members",)

    def __init__(self, members: dict[str, Any]) -> None:
        self.members = members


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
        convert: Returns what is kept of an item, which is a JSON value or an
            UnreadableItem.
        peer: Name of the store in errors.

    Raises:
        PlatformUnavailableError: If the page is not JSON apart from its items.
    """
    cursor = documents.Cursor(body)
    page: Page[_Converted] = Page()
    try:
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

    __slots__ = ("_convert", "_cursor", "_has_more", "_unreadable")

    def __init__(
        self, cursor: documents.Cursor, convert: Callable[[Any], _Converted]
    ) -> None:
        self._convert = convert
        self._cursor = cursor
        self._has_more = False
        self._unreadable = 0

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
        start = self._cursor.position
        try:
            item = self._cursor.read_value()
            self._has_more = self._skip_separator()
        except (ValueError, RecursionError):
            item = self._read_unreadable(start)
            self._has_more = self._skip_unreadable(start)
        return item

    def _skip_separator(self) -> bool:
        """Returns whether an item follows; otherwise the list has ended."""
        if self._cursor.take(","):
            return True
        self._cursor.expect("]")
        return False

    def _read_unreadable(self, start: int) -> UnreadableItem:
        self._cursor.position = start
        return UnreadableItem(self._read_leading_members(_UNREADABLE_DEPTH))

    def _read_leading_members(self, depth: int) -> dict[str, Any]:
        """Returns the members of an object up to one that cannot be read."""
        members: dict[str, Any] = {}
        cursor = self._cursor
        try:
            cursor.expect("{")
            while True:
                name = cursor.read_name()
                start = cursor.position
                try:
                    members[name] = cursor.read_value()
                except (ValueError, RecursionError):
                    if depth > 1:
                        cursor.position = start
                        members[name] = self._read_leading_members(depth - 1)
                    return members
                cursor.expect(",")
        except (ValueError, RecursionError):
            return members

    def _skip_unreadable(self, start: int) -> bool:
        """Skips an item that is not JSON; returns whether another follows.

        Raises:
            ValueError: If neither another item nor the end of the list follows,
                or if there are too many such items.
        """
        self._unreadable += 1
        if self._unreadable > _MAX_UNREADABLE_ITEMS:
            raise ValueError("too many items that are not JSON")
        text = self._cursor.text
        following = _find_following(text, start)
        if following is not None:
            self._cursor.position = following
            return True
        # What follows the list in a page has no brackets.
        self._cursor.position = text.rindex("]", start) + 1
        return False


def _find_following(text: str, start: int) -> int | None:
    """Returns where the next item begins that looks like the one at `start`."""
    first = _FIRST_NAME.match(text, start)
    name = re.escape(first.group(1)) if first else ""
    space = r"[ \t\n\r]*"
    pattern = re.compile(f",{space}(?={{{space}{name}{space if name else ''})")
    found = pattern.search(text, start)
    return found.end() if found else None
