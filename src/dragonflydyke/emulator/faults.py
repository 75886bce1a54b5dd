"""Faults that affect a limited number of requests."""


class LimitedFaults:
    """Base of behaviours whose fields count the requests still affected."""

    __slots__ = ()

    def take(self, field: str) -> bool:
        """Uses up one of a limited number of faults; -1 has no limit."""
        left = getattr(self, field)
        if left > 0:
            setattr(self, field, left - 1)
        return left != 0
