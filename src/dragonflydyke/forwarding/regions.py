"""Regions in which a request may run; no I/O.

Designed for routes and client accounts whose requests must not leave some
regions, whatever else fails: a restriction is never relaxed, and a data centre
whose region is unknown is in none.
"""

from collections.abc import Mapping

from dragonflydyke.forwarding import model


def find_allowed_regions(
    route: model.Route, account: model.Account | None
) -> frozenset[str] | None:
    """Returns the regions in which a request may run, None for anywhere.

    Restrictions of the route and the account both apply.
    """
    restrictions = [
        restricted.allowed_regions
        for restricted in (route, account)
        if restricted is not None and restricted.allowed_regions
    ]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


class Regions:
    """Regions of the data centres.

    Attributes:
        by_data_centre: Region of each data centre.
    """

    __slots__ = ("by_data_centre",)

    def __init__(self, by_data_centre: Mapping[str, str]) -> None:
        self.by_data_centre = by_data_centre

    def allows(self, allowed: frozenset[str] | None, data_centre: str) -> bool:
        """Returns whether a request may run in a data centre.

        Args:
            allowed: Regions in which it may run, None for anywhere.
            data_centre: Name of the data centre.
        """
        if allowed is None:
            return True
        return self.by_data_centre.get(data_centre) in allowed
