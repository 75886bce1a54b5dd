"""Comparison of two configurations of the platform by meaning."""

import hashlib
from collections.abc import Iterable
from typing import Any

from dragonflydyke.configuration import changes
from dragonflydyke.forwarding import model
from dragonflydyke.platform import policy_findings

_MS_PER_S = 1_000
_DIGITS = 9
_FINGERPRINT_CHARACTERS = 12

MEANINGS = changes.FieldMeanings(
    unordered=frozenset({"allowedRegions", "apiKeys"}),
    ordered=frozenset({"sizes"}),
    empty_allows_all=frozenset({"allowedRegions"}),
    capacities=frozenset(
        {
            "anonymous",
            "headerTimeoutMs",
            "idleTimeoutMs",
            "kvCapacity",
            "maxAttempts",
            "maxBodyBytes",
            "maxHeaderBytes",
            "slots",
            "streamResume",
            "timeoutMs",
        }
    ),
    zero_is_unlimited=frozenset({"coldPerS"}),
)


def describe(policy: model.ForwardingPolicy) -> dict[str, Any]:
    """Returns what a configuration makes the router do, as a JSON value.

    Equal descriptions mean equal decisions: hidden routes and keys that belong
    to another tenant are left out, lists are sorted by name, and weights are
    shares of their sum. API keys are replaced by fingerprints.
    """
    hidden = policy_findings.find_hidden_routes(policy)
    return {
        "routes": _sort_entries(
            _describe_route(route)
            for index, route in enumerate(policy.routes)
            if index not in hidden
        ),
        "services": _sort_entries(map(_describe_pool, policy.pools.values())),
        "tenants": _sort_entries(
            _describe_account(account, policy) for account in policy.accounts
        ),
        "limits": _describe_limits(policy.limits),
    }


def compare(
    old: dict[str, Any], new: dict[str, Any]
) -> tuple[changes.Change, ...]:
    """Returns the differences of two descriptions."""
    return changes.diff_mappings(old, new, MEANINGS)


def _sort_entries(entries: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the entries by name; repeated names get a number."""
    counts: dict[str, int] = {}
    named = []
    for entry in entries:
        name = entry["name"]
        counts[name] = counts.get(name, 0) + 1
        if counts[name] > 1:
            entry["name"] = f"{name}#{counts[name]}"
        named.append(entry)
    return sorted(named, key=lambda entry: entry["name"])


def _normalize(number: float) -> float:
    """Returns a number that equals its spelling with or without a point."""
    rounded = round(number, _DIGITS)
    return int(rounded) if rounded == int(rounded) else rounded


def _describe_route(route: model.Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host.lower(),
        "pathPrefix": route.path_prefix,
        "kind": route.kind.value,
        "timeoutMs": _normalize(route.timeout_s * _MS_PER_S),
        "targetLatencyMs": _normalize(route.target_latency_s * _MS_PER_S),
        "priority": _normalize(route.priority),
        "trafficSplit": _describe_split(route),
        "maxAttempts": _normalize(route.max_attempts),
        "anonymous": route.anonymous,
        "streamResume": route.resumable,
        "gapAimMs": _normalize(route.max_event_gap_s * _MS_PER_S),
        "sizes": list(route.models),
        "allowedRegions": sorted(route.allowed_regions),
    }


def _describe_split(route: model.Route) -> dict[str, float]:
    total = sum(share.weight for share in route.pools)
    if total <= 0:
        # `Route.select_pool` then selects the last pool.
        return {route.pools[-1].pool: 1}
    shares: dict[str, float] = {}
    for share in route.pools:
        if share.weight:
            sum_before = shares.get(share.pool, 0.0)
            shares[share.pool] = sum_before + share.weight / total
    return {pool: _normalize(share) for pool, share in shares.items()}


def _describe_pool(pool: model.Pool) -> dict[str, Any]:
    engine = pool.engine
    return {
        "name": pool.name,
        "engine": None
        if engine is None
        else {
            "slots": engine.slots,
            "kvCapacity": engine.memory_tokens,
            "stride": engine.tokens_per_event,
            "models": {
                name: _normalize(cost)
                for name, cost in engine.model_costs.items()
            },
        },
        "coldS": _normalize(pool.cold_start.duration_s),
        "coldPerS": _normalize(pool.cold_start.rate_per_s),
    }


def _describe_account(
    account: model.Account, policy: model.ForwardingPolicy
) -> dict[str, Any]:
    return {
        "name": account.name,
        "apiKeys": sorted(
            {
                _fingerprint(key)
                for key in account.keys
                if policy.find_account(key) is account
            }
        ),
        "priority": None
        if account.priority is None
        else _normalize(account.priority),
        "allowedRegions": sorted(account.allowed_regions),
    }


def _fingerprint(key: str) -> str:
    digest = hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
    return digest[:_FINGERPRINT_CHARACTERS]


def _describe_limits(limits: model.ClientLimits) -> dict[str, Any]:
    return {
        "maxHeaderBytes": limits.max_header_bytes,
        "maxBodyBytes": limits.max_body_bytes,
        "headerTimeoutMs": _normalize(limits.header_timeout_s * _MS_PER_S),
        "idleTimeoutMs": _normalize(limits.idle_timeout_s * _MS_PER_S),
    }
