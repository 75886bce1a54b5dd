"""Limits the memory of responses that are held until they are complete; no I/O.

Designed for servers whose responses never end, many at the same time. A
response is delivered only when it is complete, so that each of them would be
held up to the limit on a single response. Short responses are always accepted:
they fit into the rest of the memory of a node, however many there are.
"""

# Memory of all responses of a node. The smallest nodes have a few times that.
MAX_TOTAL_BYTES = 24_000_000
# Bytes that any response may hold.
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

    def try_reserve(self, held_bytes: int, more_bytes: int) -> bool:
        """Reserves memory for a part of a response.

        Args:
            held_bytes: Bytes that the response holds already.
            more_bytes: Size of the part.

        Returns:
            Whether the part may be held.
        """
        is_short = held_bytes + more_bytes <= GUARANTEED_BYTES
        if not is_short and self.used_bytes + more_bytes > MAX_TOTAL_BYTES:
            return False
        self.used_bytes += more_bytes
        return True

    def release(self, held_bytes: int) -> None:
        """Releases the memory of a response."""
        self.used_bytes -= held_bytes
