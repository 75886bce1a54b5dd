"""Configuration of the experiments, made from that of the demo."""

import pathlib
from collections.abc import Mapping
from typing import Any

from harness import deployment

_ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = _ROOT / "examples" / "demo"
_DATA_CENTRE = "cartago-a"
# Replaced by the address of the emulator when it starts.
_URL = "http://127.0.0.1:1"


def load() -> dict[str, Any]:
    """Returns the configuration of the demo."""
    return deployment.load_documents(FOLDER)


def build_classes(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the classes of the demo and those of all workloads."""
    short = next(c for c in document["classes"] if c["name"] == "line_question")
    office = {"max_completion_tokens": 1024, "deadline_s": 60.0}
    return [
        *document["classes"],
        {**short, "name": "substitution_check"},
        {
            **office,
            "name": "quote_summary",
            "quality_target": 0.8,
            "priority": 5,
            "may_wait_s": 30.0,
        },
        {
            **office,
            "name": "survey_draft",
            "quality_target": 0.9,
            "priority": 20,
            "may_wait_s": 50.0,
            "long": True,
        },
        {**office, "name": "booking_confirmation", "quality_target": 0.85},
    ]


def add_class_quality(quality: dict[str, float]) -> None:
    """Adds quality values of the classes that the demo does not configure."""
    for name in ("substitution_check", "quote_summary", "booking_confirmation"):
        quality[name] = quality["line_question"]
    quality["survey_draft"] = quality["catalogue_rebuild"]


def adapt(
    document: dict[str, Any],
    *,
    engines: int,
    slots: int,
    policy_settings: Mapping[str, float],
    rollout: dict[str, Any] | None,
) -> None:
    """Changes the configuration of the demo into that of an experiment.

    Args:
        document: The configuration.
        engines: Number of engines.
        slots: Number of slots of each engine.
        policy_settings: Section `policy`, empty to keep that of the demo.
        rollout: The rollout, None for none.
    """
    document["classes"] = build_classes(document)
    if policy_settings:
        document["policy"] = dict(policy_settings)
    versions = _prepare_versions(document)
    document["backend_servers"] = [
        _build_engine(number, versions, slots)
        for number in range(1, engines + 1)
    ]
    _add_service(document)
    stages = [entry["name"] for entry in document["models"]]
    document["cascades"].append({"name": "quotes", "stages": stages})
    _open_account(document["client_accounts"][0])
    if rollout is not None:
        document["roll_outs"] = [rollout]
    else:
        # Without a rollout, v2 would be selected as the better version.
        document["models"][0]["versions"][1]["state"] = "retiring"


def _prepare_versions(document: dict[str, Any]) -> list[str]:
    """Completes the quality of all versions and returns their full names."""
    versions = []
    for entry in document["models"]:
        for version in entry["versions"]:
            add_class_quality(version["quality"])
            versions.append(f"{entry['name']}@{version['name']}")
    return versions


def _build_engine(
    number: int, versions: list[str], slots: int
) -> dict[str, Any]:
    return {
        "name": f"engine-{number}",
        "kind": "engine",
        "url": _URL,
        "data_centre": _DATA_CENTRE,
        "serves": versions,
        "slots": slots,
    }


def _add_service(document: dict[str, Any]) -> None:
    lookup = {"name": "lookup", "method": "GET", "path": "/lookup"}
    document["services"] = [
        {"name": "stock", "operations": [{**lookup, "repeatable": True}]}
    ]
    document["backend_servers"].append(
        {
            "name": "stock-1",
            "kind": "service",
            "url": _URL,
            "data_centre": _DATA_CENTRE,
            "serves": ["stock"],
        }
    )


def _open_account(account: dict[str, Any]) -> None:
    """Lets an account use all that the workloads use, without real limits."""
    account["limits"] = {
        "requests_per_s": 10_000.0,
        "concurrent_requests": 10_000,
        "tokens_per_minute": 1_000_000_000,
    }
    account["services"] = ["stock"]
    account["cascades"].append("quotes")
