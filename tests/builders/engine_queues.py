"""Model of engines that prefill one prompt at a time, for tests of policies."""

import dataclasses
import math
import random
from collections.abc import Callable, Sequence

from dragonflydyke.forwarding import directory, escalation, model, selection
from tests.builders import forwarding

# Reports describe the load some hundred milliseconds ago.
_REPORT_AGE_S = 0.3
_PREFILL_S_PER_TOKEN = 62e-6
_POOL = model.Pool("engines", has_engines=True)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """An escalated request.

    Attributes:
        at_s: Time of its arrival.
        profile: Its profile.
    """

    at_s: float
    profile: selection.RequestProfile


@dataclasses.dataclass(slots=True, frozen=True)
class _Prefill:
    arrived_s: float
    started_s: float
    finished_s: float


class EngineQueues:
    """Engines with first-come, first-served prefills and delayed reports."""

    def __init__(self, servers: Sequence[directory.ServerEntry]) -> None:
        """Creates idle engines."""
        self._prefills: dict[str, list[_Prefill]] = {
            server.name: [] for server in servers
        }

    def add(self, server: str, now_s: float, tokens: int) -> float:
        """Queues a prompt and returns the seconds until its first event."""
        prefills = self._prefills[server]
        free_s = prefills[-1].finished_s if prefills else 0.0
        started_s = max(now_s, free_s)
        finished_s = started_s + tokens * _PREFILL_S_PER_TOKEN
        prefills.append(_Prefill(now_s, started_s, finished_s))
        return finished_s - now_s

    def report(self, server: str, now_s: float) -> escalation.EngineReport:
        """Returns the report that the engine gives at a time."""
        at_s = now_s - _REPORT_AGE_S
        prefills = self._prefills[server]
        return escalation.EngineReport(
            waiting=sum(p.arrived_s <= at_s < p.started_s for p in prefills),
            running=sum(p.started_s <= at_s < p.finished_s for p in prefills),
            streaming=0,
        )


Policy = Callable[[EngineQueues, Arrival], str | None]


def build_servers(count: int) -> list[directory.ServerEntry]:
    """Returns engines in the local data centre."""
    return [forwarding.build_server_entry(f"e{n:02}") for n in range(count)]


def build_peaks(
    engines: int, duration_s: float, source: random.Random
) -> list[Arrival]:
    """Returns arrivals that swing around the capacity of the engines.

    The demand is 0.9 of the capacity on average, and 1.4 times that at peaks,
    as when shifts start and end.
    """
    arrivals = []
    now_s = 0.0
    mean_tokens = 9_500
    capacity = engines / (mean_tokens * _PREFILL_S_PER_TOKEN)
    while now_s < duration_s:
        swing = 1.0 + 0.55 * math.sin(2 * math.pi * now_s / 17.0)
        now_s += source.expovariate(0.9 * capacity * swing)
        tokens = int(source.lognormvariate(math.log(mean_tokens) - 0.32, 0.8))
        profile = selection.RequestProfile(
            _POOL,
            affinity_key=f"p{source.randrange(400)}",
            unshared_tokens=tokens,
            output_tokens=100,
        )
        arrivals.append(Arrival(now_s, profile))
    return arrivals


def replay(
    arrivals: Sequence[Arrival],
    servers: Sequence[directory.ServerEntry],
    policy: Policy,
    target_latency_s: float,
) -> float:
    """Returns the share of the requests that start in time.

    Args:
        arrivals: Requests in order of arrival.
        servers: The engines.
        policy: Returns the engine of a request, None to decline it.
        target_latency_s: Latest time from arrival to the first event.
    """
    queues = EngineQueues(servers)
    in_time = 0
    for arrival in arrivals:
        selected = policy(queues, arrival)
        if selected is None:
            continue
        waited_s = queues.add(
            selected, arrival.at_s, arrival.profile.prompt_tokens
        )
        in_time += waited_s <= target_latency_s
    return in_time / len(arrivals)
