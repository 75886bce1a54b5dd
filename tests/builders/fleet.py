"""Fleet of memberships on a virtual event loop, without sockets."""

import asyncio
from collections.abc import Callable
from typing import Any

from dragonflydyke import errors, metrics, objects
from dragonflydyke.configuration import model
from dragonflydyke.membership import node
from dragonflydyke.protocol import node_pb2
from tests.builders import documents
from tests.builders import objects as memory


def parse(mapping: Any) -> model.Document:
    """Returns a valid document, or raises ValueError for a broken mapping."""
    if "broken" in mapping:
        raise ValueError("broken document")
    return documents.build_document()


def check_transition(old: model.Document, new: model.Document) -> None:
    """Allows every change."""


class NodePlatform(memory.InMemoryObjectStore):
    """Access of one node to the shared platform.

    Attributes:
        after_config_write: Called after this node's write of the configuration
            took effect; may raise.
        is_unreachable: Whether this node cannot reach the platform.
        stale_list: List to return instead of the current objects, or None.
        platform: The shared platform.
    """

    __slots__ = (
        "after_config_write",
        "is_unreachable",
        "platform",
        "stale_list",
    )

    def __init__(self, platform: memory.InMemoryObjectStore) -> None:
        super().__init__()
        self.platform = platform
        self.store = platform.store
        self.is_unreachable = False
        self.stale_list: objects.ObjectList | None = None
        self.after_config_write: Callable[[], None] | None = None

    async def list(
        self, kind: str, *, since: int = 0, prefix: str = "", limit: int = 0
    ) -> objects.ObjectList:
        """Returns the stale list if it is set, or the current objects."""
        current = await super().list(
            kind, since=since, prefix=prefix, limit=limit
        )
        return self.stale_list or current

    def _write(
        self, kind: str, name: str, value: Any, expected: int | None
    ) -> objects.StoredObject:
        stored = super()._write(kind, name, value, expected)
        if self.after_config_write and (kind, name) == ("control", "config"):
            self.after_config_write()
        return stored

    def _check_available(self, step: errors.Step) -> None:
        self.available = self.platform.available and not self.is_unreachable
        self.vms = self.platform.vms
        super()._check_available(step)


class Fleet:
    """Memberships connected by links that tests can break and delay.

    Attributes:
        names: VM names of all nodes.
        platform: The platform that all nodes share.
        nodes: Running memberships by VM name.
        counters: Counters of each node by VM name.
        platform_access: Access of each node to the platform by VM name.
        broken_links: Pairs (source, target) of nodes whose calls fail.
        failing_calls: Names of calls that fail on all links.
        round_trips_s: Round-trip time in seconds by pair (source, target).
    """

    def __init__(self, size: int, data_centres: int = 1) -> None:
        self.names = tuple(f"vm-{index}" for index in range(size))
        self._data_centres = {
            name: f"dc-{index % data_centres}"
            for index, name in enumerate(self.names)
        }
        self.platform = memory.InMemoryObjectStore()
        self.platform.vms = objects.VmList(
            1,
            tuple(
                objects.ListedVm(
                    name, self._data_centres[name], "entry", name, "live"
                )
                for name in self.names
            ),
        )
        self.nodes: dict[str, node.Membership] = {}
        self.counters: dict[str, metrics.Counters] = {}
        self.platform_access = {
            name: NodePlatform(self.platform) for name in self.names
        }
        self.broken_links: set[tuple[str, str]] = set()
        self.failing_calls: set[str] = set()
        self.round_trips_s: dict[tuple[str, str], float] = {}

    async def start(self, name: str) -> node.Membership:
        """Starts a node or a new incarnation of it."""
        self.counters[name] = metrics.Counters()
        member = node.Membership(
            node.MembershipSettings(
                name, self._data_centres[name], name, self.names
            ),
            self.platform_access[name],
            lambda address: _PeerLink(self, name, address),
            parse=parse,
            check_transition=check_transition,
            counters=self.counters[name],
        )
        self.nodes[name] = member
        await member.start()
        return member

    async def stop(self) -> None:
        """Stops all nodes; removes delays, since the clock does not advance."""
        self.round_trips_s.clear()
        for member in self.nodes.values():
            await member.stop()

    async def crash(self, name: str) -> None:
        """Stops a node without a report to its peers that it leaves."""
        member = self.nodes.pop(name)
        self.isolate(name)
        await member.stop()
        self.reconnect(name)

    def isolate(self, name: str) -> None:
        """Breaks all links of a node."""
        for other in self.names:
            self.broken_links |= {(name, other), (other, name)}

    def reconnect(self, name: str) -> None:
        """Restores the links of a node."""
        self.broken_links = {
            pair for pair in self.broken_links if name not in pair
        }

    def partition(self, group: set[str]) -> None:
        """Breaks all links between a group and the other nodes."""
        others = set(self.names) - group
        for name in group:
            for other in others:
                self.broken_links |= {(name, other), (other, name)}

    def serving_vms(self) -> set[str]:
        """Returns the names of the nodes that may serve requests."""
        return {
            n for n, member in self.nodes.items() if member.permit.is_granted()
        }


class _PeerLink:
    """In-memory client with which a source node calls a target node."""

    def __init__(self, fleet: Fleet, source: str, target: str) -> None:
        self._fleet = fleet
        self._source = source
        self._target = target

    async def exchange(
        self, report: node_pb2.NodeReport, *, timeout_s: float
    ) -> node_pb2.NodeReport:
        return await self._call("exchange", report, timeout_s)

    async def announce_change(
        self, announcement: node_pb2.ChangeAnnouncement, *, timeout_s: float
    ) -> node_pb2.ChangeAcknowledgement:
        return await self._call("announce_change", announcement, timeout_s)

    async def fetch_state(
        self, request: node_pb2.FetchStateRequest, *, timeout_s: float
    ) -> node_pb2.StateBundle:
        return await self._call("fetch_state", request, timeout_s)

    async def close(self) -> None:
        pass

    async def _call(self, name: str, request: Any, timeout_s: float) -> Any:
        pair = (self._source, self._target)
        try:
            async with asyncio.timeout(timeout_s):
                self._check_link(pair)
                if name in self._fleet.failing_calls:
                    raise ConnectionError
                member = self._fleet.nodes[self._target]
                delay_s = self._fleet.round_trips_s.get(pair, 0.0)
                if delay_s:
                    await asyncio.sleep(delay_s / 2)
                response = await getattr(member, name)(request)
                if delay_s:
                    await asyncio.sleep(delay_s / 2)
                # A broken link also loses responses in flight.
                self._check_link(pair[::-1])
                return response
        except (TimeoutError, ConnectionError) as error:
            raise errors.DragonflydykeError(
                "peer_unavailable",
                "link is broken",
                step=errors.Step.CALL_PEER,
                peer=self._target,
            ) from error

    def _check_link(self, pair: tuple[str, str]) -> None:
        if (
            pair in self._fleet.broken_links
            or self._target not in self._fleet.nodes
        ):
            raise ConnectionError
