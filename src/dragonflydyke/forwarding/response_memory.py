"""Limits the memory of the responses that a node holds; no I/O.

Designed for servers whose responses never end, many at the same time. A
response is delivered only when it is complete, so that each of them would be
held up to the limit on a single response. Short responses are always accepted:
they fit into the rest of the memory of a node, however many there are.
"""

# Memory of all responses of a node. The smallest nodes have a few times that.
MAX_TOTAL_BYTES = 24_000_000
# Total up to which optional responses are held, which leaves the rest to those
# without which a request fails.
MAX_OPTIONAL_BYTES = 8_000_000
# Bytes that any response may hold, unless it is optional.
GUARANTEED_BYTES = 65_536


class ResponseMemory:
    """Memory of the responses that a node holds.

    Attributes:
        used_bytes: Bytes that are held.
    """

    __slots__ = ("used_bytes",)

    def __init__(self) -> None:
        """Creates an account without responses."""
        self.used_bytes = 0


class Reservation:
    """Memory of one response.

    Attributes:
        size: Bytes that are reserved.
    """

    __slots__ = ("_is_optional", "_memory", "size")

    def __init__(
        self, memory: ResponseMemory, *, is_optional: bool = False
    ) -> None:
        """Creates an empty reservation.

        Args:
            memory: Memory of all responses.
            is_optional: Whether the request can do without this response.
        """
        self._memory = memory
        self._is_optional = is_optional
        self.size = 0

    def resize(self, size: int) -> bool:
        """Changes the number of reserved bytes.

        Returns:
            Whether the response may hold so many; nothing changes otherwise.
        """
        more_bytes = size - self.size
        total_bytes = self._memory.used_bytes + more_bytes
        if self._is_optional:
            may_hold = total_bytes <= MAX_OPTIONAL_BYTES
        else:
            may_hold = size <= GUARANTEED_BYTES
            may_hold |= total_bytes <= MAX_TOTAL_BYTES
        if more_bytes > 0 and not may_hold:
            return False
        self._memory.used_bytes += more_bytes
        self.size = size
        return True

    def release(self) -> None:
        """Releases all reserved bytes."""
        self.resize(0)


class HeldBody:
    """Body of a response that is held until it is complete.

    It owns the parts, so that they are freed when it is released, and not when
    the last reference to the task or the traceback that received them is.
    """

    __slots__ = ("_parts", "_reservation")

    def __init__(self, memory: ResponseMemory) -> None:
        """Creates an empty body."""
        self._parts: list[bytes] = []
        self._reservation = Reservation(memory)

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return self._reservation.size

    def append(self, part: bytes) -> bool:
        """Holds a part unless there is no memory for it.

        Returns:
            Whether the part is held.
        """
        if not self._reservation.resize(self.size + len(part)):
            return False
        self._parts.append(part)
        return True

    def take_parts(self) -> list[bytes]:
        """Returns the parts, which stay reserved until the body is released."""
        parts, self._parts = self._parts, []
        return parts

    def release(self) -> None:
        """Frees the parts and their memory."""
        self._parts = []
        self._reservation.release()
