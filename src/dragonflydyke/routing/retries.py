"""Limit on the retries of a node."""

# Allows a node that has just started, or has little traffic, some retries.
_RESERVE_RETRIES = 10.0


class RetryBudget:
    """Allows retries up to a share of the requests, plus a small reserve."""

    __slots__ = ("_balance", "_reserve")

    def __init__(self, reserve: float = _RESERVE_RETRIES) -> None:
        """Creates a full budget.

        Args:
            reserve: Maximum number of retries that may be saved up.
        """
        self._reserve = reserve
        self._balance = reserve

    @property
    def has_retries_left(self) -> bool:
        """Whether at least one retry is left, which others may take first."""
        return self._balance >= 1.0

    def record_request(self, share: float) -> None:
        """Adds the share of a retry that each request contributes."""
        self._balance = min(self._balance + share, self._reserve)

    def try_spend(self) -> bool:
        """Spends one retry if there is one, and returns whether there was."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def refund(self) -> None:
        """Returns one retry that was spent but not made."""
        self._balance = min(self._balance + 1.0, self._reserve)
