"""Accounts for the memory that a node holds for clients; no I/O.

Designed for hundreds of clients that send or read slowly on purpose, beside
callers whose requests are small or make progress. One account covers
connections, heads, bodies, waiting requests and unread responses. When it is
full, the holder that has gone longest without progress gives way. A request
that waits or is at a server never does.
"""

from collections.abc import Callable

# Memory of a process without clients: 34 MB in tests with one server, and more
# with many servers and accounts.
_PROCESS_BYTES = 50_000_000
# Complete responses of servers; see `response_memory`.
_RESPONSE_BYTES = 24_000_000
# The allocator keeps freed memory, and a body is copied once when complete.
_USABLE_SHARE = 2 / 3
# A smaller account would reject single bodies of the usual limit of 4 MB.
_MIN_BUDGET_BYTES = 8_000_000
# Estimate of the objects of a connection, an incomplete head and what was read
# ahead.
CONNECTION_BYTES = 24_576
_MAX_CONNECTION_SHARE = 0.4
# Estimate; names and values of headers are kept as separate strings.
_HEADER_BYTES = 400
_HEAD_COPIES = 2
# Larger requests leave the rest of the account to small ones, which would
# otherwise be rejected while a few large requests wait for servers.
_SMALL_BYTES = 65_536
_LARGE_SHARE = 0.75
# Bytes that count as progress. Single bytes do not.
PROGRESS_BYTES = 16_384
# Callers may read a complete response late, so it gives way only after this.
UNREAD_GRACE_S = 5.0
# Descriptors that the settings reserve for files, and those for the store,
# peers, listening sockets and load reports.
_FILE_DESCRIPTORS = 200
_OTHER_DESCRIPTORS = 32


def find_budget_bytes(memory_bytes: int) -> int:
    """Returns the size of the account for a machine."""
    rest_bytes = memory_bytes - _PROCESS_BYTES - _RESPONSE_BYTES
    return max(_MIN_BUDGET_BYTES, int(rest_bytes * _USABLE_SHARE))


def find_max_connections(max_descriptors: int, budget_bytes: int) -> int:
    """Returns the number of client connections for a machine.

    Each request in flight needs a second descriptor for its server.
    """
    free = max_descriptors - _FILE_DESCRIPTORS - _OTHER_DESCRIPTORS
    by_memory = int(budget_bytes * _MAX_CONNECTION_SHARE / CONNECTION_BYTES)
    return max(1, min(free // 2, by_memory))


def estimate_head_bytes(size: int, count: int) -> int:
    """Returns the memory of a head with a size and a number of headers."""
    return _HEAD_COPIES * size + _HEADER_BYTES * count


class ClientMemory:
    """Account of a node.

    Attributes:
        budget_bytes: Size of the account.
        used_bytes: Bytes that are held.
        peak_bytes: Most bytes that were held at one time.
    """

    __slots__ = ("_evictable", "budget_bytes", "peak_bytes", "used_bytes")

    def __init__(self, budget_bytes: int) -> None:
        """Creates an empty account."""
        self.budget_bytes = budget_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        # In the order of their last progress.
        self._evictable: dict[Holding, None] = {}

    def hold(self, holding: "Holding", size: int, now_s: float) -> bool:
        """Changes the bytes of a holding and evicts others if necessary.

        Returns:
            Whether it may hold so many; nothing changes for it otherwise.
        """
        more_bytes = size - holding.size
        share = 1.0 if size <= _SMALL_BYTES else _LARGE_SHARE
        limit_bytes = self.budget_bytes * share
        while more_bytes > 0 and self.used_bytes + more_bytes > limit_bytes:
            victim = self._find_victim(now_s)
            if victim is None or victim is holding:
                return False
            self._evictable.pop(victim)
            victim.evict()
        self._add(holding, more_bytes)
        return True

    def hold_unconditionally(self, holding: "Holding", size: int) -> None:
        """Changes the bytes of a holding whose data cannot be rejected."""
        self._add(holding, size - holding.size)

    def set_evictable(self, holding: "Holding", *, is_evictable: bool) -> None:
        """Sets whether a holding may give way; its progress starts anew."""
        self._evictable.pop(holding, None)
        if is_evictable:
            self._evictable[holding] = None

    def _add(self, holding: "Holding", more_bytes: int) -> None:
        holding.size += more_bytes
        self.used_bytes += more_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def _find_victim(self, now_s: float) -> "Holding | None":
        for holding in self._evictable:
            stalled_s = now_s - holding.progress_s
            if not holding.is_unread or stalled_s >= UNREAD_GRACE_S:
                return holding
        return None


class Holding:
    """What is held for one connection.

    Attributes:
        size: Bytes that are held.
        progress_s: Time of the last progress.
        is_unread: Whether a complete response waits for the client.
        evict: Called when it must give way; it frees the memory.
    """

    __slots__ = (
        "_memory",
        "_moved_bytes",
        "evict",
        "is_unread",
        "progress_s",
        "size",
    )

    def __init__(
        self, memory: ClientMemory, evict: Callable[[], object], now_s: float
    ) -> None:
        """Creates a holding with the memory of a connection."""
        self._memory = memory
        self._moved_bytes = 0
        self.evict = evict
        self.is_unread = False
        self.progress_s = now_s
        self.size = 0
        memory.hold_unconditionally(self, CONNECTION_BYTES)

    def start_transfer(self, now_s: float, *, is_unread: bool) -> None:
        """Records that a body or the rest of a response is transferred."""
        self.is_unread = is_unread
        self.progress_s = now_s
        self._moved_bytes = 0
        self._memory.set_evictable(self, is_evictable=True)

    def record_transfer(self, size: int, now_s: float) -> None:
        """Records bytes that were received from the client, or sent to it."""
        self._moved_bytes += size
        if self._moved_bytes >= PROGRESS_BYTES:
            self.start_transfer(now_s, is_unread=self.is_unread)

    def end_transfer(self) -> None:
        """Records that nothing is transferred, so it does not give way."""
        self._memory.set_evictable(self, is_evictable=False)

    def add(self, size: int, now_s: float) -> bool:
        """Holds more bytes unless there is no memory for them."""
        return self._memory.hold(self, self.size + size, now_s)

    def add_unread(self, size: int) -> None:
        """Holds bytes of a response, which are never refused."""
        self._memory.hold_unconditionally(self, self.size + size)

    def reset(self) -> None:
        """Frees all but the memory of the connection."""
        self.end_transfer()
        self._memory.hold_unconditionally(self, CONNECTION_BYTES)

    def release(self) -> None:
        """Frees all memory; the connection is closed."""
        self.end_transfer()
        self._memory.hold_unconditionally(self, 0)
