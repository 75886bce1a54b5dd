"""HTTP API for operators and health checks."""

from dragonflydyke.admin.application import build_application
from dragonflydyke.admin.services import (
    AdminServices,
    AppliedChange,
    ConfigurationWriter,
    FleetStatus,
    FleetStatusProvider,
    RevisionSummary,
    StoredRevision,
    VmStatus,
)

__all__ = [
    "AdminServices",
    "AppliedChange",
    "ConfigurationWriter",
    "FleetStatus",
    "FleetStatusProvider",
    "RevisionSummary",
    "StoredRevision",
    "VmStatus",
    "build_application",
]
