"""Directory of the backend servers that the store lists."""

import dataclasses
from collections.abc import Collection, Iterable
from urllib import parse

from dragonflydyke import logs
from dragonflydyke.configuration import model as configuration

# Servers whose entries expired while the store was unavailable register again
# within about two seconds of its recovery.
RELISTING_GRACE_S = 2.0
# Number of server processes whose draining is remembered.
_MAX_DRAINING = 1_024

_LOGGER = logs.get_logger("directory")


@dataclasses.dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server of a pool.

    Attributes:
        backend: Name, address, data centre and state.
        pool: Pool that it serves.
        version: Version of its software.
        started_ms: Unix time of its start in milliseconds; together with the
            name it identifies one process of the server.
        cold_s: Seconds for which the server stays cold after this entry was
            written, 0 if it is warm, infinite if that cannot be read. It
            changes with every heartbeat, so that comparisons leave it out.
        revision: Version of this entry in the store, which rises with every
            write. Comparisons leave it out, too.
    """

    backend: configuration.BackendServer
    pool: str
    version: str
    started_ms: int = 0
    cold_s: float = dataclasses.field(default=0.0, compare=False)
    revision: int = dataclasses.field(default=0, compare=False)

    @property
    def name(self) -> str:
        """Unique name of the server."""
        return self.backend.name

    @property
    def address(self) -> str:
        """Address of the server as `host:port`."""
        return parse.urlsplit(self.backend.url).netloc

    @property
    def process(self) -> tuple[str, int]:
        """Identity of one process of the server."""
        return self.name, self.started_ms

    @property
    def is_draining(self) -> bool:
        """Whether the server accepts no new requests."""
        return self.backend.state is configuration.ServerState.LEAVING


class Directory:
    """Backend servers by pool; times are loop times in seconds.

    Attributes:
        updated_s: Time of the last update, None before the first.
    """

    __slots__ = (
        "_by_pool",
        "_draining",
        "_servers",
        "_unlisted_until_s",
        "updated_s",
    )

    def __init__(self) -> None:
        self._draining: dict[tuple[str, int], None] = {}
        self._servers: dict[str, ServerEntry] = {}
        self._unlisted_until_s: dict[str, float] = {}
        self._by_pool: dict[str, tuple[ServerEntry, ...]] = {}
        self.updated_s: float | None = None

    def update(
        self,
        servers: Iterable[ServerEntry],
        now_s: float,
        *,
        after_outage: bool,
    ) -> None:
        """Replaces the servers with those that the store lists.

        Args:
            servers: All servers that the store lists.
            now_s: Current loop time.
            after_outage: Whether the store was unreachable before this list.
                Servers missing from the list are then kept for
                `RELISTING_GRACE_S`.
        """
        listed = {
            server.name: self._keep_draining(server) for server in servers
        }
        self._unlisted_until_s = {
            name: until_s
            for name, until_s in self._unlisted_until_s.items()
            if name not in listed and until_s > now_s
        }
        for name, server in self._servers.items():
            if name in listed:
                continue
            if after_outage and not server.is_draining:
                self._unlisted_until_s.setdefault(
                    name, now_s + RELISTING_GRACE_S
                )
            if name in self._unlisted_until_s:
                listed[name] = server
        self._forget_unidentified(listed)
        self._log_changes(listed)
        self._servers = listed
        self._index()
        self.updated_s = now_s

    def expire(self, now_s: float) -> None:
        """Removes servers that did not register again in time."""
        expired = [
            name
            for name, until_s in self._unlisted_until_s.items()
            if until_s <= now_s
        ]
        if not expired:
            return
        for name in expired:
            del self._unlisted_until_s[name]
            self._servers.pop(name, None)
            _LOGGER.notice("server did not return", server=name)
        self._index()

    def find_age_s(self, now_s: float) -> float | None:
        """Returns the seconds since the list last changed, None before that."""
        if self.updated_s is None:
            return None
        return round(now_s - self.updated_s, 2)

    def record_leaving(self, server: ServerEntry) -> bool:
        """Records that a server said that it leaves; it is draining from now.

        This also holds while the store still lists it as active.

        Returns:
            Whether this was not known.
        """
        if self.is_leaving(server):
            return False
        self._remember_draining(server.process)
        _LOGGER.notice("server leaves", server=server.name)
        listed = self._servers.get(server.name)
        if listed is not None:
            self._servers[server.name] = self._keep_draining(listed)
            self._index()
        return True

    def is_listed(self, server: ServerEntry) -> bool:
        """Returns whether the newest list has a server that is known."""
        return server.name not in self._unlisted_until_s

    def is_leaving(self, server: ServerEntry) -> bool:
        """Returns whether this process of a server is known to leave."""
        return server.process in self._draining

    def has_leaving(self, pool: str) -> bool:
        """Returns whether any listed server of a pool leaves."""
        return any(
            server.is_draining and server.pool == pool
            for server in self._servers.values()
        )

    def list_all(self) -> tuple[ServerEntry, ...]:
        """Returns all servers, including those that accept no requests."""
        return tuple(self._servers.values())

    def list_usable(self, pool: str) -> tuple[ServerEntry, ...]:
        """Returns the servers of a pool that accept new requests."""
        return self._by_pool.get(pool, ())

    def find_at(self, address: str) -> ServerEntry | None:
        """Returns the server at `host:port` that accepts new requests."""
        for servers in self._by_pool.values():
            for server in servers:
                if server.address == address:
                    return server
        return None

    def is_usable(self, server: ServerEntry) -> bool:
        """Returns whether this process of the server accepts new requests."""
        return server in self._by_pool.get(server.pool, ())

    def _keep_draining(self, server: ServerEntry) -> ServerEntry:
        """Returns a server, draining if its process was seen draining before.

        A server that drains stops in the end. A store that was restored from a
        copy may list it as it was before.
        """
        if server.is_draining:
            self._remember_draining(server.process)
            return server
        if server.process not in self._draining:
            return server
        backend = dataclasses.replace(
            server.backend, state=configuration.ServerState.LEAVING
        )
        return dataclasses.replace(server, backend=backend)

    def _remember_draining(self, process: tuple[str, int]) -> None:
        self._draining[process] = None
        if len(self._draining) > _MAX_DRAINING:
            del self._draining[next(iter(self._draining))]

    def _forget_unidentified(self, listed: Collection[str]) -> None:
        """Forgets servers without a start time that are not listed any more.

        Another process under the same name cannot be told from such a server.
        """
        gone = [
            process
            for process in self._draining
            if not process[1] and process[0] not in listed
        ]
        for process in gone:
            del self._draining[process]

    def _index(self) -> None:
        found: dict[str, list[ServerEntry]] = {}
        for server in self._servers.values():
            if not server.is_draining:
                found.setdefault(server.pool, []).append(server)
        self._by_pool = {
            pool: tuple(sorted(entries, key=lambda entry: entry.name))
            for pool, entries in found.items()
        }

    def _log_changes(self, listed: dict[str, ServerEntry]) -> None:
        for name, server in listed.items():
            previous = self._servers.get(name)
            if previous is None or previous != server:
                _LOGGER.info(
                    "server listed",
                    server=name,
                    pool=server.pool,
                    version=server.version,
                    state=server.backend.state.value,
                    address=server.backend.url,
                )
        for name in self._servers.keys() - listed.keys():
            _LOGGER.info("server gone", server=name)
