"""Warnings about a configuration of the platform that the router accepts."""

import collections
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from dragonflydyke.configuration import findings, problems
from dragonflydyke.forwarding import decisions, model, node

WRONG_TYPE = "wrong_type"
_MS_PER_S = 1_000


def find_warnings(
    value: Any,
    policy: model.ForwardingPolicy,
    settings: node.NodeSettings | None,
    found: findings.WarningList,
) -> None:
    """Adds the warnings about a configuration.

    Args:
        value: The configuration as it is stored.
        policy: The configuration as the router decoded it.
        settings: Settings of a node of the deployment, None if unknown.
        found: Receives the warnings.
    """
    _check_types(value, found)
    if found.items:
        # Further checks compare these values.
        return
    _check_duplicate_names(value, found)
    _check_matches(policy, found)
    for index, route in enumerate(policy.routes):
        path = ("routes", index)
        _check_pools(path, route, policy, bool(_split(value, index)), found)
        _check_times(path, route, found)
        _check_attempts(path, route, found)
    _check_unused_pools(value, policy, found)
    _check_keys(policy, found)
    _check_cold_limit(value, policy, settings, found)
    if settings is not None and settings.regions:
        _check_regions(policy, frozenset(settings.regions.values()), found)


def find_hidden_routes(
    policy: model.ForwardingPolicy,
) -> dict[int, model.Route]:
    """Returns the indexes of routes that never match, with what hides them.

    Only routes with the same prefix can hide each other, as the longest prefix
    matches first. The matcher therefore gets only these: a lookup among all
    routes of a host is linear, which took 5 s for 5,000 repeated prefixes.
    """
    repeated = collections.defaultdict(list)
    for index, route in enumerate(policy.routes):
        repeated[route.host.lower(), route.path_prefix].append(index)
    hidden = {}
    for (host, prefix), indexes in repeated.items():
        if len(indexes) == 1:
            continue
        routes = tuple(policy.routes[index] for index in indexes)
        matcher = model.ForwardingPolicy(
            policy.version, routes, (), (), policy.limits
        )
        first = matcher.find_route(host, prefix)
        for index, route in zip(indexes, routes, strict=True):
            if first is not None and route is not first:
                hidden[index] = first
    return hidden


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _is_optional_number(value: Any) -> bool:
    return value is None or _is_number(value)


def _is_flag(value: Any) -> bool:
    return value is None or isinstance(value, bool)


def _is_list(value: Any) -> bool:
    return isinstance(value, list)


def _is_optional_list(value: Any) -> bool:
    return value is None or isinstance(value, list)


_Predicate = Callable[[Any], bool]
_DESCRIPTIONS: dict[_Predicate, str] = {
    _is_text: "a non-empty text",
    _is_number: "a finite number",
    _is_optional_number: "a finite number",
    _is_flag: "true or false",
    _is_list: "a list",
    _is_optional_list: "a list",
}
_TOP_FIELDS = {
    "routes": _is_list,
    "services": _is_list,
    "tenants": _is_optional_list,
}
_ROUTE_FIELDS = {
    "name": _is_text,
    "host": _is_text,
    "timeoutMs": _is_number,
    "targetLatencyMs": _is_number,
    "gapAimMs": _is_optional_number,
    "priority": _is_number,
    "maxAttempts": _is_number,
    "anonymous": _is_flag,
    "streamResume": _is_flag,
    "sizes": _is_optional_list,
    "trafficSplit": _is_optional_list,
}
_SHARE_FIELDS = {"service": _is_text, "weight": _is_number}
_POOL_FIELDS = {"name": _is_text}
_TENANT_FIELDS = {
    "name": _is_text,
    "apiKeys": _is_list,
    "priority": _is_optional_number,
}
_SECRET_FIELDS = frozenset({"apiKeys"})


def _check_types(value: Any, found: findings.WarningList) -> None:
    """Adds a warning for each value that fails only when it is used."""
    for path, entry, fields in _iterate_entries(value):
        for field, is_valid in fields.items():
            _check_type((*path, field), entry.get(field), is_valid, found)
    for path, item in _iterate_texts(value):
        _check_type(path, item, _is_text, found)


def _iterate_entries(
    value: Any,
) -> Iterator[tuple[problems.Path, Any, Mapping[str, _Predicate]]]:
    yield (), value, _TOP_FIELDS
    for index, route in _enumerate(value["routes"]):
        path = ("routes", index)
        yield path, route, _ROUTE_FIELDS
        split = _split(value, index)
        if not split:
            yield path, route, {"service": _is_text}
        for position, share in _enumerate(split):
            yield (*path, "trafficSplit", position), share, _SHARE_FIELDS
    for index, pool in _enumerate(value["services"]):
        yield ("services", index), pool, _POOL_FIELDS
    for index, tenant in _enumerate(value.get("tenants")):
        yield ("tenants", index), tenant, _TENANT_FIELDS


