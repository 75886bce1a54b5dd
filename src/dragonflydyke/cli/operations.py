"""Operations of the commands that need several requests."""

import asyncio
import dataclasses
import secrets
from collections.abc import Mapping
from typing import Any

from dragonflydyke import errors
from dragonflydyke.cli import client as admin_client
from dragonflydyke.cli import exit_codes

_NOT_FOUND_STATUS = 404
NO_REVISION = 0
# Timeout in seconds for finding out whether a change took effect after its
# response was lost. A conditional write takes effect within the 10 s of its
# announcement or not at all; the rest allows for stale reads.
SETTLE_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyResult:
    """An accepted change.

    Attributes:
        revision: Revision that the change created.
        change_id: Id of the change.
        read_back: Whether the response was lost and the change was confirmed
            by reading it back.
    """

    revision: int
    change_id: str
    read_back: bool = False


async def read_current(
    client: admin_client.AdminClient,
) -> Mapping[str, Any] | None:
    """Returns the current revision, or None if none has been applied yet.

    Raises:
        DragonflydykeError: If the read fails for any other reason.
    """
    try:
        return await client.read("/v1/configuration")
    except errors.DragonflydykeError as error:
        if error.status == _NOT_FOUND_STATUS:
            return None
        raise


async def apply_configuration(
    client: admin_client.AdminClient,
    mapping: Mapping[str, Any],
    operator: str,
    base_revision: int | None,
    read_back_timeout_s: float,
) -> ApplyResult:
    """Applies a configuration and returns the accepted change.

    If the response is lost, the outcome is determined by reading the current
    revision and the history until the timeout.

    Args:
        client: Client of the admin API.
        mapping: The complete configuration document.
        operator: Name to record in the history.
        base_revision: Revision that the change is based on; None reads the
            current one.
        read_back_timeout_s: Seconds during which the outcome is read back
            after the response was lost.

    Raises:
        DragonflydykeError: If the change is rejected; with execution UNKNOWN
            if its outcome is still unknown after the timeout.
    """
    if base_revision is None:
        current = await read_current(client)
        base_revision = current["revision"] if current else NO_REVISION
    change_token = secrets.token_hex(16)
    try:
        response = await client.write(
            "/v1/configuration",
            mapping,
            base_revision=base_revision,
            applied_by=operator,
            change_token=change_token,
        )
    except errors.DragonflydykeError as error:
        if error.execution is not errors.Execution.UNKNOWN:
            raise
        return await _resolve_outcome(
            client, change_token, base_revision, read_back_timeout_s, error
        )
    return ApplyResult(response["revision"], response["change_id"])


async def _resolve_outcome(
    client: admin_client.AdminClient,
    change_token: str,
    base_revision: int,
    read_back_timeout_s: float,
    cause: errors.DragonflydykeError,
) -> ApplyResult:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + read_back_timeout_s
    reason = "the change is not the current revision yet"
    while True:
        try:
            found = await _find_change(client, change_token, base_revision)
        except errors.DragonflydykeError as error:
            if exit_codes.exit_code_for(error) is exit_codes.ExitCode.CONFLICT:
                raise
            reason = f"reading the change back failed: {error}"
        else:
            if found is not None:
                return found
        if loop.time() >= deadline_s:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise errors.DragonflydykeError(
        "apply_outcome_unknown",
        f"{cause.message}; {reason} after {read_back_timeout_s:g} s. Compare"
        f" `dragonflydyke get` with your files before you apply them again on"
        f" base revision {base_revision}",
        step=errors.Step.APPLY_CONFIGURATION,
        peer=cause.peer,
        execution=errors.Execution.UNKNOWN,
        status=503,
    ) from cause


async def _find_change(
    client: admin_client.AdminClient, change_token: str, base_revision: int
) -> ApplyResult | None:
    """Returns the change, or None if its outcome is not known yet.

    Raises:
        DragonflydykeError: With status 409 if another change was applied to
            the base revision, so that this one can no longer take effect; or
            if reading the revisions fails.
    """
    current = await read_current(client)
    if current is None or current["revision"] == base_revision:
        return None
    history = await client.read("/v1/history")
    for entry in (current, *history["revisions"]):
        if entry["change_token"] == change_token:
            return ApplyResult(entry["revision"], entry["change_id"], True)
    raise errors.DragonflydykeError(
        "revision_conflict",
        f"not applied: revision {current['revision']} by"
        f" {current['applied_by']} was applied first; compare your files with"
        " `dragonflydyke diff` and apply them again",
        step=errors.Step.APPLY_CONFIGURATION,
        status=409,
    )


async def wait_until_in_force(
    client: admin_client.AdminClient, revision: int | None, timeout_s: float
) -> int:
    """Waits until a revision is in force on all listed VMs.

    Unavailable servers are retried until the timeout.

    Args:
        client: Client of the admin API.
        revision: Revision to wait for; None for the current one.
        timeout_s: Timeout in seconds.

    Returns:
        The revision that was waited for.

    Raises:
        WaitTimeoutError: If the timeout is exceeded; the message lists the
            VMs that do not have the revision yet.
        DragonflydykeError: If a request is rejected.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        try:
            if revision is None:
                revision = (await client.read("/v1/configuration"))["revision"]
            status = await client.read("/v1/status")
            reason = _describe_lagging_vms(status, revision)
        except errors.DragonflydykeError as error:
            code = exit_codes.exit_code_for(error)
            if code is not exit_codes.ExitCode.UNAVAILABLE:
                raise
            reason = str(error)
        if not reason:
            assert revision is not None
            return revision
        if loop.time() >= deadline_s:
            raise exit_codes.WaitTimeoutError(
                f"revision {revision or '(unknown)'} is not in force"
                f" everywhere after {timeout_s:g} s: {reason}; see"
                " `dragonflydyke status`"
            )
        await asyncio.sleep(min(_POLL_INTERVAL_S, timeout_s))


def _describe_lagging_vms(status: Mapping[str, Any], revision: int) -> str:
    if not status["vms"]:
        return "the router has no list of VMs yet"
    return ", ".join(
        f"{row['vm']} ({row['state']}, revision {row['revision']})"
        for row in status["vms"]
        if row["revision"] is None or row["revision"] < revision
    )
