"""Invariants of requests, compared with what emulators and ledger recorded."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

from harness import callers


@dataclasses.dataclass(slots=True, frozen=True)
class SentChat:
    """A chat completion and what its caller received."""

    call: callers.ChatCall
    answer: callers.Answer


@dataclasses.dataclass(slots=True, frozen=True)
class SentCall:
    """A service call and what its caller received."""

    key: str
    answer: callers.Answer


def find_wrong_texts(
    sent: Iterable[SentChat], tokens: int = callers.COMPLETION_TOKENS
) -> list[str]:
    """Returns faults of answers that are not those to their own prompts."""
    faults = []
    for entry in sent:
        answer = entry.answer
        version = answer.extra.get("version", answer.version)
        if not version:
            if answer.ended or answer.text:
                faults.append(f"{answer.request_id}: an answer without version")
            continue
        expected = callers.write_expected(entry.call, version, tokens)
        if answer.ended and answer.error:
            faults.append(f"{answer.request_id}: end marker after an error")
        if answer.ended and answer.text != expected:
            faults.append(
                f"{answer.request_id}: ended with {answer.text!r}"
                f" instead of {expected!r}"
            )
        if not expected.startswith(answer.text):
            faults.append(f"{answer.request_id}: not a prefix: {answer.text!r}")
    return faults


def find_unbilled(
    answers: Iterable[callers.Answer], bills: Iterable[dict[str, Any]]
) -> list[str]:
    """Returns the bill ids of whole completions that have no bill."""
    billed = {bill["request_id"] for bill in bills}
    return [
        answer.extra["bill_id"]
        for answer in answers
        if answer.ended and answer.extra and answer.request_id not in billed
    ]


def find_billing_faults(
    answers: Iterable[callers.Answer],
    bills: list[dict[str, Any]],
    statement: list[dict[str, Any]],
) -> list[str]:
    """Returns faults of the ledger with regard to whole completions.

    Args:
        answers: What callers of chat completions received.
        bills: The ledger, with the journal entry of each bill.
        statement: Bills that an operator's statement counts.
    """
    answers = list(answers)
    faults = [
        f"{bill_id}: whole answer without a bill"
        for bill_id in find_unbilled(answers, bills)
    ]
    faults += find_repeated_bills(bills)
    by_request = {bill["request_id"]: bill for bill in bills}
    counted = collections.Counter(bill["bill_id"] for bill in statement)
    for answer in answers:
        bill = by_request.get(answer.request_id)
        if not answer.ended or not answer.extra or bill is None:
            continue
        if bill["outcome"] != "completed":
            faults.append(f"{answer.request_id}: {bill['outcome']}, but whole")
        if bill["cost"] != answer.extra["cost"]:
            faults.append(f"{answer.request_id}: cost differs from its bill")
        count = counted[answer.extra["bill_id"]]
        if count != 1:
            faults.append(f"{answer.request_id}: counted {count} times")
    return faults


def find_repeated_bills(bills: Iterable[dict[str, Any]]) -> list[str]:
    """Returns faults of bills that the journals hold more than once."""
    requests: collections.Counter[str] = collections.Counter()
    places: collections.Counter[tuple[str, int]] = collections.Counter()
    ids: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for bill in bills:
        journal = bill["journal"].partition(".")[0]
        requests[bill["request_id"]] += 1
        places[journal, bill["sequence"]] += 1
        ids[journal, bill["bill_id"], bill["request_id"]] += 1
    faults = []
    for counts in (requests, places, ids):
        faults += [f"{key}: {n} bills" for key, n in counts.items() if n > 1]
    return faults


def find_repeated_executions(executions: Iterable[dict[str, Any]]) -> list[str]:
    """Returns faults of prints that were executed more than once."""
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


def find_untrue_refusals(
    answers: Iterable[callers.Answer], runs: dict[str, int]
) -> list[str]:
    """Returns faults of what callers were told of the execution.

    Args:
        answers: What callers received.
        runs: Executions by request id, summed over the backend servers.
    """
    faults = []
    for answer in answers:
        count = runs.get(answer.request_id, 0)
        if answer.execution == "not run" and count:
            faults.append(f"{answer.request_id}: not run, but ran {count}x")
        if answer.execution == "ran" and not count:
            faults.append(f"{answer.request_id}: ran, but did not run")
        if answer.ended and not answer.error and answer.extra and not count:
            faults.append(f"{answer.request_id}: answered without a run")
    return faults
