"""Objects of the platform's store as types of the product."""

from collections.abc import Iterable
from typing import Any

from dragonflydyke import logs
from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import directory, model, node
from dragonflydyke.objects import model as objects

KINDS = node.Kinds(policies="config", servers="servers")
_NEWEST = "main"
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

_LOGGER = logs.get_logger("store")


class RecordDecoder(node.Decoder):
    """Reads the operator's and the servers' objects."""

    __slots__ = ("_unreadable",)

    def __init__(self) -> None:
        self._unreadable: dict[str, int] = {}

    def read_policy(
        self, entries: Iterable[objects.StoredObject]
    ) -> model.ForwardingPolicy | None:
        """Returns the newest configuration, or None if there is none."""
        for entry in entries:
            if entry.name == _NEWEST:
                return self._read(entry, _read_policy)
        return None

    def read_members(
        self, entries: Iterable[objects.StoredObject]
    ) -> list[directory.Member]:
        """Returns the servers; entries that cannot be read are left out."""
        found = (self._read(entry, _read_member) for entry in entries)
        return [member for member in found if member is not None]

    def _read(self, entry: objects.StoredObject, read: Any) -> Any:
        try:
            return read(entry)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # One line a change: watches repeat the same entry.
            if self._unreadable.get(entry.name) != entry.version:
                self._unreadable[entry.name] = entry.version
                _LOGGER.warning(
                    "object not readable",
                    kind=entry.kind,
                    object=entry.name,
                    error=repr(error),
                )
            return None


def _read_member(entry: objects.StoredObject) -> directory.Member:
    spec = entry.value
    host, _, port = _text(spec["address"]).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {spec['address']!r}")
    _number(spec["sequence"])
    _number(spec["coldRemainingMs"])
    models = spec.get("models", [])
    if not isinstance(models, list):
        raise TypeError("models is not a list")
    version = _text(spec["version"])
    pool = _text(spec["service"])
    return directory.Member(
        server=configuration.BackendServer(
            name=entry.name,
            kind=(
                configuration.ServerKind.ENGINE
                if models
                else configuration.ServerKind.SERVICE
            ),
            url=f"http://{host}:{port}",
            data_centre=_text(spec["zone"]),
            serves=(f"{pool}@{version}",),
            slots=int(_number(spec["slots"])),
            state=_STATES[spec["state"]],
        ),
        pool=pool,
        version=version,
        started_ms=int(_number(spec.get("born", 0))),
    )


def _read_policy(entry: objects.StoredObject) -> model.ForwardingPolicy:
    spec = entry.value
    limits = spec["limits"]
    return model.ForwardingPolicy(
        version=int(_number(spec["version"])),
        routes=tuple(_read_route(route) for route in spec["routes"]),
        pools=tuple(_read_pool(pool) for pool in spec["services"]),
        accounts=tuple(
            model.Account(
                name=account["name"],
                keys=tuple(account["apiKeys"]),
                priority=account.get("priority"),
            )
            for account in spec.get("tenants") or ()
        ),
        limits=model.ClientLimits(
            max_header_bytes=limits["maxHeaderBytes"],
            max_body_bytes=limits["maxBodyBytes"],
            idle_timeout_s=limits["idleTimeoutMs"] / _MS_PER_S,
        ),
    )


def _read_route(spec: Any) -> model.Route:
    split = spec.get("trafficSplit")
    pools = tuple(
        model.PoolShare(share["service"], share["weight"])
        for share in split or ()
    )
    return model.Route(
        name=spec["name"],
        host=spec["host"],
        path_prefix=spec["pathPrefix"],
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
    )


def _read_pool(spec: Any) -> model.Pool:
    engine = spec.get("engine")
    profile = None
    if engine:
        profile = model.EngineProfile(
            slots=engine["slots"],
            kv_tokens=engine["kvCapacity"],
            model_costs={
                entry["name"]: entry["cost"]
                for entry in engine.get("models") or ()
            },
        )
    return model.Pool(
        name=spec["name"],
        max_connections=spec["maxConnections"],
        engine=profile,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a text")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    return value
