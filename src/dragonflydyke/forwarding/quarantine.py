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
        is_stored: Whether the store had it.
        suspects: Parts with which no response was produced since.
    """

    report: CrashReport
    first_seen_s: float
    is_stored: bool
    suspects: set[str]


class PromptQuarantine:
    """Crash reports of all nodes and the parts that they put in quarantine."""

    __slots__ = ("_combinations", "_reports")

    def __init__(self) -> None:
        """Creates a quarantine without reports."""
        self._reports: dict[str, _ReportState] = {}
        self._combinations: dict[str, frozenset[frozenset[str]]] = {}

    def add(self, report: CrashReport, now_s: float) -> None:
        """Adds a report of this node; `now_s` is a loop time."""
        if self._insert(report, now_s, is_stored=False):
            self._update_combinations()

    def replace_stored(
        self, reports: Iterable[CrashReport], now_s: float
    ) -> None:
        """Replaces the reports that the store has; `now_s` is a loop time.

        Reports of this node that the store does not have yet are kept.
        """
        stored = {report.name: report for report in reports}
        for name, state in list(self._reports.items()):
            if state.is_stored and name not in stored:
                del self._reports[name]
        for report in stored.values():
            self._insert(report, now_s, is_stored=True)
        self._update_combinations()

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

    def _insert(
        self, report: CrashReport, now_s: float, *, is_stored: bool
    ) -> bool:
        state = self._reports.get(report.name)
        if state is not None:
            state.is_stored |= is_stored
            return False
        self._reports[report.name] = _ReportState(
            report, now_s, is_stored, set(report.parts)
        )
        while len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        return True

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
