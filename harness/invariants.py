"""Checks of client responses against records of the emulators and ledger."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

from harness import recording_client


@dataclasses.dataclass(slots=True, frozen=True)
class SentChat:
    """A chat completion and its recorded response."""

    call: recording_client.ChatCall
    response: recording_client.RecordedResponse


@dataclasses.dataclass(slots=True, frozen=True)
class SentCall:
    """A service call, by its idempotency key, and its recorded response."""

    key: str
    response: recording_client.RecordedResponse


def find_text_faults(
    sent: Iterable[SentChat], tokens: int = recording_client.COMPLETION_TOKENS
) -> list[str]:
    """Returns faults of responses whose text does not match their prompt."""
    faults = []
    for entry in sent:
        response = entry.response
        version = response.extension.get("version", response.version)
        if not version:
            if response.is_complete or response.text:
                faults.append(
                    f"{response.request_id}: a response without a version"
                )
            continue
        expected = recording_client.build_expected_text(
            entry.call, version, tokens
        )
        if response.is_complete and response.error:
            faults.append(f"{response.request_id}: end marker after an error")
        if response.is_complete and response.text != expected:
            faults.append(
                f"{response.request_id}: ended with {response.text!r}"
                f" instead of {expected!r}"
            )
        if not expected.startswith(response.text):
            faults.append(
                f"{response.request_id}: not a prefix of the text:"
                f" {response.text!r}"
            )
    return faults


def find_unbilled_completions(
    responses: Iterable[recording_client.RecordedResponse],
    bills: Iterable[dict[str, Any]],
) -> list[str]:
    """Returns the bill ids of complete responses without a bill."""
    billed = {bill["request_id"] for bill in bills}
    return [
        response.extension["bill_id"]
        for response in responses
        if response.is_complete
        and response.extension
        and response.request_id not in billed
    ]


def find_billing_faults(
    responses: Iterable[recording_client.RecordedResponse],
    bills: list[dict[str, Any]],
    statement: list[dict[str, Any]],
) -> list[str]:
    """Returns differences between the ledger and complete responses.

    Args:
        responses: Recorded responses to chat completions.
        bills: The ledger, with the journal entry of each bill.
        statement: Bills in the operator's statement.
    """
    responses = list(responses)
    faults = [
        f"{bill_id}: complete response without a bill"
        for bill_id in find_unbilled_completions(responses, bills)
    ]
    faults += find_duplicate_bills(bills)
    by_request = {bill["request_id"]: bill for bill in bills}
    billed_counts = collections.Counter(bill["bill_id"] for bill in statement)
    for response in responses:
        bill = by_request.get(response.request_id)
        if not response.is_complete or not response.extension or bill is None:
            continue
        if bill["outcome"] != "completed":
            faults.append(
                f"{response.request_id}: {bill['outcome']}, but complete"
            )
        if bill["cost"] != response.extension["cost"]:
            faults.append(f"{response.request_id}: cost differs from its bill")
        count = billed_counts[response.extension["bill_id"]]
        if count != 1:
            faults.append(f"{response.request_id}: counted {count} times")
    return faults


def find_duplicate_bills(bills: Iterable[dict[str, Any]]) -> list[str]:
    """Returns faults of bills that are in the journals more than once."""
    requests: collections.Counter[str] = collections.Counter()
    positions: collections.Counter[tuple[str, int]] = collections.Counter()
    ids: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for bill in bills:
        journal = bill["journal"].partition(".")[0]
        requests[bill["request_id"]] += 1
        positions[journal, bill["sequence"]] += 1
        ids[journal, bill["bill_id"], bill["request_id"]] += 1
    faults = []
    for counts in (requests, positions, ids):
        faults += [f"{key}: {n} bills" for key, n in counts.items() if n > 1]
    return faults


def find_duplicate_executions(
    executions: Iterable[dict[str, Any]],
) -> list[str]:
    """Returns faults of print calls that were executed more than once."""
    counts = collections.Counter(
        entry["idempotency_key"]
        for entry in executions
        if entry["path"] == "/print"
    )
    return [
        f"key {key}: executed {count} times"
        for key, count in counts.items()
        if count > 1
    ]


def find_false_execution_statuses(
    responses: Iterable[recording_client.RecordedResponse], runs: dict[str, int]
) -> list[str]:
    """Returns responses whose execution status contradicts the executions.

    Args:
        responses: Recorded responses to any requests.
        runs: Number of executions by request id, over all backend servers.
    """
    faults = []
    for response in responses:
        count = runs.get(response.request_id, 0)
        if response.execution == "not run" and count:
            faults.append(
                f"{response.request_id}: not run, but executed {count}x"
            )
        if response.execution == "ran" and not count:
            faults.append(f"{response.request_id}: ran, but was not executed")
        if (
            response.is_complete
            and not response.error
            and response.extension
            and not count
        ):
            faults.append(
                f"{response.request_id}: completed without an execution"
            )
    return faults
