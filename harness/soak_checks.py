"""Checks of the request invariants at the end of the soak."""

import asyncio
import collections
from typing import Any

from harness import deployment, invariants, soak_faults, soak_load

# Bills are written at most 24 s after the last fault: 14 s without reports of a
# router and 10 s of backoff. A bill that is missing later is lost.
_BILLING_TIMEOUT_S = 60.0
_REPORTED_COUNTERS = (
    "stream.resumed",
    "stream.not_resumed",
    "bill.held_alone",
    "bill.journal.conflict",
    "bill.journal.answer_lost",
    "bill.holder.recovered",
    "bill.copies.held",
    "claim.replayed",
    "request.internal_error",
    "caller.disconnected",
)


async def read_counters(running: deployment.Deployment) -> dict[str, int]:
    """Returns the sums of counters over the routers that are running."""
    totals: collections.Counter[str] = collections.Counter()
    for router in running.routers.values():
        counters = await running.read_counters(router)
        totals.update({n: counters.get(n, 0) for n in _REPORTED_COUNTERS})
    return dict(totals)


async def read_engine_counts(running: deployment.Deployment) -> dict[str, int]:
    """Returns the sums of the engines' counters over the whole run."""
    totals: collections.Counter[str] = collections.Counter()
    for name in running.backends:
        state = await running.read_emulator(name)
        totals.update(state.get("counts", {}))
    return dict(totals)


async def find_violations(
    running: deployment.Deployment,
    load: soak_load.SoakLoad,
    faults: soak_faults.FaultInjector,
) -> list[str]:
    """Returns all violations of the request invariants."""
    bills = await _wait_until_billed(running, load)
    router = next(iter(running.routers.values()))
    statement = await running.read_statement(router)
    chats = [entry.response for entry in load.chats]
    violations = list(faults.errors)
    violations += invariants.find_billing_faults(chats, bills, statement)
    violations += _find_call_billing_faults(load, bills, statement)
    violations += invariants.find_text_faults(load.chats)
    violations += load.session_failures
    violations += _find_planned_stop_faults(load, faults)
    violations += await _find_execution_faults(running, load)
    check = await running.check_ledger(router)
    violations += [f"ledger: {entry}" for entry in check["duplicates"]]
    counters = await read_counters(running)
    if counters["request.internal_error"]:
        violations.append(
            f"{counters['request.internal_error']} internal errors"
        )
    return violations + _find_router_invariant_errors(running)


async def _wait_until_billed(
    running: deployment.Deployment, load: soak_load.SoakLoad
) -> list[dict[str, Any]]:
    responses = [entry.response for entry in load.chats]
    loop = asyncio.get_running_loop()
    end_s = loop.time() + _BILLING_TIMEOUT_S
    while True:
        bills = await running.read_ledger()
        if not invariants.find_unbilled_completions(responses, bills):
            return bills
        if loop.time() > end_s:
            return bills
        await asyncio.sleep(0.2)


def _find_call_billing_faults(
    load: soak_load.SoakLoad,
    bills: list[dict[str, Any]],
    statement: list[dict[str, Any]],
) -> list[str]:
    """Compares the responses to service calls with the bills.

    A call whose response was lost on the way to the client is billed too, so
    the number of bills lies between completed and sent keys.
    """
    request_ids = {bill["request_id"] for bill in bills}
    faults = [
        f"{response.request_id}: lookup completed without a bill"
        for response in load.lookups
        if response.is_complete and response.request_id not in request_ids
    ]
    completed = {
        entry.key for entry in load.calls if entry.response.is_complete
    }
    billed = sum(
        bill["model"] == "labels"
        and bill["version"] == "print"
        and bill["outcome"] == "completed"
        for bill in statement
    )
    if billed < len(completed):
        faults.append(f"{len(completed)} prints completed, {billed} billed")
    sent = {entry.key for entry in load.calls}
    if billed > len(sent):
        faults.append(f"{len(sent)} prints sent, {billed} billed")
    return faults


def _find_planned_stop_faults(
    load: soak_load.SoakLoad, faults: soak_faults.FaultInjector
) -> list[str]:
    return [
        f"{response.request_id}: connection lost by a planned stop: "
        f"{response.connection_error}"
        for response in load.list_responses()
        if response.url in faults.stopped_urls
        and response.request_id
        and response.connection_error
    ]


async def _find_execution_faults(
    running: deployment.Deployment, load: soak_load.SoakLoad
) -> list[str]:
    runs = await running.read_runs()
    violations = invariants.find_false_execution_statuses(
        load.list_responses(), runs
    )
    state = await running.read_emulator("labels-1")
    violations += invariants.find_duplicate_executions(state["executions"])
    executed = {entry["idempotency_key"] for entry in state["executions"]}
    violations += [
        f"key {entry.key}: completed without an execution"
        for entry in load.calls
        if entry.response.is_complete and entry.key not in executed
    ]
    return violations


def _find_router_invariant_errors(running: deployment.Deployment) -> list[str]:
    """Returns invariant errors that the routers logged."""
    return [
        f"{name}: {line.strip()}"
        for name, log in running.read_logs().items()
        for line in log.splitlines()
        if "InvariantError" in line
    ]
