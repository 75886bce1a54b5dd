"""Claims that a router holds in memory, to repeat those that the platform lost.

No I/O. A platform that is restored from a copy lacks the claims of the last
seconds, and the same calls, sent again, would be made a second time.
"""

import dataclasses
from typing import Any

from dragonflydyke.idempotency import model

# Seconds for which a claim is held, longer than a copy of the platform is old.
HELD_S = 60.0
# Together with the maximum size of a stored response this limits the memory.
MAX_HELD_CLAIMS = 200


@dataclasses.dataclass(slots=True, frozen=True)
class HeldClaim:
    """A claim with its newest value; `at_s` is the loop time of that value."""

    claim: model.Claim
    value: dict[str, Any]
    at_s: float


class HeldClaims:
    """The recent claims of a router by name."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        # Oldest first.
        self._held: dict[str, HeldClaim] = {}

    def hold(
        self, claim: model.Claim, value: dict[str, Any], now_s: float
    ) -> None:
        """Holds a claim with its newest value; `now_s` is a loop time."""
        self._held.pop(claim.name, None)
        self._held[claim.name] = HeldClaim(claim, value, now_s)
        self._drop_old(now_s)

    def discard(self, claim: model.Claim) -> None:
        """Discards a claim, if it is held."""
        self._held.pop(claim.name, None)

    def find(self, name: str) -> HeldClaim | None:
        """Returns the claim with a name, None if it is not held."""
        return self._held.get(name)

    def list_names(self, now_s: float) -> tuple[str, ...]:
        """Returns the names of the recent claims; `now_s` is a loop time."""
        self._drop_old(now_s)
        return tuple(self._held)

    def _drop_old(self, now_s: float) -> None:
        while self._held:
            name, held = next(iter(self._held.items()))
            is_recent = now_s - held.at_s < HELD_S
            if is_recent and len(self._held) <= MAX_HELD_CLAIMS:
                return
            del self._held[name]
