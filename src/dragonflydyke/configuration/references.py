"""Semantic checks of a configuration, beyond those of the schema."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from dragonflydyke.configuration import mapping as codec
from dragonflydyke.configuration import model, problems

_SECTIONS = {
    "data_centres": model.DataCentre,
    "models": model.Model,
    "services": model.Service,
    "classes": model.RequestClass,
    "cascades": model.Cascade,
    "client_accounts": model.ClientAccount,
    "roll_outs": model.Rollout,
    "backend_servers": model.BackendServer,
}


@dataclasses.dataclass(slots=True, frozen=True)
class _Context:
    """Declared names, and the list to which problems are added.

    The names include those of entries that violate the schema, so that an
    invalid entry is not reported again at each reference to it.

    Attributes:
        names: Declared names by section.
        versions: Declared `model@version` names.
        models: Valid models by name.
        cascades: Valid cascades by name.
        problem_list: Receives the problems.
    """

    names: Mapping[str, frozenset[str]]
    versions: frozenset[str]
    models: Mapping[str, model.Model]
    cascades: Mapping[str, model.Cascade]
    problem_list: problems.ProblemList

    def check_names(
        self, path: problems.Path, section: str, used: Iterable[str]
    ) -> None:
        """Adds a problem for each name that is not declared in a section."""
        known = self.names[section]
        for index, name in enumerate(used):
            if name not in known:
                self.add_unknown((*path, index), section, name, known)

    def check_name(self, path: problems.Path, section: str, name: str) -> None:
        """Adds a problem if a name is not declared in a section."""
        if name not in self.names[section]:
            self.add_unknown(path, section, name, self.names[section])

    def check_version(self, path: problems.Path, full_name: str) -> bool:
        """Adds a problem if a `model@version` name is not declared.

        Returns:
            Whether the name is declared.
        """
        if full_name not in self.versions:
            self.add_unknown(path, "model versions", full_name, self.versions)
        return full_name in self.versions

    def add_unknown(
        self, path: problems.Path, section: str, name: str, known: Iterable[str]
    ) -> None:
        """Adds a problem for a name that is not declared."""
        declared = ", ".join(sorted(known)) or "none"
        self.problem_list.add(
            path,
            name,
            f"is not one of the {section}",
            f"declare it or use one of: {declared}",
        )


def check_references(
    mapping: Mapping[str, Any], problem_list: problems.ProblemList
) -> None:
    """Adds a problem for each inconsistency between entries.

    Args:
        mapping: The configuration. Entries that violate the schema are not
            checked, but their names count as declared.
        problem_list: Contains the violations of the schema; receives the
            problems.
    """
    invalid_paths = {problem.path for problem in problem_list.items}
    _check_duplicates(mapping, (), problem_list)
    entries = {
        section: list(_build_entries(section, mapping, invalid_paths))
        for section in _SECTIONS
    }
    context = _Context(
        names={
            section: frozenset(
                name for _, name in _iterate_names(mapping, section)
            )
            for section in _SECTIONS
        },
        versions=frozenset(_iterate_version_ids(mapping)),
        models={entry.name: entry for _, entry in entries["models"]},
        cascades={entry.name: entry for _, entry in entries["cascades"]},
        problem_list=problem_list,
    )
    checks = {
        "data_centres": _check_data_centre,
        "models": _check_model,
        "cascades": _check_cascade,
        "client_accounts": _check_account,
        "roll_outs": _check_roll_out,
        "backend_servers": _check_server,
    }
    for section, check in checks.items():
        for index, entry in entries[section]:
            check((section, index), entry, context)
    _check_key_hashes(entries["client_accounts"], problem_list)
    _check_roll_out_models(entries["roll_outs"], problem_list)
    _check_removed_versions(mapping, context)


def _as_list(node: Any, key: str) -> list[Any]:
    value = node.get(key) if isinstance(node, dict) else None
    return value if isinstance(value, list) else []


def _iterate_names(node: Any, key: str) -> Iterator[tuple[int, str]]:
    for index, entry in enumerate(_as_list(node, key)):
        if isinstance(entry, dict) and isinstance(entry.get("name"), str):
            yield index, entry["name"]


def _iterate_version_ids(mapping: Any) -> Iterator[str]:
    for index, model_name in _iterate_names(mapping, "models"):
        for _, version_name in _iterate_names(
            mapping["models"][index], "versions"
        ):
            yield model.version_id(model_name, version_name)


def _build_entries(
    section: str, mapping: Any, invalid_paths: set[str]
) -> Iterator[tuple[int, Any]]:
    for index, entry in enumerate(_as_list(mapping, section)):
        prefix = problems.format_path((section, index))
        if not any(
            path == prefix or path.startswith((f"{prefix}.", f"{prefix}["))
            for path in invalid_paths
        ):
            yield index, codec.build(_SECTIONS[section], entry)


def _check_duplicates(
    node: Any, path: problems.Path, problem_list: problems.ProblemList
) -> None:
    if not isinstance(node, dict):
        return
    for key in node:
        seen: set[str] = set()
        for index, name in _iterate_names(node, key):
            if name in seen:
                problem_list.add(
                    (*path, key, index, "name"),
                    name,
                    f"is used twice in {key}",
                    "rename or remove one of the entries",
                )
            seen.add(name)
        for index, entry in enumerate(_as_list(node, key)):
            _check_duplicates(entry, (*path, key, index), problem_list)


def _check_data_centre(
    path: problems.Path, entry: model.DataCentre, context: _Context
) -> None:
    context.check_names((*path, "near"), "data_centres", entry.near)
    if entry.name in entry.near:
        context.problem_list.add(
            (*path, "near"), entry.name, "names itself", "remove the name"
        )


def _check_model(
    path: problems.Path, entry: model.Model, context: _Context
) -> None:
    classes = context.names["classes"]
    for index, version in enumerate(entry.versions):
        entry_path = (*path, "versions", index, "quality")
        for name in version.quality:
            context.check_name((*entry_path, name), "classes", name)
        missing = sorted(classes - set(version.quality))
        if missing and version.state is model.VersionState.ACTIVE:
            context.problem_list.add(
                entry_path,
                ", ".join(missing),
                "lacks a quality rating for these classes",
                "add a rating from 0 to 1 for each class",
            )


def _find_lowest_price(entry: model.Model) -> int | None:
    prices = [
        version.price.completion
        for version in entry.versions
        if version.state is model.VersionState.ACTIVE
    ]
    return min(prices, default=None)


def _check_cascade(
    path: problems.Path, entry: model.Cascade, context: _Context
) -> None:
    context.check_names((*path, "stages"), "models", entry.stages)
    for index, (first, second) in enumerate(itertools.pairwise(entry.stages)):
        entry_path = (*path, "stages", index + 1)
        if first == second:
            context.problem_list.add(
                entry_path, second, "repeats the stage before", "remove it"
            )
            continue
        if first not in context.models or second not in context.models:
            continue
        first_price = _find_lowest_price(context.models[first])
        second_price = _find_lowest_price(context.models[second])
        if (
            first_price is not None
            and second_price is not None
            and second_price <= first_price
        ):
            context.problem_list.add(
                entry_path,
                second,
                f"costs {second_price} per million completion tokens, no more"
                f" than the stage before ({first_price}); it is pointless",
                "order the stages by rising price or drop the earlier stage",
            )


def _check_account(
    path: problems.Path, entry: model.ClientAccount, context: _Context
) -> None:
    context.check_names((*path, "models"), "models", entry.models)
    context.check_names((*path, "services"), "services", entry.services)
    context.check_names((*path, "cascades"), "cascades", entry.cascades)
    context.check_name((*path, "default_class"), "classes", entry.default_class)
    for index, full_name in enumerate(entry.versions):
        entry_path = (*path, "versions", index)
        known = context.check_version(entry_path, full_name)
        model_name = model.split_version_id(full_name)[0]
        if known and model_name not in entry.models:
            context.problem_list.add(
                entry_path,
                full_name,
                f"belongs to {model_name}, which `models` does not allow",
                f"add {model_name} to `models` or remove the version",
            )
    _check_permissions(path, entry, context)
    if entry.quality_weight == 0 and entry.cost_weight == 0:
        context.problem_list.add(
            (*path, "cost_weight"),
            0,
            "and quality_weight are both 0",
            "give one of them a weight above 0",
        )


def _check_permissions(
    path: problems.Path, entry: model.ClientAccount, context: _Context
) -> None:
    """Adds a problem for each permission that has no effect."""
    allowed = {model.split_version_id(name)[0] for name in entry.versions}
    for index, name in enumerate(entry.models):
        if entry.versions and name not in allowed:
            context.problem_list.add(
                (*path, "models", index),
                name,
                "is allowed, but `versions` names none of its versions",
                f"add a version of {name} to `versions` or remove the model",
            )
    for index, name in enumerate(entry.cascades):
        cascade = context.cascades.get(name)
        if cascade and not set(cascade.stages) & set(entry.models):
            context.problem_list.add(
                (*path, "cascades", index),
                name,
                "has no stage that `models` allows",
                "allow a model of the cascade or remove the cascade",
            )


def _check_roll_out(
    path: problems.Path, entry: model.Rollout, context: _Context
) -> None:
    context.check_name((*path, "model"), "models", entry.model)
    if entry.model in context.names["models"]:
        for field in ("from_version", "to_version"):
            full_name = model.version_id(entry.model, getattr(entry, field))
            context.check_version((*path, field), full_name)
    if entry.from_version == entry.to_version:
        context.problem_list.add(
            (*path, "to_version"),
            entry.to_version,
            "is the same as from_version",
            "name the new version",
        )
    for index, (first, second) in enumerate(itertools.pairwise(entry.steps)):
        if second.share <= first.share:
            context.problem_list.add(
                (*path, "steps", index + 1, "share"),
                second.share,
                f"is not above the share before ({first.share})",
                "order the steps by rising share",
            )


def _check_server(
    path: problems.Path, entry: model.BackendServer, context: _Context
) -> None:
    context.check_name(
        (*path, "data_centre"), "data_centres", entry.data_centre
    )
    if entry.kind is model.ServerKind.SERVICE:
        context.check_names((*path, "serves"), "services", entry.serves)
        return
    for index, full_name in enumerate(entry.serves):
        context.check_version((*path, "serves", index), full_name)


def _check_key_hashes(
    accounts: Sequence[tuple[int, model.ClientAccount]],
    problem_list: problems.ProblemList,
) -> None:
    owners: dict[str, str] = {}
    for index, account in accounts:
        for position, key_hash in enumerate(account.key_hashes):
            owner = owners.setdefault(key_hash, account.name)
            if owner != account.name:
                problem_list.add(
                    ("client_accounts", index, "key_hashes", position),
                    key_hash,
                    f"is also a key of client account {owner}",
                    "give each client account its own key",
                )


def _check_roll_out_models(
    roll_outs: Sequence[tuple[int, model.Rollout]],
    problem_list: problems.ProblemList,
) -> None:
    owners: dict[str, str] = {}
    for index, entry in roll_outs:
        owner = owners.setdefault(entry.model, entry.name)
        if owner != entry.name:
            problem_list.add(
                ("roll_outs", index, "model"),
                entry.model,
                f"already has the rollout {owner}",
                "remove one of the two rollouts",
            )


def _check_removed_versions(mapping: Any, context: _Context) -> None:
    for index, name in enumerate(_as_list(mapping, "removed_versions")):
        if isinstance(name, str) and name in context.versions:
            context.problem_list.add(
                ("removed_versions", index),
                name,
                "was removed and cannot be declared again",
                "give the new version another name",
            )
