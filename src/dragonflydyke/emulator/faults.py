"""Faults that affect a limited number of requests."""


class LimitedFaults:
    """Base of behaviours whose fields count the requests still affected."""

    __slots__ = ()

    def consume_fault(self, field: str) -> bool:
        """Uses up one of a limited number of faults; -1 has no limit."""
        remaining = getattr(self, field)
        if remaining > 0:
            setattr(self, field, remaining - 1)
        return remaining != 0
