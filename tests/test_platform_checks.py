"""Tests of the check of the platform's configuration."""

import asyncio
import copy
import json
import pathlib
import tempfile
import unittest
from typing import Any
from unittest import mock

import hypothesis
from cleo.io.outputs import buffered_output
from hypothesis import strategies

from dragonflydyke import configuration
from dragonflydyke.cli import main, output
from dragonflydyke.cli.exit_codes import ExitCode
from dragonflydyke.forwarding import node
from dragonflydyke.objects import model as objects
from dragonflydyke.platform import checks, process, records
from tests.builders import documents, store, stored_records

_SETTINGS = {
    "nodeName": "edge-1",
    "zone": "north",
    "ip": "10.0.0.4",
    "listen": {"front": "10.0.0.4:8227", "ready": "10.0.0.4:8220"},
    "bounds": {"coldOvershoot": 1.5, "coldSlack": 5},
    "zones": {"north": "west", "south": "east"},
}


def _build_spec() -> dict[str, Any]:
    """Returns a configuration without findings."""
    spec = store.build_policy_spec()
    spec["services"].append({"name": "others"})
    return spec


def _entry(value: Any) -> objects.StoredObject:
    return objects.StoredObject("config", "main", 1, value)


def _list_codes(
    value: Any, settings: node.NodeSettings | None = None
) -> set[tuple[str, str]]:
    report, _ = checks.check_entry(_entry(value), settings=settings)
    return {(found.code, found.path) for found in report.findings}


class PolicyFindingsTest(unittest.TestCase):
    """Guards against parts of a configuration that do nothing unnoticed."""

    def setUp(self) -> None:
        self.spec = _build_spec()
        self.route = self.spec["routes"][0]

    def _add_route(self, **fields: object) -> None:
        self.spec["routes"].append(self.route | {"name": "r2"} | fields)

    def test_consistent_configuration_has_no_findings(self) -> None:
        self.assertEqual(_list_codes(self.spec), set())

    def test_routes_that_never_match_are_found(self) -> None:
        self._add_route(host="API.example")
        self._add_route(name="r3", pathPrefix="/streams/a/")
        self._add_route(name="r4", pathPrefix="x/")
        self.assertEqual(
            _list_codes(self.spec),
            {
                ("route_hidden", "routes[1]"),
                ("route_unmatchable", "routes[3].pathPrefix"),
            },
        )

    def test_services_of_routes_are_checked(self) -> None:
        self.route["trafficSplit"] = [
            {"service": "engines", "weight": 0},
            {"service": "gone", "weight": 0},
        ]
        self._add_route(pathPrefix="/", trafficSplit=None, service="lost")
        share = {"service": "engines", "weight": -1}
        self._add_route(name="r3", pathPrefix="/c/", trafficSplit=[share])
        self.assertEqual(
            _list_codes(self.spec),
            {
                ("weights_all_zero", "routes[0].trafficSplit"),
                ("service_unknown", "routes[0].trafficSplit[1].service"),
                ("service_unknown", "routes[1].service"),
                ("weight_negative", "routes[2].trafficSplit[0].weight"),
                ("service_unused", "services[1]"),
            },
        )

    def test_contradicting_limits_of_routes_are_found(self) -> None:
        self.route |= {"timeoutMs": 2_999, "streamResume": False}
        self._add_route(pathPrefix="/a/", timeoutMs=0, maxAttempts=0)
        short = {"targetLatencyMs": 9, "timeoutMs": 10, "streamResume": True}
        self._add_route(pathPrefix="/b/", **(short | {"name": "r3"}))
        self._add_route(
            **(short | {"name": "r4", "pathPrefix": "/c/", "maxAttempts": 6})
        )
        self.assertEqual(
            _list_codes(self.spec),
            {
                ("timeout_below_target", "routes[0].timeoutMs"),
                ("attempts_without_effect", "routes[0].maxAttempts"),
                ("timeout_not_positive", "routes[1].timeoutMs"),
                ("attempts_below_one", "routes[1].maxAttempts"),
                ("attempts_exceed_timeout", "routes[2].maxAttempts"),
                ("attempts_above_limit", "routes[3].maxAttempts"),
            },
        )

    def test_keys_are_found_but_not_shown(self) -> None:
        self.spec["tenants"] += [
            {"name": "empty", "apiKeys": []},
            {"name": "acme", "apiKeys": ["k2"]},
        ]
        self.assertEqual(
            _list_codes(self.spec),
            {
                ("tenant_without_keys", "tenants[1].apiKeys"),
                ("duplicate_name", "tenants[2].name"),
                ("key_shared", "tenants[0].apiKeys[1]"),
            },
        )
        for secrets in ([["hidden"]], [1, "hidden"], "hidden", {"hidden": 1}):
            self.spec["tenants"] = [{"name": "a", "apiKeys": secrets}]
            report, _ = checks.check_entry(_entry(self.spec))
            self.assertTrue(report.findings)
            self.assertNotIn("hidden", str(report.findings))

    def test_deployment_is_compared_with_the_configuration(self) -> None:
        """Guards against regions and limits that a deployment cannot keep."""
        self.route["allowedRegions"] = ["west", "moon"]
        self.spec["tenants"][0]["allowedRegions"] = ["mars"]
        self.spec["tenants"].append(
            {"name": "b", "apiKeys": ["k"], "allowedRegions": ["east"]}
        )
        self.spec["services"][0]["coldPerS"] = 40
        self.assertEqual(_list_codes(self.spec), set())
        settings = mock.Mock(
            cold_limit=node.ColdLimit(1.5, 5.0),
            regions={"north": "west", "south": "east"},
        )
        self.assertEqual(
            _list_codes(self.spec, settings),
            {
                ("region_unserved", "routes[0].allowedRegions"),
                ("regions_without_data_centre", "tenants[0].allowedRegions"),
                ("regions_without_data_centre", "tenants[1].allowedRegions"),
                ("cold_limit_above_slots", "services[0].coldPerS"),
            },
        )

    def test_rejected_values_are_reported_with_their_path(self) -> None:
        for path, value in (
            (("routes", 0, "host"), 5),
            (("routes", 0, "pathPrefix"), ["/"]),
            (("routes", 0, "kind"), "other"),
            (("routes", 0, "trafficSplit", 1), "others"),
            (("services", 0, "engine", "slots"), 0),
            (("services", 0, "name"), {}),
            (("limits", "maxBodyBytes"), -1),
            (("tenants", 0, "apiKeys", 1), []),
        ):
            with self.subTest(path=path):
                spec = _build_spec()
                _set_value(spec, path, value)
                expected = configuration.problems.format_path(path)
                self.assertEqual(_list_codes(spec), {("invalid", expected)})
        del spec["routes"][0]["timeoutMs"]
        report, _ = checks.check_entry(_entry(spec))
        (found,) = report.findings
        self.assertEqual(
            (found.path, found.message), ("routes[0].timeoutMs", "is missing")
        )


