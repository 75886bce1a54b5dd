"""Pauses that backend servers ask for when they reject a request; no I/O.

Designed for a server that is overloaded for seconds and says for how long. It
gets nothing from this node meanwhile. When the pause ends, the requests that
would have gone there return one after the other, as the server would otherwise
be overloaded again at once.
"""

import dataclasses
from collections.abc import Collection

from dragonflydyke import logs

# A server that needs more time than this has gone for the callers of today.
MAX_PAUSE_S = 600.0
# Time between two requests, and for how long, after the end of a pause.
_RETURN_INTERVAL_S = 0.1
_RETURN_PERIOD_S = 1.0

_LOGGER = logs.get_logger("pauses")


@dataclasses.dataclass(slots=True)
class _PauseState:
    """End of a pause as a loop time, and the requests sent since."""

    until_s: float
    returned: int = 0


class ServerPauses:
    """Pauses of server processes; all times are loop times in seconds.

    A process is known by the name of its server and the Unix time of its start
    in milliseconds, 0 if that is unknown.
    """

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        """Creates an empty list of pauses."""
        self._pauses: dict[tuple[str, int], _PauseState] = {}

    def record(
        self, process: tuple[str, int], pause_s: float, now_s: float
    ) -> None:
        """Records that a server wants no requests for some seconds."""
        if pause_s > MAX_PAUSE_S:
            _LOGGER.warning(
                "pause of a server is limited",
                server=process[0],
                pause_s=pause_s,
                limit_s=MAX_PAUSE_S,
            )
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        state = self._pauses.get(process)
        if state is not None and state.until_s >= until_s:
            return
        self._pauses[process] = _PauseState(until_s)
        _LOGGER.notice(
            "server pauses", server=process[0], pause_s=round(pause_s, 3)
        )

    def find_delay_s(self, process: tuple[str, int], now_s: float) -> float:
        """Returns the seconds until a server may get a request, 0 for now."""
        state = self._pauses.get(process)
        if state is None:
            return 0.0
        if now_s >= state.until_s + _RETURN_PERIOD_S:
            del self._pauses[process]
            _LOGGER.notice("pause of a server is over", server=process[0])
            return 0.0
        next_s = state.until_s + state.returned * _RETURN_INTERVAL_S
        return max(0.0, next_s - now_s)

    def record_start(self, process: tuple[str, int], now_s: float) -> None:
        """Records that a request is sent to a server."""
        state = self._pauses.get(process)
        if state is not None and now_s >= state.until_s:
            state.returned += 1

    def retain(self, processes: Collection[tuple[str, int]]) -> None:
        """Drops the pauses of all other server processes."""
        for process in self._pauses.keys() - set(processes):
            del self._pauses[process]
