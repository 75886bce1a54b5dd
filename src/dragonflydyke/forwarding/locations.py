"""Servers that a request may use, by location and version; no I/O.

Designed for evacuations during rollouts at full load. Locations are filtered
before versions, so that a request whose version has servers only in excluded
data centres can use the other version if that is proven. Exposure comes before
availability: a version that is avoided replaces another one only if that has no
servers anywhere. An evacuation would otherwise send all sessions to a version
of which the rollout allows a share.
"""

import dataclasses
import enum
from collections.abc import Sequence

from dragonflydyke.forwarding import (
    directory,
    evacuations,
    regions,
    rollouts,
    selection,
)


class Exclusion(enum.Enum):
    """Why a request may use none of the servers of its pool."""

    EVACUATED = "evacuated"
    REGION = "region"


@dataclasses.dataclass(slots=True, frozen=True)
class UsableServers:
    """Servers that a request may use.

    Attributes:
        servers: The servers.
        evacuated: Servers left out because their data centre is evacuated.
        outside: Servers left out because of their region.
        exclusion: Why there are no servers, None if there are some or if the
            reason is another one.
    """

    servers: tuple[directory.ServerEntry, ...]
    evacuated: Sequence[directory.ServerEntry] = ()
    outside: Sequence[directory.ServerEntry] = ()
    exclusion: Exclusion | None = None


class LocationFilter:
    """Filters servers by region and evacuation, then by version."""

    __slots__ = ("_evacuations", "_regions")

    def __init__(
        self, data_centres: evacuations.Evacuations, known: regions.Regions
    ) -> None:
        """Creates a filter.

        Args:
            data_centres: Evacuated data centres.
            known: Regions of the data centres.
        """
        self._evacuations = data_centres
        self._regions = known

    def is_evacuated(self, server: directory.ServerEntry) -> bool:
        """Returns whether the data centre of a server is evacuated."""
        return self._evacuations.is_evacuated(server.backend.data_centre)

    def select(
        self,
        servers: Sequence[directory.ServerEntry],
        rule: rollouts.VersionRule,
        allowed_regions: frozenset[str] | None,
        now_s: float,
    ) -> UsableServers:
        """Returns the servers that a request may use now.

        Args:
            servers: Servers of the pool that accept new requests.
            rule: Versions that the request may use.
            allowed_regions: Regions in which it may run, None for anywhere.
            now_s: Current loop time.
        """
        self._evacuations.expire(now_s)
        if allowed_regions is None and not self._evacuations.names:
            return UsableServers(selection.filter_versions(rule, servers))
        outside: list[directory.ServerEntry] = []
        evacuated: list[directory.ServerEntry] = []
        remaining: list[directory.ServerEntry] = []
        for server in servers:
            if not self._regions.allows(
                allowed_regions, server.backend.data_centre
            ):
                outside.append(server)
            elif self.is_evacuated(server):
                evacuated.append(server)
            else:
                remaining.append(server)
        found = selection.filter_versions(
            rule, remaining, (*outside, *evacuated)
        )
        exclusion = None
        inside = (*remaining, *evacuated)
        if not found and selection.filter_versions(rule, inside, outside):
            exclusion = Exclusion.EVACUATED
        elif not found and selection.filter_versions(rule, servers):
            exclusion = Exclusion.REGION
        return UsableServers(found, evacuated, outside, exclusion)
