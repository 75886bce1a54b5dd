"""Faults of a limited number of requests, and statements in responses."""

import dataclasses

from dragonflydyke.backends import statements


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


@dataclasses.dataclass(slots=True)
class StatingFaults(LimitedFaults):
    """Base class of behaviours of servers that speak of themselves.

    Attributes:
        leaving: Whether all responses say that the server leaves.
        pause_s: Seconds of the pause that rejections ask for, 0 for none.
    """

    leaving: bool = False
    pause_s: float = 0.0

    def build_statements(self) -> dict[str, str]:
        """Returns the headers in which the server speaks of itself.

        The pause counts only in a rejection.
        """
        headers = {}
        if self.leaving:
            headers[statements.LEAVING_HEADER] = "1"
        if self.pause_s:
            headers[statements.PAUSE_HEADER] = f"{self.pause_s:.3f}"
        return headers
