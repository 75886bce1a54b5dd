"""Tests of the warnings about a configuration."""

import dataclasses
import unittest

from dragonflydyke import configuration
from dragonflydyke.configuration import findings, model
from tests.builders import documents


def _replace_first(entries: tuple, **changes: object) -> tuple:
    return (dataclasses.replace(entries[0], **changes), *entries[1:])


class FindingsTest(unittest.TestCase):
    """Guards against entries without effect that go unnoticed."""

    def setUp(self) -> None:
        base = documents.build_document()
        service = model.BackendServer(
            "labels-1",
            model.ServerKind.SERVICE,
            "http://127.0.0.1:2",
            "cartago-b",
            ("labels",),
            slots=1_000,
        )
        limits = model.AccountLimits(concurrent_requests=8)
        accounts = tuple(
            dataclasses.replace(account, limits=limits)
            for account in base.client_accounts
        )
        self.document = dataclasses.replace(
            base,
            backend_servers=(*base.backend_servers, service),
            client_accounts=accounts,
        )

    def _find(self, **changes: object) -> set[tuple[str, str]]:
        document = dataclasses.replace(self.document, **changes)
        # The loader has to accept what leads to warnings only.
        configuration.parse(configuration.to_mapping(document))
        found = findings.find_warnings(document)
        return {(entry.code, entry.path) for entry in found}

    def test_consistent_document_has_no_findings(self) -> None:
        self.assertEqual(self._find(), set())

    def test_entries_that_nothing_serves_are_found(self) -> None:
        self.assertEqual(
            self._find(backend_servers=()),
            {
                ("data_centre_unserved", "data_centres[0]"),
                ("data_centre_unserved", "data_centres[1]"),
                ("version_unserved", "models[0].versions[0]"),
                ("version_unserved", "models[1].versions[0]"),
                ("service_unserved", "services[0]"),
            },
        )

    def test_entries_that_no_request_selects_are_found(self) -> None:
        self.assertEqual(
            self._find(client_accounts=self.document.client_accounts[1:]),
            {
                ("version_unreachable", "models[1].versions[0]"),
                ("service_unreachable", "services[0]"),
                ("cascade_unreachable", "cascades[0]"),
            },
        )
        version = documents.build_version(state=model.VersionState.WITHDRAWN)
        models = _replace_first(self.document.models, versions=(version,))
        servers = _replace_first(
            self.document.backend_servers, serves=("planner-small@v1",)
        )
        found = self._find(models=models, backend_servers=servers)
        self.assertIn(("server_unused", "backend_servers[0].serves"), found)

    def test_contradicting_limits_are_found(self) -> None:
        classes = _replace_first(
            self.document.classes, may_wait_s=5.0, quality_target=0.99
        )
        accounts = _replace_first(
            self.document.client_accounts[1:],
            limits=model.AccountLimits(concurrent_requests=9),
        )
        self.assertEqual(
            self._find(
                classes=classes,
                client_accounts=self.document.client_accounts[:1] + accounts,
                policy=model.Policy(retry_budget_share=0.0),
            ),
            {
                ("quality_unreachable", "classes[0].quality_target"),
                ("wait_exceeds_deadline", "classes[0].may_wait_s"),
                (
                    "account_exceeds_capacity",
                    "client_accounts[1].limits.concurrent_requests",
                ),
                ("attempts_without_budget", "policy.max_attempts"),
            },
        )
        policy = model.Policy(max_attempts=1, body_timeout_s=121.0)
        self.assertEqual(
            self._find(policy=policy),
            {
                ("budget_without_attempts", "policy.retry_budget_share"),
                ("timeout_above_deadline", "policy.body_timeout_s"),
            },
        )

    def test_rollout_to_an_inactive_version_is_found(self) -> None:
        old = documents.build_version("v0", model.VersionState.RETIRING)
        models = _replace_first(
            self.document.models, versions=(documents.build_version(), old)
        )
        roll_out = model.Rollout(
            "back",
            "planner-small",
            "v1",
            "v0",
            (model.RolloutStep(0.5, 1.0),),
            model.StopCondition(10, 0.5, 0.1),
        )
        found = self._find(models=models, roll_outs=(roll_out,))
        self.assertIn(("roll_out_blocked", "roll_outs[0].to_version"), found)

    def test_changes_that_take_something_away_are_marked(self) -> None:
        """Guards against a lost key or server between harmless changes."""
        old = self.document
        account = old.client_accounts[0]

        def list_removals(**changes: object) -> dict[str, bool]:
            new = dataclasses.replace(old, **changes)
            return {
                change.path: change.removes
                for change in configuration.diff(old, new)
            }

        def list_account_removals(**changes: object) -> list[bool]:
            accounts = _replace_first(old.client_accounts, **changes)
            return list(list_removals(client_accounts=accounts).values())

        self.assertEqual(
            list_removals(backend_servers=old.backend_servers[:1]),
            {"backend_servers[labels-1]": True},
        )
        key = "0" * 64
        self.assertEqual(list_account_removals(key_hashes=(key,)), [True])
        self.assertEqual(
            list_account_removals(key_hashes=(*account.key_hashes, key)),
            [False],
        )
        # An empty list allows all versions.
        self.assertEqual(
            list_account_removals(versions=("planner-small@v1",)), [True]
        )
        # The order of permissions has no effect.
        self.assertEqual(list_account_removals(models=account.models[::-1]), [])
        fewer_slots = _replace_first(
            old.backend_servers, slots=7, state=model.ServerState.LEAVING
        )
        self.assertEqual(
            list_removals(
                backend_servers=fewer_slots,
                policy=model.Policy(reserved_share=0.5, max_attempts=4),
            ),
            {
                "backend_servers[engine-1].slots": True,
                "backend_servers[engine-1].state": True,
                "policy.reserved_share": True,
                "policy.max_attempts": False,
            },
        )


if __name__ == "__main__":
    unittest.main()
