"""LoadFunction balancing strategies: ways to choose among eligible servers."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from dragonflydyke.configuration import model

LoadFunction = Callable[[model.BackendServer], float]


class Strategy(Protocol):
    """Chooses one of several servers.

    Attributes:
        is_baseline: Whether the strategy serves as a baseline of comparison
            and is used alone: without distances, ejection, admission by
            predicted wait, reserved slots and hedging.
    """

    is_baseline: bool

    def choose(
        self, servers: Sequence[model.BackendServer], load: LoadFunction
    ) -> model.BackendServer:
        """Returns the chosen server.

        Args:
            servers: At least one server.
            load: Returns the load per slot of a server with one additional
                request.
        """


class PowerOfTwoChoices:
    """Chooses the less loaded of two random servers, which avoids herding."""

    __slots__ = ("_random",)

    is_baseline = False

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: LoadFunction
    ) -> model.BackendServer:
        """Returns the chosen server."""
        if len(servers) == 1:
            return servers[0]
        return min(self._random.sample(servers, 2), key=load)


class RandomChoice:
    """Chooses a random server; a baseline."""

    __slots__ = ("_random",)

    is_baseline = True

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: LoadFunction
    ) -> model.BackendServer:
        """Returns the chosen server."""
        return self._random.choice(servers)


class RoundRobin:
    """Chooses each server in turn; a baseline."""

    __slots__ = ("_next",)

    is_baseline = True

    def __init__(self, source: random.Random) -> None:
        # A random start keeps routers from using the servers in lockstep.
        self._next = source.randrange(1_000)

    def choose(
        self, servers: Sequence[model.BackendServer], load: LoadFunction
    ) -> model.BackendServer:
        """Returns the chosen server."""
        self._next += 1
        return servers[self._next % len(servers)]


class LeastOutstanding:
    """Chooses the least loaded server; a baseline."""

    __slots__ = ("_random",)

    is_baseline = True

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: LoadFunction
    ) -> model.BackendServer:
        """Returns the chosen server; ties are broken at random."""
        return min(servers, key=lambda s: (load(s), self._random.random()))


DEFAULT = "power_of_two"
_STRATEGIES: dict[str, Callable[[random.Random], Strategy]] = {
    DEFAULT: PowerOfTwoChoices,
    "random": RandomChoice,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
}
NAMES = tuple(_STRATEGIES)


def build_strategy(name: str, source: random.Random) -> Strategy:
    """Returns a new strategy.

    Args:
        name: One of `NAMES`.
        source: Source of random choices.

    Raises:
        KeyError: If the name is unknown.
    """
    return _STRATEGIES[name](source)
