"""The backend servers that may receive work, as the store lists them."""

import dataclasses
from collections.abc import Iterable

from dragonflydyke import logs
from dragonflydyke.configuration import model as configuration

# Servers that lapsed from the store while it was away list themselves again
# within about two seconds of its return.
RELIST_GRACE_S = 2.0

_LOGGER = logs.get_logger("directory")


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A backend server of a pool.

    Attributes:
        server: Name, address, data centre and state.
        pool: Pool that it serves.
        version: Version of its software.
        started_ms: Unix time of its start; with the name it identifies one
            run of the server.
    """

    server: configuration.BackendServer
    pool: str
    version: str
    started_ms: int = 0

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.server.name

    @property
    def is_leaving(self) -> bool:
        """Whether the server takes no new work."""
        return self.server.state is configuration.ServerState.LEAVING


class Directory:
    """Servers by pool; times are loop times in seconds."""

    __slots__ = ("_by_pool", "_members", "_missing_until_s", "updated_s")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._missing_until_s: dict[str, float] = {}
        self._by_pool: dict[str, tuple[Member, ...]] = {}
        self.updated_s: float | None = None

    def update(
        self, members: Iterable[Member], now_s: float, *, after_gap: bool
    ) -> None:
        """Replaces what is known.

        Args:
            members: All servers that the store lists.
            now_s: Current time.
            after_gap: Whether contact to the store was lost before. Servers
                missing from the list are then kept for a moment.
        """
        listed = {member.name: member for member in members}
        self._missing_until_s = {
            name: until_s
            for name, until_s in self._missing_until_s.items()
            if name not in listed and until_s > now_s
        }
        for name, member in self._members.items():
            if name in listed:
                continue
            if after_gap and not member.is_leaving:
                self._missing_until_s.setdefault(name, now_s + RELIST_GRACE_S)
            if name in self._missing_until_s:
                listed[name] = member
        self._log_changes(listed)
        self._members = listed
        self._index()
        self.updated_s = now_s

    def expire(self, now_s: float) -> None:
        """Drops servers whose time to list themselves again is over."""
        expired = [
            name
            for name, until_s in self._missing_until_s.items()
            if until_s <= now_s
        ]
        if not expired:
            return
        for name in expired:
            del self._missing_until_s[name]
            self._members.pop(name, None)
            _LOGGER.notice("server did not return", server=name)
        self._index()

    def find_age_s(self, now_s: float) -> float | None:
        """Returns the seconds since the last change, None before the first."""
        if self.updated_s is None:
            return None
        return round(now_s - self.updated_s, 2)

    def list_usable(self, pool: str) -> tuple[Member, ...]:
        """Returns the servers of a pool that take new work."""
        return self._by_pool.get(pool, ())

    def is_usable(self, member: Member) -> bool:
        """Returns whether this run of the server takes new work."""
        return member in self._by_pool.get(member.pool, ())

    def _index(self) -> None:
        found: dict[str, list[Member]] = {}
        for member in self._members.values():
            if not member.is_leaving:
                found.setdefault(member.pool, []).append(member)
        self._by_pool = {
            pool: tuple(sorted(entries, key=lambda entry: entry.name))
            for pool, entries in found.items()
        }

    def _log_changes(self, listed: dict[str, Member]) -> None:
        for name, member in listed.items():
            before = self._members.get(name)
            if before is None or before != member:
                _LOGGER.info(
                    "server listed",
                    server=name,
                    pool=member.pool,
                    version=member.version,
                    state=member.server.state.value,
                    address=member.server.url,
                )
        for name in self._members.keys() - listed.keys():
            _LOGGER.info("server gone", server=name)
