"""Selection of models, versions and backend servers."""

from dragonflydyke.routing.acceptance import AcceptanceRates
from dragonflydyke.routing.retries import RetryBudget
from dragonflydyke.routing.selection import Plan, Stage, check_dispatch, plan
from dragonflydyke.routing.server_attempts import AttemptOutcome, ServerAttempt
from dragonflydyke.routing.servers import ServerPool

__all__ = [
    "AcceptanceRates",
    "AttemptOutcome",
    "ServerAttempt",
    "Plan",
    "RetryBudget",
    "ServerPool",
    "Stage",
    "check_dispatch",
    "plan",
]
