"""Selection of the model versions that may answer a request."""

import dataclasses
from collections.abc import Mapping
from typing import NoReturn, Protocol

from dragonflydyke import errors
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollouts
from dragonflydyke.routing import acceptance, exposure
from dragonflydyke.sessions import model as sessions

# An account that weighs only quality starts half-way between the target of
# the class and perfect quality.
_LARGEST_TARGET_RAISE = 0.5
_NO_VERSION_RETRY_S = 5.0


class InForce(Protocol):
    """What is in force, as far as routing needs it."""

    @property
    def document(self) -> model.Document:
        """The configuration document."""

    @property
    def revision(self) -> int:
        """Revision of the document."""

    @property
    def roll_outs(self) -> Mapping[str, rollouts.RollOutState]:
        """Decisions by name of the roll-out."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """A version that may answer."""

    model: str
    version: model.Version

    @property
    def full_name(self) -> str:
        """`model@version`."""
        return model.version_id(self.model, self.version.name)


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Stages in the order in which they are tried, at least one."""

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
    restraint: exposure.Restraint | None = None,
    rates: acceptance.AcceptanceRates | None = None,
) -> Plan:
    """Returns the versions that may answer a request.

    Args:
        in_force: Configuration and roll-out decisions.
        account: Client account of the caller.
        requested_model: A model, `model@version` or cascade name.
        request_class: Class whose quality target applies.
        session: Session that the request continues, or None.
        request_id: Request id whose hash decides on exposure.
        restraint: Own counts that may lower the exposure.
        rates: How often answers of cascade stages pass the check; None if
            answers are not checked.

    Raises:
        DragonflydykeError: If no version may answer; not run.
    """
    planner = _Planner(
        in_force, account, request_class, request_id, restraint, rates
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
    """Refuses a version that may not be used in the given document.

    The document in force can change between planning and dispatch.

    Raises:
        DragonflydykeError: If the version is withdrawn or not allowed.
    """
    account = document.account(account_name)
    version = document.version(stage.model, stage.version.name)
    if account is None or not account.allows_version(
        stage.model, stage.version.name
    ):
        _refuse_version("version_not_allowed", stage.full_name, 403)
    if version is None or version.state is model.VersionState.WITHDRAWN:
        code = (
            "session_version_withdrawn" if in_session else "version_withdrawn"
        )
        _refuse_version(code, stage.full_name, 409)


@dataclasses.dataclass(slots=True)
class _Planner:
    in_force: InForce
    account: model.ClientAccount
    request_class: model.RequestClass
    request_id: str
    restraint: exposure.Restraint | None
    rates: acceptance.AcceptanceRates | None

    def plan_session(
        self, session: sessions.Session, requested_model: str
    ) -> Plan:
        document = self.in_force.document
        self._check_session_model(session, requested_model)
        version = document.version(session.model, session.version)
        name = model.version_id(session.model, session.version)
        if version is None or version.state is model.VersionState.WITHDRAWN:
            _refuse_version("session_version_withdrawn", name, 409)
        if not self.account.allows_version(session.model, session.version):
            _refuse_version("version_not_allowed", name, 403)
        return Plan((Stage(session.model, version),), pinned=True)

    def plan_new(self, requested_model: str) -> Plan:
        cascade = self.in_force.document.cascade(requested_model)
        if cascade is not None:
            return self._plan_cascade(cascade)
        model_name, version_name = model.split_version_id(requested_model)
        found = self.in_force.document.model(model_name)
        if found is None or "@" in version_name:
            _refuse_unknown(requested_model)
        if model_name not in self.account.models:
            _refuse_model("model_not_allowed", model_name)
        if "@" in requested_model:
            return Plan((self._select_named(found, version_name),))
        stage = self._select(found)
        if stage is None:
            raise errors.DragonflydykeError(
                "no_version_available",
                f"No version of {model_name} takes new work from this "
                "account; retry later or name another model.",
                step=errors.Step.ROUTE,
                status=503,
                retry_after_s=_NO_VERSION_RETRY_S,
                field="model",
            )
        return Plan((stage,))

    def _plan_cascade(self, cascade: model.Cascade) -> Plan:
        if cascade.name not in self.account.cascades:
            _refuse_model("cascade_not_allowed", cascade.name)
        stages: list[Stage] = []
        for name in cascade.stages:
            found = self.in_force.document.model(name)
            stage = self._select(found) if found else None
            if stage is not None:
                stages.append(stage)
        if not stages:
            _refuse_model("cascade_not_allowed", cascade.name)
        first = stages.index(self._find_first(stages))
        while first > 0 and self._is_worth_trying(stages, first - 1):
            first -= 1
        return Plan(tuple(stages[first:]))

    def _is_worth_trying(self, stages: list[Stage], index: int) -> bool:
        """Returns whether a stage below the target is tried all the same.

        Its answer is checked, so only time is lost when it is rejected; work
        that may wait has that time.
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

    def _select_named(self, found: model.Model, version_name: str) -> Stage:
        name = model.version_id(found.name, version_name)
        version = found.version(version_name)
        if version is None:
            _refuse_unknown(name)
        if not self.account.allows_version(found.name, version_name):
            _refuse_version("version_not_allowed", name, 403)
        if version.state is model.VersionState.WITHDRAWN:
            _refuse_version("version_withdrawn", name, 409)
        if version.state is model.VersionState.RETIRING:
            _refuse_version("version_retiring", name, 409)
        roll_out = self.in_force.document.rollout_for_model(found.name)
        is_new = roll_out is not None and roll_out.to_version == version_name
        # Requests that name the new version would exceed the exposure that
        # the step allows.
        if is_new and self._share(roll_out) < 1.0:
            _refuse_version("version_not_exposed", name, 409)
        return Stage(found.name, version)

    def _select(self, found: model.Model) -> Stage | None:
        usable = [
            Stage(found.name, version)
            for version in found.versions
            if version.state is model.VersionState.ACTIVE
            and self.account.allows_version(found.name, version.name)
        ]
        roll_out = self.in_force.document.rollout_for_model(found.name)
        if roll_out is not None:
            usable = self._apply_roll_out(roll_out, usable)
        if not usable:
            return None
        return self._find_first(sorted(usable, key=_unit_price))

    def _apply_roll_out(
        self, roll_out: model.Rollout, usable: list[Stage]
    ) -> list[Stage]:
        share = self._share(roll_out)
        exposed = exposure.is_exposed(roll_out.name, self.request_id, share)
        wanted = roll_out.to_version if exposed else roll_out.from_version
        chosen = [s for s in usable if s.version.name == wanted]
        others = [s for s in usable if s.version.name != roll_out.to_version]
        return chosen or others

    def _share(self, roll_out: model.Rollout) -> float:
        return exposure.compute_share(
            roll_out, self.in_force.roll_outs, self.restraint
        )

    def _find_first(self, stages: list[Stage]) -> Stage:
        """Returns the first stage that reaches the target, else the best."""
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
            f"The session uses {pinned}; request it or start a new session.",
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
    lead = max(0.0, account.quality_weight - account.cost_weight) / weights
    return target + (1.0 - target) * lead * _LARGEST_TARGET_RAISE


def _unit_price(stage: Stage) -> int:
    return stage.version.price.prompt + stage.version.price.completion


def _refuse_unknown(name: str) -> NoReturn:
    raise errors.DragonflydykeError(
        "unknown_model",
        f"There is no model {name}; GET /v1/models lists them.",
        step=errors.Step.ROUTE,
        status=404,
        field="model",
    )


def _refuse_model(code: str, name: str) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        f"The client account may not use {name}; GET /v1/models lists what "
        "it may use.",
        step=errors.Step.ROUTE,
        status=403,
        field="model",
    )


_VERSION_HINTS = {
    "version_not_allowed": "is not allowed for the client account",
    "version_withdrawn": "is withdrawn; name the model without a version",
    "version_retiring": "serves existing sessions only; name the model "
    "without a version",
    "version_not_exposed": "is being rolled out; name the model without a "
    "version",
    "session_version_withdrawn": "is withdrawn; start a new session",
}


def _refuse_version(code: str, name: str, status: int) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        f"Version {name} {_VERSION_HINTS[code]}.",
        step=errors.Step.ROUTE,
        status=status,
        field="model",
    )
