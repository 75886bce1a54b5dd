"""Compact sets of sequence numbers."""


class SequenceSet:
    """Set of sequence numbers that are nearly contiguous from 0.

    Stores the end of the contiguous range and the individual numbers above
    it, so that the memory use of a long-lived router process does not grow
    with the number of its bills.

    Attributes:
        complete_below: End of the contiguous range: every smaller number is in
            the set, this one is not.
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
        """Adds a sequence number; has no effect if it is present."""
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
