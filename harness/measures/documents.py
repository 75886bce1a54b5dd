"""Configuration documents of given sizes."""

import hashlib
from typing import Any

ACCOUNT_KEY = "capacity-key-0"
MODELS = 10
_VERSIONS_PER_MODEL = 2
_SLOTS_PER_SERVER = 8
DATA_CENTRES = tuple(
    (f"{region}-{letter}", region)
    for region in ("cr-central", "cymru")
    for letter in "abc"
)
_CLASSES = ("line_question", "catalogue_rebuild")


def build_configuration(
    servers: int,
    accounts: int,
    urls: tuple[str, ...],
    *,
    models: int = MODELS,
    vms: bool = False,
) -> dict[str, Any]:
    """Returns a valid configuration document as a mapping.

    Args:
        servers: Number of backend servers; each serves one version.
        accounts: Number of client accounts; the first has ACCOUNT_KEY.
        urls: Base URLs of engines, assigned to the servers in rotation.
        models: Number of models; each has two versions.
        vms: Whether each server names its VM, as in the platform's VM list.
    """
    names = [f"planner-{index}" for index in range(models)]
    versions = [
        f"{name}@v{number}"
        for name in names
        for number in range(1, _VERSIONS_PER_MODEL + 1)
    ]
    return {
        "deployment": "capacity",
        "data_centres": [
            {
                "name": name,
                "region": region,
                "near": [
                    other
                    for other, other_region in DATA_CENTRES
                    if other_region == region and other != name
                ],
            }
            for name, region in DATA_CENTRES
        ],
        "models": [_build_model(name) for name in names],
        "classes": [
            {
                "name": name,
                "quality_target": 0.8,
                "deadline_s": 60.0,
                "max_completion_tokens": 4096,
            }
            for name in _CLASSES
        ],
        "client_accounts": [
            _build_account(index, names) for index in range(accounts)
        ],
        "backend_servers": [
            _build_server(index, versions, urls, vms)
            for index in range(servers)
        ],
    }


def _build_model(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "versions": [
            {
                "name": f"v{number}",
                "state": "active",
                "price": {"prompt": 100_000, "completion": 400_000},
                "quality": dict.fromkeys(_CLASSES, 0.85),
            }
            for number in range(1, _VERSIONS_PER_MODEL + 1)
        ],
    }


def _build_account(index: int, models: list[str]) -> dict[str, Any]:
    key = f"capacity-key-{index}"
    return {
        "name": f"account-{index}",
        "key_hashes": [hashlib.sha256(key.encode()).hexdigest()],
        "models": models,
        "default_class": _CLASSES[0],
        "limits": {"requests_per_s": 10_000, "concurrent_requests": 10_000},
    }


def _build_server(
    index: int, versions: list[str], urls: tuple[str, ...], vms: bool
) -> dict[str, Any]:
    server = {
        "name": f"engine-{index}",
        "kind": "engine",
        "url": urls[index % len(urls)],
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)][0],
        "serves": [versions[(index // len(DATA_CENTRES)) % len(versions)]],
        "slots": _SLOTS_PER_SERVER,
    }
    if vms:
        server["vm"] = f"backend-{index}"
    return server
