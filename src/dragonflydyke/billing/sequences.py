"""Sets of sequence numbers."""


class SequenceSet:
    """Sequence numbers that are nearly consecutive from 0.

    Stores the end of the consecutive run and the numbers above it, so that
    the memory of a long-lived incarnation does not grow with its bills.

    Attributes:
        complete_below: Every smaller number is in the set.
        end: One more than the highest number in the set, 0 if it is empty.
    """

    __slots__ = ("_above", "complete_below", "end")

    def __init__(self, complete_below: int = 0) -> None:
        self.complete_below = complete_below
        self.end = complete_below
        self._above: set[int] = set()

    def __contains__(self, sequence: int) -> bool:
        return sequence < self.complete_below or sequence in self._above

    def add(self, sequence: int) -> None:
        """Adds a number."""
        if sequence in self:
            return
        self._above.add(sequence)
        self.end = max(self.end, sequence + 1)
        while self.complete_below in self._above:
            self._above.remove(self.complete_below)
            self.complete_below += 1

    def copy(self) -> "SequenceSet":
        """Returns an independent copy."""
        duplicate = SequenceSet(self.complete_below)
        duplicate.end = self.end
        duplicate._above = set(self._above)
        return duplicate
