"""Tests of loading, checking and comparing configurations."""

import copy
import dataclasses
import json
import pathlib
import re
import tempfile
import unittest
from typing import Any

import hypothesis
from hypothesis import strategies

from dragonflydyke import configuration
from dragonflydyke.configuration import model, schema
from tests.builders import documents

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

# Path of the value to set, invalid value, expected path of the problem, and
# expected part of its message.
_BAD_VALUES: tuple[tuple[str, Any, str, str], ...] = (
    ("models.0.versions.0.state", "old", "models[0].versions[0].state", "allo"),
    ("models.0.versions.0.price.prompt", 1.5, "", "type integer"),
    ("models.1.name", "planner-small", "models[1].name", "used twice"),
    ("classes.0.quality_target", 2, "classes[0].quality_target", "at most 1"),
    ("classes.0.deadline_s", float("nan"), "", "finite"),
    ("classes.0.deadline_s", 10**400, "classes[0].deadline_s", "at most"),
    ("classes.0.priority", float("inf"), "classes[0].priority", "finite"),
    ("cascades.0.stages", ["x"], "cascades[0].stages[0]", "not one of"),
    (
        "cascades.0.stages",
        ["planner-large", "planner-small"],
        "cascades[0].stages[1]",
        "pointless",
    ),
    ("client_accounts.0.models", ["x"], "", "not one of"),
    ("client_accounts.0.services", ["x"], "", "not one of"),
    ("client_accounts.0.default_class", "x", "", "not one of"),
    ("client_accounts.0.versions", ["planner-small@v9"], "", "not one of"),
    ("client_accounts.1.versions", ["planner-large@v1"], "", "not allow"),
    ("client_accounts.0.versions", ["planner-small@v1"], "models[1]", "none"),
    ("client_accounts.0.models", [], "client_accounts[0].cascades[0]", "stage"),
    ("client_accounts.0.key_hashes", ["ABC"], "", "wrong form"),
    (
        "client_accounts.1.key_hashes",
        [documents.hash_key(documents.ACCOUNT_KEY)],
        "client_accounts[1].key_hashes[0]",
        "also a key",
    ),
    ("backend_servers.0.data_centre", "x", "", "not one of"),
    ("backend_servers.0.serves", ["planner-small@v9"], "", "not one of"),
    ("backend_servers.0.url", "engine:1", "", "wrong form"),
    ("data_centres.0.near", ["cartago-a"], "", "names itself"),
    ("models.0.versions.0.quality", {"line_question": 1}, "", "lacks"),
    ("models.0.versions.0.quality.x", 1, "", "not one of the classes"),
    ("removed_versions", ["planner-small@v1"], "", "cannot be declared"),
    ("polcy", {}, "polcy", "not a known field"),
    ("roll_outs.0.steps.1.share", 0.1, "roll_outs[0].steps[1].share", "above"),
    ("roll_outs.0.steps.1.share", 1.1, "", "at most 1"),
    ("roll_outs.0.to_version", "v9", "roll_outs[0].to_version", "not one"),
    ("roll_outs.0.to_version", "v1", "roll_outs[0].to_version", "same as"),
)


def _build_document() -> model.Document:
    versions = (
        documents.build_version(),
        documents.build_version("v2"),
    )
    large = documents.build_version(completion_price=8_000_000)
    roll_out = model.Rollout(
        "next",
        "planner-small",
        "v1",
        "v2",
        (model.RolloutStep(0.1, 60.0), model.RolloutStep(1.0, 60.0)),
        model.StopCondition(50, 0.8, 0.05),
    )
    return documents.build_document(
        models=(
            model.Model("planner-small", versions),
            model.Model("planner-large", (large,)),
        ),
        roll_outs=(roll_out,),
    )


def _list_fields(node: Any) -> set[str]:
    fields: set[str] = set()
    for name, entry in node.get("properties", {}).items():
        fields |= {name} | _list_fields(entry)
    if "items" in node:
        fields |= _list_fields(node["items"])
    return fields


def _replace_value(
    mapping: dict[str, Any], path: str, value: Any
) -> dict[str, Any]:
    changed = copy.deepcopy(mapping)
    node: Any = changed
    *parents, last = path.split(".")
    for part in parents:
        node = node[int(part)] if part.isdigit() else node[part]
    node[last] = value
    return changed


