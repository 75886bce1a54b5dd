"""Registry of the nodes in the store, which tells a node how many there are.

Each node writes its entry again now and then. An entry that has not changed for
longer than that, by the clock of the reader, belongs to a node that is gone. An
entry that is missing does not: a store that was restored from a copy lacks the
entries that were written since, until their nodes write them again.

The entries also hold the addresses at which nodes answer each other.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from dragonflydyke import errors, logs, metrics, settings
from dragonflydyke.forwarding import server_limits

# All nodes start at about the same time; their first writes are spread.
_MAX_WRITE_DELAY_S = 1.0
# Slow VMs start their nodes some seconds later than fast ones.
_START_PERIOD_S = 5.0
_HEARTBEAT_INTERVAL_S = 60.0
_RETRY_INTERVAL_S = 2.0
# Interval of the lists while the number of nodes matters.
_LIST_INTERVAL_S = 10.0
_EXPIRY_S = 5 * _HEARTBEAT_INTERVAL_S
_REMOVAL_S = 30 * _HEARTBEAT_INTERVAL_S
_POLL_INTERVAL_S = 1.0
# Time after which a change that this node has noticed is known to the others,
# while they list the nodes for their limits: an interval, a poll, and some
# seconds for a list that is not the newest.
_SETTLING_S = _LIST_INTERVAL_S + _POLL_INTERVAL_S + 4.0

_LOGGER = logs.get_logger("registry")


@dataclasses.dataclass(slots=True, frozen=True)
class ListedNode:
    """Entry of a node in the store.

    Attributes:
        name: Unique name of the node.
        version: Version of the entry.
        address: Address for peers, None if the entry does not state one.
    """

    name: str
    version: int
    address: settings.Address | None


class NodeStore(Protocol):
    """Stores the entries of the nodes."""

    @property
    def era(self) -> int:
        """Newest known era of the store, which rises with each restore."""

    async def write_node(
        self, name: str, heartbeat: int, address: settings.Address
    ) -> None:
        """Creates or replaces the entry of a node.

        Args:
            name: Unique name of the node.
            heartbeat: Number that differs from that of the entry before.
            address: Address of the node for peers.

        Raises:
            DragonflydykeError: If the write fails, or may not have happened.
        """

    async def list_nodes(self) -> tuple[ListedNode, ...]:
        """Returns the entries of all nodes, possibly some seconds old.

        Raises:
            DragonflydykeError: If the store does not respond.
        """

    async def remove_node(self, name: str) -> None:
        """Removes the entry of a node; does nothing if there is none.

        Raises:
            DragonflydykeError: If the write fails, or may not have happened.
        """


class NodeGroup(Protocol):
    """Uses the addresses of the registered nodes."""

    def replace(
        self, name: str, addresses: Mapping[str, settings.Address]
    ) -> None:
        """Replaces the known nodes.

        Args:
            name: Name of this node.
            addresses: Addresses of the registered nodes by name.
        """


@dataclasses.dataclass(slots=True)
class _Entry:
    """Newest entry of a node, and the loop time at which it was first seen."""

    node: ListedNode
    changed_s: float


class NodeRegistry:
    """Registers this node and follows the number of nodes."""

    __slots__ = (
        "_counters",
        "_address",
        "_entries",
        "_era",
        "_groups",
        "_heartbeat",
        "_is_store_available",
        "_limits",
        "_list_after_s",
        "_listed_s",
        "_name",
        "_names",
        "_random",
        "_settled_s",
        "_steady_s",
        "_store",
        "_write_after_s",
    )

    def __init__(
        self,
        name: str,
        address: settings.Address,
        store: NodeStore,
        limits: server_limits.ServerLimits,
        groups: Sequence[NodeGroup],
        counters: metrics.Counters,
        source: random.Random,
        is_store_available: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the registry of a node that is not registered yet.

        Args:
            name: Unique name of this node.
            address: Address of this node for peers.
            store: Stores the entries.
            limits: Receives the position of this node.
            groups: Receive the addresses of the nodes.
            counters: Receives `registry.<error code>`.
            source: Random source that spreads the writes of the nodes.
            is_store_available: Returns whether the last read of the store
                succeeded.
        """
        self._name = name
        self._address = address
        self._groups = tuple(groups)
        self._store = store
        self._limits = limits
        self._counters = counters
        self._random = source
        self._is_store_available = is_store_available
        self._entries: dict[str, _Entry] = {}
        self._era = 0
        self._heartbeat = 0
        self._write_after_s = 0.0
        self._list_after_s = 0.0
        self._listed_s = -math.inf
        self._settled_s = math.inf
        # Nodes of the newest position, and the loop time from which the others
        # agree on them.
        self._names: list[str] = []
        self._steady_s = math.inf
        limits.is_position_settled = self.is_position_settled

    def is_position_settled(self) -> bool:
        """Returns whether the nodes that use their slots agree on the nodes.

        A node whose view of the nodes has changed waits until every other node
        has listed them again. The others then use no slots by the former view.
        """
        return asyncio.get_running_loop().time() >= self._steady_s

    async def run(self) -> None:
        """Writes and lists entries until cancelled."""
        await asyncio.sleep(self._random.uniform(0.0, _MAX_WRITE_DELAY_S))
        while True:
            if self._is_store_available():
                await self._step(asyncio.get_running_loop().time())
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _step(self, now_s: float) -> None:
        self._follow_era(now_s)
        try:
            if now_s >= self._write_after_s:
                await self._write(now_s)
            if self._is_list_due(now_s):
                await self._list(now_s)
        except errors.DragonflydykeError as error:
            retry_s = now_s + _RETRY_INTERVAL_S
            self._write_after_s = max(self._write_after_s, retry_s)
            self._list_after_s = retry_s
            self._counters.increment(f"registry.{error.code}")
            _LOGGER.info("registry not updated", code=error.code)

    def _follow_era(self, now_s: float) -> None:
        """Plans a write if a restored store may lack this node's entry."""
        if self._store.era == self._era:
            return
        self._era = self._store.era
        if self._heartbeat:
            delay_s = self._random.uniform(0.0, _MAX_WRITE_DELAY_S)
            self._write_after_s = now_s + delay_s

    def _is_list_due(self, now_s: float) -> bool:
        interval_s = _HEARTBEAT_INTERVAL_S
        if self._limits.has_limits:
            interval_s = _LIST_INTERVAL_S
        if self._listed_s < self._settled_s <= now_s:
            interval_s = 0.0
        return (
            now_s >= self._list_after_s and now_s - self._listed_s >= interval_s
        )

    async def _write(self, now_s: float) -> None:
        self._heartbeat += 1
        await self._store.write_node(self._name, self._heartbeat, self._address)
        if math.isinf(self._settled_s):
            # The other nodes that start now register within this time.
            self._settled_s = now_s + _START_PERIOD_S
            self._steady_s = now_s + _SETTLING_S
        self._write_after_s = now_s + _HEARTBEAT_INTERVAL_S

    async def _list(self, now_s: float) -> None:
        listed = await self._store.list_nodes()
        self._listed_s = now_s
        for node in listed:
            entry = self._entries.get(node.name)
            if entry is None or entry.node.version != node.version:
                self._entries[node.name] = _Entry(node, now_s)
        self._update_groups(now_s)
        if now_s >= self._settled_s:
            # An earlier list lacks nodes that start at the same time.
            self._update_position(now_s)
        await self._remove_stale(now_s)

    def _list_current(self, now_s: float) -> list[ListedNode]:
        """Returns the nodes that are not gone."""
        return [
            entry.node
            for entry in self._entries.values()
            if now_s - entry.changed_s < _EXPIRY_S
        ]

    def _update_groups(self, now_s: float) -> None:
        addresses = {
            node.name: node.address
            for node in self._list_current(now_s)
            if node.address is not None
        }
        for group in self._groups:
            group.replace(self._name, addresses)

    def _update_position(self, now_s: float) -> None:
        names = sorted(
            {node.name for node in self._list_current(now_s)} | {self._name}
        )
        if names != self._names:
            if self._names:
                self._steady_s = now_s + _SETTLING_S
            self._names = names
        position = server_limits.FleetPosition(
            names.index(self._name), len(names)
        )
        if position != self._limits.position:
            _LOGGER.notice(
                "position among the nodes changed",
                rank=position.rank,
                nodes=position.nodes,
            )
        self._limits.position = position

    async def _remove_stale(self, now_s: float) -> None:
        for name, entry in list(self._entries.items()):
            if now_s - entry.changed_s >= _REMOVAL_S:
                await self._store.remove_node(name)
                del self._entries[name]
