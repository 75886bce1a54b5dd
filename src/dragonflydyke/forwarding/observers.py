"""Evidence of single attempts on the version of their server."""

import asyncio
from typing import Protocol

from dragonflydyke.forwarding import directory, model, pace, rollouts


class EvidenceBook(Protocol):
    """Where the evidence on versions is counted."""

    def count(
        self,
        member: directory.Member,
        route: str,
        counts: rollouts.AttemptCounts,
    ) -> None:
        """Adds to the evidence on the version of a server."""

    def is_new(self, member: directory.Member) -> bool:
        """Returns whether a server has the version that is rolled out."""


class VersionPaces:
    """Usual times of the versions in use of a pool.

    Attributes:
        first_bytes: Times to the first byte, by route and model.
        event_gaps: Typical pauses of streams, by model.
    """

    __slots__ = ("event_gaps", "first_bytes")

    def __init__(self) -> None:
        self.first_bytes = pace.PaceBook(pace.FIRST_BYTE_RULE)
        self.event_gaps = pace.PaceBook(pace.EVENT_GAP_RULE)


class AttemptObserver:
    """Judges one attempt at a server for the evidence on its version.

    A slow attempt counts when it becomes slow; waiting for its end would take
    longer than a bad version may be exposed. The first byte of a stream tells
    more of the queue at a server than of its version, so streams are judged by
    their pauses, and by a first byte only when it comes after the target
    latency.
    """

    __slots__ = (
        "_begun_s",
        "_book",
        "_clock",
        "_is_counted",
        "_is_impaired",
        "_kind",
        "_member",
        "_model_name",
        "_paces",
        "_route",
        "_timer",
    )

    def __init__(
        self,
        book: EvidenceBook,
        paces: VersionPaces,
        member: directory.Member,
        route: model.Route,
        model_name: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._book = book
        self._paces = paces
        self._member = member
        self._route = route
        self._kind = f"{route.name} {model_name}"
        self._model_name = model_name
        self._begun_s = loop.time()
        self._clock = pace.EventClock()
        self._is_counted = False
        self._is_impaired = False
        self._timer: asyncio.TimerHandle | None = None
        bound_s = route.target_latency_s
        if not self._is_stream:
            bound_s = paces.first_bytes.find_slow_bound_s(self._kind)
        if bound_s is not None:
            self._timer = loop.call_later(bound_s, self._count_impaired)

    @property
    def _is_stream(self) -> bool:
        return self._route.kind is model.RequestKind.STREAM

    def note_answer(self) -> None:
        """Notes that the answer began."""
        latency_s = asyncio.get_running_loop().time() - self._begun_s
        if not self._is_stream and not self._book.is_new(self._member):
            self._paces.first_bytes.record(self._kind, latency_s)
        self._cancel_timer()
        if not self._is_counted:
            self._count(rollouts.AttemptCounts())

    def note_event(self) -> None:
        """Notes an event of a stream."""
        gap_s = self._clock.note_event(asyncio.get_running_loop().time())
        if gap_s is None:
            return
        gaps = self._paces.event_gaps
        bound_s = gaps.find_slow_bound_s(self._model_name)
        if not self._book.is_new(self._member):
            gaps.record(self._model_name, gap_s)
        if bound_s is not None and gap_s > bound_s:
            self._count_impaired()

    def end(self, *, failed: bool, lost: bool) -> None:
        """Notes the end of the attempt.

        Args:
            failed: Whether the server itself answered with a failure.
            lost: Whether the answer was lost or not valid.
        """
        self._cancel_timer()
        if failed:
            self._count(rollouts.AttemptCounts(failed=1))
        elif lost:
            self._count_impaired()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _count_impaired(self) -> None:
        if self._is_impaired:
            return
        self._is_impaired = True
        self._count(rollouts.AttemptCounts(impaired=1))

    def _count(self, counts: rollouts.AttemptCounts) -> None:
        if not self._is_counted:
            counts = counts.add(rollouts.AttemptCounts(attempts=1))
        self._is_counted = True
        self._book.count(self._member, self._route.name, counts)
