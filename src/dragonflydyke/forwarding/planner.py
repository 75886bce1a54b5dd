"""Plans escalations with fresh reports of a few engines."""

import asyncio
import random
from collections.abc import Sequence

from dragonflydyke.forwarding import (
    directory,
    escalation,
    reports,
    selection,
)
from dragonflydyke.scheduling import costs, estimates


class EscalationPlanner:
    """Asks engines for their load and selects one for an escalated request."""

    __slots__ = ("_costs", "_data_centre", "_random", "_reader")

    def __init__(
        self,
        data_centre: str,
        reader: reports.ReportReader,
        source: random.Random,
        cost_model: costs.CostModel,
    ) -> None:
        """Creates a planner.

        Args:
            data_centre: Data centre of this node.
            reader: Reads the reports.
            source: Random source that spreads the calls over the engines.
            cost_model: Predicts the times of requests.
        """
        self._costs = cost_model
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
            profile,
            candidates,
            found,
            self._data_centre,
            self._costs,
            model_name,
            _now_s(),
        )

    async def read_report(
        self, server: directory.ServerEntry
    ) -> escalation.EngineReport | None:
        """Returns the report of an engine, None if it does not answer."""
        found = await self._reader.read_all((server,))
        return found.get(server.name)

    def is_busy(
        self,
        server: directory.ServerEntry,
        model_name: str,
        report: escalation.EngineReport,
    ) -> bool:
        """Returns whether a queue explains that a request has not started.

        Args:
            server: The engine.
            model_name: Model of the request.
            report: Report of the engine.
        """
        key = estimates.WorkKey(server.pool, model_name)
        return report.is_busy(self._costs.find_queued_request_s(key, _now_s()))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
