"""Selection of the model versions that may serve a request."""

import dataclasses
from collections.abc import Mapping
from typing import NoReturn, Protocol

from dragonflydyke import errors
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollouts
from dragonflydyke.routing import acceptance, exposure
from dragonflydyke.sessions import model as sessions

# An account that weights only quality gets a target half-way between the
# target of the request class and the highest quality, 1.
_MAX_TARGET_INCREASE = 0.5
_NO_VERSION_RETRY_AFTER_S = 5.0


class InForce(Protocol):
    """Configuration and rollout states in force, as far as routing needs it."""

    @property
    def document(self) -> model.Document:
        """The configuration document."""

    @property
    def revision(self) -> int:
        """Revision of the document."""

    @property
    def roll_outs(self) -> Mapping[str, rollouts.RolloutState]:
        """States of rollouts by name of the rollout."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """A version that may serve the request."""

    model: str
    version: model.Version

    @property
    def full_name(self) -> str:
        """`model@version`."""
        return model.version_id(self.model, self.version.name)


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Versions that may serve a request.

    Attributes:
        stages: Stages in the order in which they are tried, at least one.
        pinned: Whether the session of the request fixes the version.
    """

    stages: tuple[Stage, ...]
    pinned: bool = False


def plan(
    in_force: InForce,
    account: model.ClientAccount,
    requested_model: str,
    request_class: model.RequestClass,
    session: sessions.Session | None,
    request_id: str,
    *,
    suspension: exposure.ExposureSuspension | None = None,
    rates: acceptance.AcceptanceRates | None = None,
) -> Plan:
    """Returns the versions that may serve a request.

    Args:
        in_force: Configuration and rollout states in force.
        account: Client account of the request.
        requested_model: A model, `model@version` or cascade name.
        request_class: Class whose quality target applies.
        session: Session that the request continues, or None.
        request_id: Request id whose hash decides on exposure.
        suspension: Local suspension of exposure, or None.
        rates: How often responses of cascade stages pass the check; None if
            responses are not checked.

    Raises:
        DragonflydykeError: If no version may serve the request; not run.
    """
    planner = _Planner(
        in_force, account, request_class, request_id, suspension, rates
    )
    if session is not None:
        return planner.plan_session(session, requested_model)
    return planner.plan_new(requested_model)


def check_dispatch(
    document: model.Document,
    account_name: str,
    stage: Stage,
    *,
    in_session: bool,
) -> None:
    """Rejects a version that the given document does not allow.

    Called before dispatch, because the document in force can change between
    planning and dispatch.

    Args:
        document: Configuration in force at dispatch.
        account_name: Name of the client account.
        stage: The planned version.
        in_session: Whether the request continues a session.

    Raises:
        DragonflydykeError: If the version is withdrawn or not allowed.
    """
    account = document.account(account_name)
    version = document.version(stage.model, stage.version.name)
    if account is None or not account.allows_version(
        stage.model, stage.version.name
    ):
        _reject_version("version_not_allowed", stage.full_name, 403)
    if version is None or version.state is model.VersionState.WITHDRAWN:
        code = (
            "session_version_withdrawn" if in_session else "version_withdrawn"
        )
        _reject_version(code, stage.full_name, 409)


