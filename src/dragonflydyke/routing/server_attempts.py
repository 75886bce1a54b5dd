"""Attempts to serve a request at a backend server."""

import asyncio
import enum
from collections.abc import Sequence
from typing import Protocol

from dragonflydyke.configuration import model


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt as it is attributed to the backend server.

    Attributes:
        COMPLETED: The server completed the response.
        FAILED: The attempt failed, and the server is at fault.
        CANCELLED: The attempt ended for a reason outside the server.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptObserver(Protocol):
    """Receives the outcomes of attempts."""

    def record_attempt_outcome(
        self, attempt: "ServerAttempt", outcome: AttemptOutcome
    ) -> None:
        """Records the outcome of an attempt that has finished."""


class ServerAttempt:
    """One attempt to serve a request at a backend server.

    Attributes:
        server: Server that the request is sent to.
        candidates: Servers that can do the same work.
        kind: Kind of work, whose times to the first byte are comparable.
        long: Whether the attempt counts against the slots for long work.
        oversubscription: Requests per slot of the server at the start, at
            least 1.
        started_s: Loop time of the start.
        first_byte_latency_s: Seconds from the start to the first byte of the
            response, None before it.
    """

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
        """Records the time to the first byte of the response, once."""
        if self.first_byte_latency_s is None:
            now_s = asyncio.get_running_loop().time()
            self.first_byte_latency_s = now_s - self.started_s

    def finish(self, outcome: AttemptOutcome) -> None:
        """Records the outcome of the attempt; further calls have no effect."""
        if not self._is_finished:
            self._is_finished = True
            self._observer.record_attempt_outcome(self, outcome)