def _iterate_texts(value: Any) -> Iterator[tuple[problems.Path, Any]]:
    for section, field in (("routes", "sizes"), ("tenants", "apiKeys")):
        for index, entry in _enumerate(value.get(section)):
            for position, item in _enumerate(entry.get(field)):
                yield (section, index, field, position), item


def _enumerate(value: Any) -> Iterator[tuple[int, Any]]:
    # The decoder accepts other empty values in place of a list.
    return enumerate(value) if isinstance(value, list) else iter(())


def _split(value: Any, index: int) -> Any:
    return value["routes"][index].get("trafficSplit")


def _check_type(
    path: problems.Path,
    value: Any,
    is_valid: _Predicate,
    found: findings.WarningList,
) -> None:
    if is_valid(value):
        return
    is_shown = not _SECRET_FIELDS & set(path) and not isinstance(
        value, dict | list
    )
    expected = _DESCRIPTIONS[is_valid]
    found.warn(
        WRONG_TYPE,
        path,
        value if is_shown else None,
        f"is not {expected}, so requests can fail when it is used",
        f"give {expected}",
    )


def _check_duplicate_names(value: Any, found: findings.WarningList) -> None:
    for section in _TOP_FIELDS:
        first: dict[str, int] = {}
        for index, entry in _enumerate(value.get(section)):
            name = entry["name"]
            if name in first:
                found.warn(
                    "duplicate_name",
                    (section, index, "name"),
                    name,
                    f"is also the name of {section}[{first[name]}]",
                    "rename or remove one of the two",
                )
            first.setdefault(name, index)


def _check_matches(
    policy: model.ForwardingPolicy, found: findings.WarningList
) -> None:
    """Adds a warning for each route that no request reaches."""
    for index, route in enumerate(policy.routes):
        if route.path_prefix and not route.path_prefix.startswith("/"):
            found.warn(
                "route_unmatchable",
                ("routes", index, "pathPrefix"),
                route.path_prefix,
                "does not begin with a slash, so no path matches it",
                "begin the prefix with a slash",
            )
    for index, first in find_hidden_routes(policy).items():
        found.warn(
            "route_hidden",
            ("routes", index),
            policy.routes[index].name,
            f"never matches, because {first.name!r} has the same host and"
            " pathPrefix and comes first",
            "change the host or pathPrefix, or remove the route",
        )


def _check_pools(
    path: problems.Path,
    route: model.Route,
    policy: model.ForwardingPolicy,
    has_split: bool,
    found: findings.WarningList,
) -> None:
    for index, share in enumerate(route.pools):
        share_path = (*path, "trafficSplit", index) if has_split else path
        if share.pool not in policy.pools:
            found.warn(
                "service_unknown",
                (*share_path, "service"),
                share.pool,
                "is not one of the services, so its requests are rejected",
                "add the service or name another one",
            )
        if share.weight < 0:
            found.warn(
                "weight_negative",
                (*share_path, "weight"),
                share.weight,
                "is negative, which distorts the shares of the others",
                "give 0 or more",
            )
    if has_split and not any(share.weight for share in route.pools):
        found.warn(
            "weights_all_zero",
            (*path, "trafficSplit"),
            None,
            "has only weights of 0, so all requests go to the last service",
            "give one service a weight above 0",
        )


def _to_milliseconds(duration_s: float) -> float:
    rounded = round(duration_s * _MS_PER_S, 3)
    return int(rounded) if rounded.is_integer() else rounded


def _check_times(
    path: problems.Path, route: model.Route, found: findings.WarningList
) -> None:
    timeout_ms = _to_milliseconds(route.timeout_s)
    target_ms = _to_milliseconds(route.target_latency_s)
    if route.timeout_s <= 0:
        found.warn(
            "timeout_not_positive",
            (*path, "timeoutMs"),
            timeout_ms,
            "leaves no time, so every request fails",
            "give a value above 0",
        )
    elif route.timeout_s < route.target_latency_s:
        found.warn(
            "timeout_below_target",
            (*path, "timeoutMs"),
            timeout_ms,
            f"is below targetLatencyMs ({target_ms}), so responses that are"
            " slower than the timeout are cut off",
            "raise timeoutMs or lower targetLatencyMs",
        )


