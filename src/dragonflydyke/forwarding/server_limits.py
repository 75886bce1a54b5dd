"""Limits that backend servers name on the requests of all nodes; no I/O."""

from dragonflydyke import logs
from dragonflydyke.forwarding import directory

_LOGGER = logs.get_logger("limits")


class ServerLimits:
    """The limits that servers named in their newest responses."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        """Creates an empty list of limits."""
        self._limits: dict[tuple[str, int], float] = {}

    def record_response(
        self, server: directory.ServerEntry, limit_per_s: float | None
    ) -> None:
        """Records the limit in a response of a server.

        Args:
            server: The server.
            limit_per_s: Requests a second that it accepts from all nodes
                together, None if it named no limit.
        """
        process = (server.name, server.started_ms)
        if self._limits.get(process) == limit_per_s:
            return
        if limit_per_s is None:
            del self._limits[process]
        else:
            self._limits[process] = limit_per_s
        _LOGGER.notice(
            "server limit changed", server=server.name, limit_per_s=limit_per_s
        )
