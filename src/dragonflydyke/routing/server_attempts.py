"""Attempts at backend servers, from dispatch to end."""

import asyncio
import enum
from collections.abc import Sequence
from typing import Protocol

from dragonflydyke.configuration import model


class AttemptOutcome(enum.Enum):
    """How an attempt at a backend server ended, as far as it is at fault."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptObserver(Protocol):
    """Is told of the end of placements."""

    def record_attempt_outcome(
        self, attempt: "ServerAttempt", outcome: AttemptOutcome
    ) -> None:
        """Accounts for an attempt that ended."""


class ServerAttempt:
    """An attempt at a server, from dispatch to its end."""

    __slots__ = (
        "_is_finished",
        "_observer",
        "candidates",
        "first_byte_latency_s",
        "kind",
        "long",
        "oversubscription",
        "server",
        "started_s",
    )

    def __init__(
        self,
        observer: AttemptObserver,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
        kind: str,
        *,
        long: bool = False,
        oversubscription: float = 1.0,
    ) -> None:
        self._observer = observer
        self.long = long
        self.oversubscription = oversubscription
        self.kind = kind
        self._is_finished = False
        self.server = server
        self.candidates = candidates
        self.first_byte_latency_s: float | None = None
        self.started_s = asyncio.get_running_loop().time()

    def record_first_byte(self) -> None:
        """Records the time to the first byte of the answer."""
        if self.first_byte_latency_s is None:
            now_s = asyncio.get_running_loop().time()
            self.first_byte_latency_s = now_s - self.started_s

    def finish(self, outcome: AttemptOutcome) -> None:
        """Ends the attempt; further calls have no effect."""
        if not self._is_finished:
            self._is_finished = True
            self._observer.record_attempt_outcome(self, outcome)
