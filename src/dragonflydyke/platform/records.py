"""Decodes and encodes the objects of the platform's store."""

import dataclasses
import ipaddress
import math
import re
import reprlib
from collections.abc import Callable
from typing import Any

from dragonflydyke import logs, settings
from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import (
    controller,
    directory,
    model,
    node,
    quarantine,
    registry,
    rollout_evidence,
    rollouts,
)
from dragonflydyke.objects import model as objects

KINDS = node.ObjectKinds(
    policies="config",
    servers="servers",
    rollouts="rollouts",
    # Only the routers use this kind.
    crashes="enginecrashes",
    evacuations="evacuations",
)
# Kinds whose entries say all with their name.
KINDS_BY_NAME = frozenset((KINDS.evacuations,))
# Kind of the entries of the nodes, which only the routers use.
NODE_KIND = "routernodes"
POLICY_OBJECT_NAME = "main"
_RUNNING = "running"
_FINAL_STATES = {
    "completed": rollouts.Stage.COMPLETED,
    "rolled_back": rollouts.Stage.ROLLED_BACK,
}
# Field of a rollout status that only the routers use.
_ROUTER_FIELD = "router"
_MS_PER_S = 1_000
_STATES = {
    "ready": configuration.ServerState.ACTIVE,
    "draining": configuration.ServerState.LEAVING,
}
_REQUEST_KINDS = {
    "idempotent": model.RequestKind.IDEMPOTENT,
    "non_idempotent": model.RequestKind.NON_IDEMPOTENT,
    "streaming": model.RequestKind.STREAM,
}

_MAX_ERROR_CHARACTERS = 200
# Longest text that is kept of an object. Names of servers, services and models
# are much shorter.
_MAX_TEXT_CHARACTERS = 1_024

# Errors that an object of another writer can lead to.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Integers up to this number are exact in JSON documents of all writers.
_MAX_NUMBER = 2**53
_MAX_PORT = 65_535
_MAX_SLOTS = 100_000
# A server cannot keep requests away for good with one odd entry.
_MAX_COLD_S = 600.0
# Number of undecodable objects that are not logged again.
_MAX_UNREADABLE = 1_024
# Characters that a header can carry.
_TOKEN_PATTERN = re.compile(r"[!-~]+")

_LOGGER = logs.get_logger("store")


class RecordDecoder:
    """Decodes the objects that operators, servers and nodes write."""

    __slots__ = ("_unreadable",)

    def __init__(self) -> None:
        self._unreadable: dict[str, int] = {}

    def decode(self, entry: objects.StoredObject) -> objects.StoredObject:
        """Returns an object with its record in place of value and status.

        The record is None if the object cannot be decoded. Only the record is
        kept, as another writer may have stored a value of any size.
        """
        read = _READERS.get(entry.kind)
        record = self._read(entry, read) if read is not None else None
        return dataclasses.replace(entry, value=record, status=None)

    def _read(
        self,
        entry: objects.StoredObject,
        read: Callable[[objects.StoredObject], Any],
    ) -> Any:
        try:
            return read(entry)
        except DECODING_ERRORS as error:
            # Logs each version of an entry once, as watches repeat entries.
            if self._unreadable.get(entry.name) != entry.version:
                self._unreadable[entry.name] = entry.version
                if len(self._unreadable) > _MAX_UNREADABLE:
                    del self._unreadable[next(iter(self._unreadable))]
                _LOGGER.warning(
                    "stored object cannot be decoded",
                    kind=entry.kind,
                    object=entry.name,
                    error=describe_error(error),
                )
            return None


def describe_error(error: Exception) -> str:
    """Returns a short description; the error may quote a long value."""
    return repr(error)[:_MAX_ERROR_CHARACTERS]