def _set_value(spec: Any, path: tuple[Any, ...], value: Any) -> None:
    for part in path[:-1]:
        spec = spec[part]
    spec[path[-1]] = value


def _list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    found = [path] if path else []
    parts: Any = ()
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    for part, inner in parts:
        found += _list_paths(inner, (*path, part))
    return found


_VALUES = strategies.sampled_from(
    (None, True, 0, -1, 10**400, 1e308, float("nan"), "", "r1", "engines")
    + ([], [1], [[]], {}, {"name": "a"}, [{"name": [], "apiKeys": ""}])
)


class SameDecisionTest(unittest.TestCase):
    """Guards against a check that decides other than the router."""

    def _change(self, value: Any, data: strategies.DataObject) -> Any:
        value = copy.deepcopy(value)
        for _ in range(data.draw(strategies.integers(1, 3))):
            paths = _list_paths(value)
            if paths:
                path = data.draw(strategies.sampled_from(paths))
                _set_value(value, path, copy.deepcopy(data.draw(_VALUES)))
        return value

    @hypothesis.settings(
        deadline=None, derandomize=True, database=None, max_examples=300
    )
    @hypothesis.given(strategies.data())
    def test_check_and_router_agree(self, data: strategies.DataObject) -> None:
        value = self._change(_build_spec(), data)
        report, _ = checks.check_entry(_entry(value))
        with mock.patch.object(records, "_LOGGER"):
            policies = stored_records.decode_all("config", _entry(value))
        self.assertEqual(report.is_valid, bool(policies))

        mapping = configuration.to_mapping(documents.build_document())
        mapping = self._change(mapping, data)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "all.yaml")
            file.write_text(output.format_yaml(mapping))
            report = configuration.check_files([file])
        try:
            configuration.parse(mapping)
        except configuration.ConfigurationError:
            self.assertFalse(report.is_valid)
        else:
            self.assertTrue(report.is_valid)


