"""Model, version and backend server selection."""

from dragonflydyke.routing.acceptance import AcceptanceRates
from dragonflydyke.routing.placements import AttemptEnd, Placement
from dragonflydyke.routing.retries import RetryBudget
from dragonflydyke.routing.selection import Plan, Stage, check_dispatch, plan
from dragonflydyke.routing.servers import ServerPool

__all__ = [
    "AcceptanceRates",
    "AttemptEnd",
    "Placement",
    "Plan",
    "RetryBudget",
    "ServerPool",
    "Stage",
    "check_dispatch",
    "plan",
]
