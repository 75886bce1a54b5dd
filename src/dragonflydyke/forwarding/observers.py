"""Observes single attempts as evidence on the version of their server."""

import asyncio
from typing import Protocol

from dragonflydyke.forwarding import (
    baselines,
    directory,
    model,
    rollout_evidence,
)


class EvidenceRecorder(Protocol):
    """Records the evidence on versions."""

    def record_attempts(
        self,
        server: directory.ServerEntry,
        route: str,
        counts: rollout_evidence.AttemptCounts,
    ) -> None:
        """Adds attempts to the evidence on the server's version."""

    def has_new_version(self, server: directory.ServerEntry) -> bool:
        """Returns whether a server has the version that is being rolled out."""


class VersionBaselines:
    """Latency baselines of the versions in use in a pool.

    Attributes:
        first_byte_latency: Time to the first byte, by route and model.
        event_gap: Typical inter-event gap of streams, by model.
    """

    __slots__ = ("event_gap", "first_byte_latency")

    def __init__(self) -> None:
        self.first_byte_latency = baselines.LatencyBaseline(
            baselines.FIRST_BYTE_RULE
        )
        self.event_gap = baselines.LatencyBaseline(baselines.EVENT_GAP_RULE)


class AttemptObserver:
    """Classifies one attempt at a server as evidence on its version.

    A slow attempt is recorded as soon as it exceeds the threshold; waiting
    until it finishes would take longer than a bad version may be exposed. The
    time to the first byte of a stream depends more on the queue at a server
    than on its version. So streams are classified by their inter-event gaps,
    and by the first byte only if it arrives after the target latency. A stream
    is counted once it is classified: if it counted as good from its first byte
    on, a slow version would look good for as long as its streams take.
    """

    __slots__ = (
        "_baseline_key",
        "_baselines",
        "_gap_estimator",
        "_is_counted",
        "_is_impaired",
        "_server",
        "_model_name",
        "_recorder",
        "_route",
        "_started_s",
        "_timer",
    )

    def __init__(
        self,
        recorder: EvidenceRecorder,
        version_baselines: VersionBaselines,
        server: directory.ServerEntry,
        route: model.Route,
        model_name: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._recorder = recorder
        self._baselines = version_baselines
        self._server = server
        self._route = route
        self._baseline_key = f"{route.name} {model_name}"
        self._model_name = model_name
        self._started_s = loop.time()
        self._gap_estimator = baselines.EventGapEstimator()
        self._is_counted = False
        self._is_impaired = False
        self._timer: asyncio.TimerHandle | None = None
        threshold_s = route.target_latency_s
        if not self._is_stream:
            threshold_s = (
                version_baselines.first_byte_latency.find_slow_threshold_s(
                    self._baseline_key
                )
            )
        if threshold_s is not None:
            self._timer = loop.call_later(threshold_s, self._record_impaired)

    @property
    def _is_stream(self) -> bool:
        return self._route.kind is model.RequestKind.STREAM

    def record_response_start(self) -> None:
        """Records that the response started."""
        latency_s = asyncio.get_running_loop().time() - self._started_s
        if not self._is_stream and not self._recorder.has_new_version(
            self._server
        ):
            self._baselines.first_byte_latency.record(
                self._baseline_key, latency_s
            )
        self._cancel_timer()
        if not self._is_stream:
            self._record_good()

    def record_event(self) -> None:
        """Records an event of a stream."""
        self._cancel_timer()
        if self._gap_estimator.is_complete:
            return
        gaps = self._baselines.event_gap
        threshold_s = gaps.find_slow_threshold_s(self._model_name)
        gap_s = self._gap_estimator.record_event(
            asyncio.get_running_loop().time()
        )
        if gap_s is not None:
            if not self._recorder.has_new_version(self._server):
                gaps.record(self._model_name, gap_s)
            if threshold_s is not None and gap_s > threshold_s:
                self._record_impaired()
            else:
                self._record_good()
        elif threshold_s is not None and self._gap_estimator.is_slow_after(
            threshold_s
        ):
            self._timer = asyncio.get_running_loop().call_later(
                threshold_s, self._record_impaired
            )

    def record_outcome(
        self, *, failed: bool, lost: bool, delivered: bool
    ) -> None:
        """Records how the attempt finished.

        Args:
            failed: Whether the server itself returned an error.
            lost: Whether the response was lost or not valid.
            delivered: Whether the whole response was delivered. A response
                that was discarded, or whose client left, is not counted unless
                it was classified before.
        """
        self._cancel_timer()
        if failed:
            self._record_counts(rollout_evidence.AttemptCounts(failed=1))
        elif lost:
            self._record_impaired()
        elif delivered:
            self._record_good()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _record_good(self) -> None:
        if not self._is_counted:
            self._record_counts(rollout_evidence.AttemptCounts())

    def _record_impaired(self) -> None:
        if self._is_impaired:
            return
        self._is_impaired = True
        self._record_counts(rollout_evidence.AttemptCounts(impaired=1))

    def _record_counts(self, counts: rollout_evidence.AttemptCounts) -> None:
        if not self._is_counted:
            counts = counts.add(rollout_evidence.AttemptCounts(attempts=1))
        self._is_counted = True
        self._recorder.record_attempts(self._server, self._route.name, counts)