def _read_server(entry: objects.StoredObject) -> directory.ServerEntry:
    spec = entry.value
    address = _read_address(spec["address"])
    if not _TOKEN_PATTERN.fullmatch(entry.name):
        raise ValueError(f"name {reprlib.repr(entry.name)}")
    require_number(spec["sequence"])
    models = spec.get("models", [])
    if not isinstance(models, list) or not all(
        isinstance(served, dict) for served in models
    ):
        raise TypeError("field models is not a list of models")
    version = require_text(spec["version"])
    pool = require_text(spec["service"])
    return directory.ServerEntry(
        backend=configuration.BackendServer(
            name=entry.name,
            kind=(
                configuration.ServerKind.ENGINE
                if models
                else configuration.ServerKind.SERVICE
            ),
            url=f"http://{address}",
            data_centre=require_text(spec["zone"]),
            serves=(f"{pool}@{version}",),
            slots=_read_whole_number(spec["slots"], 1, _MAX_SLOTS),
            state=_STATES[spec["state"]],
        ),
        pool=pool,
        version=version,
        started_ms=_read_whole_number(spec.get("born", 0), 0, _MAX_NUMBER),
        cold_s=_read_cold_s(spec["coldRemainingMs"]),
        revision=entry.version,
    )


def _read_cold_s(value: Any) -> float:
    """Returns the time in seconds, infinite for a value that is no number.

    Such a server is used like a cold one and not left out.
    """
    try:
        cold_s = require_number(value) / _MS_PER_S
    except (TypeError, ValueError):
        return math.inf
    return min(max(0.0, cold_s), _MAX_COLD_S)


def _read_address(value: Any) -> str:
    """Returns `host:port`, where the host is an IP address."""
    host, _, port = require_text(value).rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit():
        raise ValueError(f"port {reprlib.repr(port)}")
    _read_whole_number(int(port), 1, _MAX_PORT)
    return f"{host}:{int(port)}"


def read_rollout(entry: objects.StoredObject) -> controller.StoredRollout:
    """Returns a rollout; raises one of DECODING_ERRORS."""
    spec = entry.value
    order = rollouts.Order(
        pool=require_text(spec["service"]),
        version=require_text(spec["target"]),
        duration_s=float(require_number(spec["rampS"])),
    )
    status = entry.status
    progress = _read_progress(status) if status else None
    if progress is not None and progress.version != order.version:
        # The status of an earlier order.
        progress = None
    return build_stored_rollout(entry, order, progress)


def build_stored_rollout(
    entry: objects.StoredObject,
    order: rollouts.Order,
    progress: rollouts.Progress | None,
) -> controller.StoredRollout:
    """Returns a rollout that refers to its object by name and version."""
    reference = dataclasses.replace(entry, value=None, status=None)
    return controller.StoredRollout(reference, order, progress)


def _read_progress(status: Any) -> rollouts.Progress:
    state = status["state"]
    router_status = status.get(_ROUTER_FIELD) or {}
    stage = _FINAL_STATES.get(state)
    if stage is None:
        stage = rollouts.Stage(
            router_status.get("stage", rollouts.Stage.WAITING)
        )
    return rollouts.Progress(
        version=status["target"],
        stage=stage,
        canary_share=float(
            require_number(router_status.get("canaryShare", 0.0))
        ),
        evidence={
            vm: {
                route: rollout_evidence.RouteEvidence(
                    _read_counts(counts["new"]),
                    _read_counts(counts["old"]),
                    dict(counts["bad"]),
                )
                for route, counts in routes.items()
            }
            for vm, routes in (router_status.get("evidence") or {}).items()
        },
    )


def write_progress(progress: rollouts.Progress) -> dict[str, Any]:
    """Returns the stored status of a rollout.

    Fields that only the routers use are grouped under one key.
    """
    states = {stage: state for state, stage in _FINAL_STATES.items()}
    return {
        "state": states.get(progress.stage, _RUNNING),
        "target": progress.version,
        _ROUTER_FIELD: {
            "stage": progress.stage.value,
            "canaryShare": progress.canary_share,
            "evidence": {
                vm: {
                    route: {
                        "new": _write_counts(counts.new),
                        "old": _write_counts(counts.old),
                        "bad": dict(counts.bad_servers),
                    }
                    for route, counts in routes.items()
                }
                for vm, routes in progress.evidence.items()
            },
        },
    }


