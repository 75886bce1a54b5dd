"""Checks that run right before a request is sent to an engine."""

from dragonflydyke import errors, routing
from dragonflydyke.configuration import model
from dragonflydyke.sessions import model as sessions


def check_version(
    document: model.Document,
    account: model.ClientAccount,
    stage: routing.Stage,
    session: sessions.Session | None,
) -> None:
    """Checks that a request may be sent to a version now.

    The plan may be older than the configuration in force, because the process
    was paused or the request was queued.

    Args:
        document: Configuration in force.
        account: Client account of the request.
        stage: Model and version that the request is about to be sent to.
        session: Session of the request, if any.

    Raises:
        DragonflydykeError: If the version was withdrawn or the account may no
            longer use it; not run.
        InvariantError: If an earlier check accepted such a version.
    """
    routing.check_dispatch(
        document, account.name, stage, in_session=session is not None
    )
    version = document.version(stage.model, stage.version.name)
    errors.check_invariant(
        version is not None
        and version.state is not model.VersionState.WITHDRAWN
        and account.allows_version(stage.model, stage.version.name),
        f"{stage.full_name} is not usable by {account.name}",
    )
    errors.check_invariant(
        session is None
        or (session.model, session.version)
        == (stage.model, stage.version.name),
        f"{stage.full_name} is not the version of the session",
    )
