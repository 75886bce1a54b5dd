"""Choice of the server for an attempt; no I/O.

The load it answers: a wave of long prompts that share beginnings, from many
nodes that cannot see each other's requests. Requests with the same beginning
go to the same server of the own data centre, so that its cache holds it and
nodes agree without messages; a server that has more work of this node than
reading the beginning again would cost is passed over.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence

from dragonflydyke.forwarding import directory, model, rollouts
from dragonflydyke.routing import outliers

# Prompt tokens that a server reads in a second when it is not shared; only
# the ratio to the other costs matters.
_READ_TOKENS_PER_S = 20_000.0
# Output tokens take a step each, during which many prompt tokens are read.
_READ_TOKENS_PER_OUTPUT = 40.0
# Work of this node stands for that of the other nodes of its data centre.
_NODES_PER_SERVER = 2.0
# Bytes between data centres are dear, so it takes a queue to send them there.
_DISTANCE_S_PER_KB = 0.03
_PLAIN_DISTANCE_S = 0.01
_PLAIN_WORK_S = 0.09


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """What a placement needs to know of a request.

    Attributes:
        pool: Pool that serves it.
        affinity: Key of the beginning that it shares, empty without one.
        shared_tokens: Tokens of that beginning.
        own_tokens: Prompt tokens that no other request shares.
        output_tokens: Expected tokens of the answer.
        body_bytes: Size of the request.
    """

    pool: model.Pool
    affinity: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 0

    @property
    def work_s(self) -> float:
        """Seconds of a server that the request takes, its beginning cached."""
        if not self.pool.has_engines:
            return _PLAIN_WORK_S
        tokens = self.own_tokens
        tokens += self.output_tokens * _READ_TOKENS_PER_OUTPUT
        return tokens / _READ_TOKENS_PER_S

    @property
    def read_again_s(self) -> float:
        """Seconds that reading the shared beginning takes."""
        return self.shared_tokens / _READ_TOKENS_PER_S


def filter_versions(
    rule: rollouts.VersionRule, members: Sequence[directory.Member]
) -> tuple[directory.Member, ...]:
    """Returns the servers that a request may use during a roll-out."""
    wanted = tuple(m for m in members if rule.allows(m.version))
    if wanted:
        return wanted
    # The other version serves rather than nobody, unless it is bad.
    return tuple(
        m
        for m in members
        if not (rule.is_forbidden and m.version == rule.avoided)
    )


@dataclasses.dataclass(slots=True)
class _Load:
    requests: int = 0
    work_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The chosen server and what decided.

    Attributes:
        member: The server.
        cost_s: Predicted delay there.
        is_preferred: Whether it should have the shared beginning.
        requests: Requests of this node that it works on.
    """

    member: directory.Member
    cost_s: float
    is_preferred: bool
    requests: int


class Placer:
    """Places attempts on servers and keeps account of this node's work."""

    __slots__ = ("_data_centre", "_loads", "_outliers", "_random")

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source
        self._loads: dict[str, _Load] = {}
        self._outliers = outliers.OutlierDetector()

    def choose(
        self,
        job: Job,
        members: Sequence[directory.Member],
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Choice | None:
        """Returns the server for the next attempt, or None without any.

        Args:
            job: The request.
            members: Servers that take new work.
            now_s: Loop time.
            exclude: Servers that already failed this request; they are used
                only if there are no others.
        """
        names = [member.name for member in members]
        ejected = self._outliers.find_ejected(names, now_s)
        usable = [
            member
            for member in members
            if member.name not in ejected and member.name not in exclude
        ]
        if not usable:
            usable = [m for m in members if m.name not in exclude]
        if not usable:
            usable = list(members)
        if not usable:
            return None
        preferred = self._find_preferred(job, usable)
        return min(
            (self._weigh(job, member, preferred) for member in usable),
            key=lambda choice: (choice.cost_s, self._random.random()),
        )

    def _find_preferred(
        self, job: Job, members: Sequence[directory.Member]
    ) -> directory.Member | None:
        if not job.affinity:
            return None
        near = [
            member
            for member in members
            if member.server.data_centre == self._data_centre
        ]
        # Rendezvous hashing: a server that comes or goes moves only its own
        # share of the beginnings.
        return max(
            near or members,
            key=lambda m: model.hash_fraction(f"{job.affinity} {m.name}"),
        )

    def _weigh(
        self,
        job: Job,
        member: directory.Member,
        preferred: directory.Member | None,
    ) -> Choice:
        load = self._loads.get(member.name, _Load())
        cost_s = load.work_s * _NODES_PER_SERVER
        if member.server.data_centre != self._data_centre:
            cost_s += _PLAIN_DISTANCE_S
            cost_s += job.body_bytes / 1000 * _DISTANCE_S_PER_KB
        if preferred is not None and member is not preferred:
            cost_s += job.read_again_s
        return Choice(member, cost_s, member is preferred, load.requests)

    def begin(self, job: Job, member: directory.Member) -> None:
        """Counts an attempt; `end` must follow."""
        load = self._loads.setdefault(member.name, _Load())
        load.requests += 1
        load.work_s += job.work_s

    def end(
        self,
        job: Job,
        member: directory.Member,
        now_s: float,
        *,
        failed: bool | None,
        peers: Sequence[directory.Member],
    ) -> bool:
        """Ends the account of an attempt.

        Args:
            job: The request.
            member: Where it went.
            now_s: Loop time.
            failed: Whether the server was at fault; None if that is not known.
            peers: Servers with the same work.

        Returns:
            Whether the server was ejected by this attempt.
        """
        load = self._loads[member.name]
        load.requests -= 1
        load.work_s = max(0.0, load.work_s - job.work_s)
        if load.requests == 0:
            del self._loads[member.name]
        if failed is None:
            return False
        return self._outliers.record(
            member.name,
            now_s,
            failed=failed,
            latency=None,
            peers=[peer.name for peer in peers],
        )
