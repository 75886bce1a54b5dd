"""Quarantine of prompts that crash the engines that run them; no I/O.

Designed for a prompt part on which every engine crashes as soon as it begins to
write a response. Each such request would take as many engines down as it has
attempts, and requests with the part arrive at any node. A crash interrupts all
requests of an engine; the likely cause is the one whose response had started
without any event. Nodes share reports of these. If two engine processes crashed
under the same shared parts, requests with all of these parts are rejected. A
part with which another response was produced since is not the cause, and is
left out, so that sound requests with some of the parts are still served.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Collection, Iterable

from dragonflydyke.objects import model as objects

# A part may become harmless with another version of the engines. Requests that
# crash engines again are rejected again after two crashes.
QUARANTINE_S = 600.0
# Limits the work of a comparison of all reports with each other.
_MAX_REPORTS = 128
_NAME_BYTES = 10


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """A request that is the likely cause of the crash of an engine.

    Attributes:
        pool: Pool of the engine.
        request_id: Id of the request.
        server: Name of the engine.
        started_ms: Unix time of the engine's start in milliseconds.
        parts: Ids of the shared parts of the prompt.
    """

    pool: str
    request_id: str
    server: str
    started_ms: int
    parts: frozenset[str]

    @property
    def process(self) -> tuple[str, int]:
        """Identity of the engine process that crashed."""
        return self.server, self.started_ms

    @property
    def name(self) -> str:
        """Name of the report, the same for each report on the same fact."""
        key = f"{self.server} {self.started_ms} {self.request_id}"
        return hashlib.blake2b(
            key.encode(), digest_size=_NAME_BYTES
        ).hexdigest()


@dataclasses.dataclass(slots=True)
class _ReportState:
    """A report and what this node knows about it; times are loop times.

    Attributes:
        report: The report.
        first_seen_s: Time at which this node received it.
        listed_era: Era of the store in which it last listed the report, None
            if it never did.
        written_era: Era of the store in which this node wrote the report, None
            if it did not.
        suspects: Parts with which no response was produced since.
    """

    report: CrashReport
    first_seen_s: float
    suspects: set[str]
    listed_era: int | None = None
    written_era: int | None = None


class PromptQuarantine:
    """Crash reports of all nodes and the parts that they put in quarantine."""

    __slots__ = ("_combinations", "_era", "_reports")

    def __init__(self) -> None:
        """Creates a quarantine without reports."""
        self._era = 0
        self._reports: dict[str, _ReportState] = {}
        self._combinations: dict[str, frozenset[frozenset[str]]] = {}

    def add(self, report: CrashReport, now_s: float) -> None:
        """Adds a report of this node; `now_s` is a loop time."""
        if report.name not in self._reports:
            self._insert(report, now_s)
            self._update_combinations()

    def replace_stored(
        self, reports: Iterable[CrashReport], now_s: float, version: int
    ) -> None:
        """Replaces the reports that the store has.

        Reports that the store does not have yet, or has lost as it was restored
        from a copy, are kept and count as not stored.

        Args:
            reports: All reports in the store.
            now_s: Current loop time.
            version: Version of the store.
        """
        self._era = objects.find_era(version)
        stored = {report.name: report for report in reports}
        for name in self._reports.keys() - stored.keys():
            if self._reports[name].listed_era == self._era:
                del self._reports[name]
        for report in stored.values():
            if report.name not in self._reports:
                self._insert(report, now_s)
            self._reports[report.name].listed_era = self._era
        self._update_combinations()

    def record_written(self, report: CrashReport, era: int) -> None:
        """Records that this node wrote a report in an era of the store."""
        state = self._reports.get(report.name)
        if state is not None:
            state.written_era = era

    def list_unstored(self) -> list[CrashReport]:
        """Returns the reports that the store does not have in its era."""
        return [
            state.report
            for state in self._reports.values()
            if self._era not in (state.listed_era, state.written_era)
        ]

    def record_response(self, pool: str, parts: Collection[str]) -> None:
        """Records that an engine produced a response with some parts."""
        changed = False
        for state in self._reports.values():
            if state.report.pool == pool and not state.suspects.isdisjoint(
                parts
            ):
                state.suspects.difference_update(parts)
                changed = True
        if changed:
            self._update_combinations()

    def find_combination(
        self, pool: str, parts: Collection[str]
    ) -> frozenset[str] | None:
        """Returns quarantined parts that a prompt contains, or None."""
        combinations = self._combinations.get(pool)
        if not combinations:
            return None
        return next(
            (found for found in combinations if found.issubset(parts)), None
        )

    def list_expired(self, now_s: float) -> list[CrashReport]:
        """Returns the reports whose time is over; `now_s` is a loop time."""
        return [
            state.report
            for state in self._reports.values()
            if now_s - state.first_seen_s >= QUARANTINE_S
        ]

    def discard(self, report: CrashReport) -> None:
        """Removes a report."""
        self._reports.pop(report.name, None)
        self._update_combinations()

    def _insert(self, report: CrashReport, now_s: float) -> None:
        self._reports[report.name] = _ReportState(
            report, now_s, set(report.parts)
        )
        while len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _update_combinations(self) -> None:
        by_pool: dict[str, list[_ReportState]] = {}
        for state in self._reports.values():
            by_pool.setdefault(state.report.pool, []).append(state)
        self._combinations = {
            pool: _find_common_parts(states) for pool, states in by_pool.items()
        }


def _find_common_parts(
    states: Iterable[_ReportState],
) -> frozenset[frozenset[str]]:
    """Returns the suspects that the crashes of two processes have in common."""
    common = {
        frozenset(first.suspects & second.suspects)
        for first, second in itertools.combinations(states, 2)
        if first.report.process != second.report.process
    }
    return frozenset(parts for parts in common if parts)
