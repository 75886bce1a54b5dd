"""Which nodes of a fleet a node asks for the state of the store; no I/O.

Designed for fleets of hundreds of nodes of which each needs proof, every second
or two, of the version that the store has. Linearizable reads of all nodes cost
more than everything else that they read. Nodes are therefore divided into
groups by the order of their names, and each asks those before it in its group.
So one node of a group reads the store for all, and if it does not answer, the
next one does.
"""

from collections.abc import Mapping

from dragonflydyke import logs, settings

# A node answers this many others at most, tens of small datagrams a second.
GROUP_SIZE = 64
# Peers that are asked in one check before the store itself is read.
_MAX_CANDIDATES = 2
# A peer without an answer is left out for a time that doubles up to a limit.
# Nodes that are gone for good stay registered for minutes.
_MIN_BACK_OFF_S = 2.0
_MAX_BACK_OFF_S = 60.0

_LOGGER = logs.get_logger("peers")


class PeerGroup:
    """The peers before a node in its group; times are loop times in seconds."""

    __slots__ = ("_addresses", "_back_off_s", "_retry_at_s")

    def __init__(self) -> None:
        """Creates a group without peers."""
        self._addresses: list[settings.Address] = []
        self._back_off_s: dict[settings.Address, float] = {}
        self._retry_at_s: dict[settings.Address, float] = {}

    def replace(
        self, name: str, addresses: Mapping[str, settings.Address]
    ) -> None:
        """Replaces the known nodes.

        Args:
            name: Name of this node.
            addresses: Addresses of the registered nodes by name.
        """
        names = sorted({*addresses, name})
        rank = names.index(name)
        first = rank - rank % GROUP_SIZE
        self._addresses = [addresses[peer] for peer in names[first:rank]]
        known = set(self._addresses)
        for address in self._back_off_s.keys() - known:
            self.record_answer(address)

    def list_candidates(self, now_s: float) -> list[settings.Address]:
        """Returns the addresses of the peers to ask, first choice first."""
        found = [
            address
            for address in self._addresses
            if self._retry_at_s.get(address, now_s) <= now_s
        ]
        return found[:_MAX_CANDIDATES]

    def record_answer(self, address: settings.Address) -> None:
        """Records that a peer has given a useful answer."""
        if self._back_off_s.pop(address, None) is not None:
            _LOGGER.info("peer answers again", peer=str(address))
        self._retry_at_s.pop(address, None)

    def record_failure(self, address: settings.Address, now_s: float) -> None:
        """Records that a peer has given no useful answer."""
        back_off_s = self._back_off_s.get(address)
        if back_off_s is None:
            back_off_s = _MIN_BACK_OFF_S
            _LOGGER.info("peer does not answer", peer=str(address))
        else:
            back_off_s = min(_MAX_BACK_OFF_S, 2 * back_off_s)
        self._back_off_s[address] = back_off_s
        self._retry_at_s[address] = now_s + back_off_s