class ParseTest(unittest.TestCase):
    """Guards against accepted invalid configurations and unclear problems."""

    def test_each_problem_is_reported_with_path_message_and_fix(self) -> None:
        valid = configuration.to_mapping(_build_document())
        configuration.parse(valid)
        for path, value, expected_path, message in _BAD_VALUES:
            with self.subTest(path=path, value=value):
                with self.assertRaises(
                    configuration.ConfigurationError
                ) as caught:
                    configuration.parse(_replace_value(valid, path, value))
                matching = [
                    problem
                    for problem in caught.exception.problems
                    if message in problem.message
                    and expected_path in problem.path
                ]
                self.assertTrue(matching, caught.exception)
                self.assertTrue(matching[0].fix)

    def test_all_problems_are_reported_at_once(self) -> None:
        mapping = configuration.to_mapping(_build_document())
        mapping = _replace_value(mapping, "models.0.versions.0.state", "old")
        mapping = _replace_value(mapping, "backend_servers.0.data_centre", "x")
        with self.assertRaises(configuration.ConfigurationError) as caught:
            configuration.parse(mapping)
        self.assertEqual(
            [problem.path for problem in caught.exception.problems],
            ["models[0].versions[0].state", "backend_servers[0].data_centre"],
        )

    def test_values_that_are_not_documents_are_rejected(self) -> None:
        for value in (None, [], "x", {"models": {"name": 1}}, {"models": [1]}):
            with (
                self.subTest(value=value),
                self.assertRaises(configuration.ConfigurationError),
            ):
                configuration.parse(value)

    def test_invalid_stored_documents_raise_configuration_error(self) -> None:
        valid = configuration.to_mapping(_build_document())
        for value in (
            None,
            {},
            {**valid, "unknown": 1},
            {**valid, "models": [1]},
            _replace_value(valid, "models.0.versions.0.state", "paused"),
        ):
            with (
                self.subTest(value=value),
                self.assertRaises(configuration.ConfigurationError),
            ):
                configuration.parse_accepted(value)

    def test_every_field_is_documented(self) -> None:
        page = _EXAMPLES.parent / "docs" / "configuration.md"
        documented = set(re.findall(r"^\| `(\w+)` \|", page.read_text(), re.M))
        self.assertEqual(_list_fields(schema.SCHEMA) - documented, set())

    # No deadline per example, because it would be exceeded on a busy machine.
    @hypothesis.settings(
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(
        share=strategies.floats(0.01, 0.99),
        price=strategies.integers(0, 10**12),
        state=strategies.sampled_from(model.VersionState),
        limits=strategies.builds(
            model.AccountLimits,
            strategies.floats(1e-6, 1e9),
            strategies.integers(1, 10**9),
            strategies.integers(1, 10**12),
        ),
        names=strategies.lists(
            strategies.from_regex(r"[a-z0-9][a-z0-9_.-]{0,20}", fullmatch=True),
            max_size=4,
            unique=True,
        ),
    )
    def test_round_trip_is_exact(
        self,
        share: float,
        price: int,
        state: model.VersionState,
        limits: model.AccountLimits,
        names: list[str],
    ) -> None:
        extra = documents.build_version("extra", state, price)
        document = _build_document()
        roll_out = dataclasses.replace(
            document.roll_outs[0],
            steps=(model.RolloutStep(share, 0.0), model.RolloutStep(1.0, 1.0)),
        )
        document = dataclasses.replace(
            document,
            models=(
                *document.models,
                *(model.Model(f"x{name}", (extra,)) for name in names),
            ),
            client_accounts=(
                dataclasses.replace(document.client_accounts[0], limits=limits),
            ),
            roll_outs=(roll_out,),
        )
        mapping = configuration.to_mapping(document)
        stored = json.loads(json.dumps(mapping))
        self.assertEqual(configuration.parse(stored), document)
        self.assertEqual(configuration.parse_accepted(stored), document)
        self.assertEqual(
            configuration.digest(stored), configuration.digest(mapping)
        )


class LoadFilesTest(unittest.TestCase):
    """Guards against problems reported without the right file and line."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _load_problems(self) -> list[tuple[str, int, str]]:
        with self.assertRaises(configuration.ConfigurationError) as caught:
            configuration.load_files([self.folder])
        return [
            (pathlib.Path(problem.file).name, problem.line, problem.path)
            for problem in caught.exception.problems
        ]

    def test_lists_of_several_files_are_merged_with_locations(self) -> None:
        (self.folder / "a.yaml").write_text(
            "deployment: x\n"
            "classes:\n"
            "  - {name: q, quality_target: 0.5, deadline_s: 1}\n"
            "data_centres:\n"
            "  - name: a\n"
            "    region: r\n"
            "models: []\n"
        )
        (self.folder / "b.yaml").write_text(
            "deployment: y\n"
            "data_centres:\n"
            "  - name: b\n"
            "    name: c\n"
            "    regio: r\n"
            "client_accounts: []\n"
        )
        self.assertEqual(
            self._load_problems(),
            [
                ("b.yaml", 1, "deployment"),
                ("b.yaml", 3, "data_centres[1].region"),
                ("b.yaml", 4, "data_centres[1].name"),
                ("b.yaml", 5, "data_centres[1].regio"),
            ],
        )

    def test_syntax_errors_and_aliases_report_their_line(self) -> None:
        (self.folder / "a.yaml").write_text("a: 1\nb: [\n")
        self.assertEqual(self._load_problems()[0][:2], ("a.yaml", 3))
        (self.folder / "a.yaml").write_text("a: &x [1]\nb: *x\n")
        self.assertIn(("a.yaml", 2, "b"), self._load_problems())

    def test_examples_are_valid(self) -> None:
        for name in ("canasta-viva", "pigyn-adar", "demo"):
            document = configuration.load_files([_EXAMPLES / name])
            self.assertEqual(document.deployment, name)


class ChangesTest(unittest.TestCase):
    """Guards against reinstated withdrawn versions and incomplete diffs."""

    def _is_allowed(
        self,
        old: tuple[model.Version, ...],
        new: tuple[model.Version, ...],
        removed_versions: tuple[str, ...] = (),
    ) -> bool:
        before, after = (
            documents.build_document(models=(model.Model("m", versions),))
            for versions in (old, new)
        )
        after = dataclasses.replace(after, removed_versions=removed_versions)
        try:
            configuration.check_transition(before, after)
        except configuration.ConfigurationError:
            return False
        return True

    def test_withdrawn_versions_cannot_be_reinstated(self) -> None:
        state = model.VersionState
        active, retiring, withdrawn = (
            documents.build_version("v1", value)
            for value in (state.ACTIVE, state.RETIRING, state.WITHDRAWN)
        )
        other = documents.build_version("v2")
        self.assertTrue(self._is_allowed((active,), (withdrawn,)))
        self.assertTrue(self._is_allowed((retiring,), (active,)))
        self.assertFalse(self._is_allowed((withdrawn,), (active,)))
        self.assertFalse(self._is_allowed((withdrawn,), (retiring,)))
        self.assertFalse(self._is_allowed((active,), (other,), ("m@v1",)))
        self.assertFalse(self._is_allowed((withdrawn,), (other,)))
        self.assertTrue(self._is_allowed((withdrawn,), (other,), ("m@v1",)))

    def test_reserved_names_stay_reserved(self) -> None:
        new = documents.build_document()
        old = dataclasses.replace(new, removed_versions=("m@v1",))
        with self.assertRaises(configuration.ConfigurationError):
            configuration.check_transition(old, new)

    def test_diff_matches_entries_by_name(self) -> None:
        old = _build_document()
        new = dataclasses.replace(
            old,
            deployment="other",
            cascades=(),
            policy=model.Policy(max_attempts=2),
        )
        self.assertEqual(configuration.diff(old, old), ())
        changes = [
            (change.kind.value, change.path)
            for change in configuration.diff(old, new)
        ]
        self.assertEqual(
            changes,
            [
                ("changed", "deployment"),
                ("removed", "cascades[planning]"),
                ("changed", "policy.max_attempts"),
            ],
        )
