"""Orders to engines: which versions they should have loaded.

Engines that ignore fencing tokens may receive an order from a holder whose
lease has expired meanwhile. Only orders that are right whenever they arrive
are therefore sent to any engine: loading a version that the configuration
names for it, and unloading a withdrawn version, which never comes back.
"""

import dataclasses
import enum
from collections.abc import Iterable

from dragonflydyke.configuration import model


class OrderKind(enum.Enum):
    """What an engine is told to do with a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to one engine about one `model@version`."""

    server: model.BackendServer
    kind: OrderKind
    version: str


def plan_orders(
    document: model.Document,
    server: model.BackendServer,
    loaded: Iterable[str],
) -> tuple[Order, ...]:
    """Returns the orders that bring an engine to its configuration.

    Args:
        document: Configuration in force.
        server: The engine.
        loaded: `model@version` names that it reports as loaded.
    """
    present = frozenset(loaded)
    withdrawn = _withdrawn_versions(document)
    wanted = [v for v in server.serves if v not in withdrawn]
    loads = [
        Order(server, OrderKind.LOAD, version)
        for version in wanted
        if version not in present
    ]
    unloads = [
        Order(server, OrderKind.UNLOAD, version)
        for version in sorted(present & withdrawn)
    ]
    return (*loads, *unloads)


def _withdrawn_versions(document: model.Document) -> frozenset[str]:
    return frozenset(
        model.version_id(entry.name, version.name)
        for entry in document.models
        for version in entry.versions
        if version.state is model.VersionState.WITHDRAWN
    )
