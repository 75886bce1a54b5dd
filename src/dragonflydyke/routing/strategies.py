"""Ways to choose among the servers that may take a request."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from dragonflydyke.configuration import model

Load = Callable[[model.BackendServer], float]


class Strategy(Protocol):
    """Chooses one of at least one server.

    Attributes:
        is_plain: Whether the choice is all there is: no distances, ejection,
            admission by wait, reserved slots or hedging. Baselines are plain.
    """

    is_plain: bool

    def choose(
        self, servers: Sequence[model.BackendServer], load: Load
    ) -> model.BackendServer:
        """Returns the chosen server.

        Args:
            servers: At least one server.
            load: Returns the load per slot of a server with one request more.
        """


class PowerOfTwoChoices:
    """The less loaded of two random servers, which avoids herding."""

    __slots__ = ("_random",)

    is_plain = False

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: Load
    ) -> model.BackendServer:
        """Returns the chosen server."""
        if len(servers) == 1:
            return servers[0]
        return min(self._random.sample(servers, 2), key=load)


class RandomChoice:
    """Any server; a baseline."""

    __slots__ = ("_random",)

    is_plain = True

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: Load
    ) -> model.BackendServer:
        """Returns the chosen server."""
        return self._random.choice(servers)


class RoundRobin:
    """The servers in turn; a baseline."""

    __slots__ = ("_next",)

    is_plain = True

    def __init__(self, source: random.Random) -> None:
        # Routers that start at the same server would move in step.
        self._next = source.randrange(1_000)

    def choose(
        self, servers: Sequence[model.BackendServer], load: Load
    ) -> model.BackendServer:
        """Returns the chosen server."""
        self._next += 1
        return servers[self._next % len(servers)]


class LeastOutstanding:
    """The least loaded server; a baseline."""

    __slots__ = ("_random",)

    is_plain = True

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, servers: Sequence[model.BackendServer], load: Load
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
    """Returns the strategy of a name from `NAMES`."""
    return _STRATEGIES[name](source)
