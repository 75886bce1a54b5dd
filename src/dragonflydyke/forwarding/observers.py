"""Evidence of single attempts on the version of their server."""

import asyncio
from typing import Protocol

from dragonflydyke.forwarding import baselines, directory, model, rollouts


class EvidenceRecorder(Protocol):
    """Where the evidence on versions is counted."""

    def record_attempts(
        self,
        member: directory.ServerEntry,
        route: str,
        counts: rollouts.AttemptCounts,
    ) -> None:
        """Adds to the evidence on the version of a server."""

    def has_new_version(self, member: directory.ServerEntry) -> bool:
        """Returns whether a server has the version that is rolled out."""


class VersionBaselines:
    """Usual times of the versions in use of a pool.

    Attributes:
        first_bytes: Times to the first byte, by route and model.
        event_gaps: Typical pauses of streams, by model.
    """

    __slots__ = ("event_gap", "first_byte_latency")

    def __init__(self) -> None:
        self.first_byte_latency = baselines.LatencyBaseline(
            baselines.FIRST_BYTE_RULE
        )
        self.event_gap = baselines.LatencyBaseline(baselines.EVENT_GAP_RULE)


class AttemptObserver:
    """Judges one attempt at a server for the evidence on its version.

    A slow attempt counts when it becomes slow; waiting for its end would take
    longer than a bad version may be exposed. The first byte of a stream tells
    more of the queue at a server than of its version, so streams are judged by
    their pauses, and by a first byte only when it comes after the target
    latency.
    """

    __slots__ = (
        "_baseline_key",
        "_baselines",
        "_gap_estimator",
        "_is_counted",
        "_is_impaired",
        "_member",
        "_model_name",
        "_recorder",
        "_route",
        "_started_s",
        "_timer",
    )

    def __init__(
        self,
        book: EvidenceRecorder,
        paces: VersionBaselines,
        member: directory.ServerEntry,
        route: model.Route,
        model_name: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._recorder = book
        self._baselines = paces
        self._member = member
        self._route = route
        self._baseline_key = f"{route.name} {model_name}"
        self._model_name = model_name
        self._started_s = loop.time()
        self._gap_estimator = baselines.EventGapEstimator()
        self._is_counted = False
        self._is_impaired = False
        self._timer: asyncio.TimerHandle | None = None
        bound_s = route.target_latency_s
        if not self._is_stream:
            bound_s = paces.first_byte_latency.find_slow_threshold_s(
                self._baseline_key
            )
        if bound_s is not None:
            self._timer = loop.call_later(bound_s, self._record_impaired)

    @property
    def _is_stream(self) -> bool:
        return self._route.kind is model.RequestKind.STREAM

    def record_response_start(self) -> None:
        """Notes that the answer began."""
        latency_s = asyncio.get_running_loop().time() - self._started_s
        if not self._is_stream and not self._recorder.has_new_version(
            self._member
        ):
            self._baselines.first_byte_latency.record(
                self._baseline_key, latency_s
            )
        self._cancel_timer()
        if not self._is_counted:
            self._record_counts(rollouts.AttemptCounts())

    def record_event(self) -> None:
        """Notes an event of a stream."""
        gap_s = self._gap_estimator.record_event(
            asyncio.get_running_loop().time()
        )
        if gap_s is None:
            return
        gaps = self._baselines.event_gap
        bound_s = gaps.find_slow_threshold_s(self._model_name)
        if not self._recorder.has_new_version(self._member):
            gaps.record(self._model_name, gap_s)
        if bound_s is not None and gap_s > bound_s:
            self._record_impaired()

    def record_outcome(self, *, failed: bool, lost: bool) -> None:
        """Notes the end of the attempt.

        Args:
            failed: Whether the server itself answered with a failure.
            lost: Whether the answer was lost or not valid.
        """
        self._cancel_timer()
        if failed:
            self._record_counts(rollouts.AttemptCounts(failed=1))
        elif lost:
            self._record_impaired()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _record_impaired(self) -> None:
        if self._is_impaired:
            return
        self._is_impaired = True
        self._record_counts(rollouts.AttemptCounts(impaired=1))

    def _record_counts(self, counts: rollouts.AttemptCounts) -> None:
        if not self._is_counted:
            counts = counts.add(rollouts.AttemptCounts(attempts=1))
        self._is_counted = True
        self._recorder.record_attempts(self._member, self._route.name, counts)