def _check_attempts(
    path: problems.Path, route: model.Route, found: findings.WarningList
) -> None:
    if route.max_attempts < 1:
        found.warn(
            "attempts_below_one",
            (*path, "maxAttempts"),
            route.max_attempts,
            "is treated as 1",
            "give 1 or more",
        )
    elif route.max_attempts > 1 and not route.is_retryable:
        found.warn(
            "attempts_without_effect",
            (*path, "maxAttempts"),
            route.max_attempts,
            "has no effect, because requests of this route run only once",
            "give 1, or make the route idempotent or its streams resumable",
        )
    elif route.max_attempts > decisions.MAX_DISPATCHES:
        found.warn(
            "attempts_above_limit",
            (*path, "maxAttempts"),
            route.max_attempts,
            f"is above {decisions.MAX_DISPATCHES}, the highest number of times"
            " that the router sends a request",
            f"give at most {decisions.MAX_DISPATCHES}",
        )
    elif (
        route.max_attempts > 1
        and route.timeout_s < (route.max_attempts - 1) * decisions.MIN_ATTEMPT_S
    ):
        found.warn(
            "attempts_exceed_timeout",
            (*path, "maxAttempts"),
            route.max_attempts,
            "cannot all start within timeoutMs"
            f" ({_to_milliseconds(route.timeout_s)}), as an attempt starts only"
            f" if {_to_milliseconds(decisions.MIN_ATTEMPT_S)} ms are left",
            "raise timeoutMs or lower maxAttempts",
        )


def _check_unused_pools(
    value: Any, policy: model.ForwardingPolicy, found: findings.WarningList
) -> None:
    used = {share.pool for route in policy.routes for share in route.pools}
    for index, pool in _enumerate(value["services"]):
        if pool["name"] not in used:
            found.warn(
                "service_unused",
                ("services", index),
                pool["name"],
                "is named by no route",
                "name it in a route or remove it",
            )


def _check_keys(
    policy: model.ForwardingPolicy, found: findings.WarningList
) -> None:
    # Keys are secret and are not shown.
    for index, account in enumerate(policy.accounts):
        path = ("tenants", index, "apiKeys")
        if not account.keys:
            found.warn(
                "tenant_without_keys",
                path,
                account.name,
                "has no key, so no request belongs to it",
                "add a key or remove the tenant",
            )
        for position, key in enumerate(account.keys):
            owner = policy.find_account(key)
            if owner is not None and owner is not account:
                found.warn(
                    "key_shared",
                    (*path, position),
                    None,
                    f"is also a key of tenant {owner.name!r}, to which its"
                    " requests are assigned",
                    "give each tenant its own key",
                )


def _check_cold_limit(
    value: Any,
    policy: model.ForwardingPolicy,
    settings: node.NodeSettings | None,
    found: findings.WarningList,
) -> None:
    limit = settings.cold_limit if settings else None
    for index, spec in _enumerate(value["services"]):
        pool = policy.pools[spec["name"]]
        rate_per_s = pool.cold_start.rate_per_s
        if pool.engine is None or not rate_per_s:
            continue
        allowed = rate_per_s
        if limit is not None:
            allowed = rate_per_s * limit.overshoot + limit.slack
        if allowed > pool.engine.slots:
            found.warn(
                "cold_limit_above_slots",
                ("services", index, "coldPerS"),
                rate_per_s,
                f"allows {allowed:g} requests in a second, above the"
                f" {pool.engine.slots} slots of an engine",
                "lower coldPerS or raise the slots",
            )


def _check_regions(
    policy: model.ForwardingPolicy,
    served: frozenset[str],
    found: findings.WarningList,
) -> None:
    sections = (("routes", policy.routes), ("tenants", policy.accounts))
    for section, entries in sections:
        for index, entry in enumerate(entries):
            unserved = sorted(entry.allowed_regions - served)
            if not unserved:
                continue
            path = (section, index, "allowedRegions")
            if entry.allowed_regions & served:
                found.warn(
                    "region_unserved",
                    path,
                    ", ".join(unserved),
                    "has no data centre",
                    f"use regions among {', '.join(sorted(served))}",
                )
            else:
                found.warn(
                    "regions_without_data_centre",
                    path,
                    ", ".join(unserved),
                    "leaves no data centre, so all requests are rejected",
                    f"use regions among {', '.join(sorted(served))}",
                )
    _check_region_pairs(policy, served, found)


def _check_region_pairs(
    policy: model.ForwardingPolicy,
    served: frozenset[str],
    found: findings.WarningList,
) -> None:
    """Adds a warning for each tenant whose regions exclude those of a route.

    Routes with the same regions are compared once.
    """
    routes: dict[frozenset[str], model.Route] = {}
    for route in policy.routes:
        regions = route.allowed_regions & served
        if regions and not route.anonymous:
            routes.setdefault(regions, route)
    for index, account in enumerate(policy.accounts):
        regions = account.allowed_regions & served
        if not regions:
            continue
        for route_regions, route in routes.items():
            if not regions & route_regions:
                found.warn(
                    "regions_without_data_centre",
                    ("tenants", index, "allowedRegions"),
                    ", ".join(sorted(regions)),
                    "has no region in common with allowedRegions of route"
                    f" {route.name!r}",
                    "add a common region, or ignore this if the tenant does"
                    " not use the route",
                )
