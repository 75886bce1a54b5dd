"""Reads the platform's settings file into the settings of a node."""

import json
import os
import pathlib
from typing import Any

from dragonflydyke import settings
from dragonflydyke.forwarding import model, node, rollouts

SETTINGS_VARIABLE = "DRAGONFLYDYKE_CONFIG"
# Must equal the port in deploy/system.toml.
_METRICS_PORT = 7340
_PEER_PORT = 7341
# Defaults for limits that a deployment does not state.
_GRACE_S = 8.0
_EXPOSURE_SHARE = 0.1
_EXPOSURE_SLACK = 0.0
_CONTACT_MS = 3_000.0
_DRAIN_MS = 2_000.0
_APPLY_MS = 2_000.0
_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000


def read_settings() -> node.NodeSettings:
    """Returns the settings of this process.

    Raises:
        SettingsError: If the file or one of its fields is missing or invalid.
    """
    return read_settings_file(os.environ.get(SETTINGS_VARIABLE, ""))


def read_settings_file(path: str) -> node.NodeSettings:
    """Returns the settings in a file.

    Raises:
        SettingsError: If the file or one of its fields is missing or invalid.
    """
    try:
        fields = json.loads(pathlib.Path(path).read_text())
    except (OSError, RecursionError, ValueError) as error:
        raise settings.SettingsError(SETTINGS_VARIABLE, str(error)) from error
    host = _read_field(fields, "ip", str)
    return node.NodeSettings(
        vm=_read_field(fields, "nodeName", str),
        data_centre=_read_field(fields, "zone", str),
        front=_read_address(fields, "front"),
        ready=_read_address(fields, "ready"),
        metrics=settings.Address(host, _METRICS_PORT),
        peers=settings.Address(host, _PEER_PORT),
        store_url="http://" + _read_field(fields, "platform.address", str),
        grace_s=_read_limit(fields, "graceS", _GRACE_S),
        exposure=rollouts.ExposureLimit(
            _read_limit(fields, "exposureShare", _EXPOSURE_SHARE),
            _read_limit(fields, "exposureSlack", _EXPOSURE_SLACK),
        ),
        contact_s=_read_limit(fields, "contactMs", _CONTACT_MS) / _MS_PER_S,
        drain_s=_read_limit(fields, "drainMs", _DRAIN_MS) / _MS_PER_S,
        apply_s=_read_limit(fields, "configApplyMs", _APPLY_MS) / _MS_PER_S,
        machine=_read_machine(fields),
        cold_limit=_read_cold_limit(fields),
        evacuation_s=_read_evacuation_s(fields),
        regions=_read_regions(fields),
    )


def _read_machine(fields: Any) -> model.MachineLimits:
    defaults = model.MachineLimits()
    limits = fields.get("limits") or {}
    memory_mb = limits.get("memoryMb")
    return model.MachineLimits(
        memory_bytes=int(memory_mb * _BYTES_PER_MB)
        if memory_mb
        else defaults.memory_bytes,
        max_descriptors=int(limits.get("maxFds") or defaults.max_descriptors),
    )


def _read_cold_limit(fields: Any) -> node.ColdLimit | None:
    if fields["bounds"].get("coldOvershoot") is None:
        return None
    return node.ColdLimit(
        overshoot=_read_limit(fields, "coldOvershoot", 1.0),
        slack=_read_limit(fields, "coldSlack", 0.0),
    )


def _read_evacuation_s(fields: Any) -> float | None:
    if fields["bounds"].get("evacuationMs") is None:
        return None
    limit_ms = _read_limit(fields, "evacuationMs", 0.0)
    # Checks of the store would never pause. The comparison also rejects NaN.
    if not limit_ms > 0:
        raise settings.SettingsError(
            "bounds.evacuationMs", f"{limit_ms!r} is not above 0"
        )
    return limit_ms / _MS_PER_S


def _read_regions(fields: Any) -> dict[str, str]:
    """Returns the region of each data centre, empty if none are stated."""
    regions = fields.get("zones") or {}
    if not isinstance(regions, dict):
        raise settings.SettingsError("zones", f"{regions!r} is not a table")
    return {str(name): str(region) for name, region in regions.items()}


def _read_address(fields: Any, name: str) -> settings.Address:
    text = _read_field(fields, f"listen.{name}", str)
    try:
        return settings.parse_address(text)
    except ValueError as error:
        raise settings.SettingsError(f"listen.{name}", str(error)) from error


def _read_limit(fields: Any, name: str, default: float) -> float:
    """Returns a limit of the deployment, or the default if not stated."""
    limits = _read_field(fields, "bounds", dict)
    if limits.get(name) is None:
        return default
    return float(_read_field(fields, f"bounds.{name}", int | float))


def _read_field(fields: Any, path: str, kind: Any) -> Any:
    value = fields
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if not isinstance(value, kind):
        raise settings.SettingsError(path, f"{value!r} is not a valid value")
    return value
