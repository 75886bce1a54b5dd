"""Selection of relays: routers that poll the platform and relay reports."""

import hashlib
from collections.abc import Callable, Iterable

from dragonflydyke import objects

FULL_MESH_MAX_VMS = 16
RELAYS_PER_DATA_CENTRE = 4
RELAYS_PER_NODE = 2


def _rank_hash(*parts: str) -> bytes:
    return hashlib.sha256("\0".join(parts).encode()).digest()


def select_relays(vms: Iterable[objects.ListedVm]) -> frozenset[str]:
    """Returns the names of the relays among the listed entry VMs.

    All VMs of a small fleet are relays. In a larger fleet each data centre has
    a few, selected by a hash of their names so that all nodes agree.
    """
    listed = tuple(vms)
    if len(listed) <= FULL_MESH_MAX_VMS:
        return frozenset(vm.name for vm in listed)
    by_data_centre: dict[str, list[str]] = {}
    for vm in listed:
        by_data_centre.setdefault(vm.data_centre, []).append(vm.name)
    chosen: set[str] = set()
    for data_centre, names in by_data_centre.items():
        names.sort(key=lambda name: _rank_hash(data_centre, name))
        chosen.update(names[:RELAYS_PER_DATA_CENTRE])
    return frozenset(chosen)


def select_exchange_targets(
    own_name: str,
    own_data_centre: str,
    vms: Iterable[objects.ListedVm],
    is_reachable: Callable[[str], bool],
) -> tuple[objects.ListedVm, ...]:
    """Returns the VMs with which a node exchanges reports.

    A relay exchanges reports with all other relays. Any other node uses two
    relays of its data centre, if it has any.

    Args:
        own_name: Name of the node's VM.
        own_data_centre: Name of the node's data centre.
        vms: Listed entry VMs.
        is_reachable: Returns whether the exchanges with a VM did not fail
            recently; nodes that are no relays prefer such relays.
    """
    listed = tuple(vms)
    relays = select_relays(listed)
    others = tuple(
        vm for vm in listed if vm.name in relays and vm.name != own_name
    )
    if own_name in relays or len(listed) <= FULL_MESH_MAX_VMS:
        return others
    local_relays = [vm for vm in others if vm.data_centre == own_data_centre]
    ranked = sorted(
        local_relays or others,
        key=lambda vm: (
            not is_reachable(vm.name),
            _rank_hash(own_name, vm.name),
        ),
    )
    return tuple(ranked[:RELAYS_PER_NODE])
