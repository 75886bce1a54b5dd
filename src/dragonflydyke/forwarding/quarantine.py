"""Quarantine of requests that crash the servers that run them; no I/O.

Designed for two patterns of load. A request that crashes every server comes
again, unchanged, at any node; its fingerprint stays the same. A prompt part
crashes every engine as soon as that begins to write a response, in requests
that differ. Each such request would take as many servers down as it has
attempts. A crash interrupts all requests of a server: each of them may be the
cause at a plain server, at an engine only one whose response had started
without any event. Nodes share reports of these.

A request is rejected if two crashes are put down to its fingerprint, and a
prompt if it has all shared parts that two crashes have in common. Two crashes
that the same request may have caused say nothing about its parts. A fingerprint
or part with which a response was produced since is not the cause. Of the
requests that a crash interrupted, it is put down to the one with most crashes,
so that a sound request that ran beside it twice is still served.
"""

import collections
import dataclasses
import hashlib
import itertools
from collections.abc import Collection, Iterable

from dragonflydyke.objects import model as objects

# A request may become harmless with another version of the servers. Requests
# that crash servers again are rejected again after two crashes.
QUARANTINE_S = 600.0
# Limits the work of a comparison of all reports with each other.
_MAX_REPORTS = 128
_NAME_BYTES = 10
# Crashes after which a request is rejected.
_MIN_CRASHES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class RequestContent:
    """What a request has in common with others that may crash servers.

    Attributes:
        fingerprint: Digest that is the same for each repetition of a request.
        parts: Ids of the shared parts of its prompt, empty without a prompt.
    """

    fingerprint: str
    parts: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """A request that may be the cause of the crash of a server.

    Attributes:
        pool: Pool of the server.
        request_id: Id of the request.
        server: Name of the server.
        started_ms: Unix time of the server's start in milliseconds.
        content: What the request has in common with others.
    """

    pool: str
    request_id: str
    server: str
    started_ms: int
    content: RequestContent

    @property
    def process(self) -> tuple[str, int]:
        """Identity of the server process that crashed."""
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
        is_suspect: Whether no response to the same request was produced since.
    """

    report: CrashReport
    first_seen_s: float
    suspects: set[str]
    is_suspect: bool
    listed_era: int | None = None
    written_era: int | None = None


class RequestQuarantine:
    """Crash reports of all nodes and the requests that they exclude."""

    __slots__ = ("_combinations", "_era", "_fingerprints", "_reports")

    def __init__(self) -> None:
        """Creates a quarantine without reports."""
        self._era = 0
        self._reports: dict[str, _ReportState] = {}
        self._combinations: dict[str, frozenset[frozenset[str]]] = {}
        self._fingerprints: dict[str, frozenset[str]] = {}

    def add(self, report: CrashReport, now_s: float) -> None:
        """Adds a report of this node; `now_s` is a loop time."""
        if report.name not in self._reports:
            self._insert(report, now_s)
            self._update()

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
        self._update()

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

    def has_reports(self, pool: str) -> bool:
        """Returns whether the content of requests to a pool matters."""
        return pool in self._fingerprints

    def record_response(self, pool: str, content: RequestContent) -> None:
        """Records that a server produced a response to a request."""
        changed = False
        for state in self._reports.values():
            if state.report.pool != pool:
                continue
            if not state.suspects.isdisjoint(content.parts):
                state.suspects.difference_update(content.parts)
                changed = True
            is_same = state.report.content.fingerprint == content.fingerprint
            if is_same and state.is_suspect:
                state.is_suspect = False
                changed = True
        if changed:
            self._update()

    def excludes_repetition(self, pool: str, fingerprint: str) -> bool:
        """Returns whether a request crashed servers when it came before."""
        return fingerprint in self._fingerprints.get(pool, ())

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
        self._update()

    def _insert(self, report: CrashReport, now_s: float) -> None:
        self._reports[report.name] = _ReportState(
            report,
            now_s,
            set(report.content.parts),
            is_suspect=bool(report.content.fingerprint),
        )
        while len(self._reports) > _MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _update(self) -> None:
        by_pool: dict[str, list[_ReportState]] = {}
        for state in self._reports.values():
            by_pool.setdefault(state.report.pool, []).append(state)
        self._combinations = {
            pool: _find_common_parts(states) for pool, states in by_pool.items()
        }
        self._fingerprints = {
            pool: _find_repeated(states) for pool, states in by_pool.items()
        }


def _find_repeated(states: Iterable[_ReportState]) -> frozenset[str]:
    """Returns the fingerprints to which at least two crashes are put down."""
    crashes: dict[tuple[str, int], set[str]] = {}
    for state in states:
        if state.is_suspect:
            suspects = crashes.setdefault(state.report.process, set())
            suspects.add(state.report.content.fingerprint)
    counts = collections.Counter(
        itertools.chain.from_iterable(crashes.values())
    )
    causes: collections.Counter[str] = collections.Counter()
    for suspects in crashes.values():
        most = max(counts[fingerprint] for fingerprint in suspects)
        causes.update(name for name in suspects if counts[name] == most)
    return frozenset(
        fingerprint
        for fingerprint, number in causes.items()
        if number >= _MIN_CRASHES
    )


def _find_common_parts(
    states: Iterable[_ReportState],
) -> frozenset[frozenset[str]]:
    """Returns the suspects that the crashes of two processes have in common."""
    crashes: dict[tuple[str, int], list[_ReportState]] = {}
    for state in states:
        crashes.setdefault(state.report.process, []).append(state)
    common = {
        frozenset(first.suspects & second.suspects)
        for one, other in itertools.combinations(crashes.values(), 2)
        if _list_fingerprints(one).isdisjoint(_list_fingerprints(other))
        for first, second in itertools.product(one, other)
    }
    return frozenset(parts for parts in common if parts)


def _list_fingerprints(states: Iterable[_ReportState]) -> set[str]:
    """Returns the fingerprints that may be the cause of a crash."""
    return {
        state.report.content.fingerprint for state in states if state.is_suspect
    }
