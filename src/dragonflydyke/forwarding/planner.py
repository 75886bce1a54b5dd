"""Plans escalations with fresh reports of a few engines."""

import random
from collections.abc import Sequence

from dragonflydyke.forwarding import (
    directory,
    escalation,
    reports,
    selection,
)


class EscalationPlanner:
    """Asks engines for their load and selects one for an escalated request."""

    __slots__ = ("_data_centre", "_random", "_reader")

    def __init__(
        self,
        data_centre: str,
        reader: reports.ReportReader,
        source: random.Random,
    ) -> None:
        """Creates a planner.

        Args:
            data_centre: Data centre of this node.
            reader: Reads the reports.
            source: Random source that spreads the calls over the engines.
        """
        self._data_centre = data_centre
        self._reader = reader
        self._random = source

    async def plan(
        self,
        profile: selection.RequestProfile,
        model_name: str,
        servers: Sequence[directory.ServerEntry],
    ) -> escalation.EscalationPlan | None:
        """Returns where an escalated request should run.

        Args:
            profile: Profile of the request.
            model_name: Model to which it is escalated.
            servers: Servers that accept new requests.

        Returns:
            The plan, or None if no engine answered.
        """
        candidates = escalation.select_candidates(
            profile, model_name, servers, self._data_centre, self._random
        )
        found = await self._reader.read_all(candidates.servers)
        return escalation.plan_escalation(
            profile, candidates, found, self._data_centre
        )

    async def read_report(
        self, server: directory.ServerEntry
    ) -> escalation.EngineReport | None:
        """Returns the report of an engine, None if it does not answer."""
        found = await self._reader.read_all((server,))
        return found.get(server.name)