@dataclasses.dataclass(slots=True)
class _Planner:
    in_force: InForce
    account: model.ClientAccount
    request_class: model.RequestClass
    request_id: str
    suspension: exposure.ExposureSuspension | None
    rates: acceptance.AcceptanceRates | None

    def plan_session(
        self, session: sessions.Session, requested_model: str
    ) -> Plan:
        document = self.in_force.document
        self._check_session_model(session, requested_model)
        version = document.version(session.model, session.version)
        name = model.version_id(session.model, session.version)
        if version is None or version.state is model.VersionState.WITHDRAWN:
            _reject_version("session_version_withdrawn", name, 409)
        if not self.account.allows_version(session.model, session.version):
            _reject_version("version_not_allowed", name, 403)
        return Plan((Stage(session.model, version),), pinned=True)

    def plan_new(self, requested_model: str) -> Plan:
        cascade = self.in_force.document.cascade(requested_model)
        if cascade is not None:
            return self._plan_cascade(cascade)
        model_name, version_name = model.split_version_id(requested_model)
        configured = self.in_force.document.model(model_name)
        if configured is None or "@" in version_name:
            _reject_unknown(requested_model)
        if model_name not in self.account.models:
            _reject_model("model_not_allowed", model_name)
        if "@" in requested_model:
            return Plan((self._select_named(configured, version_name),))
        stage = self._select(configured)
        if stage is None:
            raise errors.DragonflydykeError(
                "no_version_available",
                f"No version of {model_name} accepts new work from this "
                "client account; retry later or request another model.",
                step=errors.Step.ROUTE,
                status=503,
                retry_after_s=_NO_VERSION_RETRY_AFTER_S,
                field="model",
            )
        return Plan((stage,))

    def _plan_cascade(self, cascade: model.Cascade) -> Plan:
        if cascade.name not in self.account.cascades:
            _reject_model("cascade_not_allowed", cascade.name)
        stages: list[Stage] = []
        for name in cascade.stages:
            configured = self.in_force.document.model(name)
            stage = self._select(configured) if configured else None
            if stage is not None:
                stages.append(stage)
        if not stages:
            _reject_model("cascade_not_allowed", cascade.name)
        first = stages.index(self._find_sufficient(stages))
        while first > 0 and self._is_worth_trying(stages, first - 1):
            first -= 1
        return Plan(tuple(stages[first:]))

    def _is_worth_trying(self, stages: list[Stage], index: int) -> bool:
        """Returns whether to start at a stage below the quality target.

        Responses of that stage are checked, so a rejected one costs only time.
        This is done for deferrable work only, which has that time.
        """
        if self.rates is None or self.request_class.may_wait_s <= 0.0:
            return False
        stage = stages[index]
        return self.rates.saves_cost(
            self.request_class.name,
            stage.full_name,
            stage.version.price,
            stages[index + 1].version.price,
        )

    def _select_named(
        self, configured: model.Model, version_name: str
    ) -> Stage:
        name = model.version_id(configured.name, version_name)
        version = configured.version(version_name)
        if version is None:
            _reject_unknown(name)
        if not self.account.allows_version(configured.name, version_name):
            _reject_version("version_not_allowed", name, 403)
        if version.state is model.VersionState.WITHDRAWN:
            _reject_version("version_withdrawn", name, 409)
        if version.state is model.VersionState.RETIRING:
            _reject_version("version_retiring", name, 409)
        roll_out = self.in_force.document.rollout_for_model(configured.name)
        is_new = roll_out is not None and roll_out.to_version == version_name
        # Requests that name the new version would add to the exposure that the
        # step allows.
        if is_new and self._compute_exposed_share(roll_out) < 1.0:
            _reject_version("version_not_exposed", name, 409)
        return Stage(configured.name, version)

    def _select(self, configured: model.Model) -> Stage | None:
        usable = [
            Stage(configured.name, version)
            for version in configured.versions
            if version.state is model.VersionState.ACTIVE
            and self.account.allows_version(configured.name, version.name)
        ]
        roll_out = self.in_force.document.rollout_for_model(configured.name)
        if roll_out is not None:
            usable = self._apply_roll_out(roll_out, usable)
        if not usable:
            return None
        return self._find_sufficient(sorted(usable, key=_unit_price))

    def _apply_roll_out(
        self, roll_out: model.Rollout, usable: list[Stage]
    ) -> list[Stage]:
        share = self._compute_exposed_share(roll_out)
        exposed = exposure.is_exposed(roll_out.name, self.request_id, share)
        selected_version = (
            roll_out.to_version if exposed else roll_out.from_version
        )
        selected = [s for s in usable if s.version.name == selected_version]
        others = [s for s in usable if s.version.name != roll_out.to_version]
        return selected or others

    def _compute_exposed_share(self, roll_out: model.Rollout) -> float:
        return exposure.compute_exposed_share(
            roll_out, self.in_force.roll_outs, self.suspension
        )

    def _find_sufficient(self, stages: list[Stage]) -> Stage:
        """Returns the first stage that reaches the target quality.

        If none does, returns the stage of the highest quality.
        """
        target = _compute_target(self.account, self.request_class)
        for stage in stages:
            if self._quality(stage) >= target:
                return stage
        return max(stages, key=self._quality)

    def _quality(self, stage: Stage) -> float:
        return stage.version.quality.get(self.request_class.name, 0.0)

    def _check_session_model(
        self, session: sessions.Session, requested: str
    ) -> None:
        cascade = self.in_force.document.cascade(requested)
        names = cascade.stages if cascade else ()
        pinned = model.version_id(session.model, session.version)
        if requested in (session.model, pinned) or session.model in names:
            return
        raise errors.DragonflydykeError(
            "session_model_mismatch",
            f"The session is pinned to {pinned}; request that version or start "
            "a new session.",
            step=errors.Step.ROUTE,
            status=400,
            field="model",
        )


def _compute_target(
    account: model.ClientAccount, request_class: model.RequestClass
) -> float:
    target = request_class.quality_target
    weights = account.quality_weight + account.cost_weight
    if weights <= 0:
        return target
    # A preference for cost never lowers the target of the class.
    quality_preference = (
        max(0.0, account.quality_weight - account.cost_weight) / weights
    )
    return target + (1.0 - target) * quality_preference * _MAX_TARGET_INCREASE


def _unit_price(stage: Stage) -> int:
    return stage.version.price.prompt + stage.version.price.completion


def _reject_unknown(name: str) -> NoReturn:
    raise errors.DragonflydykeError(
        "unknown_model",
        f"Unknown model {name}; GET /v1/models lists the available models.",
        step=errors.Step.ROUTE,
        status=404,
        field="model",
    )


def _reject_model(code: str, name: str) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        f"The client account may not use {name}; GET /v1/models lists the "
        "models that it may use.",
        step=errors.Step.ROUTE,
        status=403,
        field="model",
    )


_VERSION_REJECTION_REASONS = {
    "version_not_allowed": "is not allowed for the client account",
    "version_withdrawn": "is withdrawn; request the model without a version",
    "version_retiring": "serves existing sessions only; request the model "
    "without a version",
    "version_not_exposed": "is being rolled out; request the model without a "
    "version",
    "session_version_withdrawn": "is withdrawn; start a new session",
}


def _reject_version(code: str, name: str, status: int) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        f"Version {name} {_VERSION_REJECTION_REASONS[code]}.",
        step=errors.Step.ROUTE,
        status=status,
        field="model",
    )