class PlatformFilesTest(store.StoreTestCase):
    """Guards against exit codes and output that mislead a pipeline."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name, "new.json")
        self.old_file = pathlib.Path(folder.name, "old.json")
        self.settings_file = pathlib.Path(folder.name, "settings.json")
        address = {"address": f"127.0.0.1:{self.port}"}
        self.settings_file.write_text(
            json.dumps(_SETTINGS | {"platform": address})
        )
        self.spec = _build_spec()
        self.old_file.write_text(json.dumps(self.spec))

    async def _run(self, *arguments: str) -> tuple[int, str, str]:
        out = buffered_output.BufferedOutput()
        err = buffered_output.BufferedOutput()
        self.file.write_text(json.dumps(self.spec))
        command_line = [arguments[0], str(self.file), *arguments[1:]]
        code = await asyncio.to_thread(main.main, command_line, out, err)
        return code, out.fetch(), err.fetch()

    async def test_validate_accepts_the_stored_object_and_its_value(
        self,
    ) -> None:
        value = self.spec
        for spec in (value, {"metadata": {"name": "main"}, "spec": value}):
            self.spec = spec
            code, out, err = await self._run(
                "validate", "--settings", str(self.settings_file)
            )
            self.assertEqual((code, out), (ExitCode.OK, "valid\n"), err)
        self.spec = {"metadata": {"name": "other"}, "spec": value}
        self.assertEqual((await self._run("validate"))[0], ExitCode.USAGE)
        self.spec = {}
        self.assertEqual((await self._run("validate"))[0], ExitCode.REJECTED)

    async def test_unreadable_input_gives_one_error(self) -> None:
        self.spec = _build_spec()
        for content in ("[" * 100_000, "{", "1" * 5_000):
            self.old_file.write_text(content)
            with self.subTest(content=content[:2]):
                code, _, err = await self._run(
                    "diff", "--against", str(self.old_file)
                )
                self.assertEqual(code, ExitCode.USAGE)
                self.assertEqual(err.count("old.json"), 1)
                code, _, err = await self._run(
                    "validate", "--settings", str(self.old_file)
                )
                self.assertEqual(code, ExitCode.USAGE)
        self.assertEqual((await self._run("diff"))[0], ExitCode.USAGE)

    async def test_diff_compares_by_meaning(self) -> None:
        """Guards against reporting another spelling as a change."""
        against = ("diff", "--against", str(self.old_file))
        route = self.spec["routes"][0]
        route["host"] = "API.example"
        route["timeoutMs"] = 6_000.0
        route["trafficSplit"] = [
            {"service": "others", "weight": 1},
            {"service": "engines", "weight": 9},
        ]
        self.spec["tenants"][0]["apiKeys"].reverse()
        self.spec["services"].reverse()
        _, out, err = await self._run(*against)
        self.assertEqual(out, "no differences from revision 7\n", err)

    async def test_diff_marks_what_is_taken_away(self) -> None:
        """Guards against a lost route, key or slot between other changes."""
        old = {"metadata": {"name": "main"}, "spec": _build_spec()}
        await self.stub.put("config", "main", old["spec"])
        del self.spec["tenants"][0]["apiKeys"][0]
        self.spec["services"][0]["engine"]["slots"] = 32
        self.spec["services"][0]["coldPerS"] = 5
        self.spec["routes"][0] |= {"name": "r9", "allowedRegions": ["west"]}
        settings = ("--settings", str(self.settings_file))
        code, out, err = await self._run("diff", *settings, "--output", "json")
        self.assertEqual(code, ExitCode.OK, err)
        removals = {
            change["path"]: change["removes"]
            for change in json.loads(out)["changes"]
        }
        self.assertEqual(
            removals,
            {
                "routes[r1]": True,
                "routes[r9]": False,
                "services[engines].engine.slots": True,
                "services[engines].coldPerS": True,
                "tenants[acme].apiKeys": True,
            },
        )
        _, out, _ = await self._run("diff", *settings)
        self.assertIn("slots: 64 -> 32 (removes)", out)
        self.assertNotIn("k2", out)
        self.stub.objects.clear()
        code, out, _ = await self._run("diff", *settings)
        self.assertEqual(code, ExitCode.OK)
        self.assertTrue(all(line[0] == "+" for line in out.splitlines()))

    async def test_regions_come_from_the_settings(self) -> None:
        self.assertEqual(
            process.read_settings_file(str(self.settings_file)).regions,
            _SETTINGS["zones"],
        )
        self.spec["routes"][0]["allowedRegions"] = ["moon"]
        arguments = ("validate", "--settings", str(self.settings_file))
        code, out, _ = await self._run(*arguments, "--strict")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("new.json: warning [regions_without_data_centre]", out)


if __name__ == "__main__":
    unittest.main()
