"""Bound on the retries of a node."""

# Lets a node that has just started, or has little traffic, retry at all.
_RESERVE_RETRIES = 10.0


class RetryBudget:
    """Allows retries up to a share of the requests, plus a small reserve."""

    __slots__ = ("_balance", "_reserve")

    def __init__(self, reserve: float = _RESERVE_RETRIES) -> None:
        """Creates a full budget.

        Args:
            reserve: Retries that may be made at once.
        """
        self._reserve = reserve
        self._balance = reserve

    @property
    def has_retries_left(self) -> bool:
        """Whether a retry is left."""
        return self._balance >= 1.0

    def record_request(self, share: float) -> None:
        """Adds the share of a retry that a request entitles to."""
        self._balance = min(self._balance + share, self._reserve)

    def try_spend(self) -> bool:
        """Takes one retry from the budget and returns whether it was left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
