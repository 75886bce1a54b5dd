"""Checks right before a request is sent to an engine."""

from dragonflydyke import errors, routing
from dragonflydyke.configuration import model
from dragonflydyke.sessions import model as sessions


def check_version(
    document: model.Document,
    account: model.ClientAccount,
    stage: routing.Stage,
    session: sessions.Session | None,
) -> None:
    """Checks that a version may get a new request now.

    The plan may be older than the configuration in force: the process may have
    been paused since, or the request held back.

    Args:
        document: Configuration in force.
        account: Client account of the request.
        stage: Model and version that the request is about to be sent to.
        session: Session of the request, if any.

    Raises:
        DragonflydykeError: If the version was withdrawn or is no longer
            allowed; not run.
        InvariantError: If a check before has let such a version through.
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