def _read_policy(
    entry: objects.StoredObject,
) -> model.ForwardingPolicy | None:
    """Returns the configuration, None for other objects of its kind."""
    return decode_policy(entry) if entry.name == POLICY_OBJECT_NAME else None


def _read_node(entry: objects.StoredObject) -> registry.ListedNode:
    """Returns a node; one without a valid address counts, too."""
    return registry.ListedNode(
        entry.name, entry.version, _read_node_address(entry.value)
    )


def _read_node_address(spec: Any) -> settings.Address | None:
    text = spec.get("address") if isinstance(spec, dict) else None
    try:
        return settings.parse_address(text) if isinstance(text, str) else None
    except ValueError as error:
        _LOGGER.info(
            "address of a node is malformed", error=describe_error(error)
        )
        return None


def _read_crash(entry: objects.StoredObject) -> quarantine.CrashReport:
    spec = entry.value
    return quarantine.CrashReport(
        pool=require_text(spec["pool"]),
        request_id=require_text(spec["request"]),
        server=require_text(spec["server"]),
        started_ms=int(require_number(spec["startedMs"])),
        content=quarantine.RequestContent(
            # Earlier versions of this program wrote no fingerprint.
            _read_fingerprint(spec.get("fingerprint", "")),
            frozenset(require_text(part) for part in spec["parts"]),
        ),
    )


def _read_fingerprint(value: Any) -> str:
    return require_text(value) if value != "" else ""


def write_crash(report: quarantine.CrashReport) -> dict[str, Any]:
    """Returns the stored value of a crash report."""
    return {
        "pool": report.pool,
        "request": report.request_id,
        "server": report.server,
        "startedMs": report.started_ms,
        "parts": sorted(report.content.parts),
        "fingerprint": report.content.fingerprint,
    }


def _read_counts(counts: Any) -> rollout_evidence.AttemptCounts:
    attempts, failed, impaired = (
        _read_whole_number(count, 0, _MAX_NUMBER) for count in counts
    )
    return rollout_evidence.AttemptCounts(attempts, failed, impaired)


def _write_counts(counts: rollout_evidence.AttemptCounts) -> list[int]:
    return [counts.attempts, counts.failed, counts.impaired]


def decode_policy(entry: objects.StoredObject) -> model.ForwardingPolicy:
    """Returns a configuration; raises one of DECODING_ERRORS."""
    spec = entry.value
    return model.ForwardingPolicy(
        version=int(require_number(spec["version"])),
        routes=tuple(_read_route(route) for route in spec["routes"]),
        pools=tuple(_read_pool(pool) for pool in spec["services"]),
        accounts=tuple(
            model.Account(
                name=account["name"],
                keys=tuple(account["apiKeys"]),
                priority=account.get("priority"),
                allowed_regions=_read_regions(account),
            )
            for account in spec.get("tenants") or ()
        ),
        limits=_read_client_limits(spec["limits"]),
    )


def _read_client_limits(spec: Any) -> model.ClientLimits:
    defaults = model.ClientLimits()
    header_timeout_s = spec.get("headerTimeoutMs")
    idle_timeout_s = spec.get("idleTimeoutMs")
    return model.ClientLimits(
        max_header_bytes=_read_whole_number(
            spec.get("maxHeaderBytes", defaults.max_header_bytes),
            1,
            _MAX_NUMBER,
        ),
        max_body_bytes=_read_whole_number(spec["maxBodyBytes"], 0, _MAX_NUMBER),
        header_timeout_s=defaults.header_timeout_s
        if header_timeout_s is None
        else require_number(header_timeout_s) / _MS_PER_S,
        idle_timeout_s=defaults.idle_timeout_s
        if idle_timeout_s is None
        else require_number(idle_timeout_s) / _MS_PER_S,
    )


