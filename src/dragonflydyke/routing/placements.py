"""Attempts at backend servers, from dispatch to end."""

import asyncio
import enum
from collections.abc import Sequence
from typing import Protocol

from dragonflydyke.configuration import model


class AttemptEnd(enum.Enum):
    """How an attempt at a backend server ended, as far as it is at fault."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Pool(Protocol):
    """Is told of the end of placements."""

    def end_placement(self, placement: "Placement", end: AttemptEnd) -> None:
        """Accounts for an attempt that ended."""


class Placement:
    """An attempt at a server, from dispatch to its end."""

    __slots__ = (
        "_ended",
        "_pool",
        "candidates",
        "crowding",
        "kind",
        "latency_s",
        "long",
        "server",
        "started_s",
    )

    def __init__(
        self,
        pool: Pool,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
        kind: str,
        *,
        long: bool = False,
        crowding: float = 1.0,
    ) -> None:
        self._pool = pool
        self.long = long
        self.crowding = crowding
        self.kind = kind
        self._ended = False
        self.server = server
        self.candidates = candidates
        self.latency_s: float | None = None
        self.started_s = asyncio.get_running_loop().time()

    def record_first_byte(self) -> None:
        """Records the time to the first byte of the answer."""
        if self.latency_s is None:
            now_s = asyncio.get_running_loop().time()
            self.latency_s = now_s - self.started_s

    def end(self, end: AttemptEnd) -> None:
        """Ends the attempt; further calls have no effect."""
        if not self._ended:
            self._ended = True
            self._pool.end_placement(self, end)
