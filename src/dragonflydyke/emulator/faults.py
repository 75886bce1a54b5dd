"""Faults that affect a limited number of requests."""


class LimitedFaults:
    """Base class of behaviours with fields that count remaining faults."""

    __slots__ = ()

    def consume_fault(self, field: str) -> bool:
        """Returns whether a fault is due, and counts it down unless unlimited.

        Args:
            field: Field with the remaining number of faults; -1 is unlimited.
        """
        remaining = getattr(self, field)
        if remaining > 0:
            setattr(self, field, remaining - 1)
        return remaining != 0
