"""Orders to engines to load and unload versions.

An engine that ignores fencing tokens may receive an order from a lease holder
whose lease has expired in the meantime. Therefore only orders are sent that are
correct whenever they arrive: to load a version that the configuration lists for
the engine, and to unload a withdrawn version, since a withdrawal is permanent.
"""

import dataclasses
import enum
from collections.abc import Iterable

from dragonflydyke.configuration import model


class OrderKind(enum.Enum):
    """Operation that an engine performs on a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to one engine to load or unload one version.

    Attributes:
        server: The engine.
        kind: Whether to load or to unload.
        version: The `model@version`.
    """

    server: model.BackendServer
    kind: OrderKind
    version: str


def plan_orders(
    document: model.Document,
    server: model.BackendServer,
    loaded: Iterable[str],
) -> tuple[Order, ...]:
    """Returns the orders that make an engine match its configuration.

    Args:
        document: Configuration in force.
        server: The engine.
        loaded: `model@version` names that the engine reports as loaded.
    """
    loaded_versions = frozenset(loaded)
    withdrawn = _list_withdrawn_versions(document)
    wanted = [v for v in server.serves if v not in withdrawn]
    loads = [
        Order(server, OrderKind.LOAD, version)
        for version in wanted
        if version not in loaded_versions
    ]
    unloads = [
        Order(server, OrderKind.UNLOAD, version)
        for version in sorted(loaded_versions & withdrawn)
    ]
    return (*loads, *unloads)


def _list_withdrawn_versions(document: model.Document) -> frozenset[str]:
    return frozenset(
        model.version_id(entry.name, version.name)
        for entry in document.models
        for version in entry.versions
        if version.state is model.VersionState.WITHDRAWN
    )