def _read_regions(spec: Any) -> frozenset[str]:
    regions = spec.get("allowedRegions") or ()
    if not isinstance(regions, list | tuple):
        raise TypeError("field allowedRegions is not a list of regions")
    return frozenset(require_text(region) for region in regions)


def _read_route(spec: Any) -> model.Route:
    split = spec.get("trafficSplit")
    pools = tuple(
        model.PoolShare(share["service"], share["weight"])
        for share in split or ()
    )
    return model.Route(
        name=spec["name"],
        host=_require_string(spec["host"]),
        # Matching a path against another type would fail for each request.
        path_prefix=_require_string(spec["pathPrefix"]),
        kind=_REQUEST_KINDS[spec["kind"]],
        timeout_s=spec["timeoutMs"] / _MS_PER_S,
        target_latency_s=spec["targetLatencyMs"] / _MS_PER_S,
        priority=spec["priority"],
        pools=pools or (model.PoolShare(spec["service"], 1.0),),
        max_attempts=spec["maxAttempts"],
        anonymous=bool(spec.get("anonymous")),
        resumable=bool(spec.get("streamResume")),
        max_event_gap_s=spec.get("gapAimMs", 0) / _MS_PER_S,
        models=tuple(spec.get("sizes") or ()),
        allowed_regions=_read_regions(spec),
    )


def _read_pool(spec: Any) -> model.Pool:
    engine = spec.get("engine")
    return model.Pool(
        spec["name"],
        has_engines=bool(engine),
        engine=_read_engine(engine) if engine else None,
        cold_start=model.ColdStart(
            duration_s=require_number(spec.get("coldS", 0)),
            rate_per_s=max(0.0, require_number(spec.get("coldPerS", 0))),
        ),
    )


def _read_engine(spec: Any) -> model.EngineCapacity:
    return model.EngineCapacity(
        slots=_read_whole_number(spec.get("slots", 1), 1, _MAX_SLOTS),
        memory_tokens=_read_whole_number(
            spec.get("kvCapacity", 0), 0, _MAX_NUMBER
        ),
        tokens_per_event=_read_whole_number(
            spec.get("stride", 1), 1, _MAX_NUMBER
        ),
        model_costs={
            require_text(served["name"]): float(require_number(served["cost"]))
            for served in spec.get("models") or ()
        },
    )


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{reprlib.repr(value)} is not a string")
    return value


def require_text(value: Any) -> str:
    """Returns a non-empty text without surrogates.

    Raises:
        TypeError: If the value is something else.
        ValueError: If the text cannot be encoded or is too long.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"{reprlib.repr(value)} is not a non-empty string")
    value.encode()
    if len(value) > _MAX_TEXT_CHARACTERS:
        raise ValueError(f"text of {len(value)} characters")
    return value


def require_number(value: Any) -> float:
    """Returns a number that is finite and not too large.

    Raises:
        TypeError: If the value is not a number.
        ValueError: If it is not in the range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{reprlib.repr(value)} is not a number")
    if not -_MAX_NUMBER <= value <= _MAX_NUMBER:
        raise ValueError(f"{reprlib.repr(value)} is out of range")
    return value


def _read_whole_number(value: Any, minimum: int, maximum: int) -> int:
    number = int(require_number(value))
    if not minimum <= number <= maximum:
        raise ValueError(f"{number} is not from {minimum} to {maximum}")
    return number


# What is kept of the objects of each kind.
_READERS: dict[str, Callable[[objects.StoredObject], Any]] = {
    KINDS.policies: _read_policy,
    KINDS.servers: _read_server,
    KINDS.rollouts: read_rollout,
    KINDS.crashes: _read_crash,
    KINDS.evacuations: lambda entry: entry.name,
    NODE_KIND: _read_node,
}
