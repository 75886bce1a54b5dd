"""Tests of the product's routers after a restore of the platform."""

import unittest
from typing import Any

from dragonflydyke import objects
from dragonflydyke.emulator import store
from dragonflydyke.membership import restoration
from dragonflydyke.objects import model
from tests import test_membership


class RestoredFleetTest(test_membership.MembershipTestCase):
    """Guards against routers that stop serving, or forget, after a restore."""

    def read_control(self, name: str) -> Any:
        """Returns the value of a control object in the platform."""
        stored = self.fleet.platform.store.get("control", name)
        return stored.value if stored else None

    def write_control(self, name: str, value: Any) -> None:
        """Writes a control object as a router would."""
        stored = self.fleet.platform.store.get("control", name)
        self.fleet.platform.store.put(
            "control", name, value, stored.version if stored else None
        )

    async def test_lost_revision_is_written_again(self) -> None:
        """All reads counted as stale, so that no router was confirmed."""
        copy = self.fleet.platform.store.take_copy()
        change = await self.apply_document("vm-0", {"n": 1})
        self.assertEqual(change.revision, 2)
        await self.loop.advance(3.0)
        self.fleet.platform.store.restore(copy)
        for _ in range(40):
            await self.loop.advance(0.25)
            self.assertEqual(self.fleet.serving_vms(), set(self.fleet.names))
        self.assertEqual(self.revisions(), [2, 2, 2])
        self.assertEqual(self.read_control("config")["revision"], 2)
        change = await self.apply_document("vm-1", {"n": 2})
        self.assertEqual(change.revision, 3)
        await self.loop.advance(3.0)
        self.assertEqual(self.revisions(), [3, 3, 3])

    async def test_change_is_not_based_on_an_older_revision(self) -> None:
        """It would get the number of the lost revision, and replace it."""
        copy = self.fleet.platform.store.take_copy()
        await self.apply_document("vm-0", {"n": 1})
        await self.loop.advance(3.0)
        self.fleet.platform.store.restore(copy)
        await self.assert_apply_rejected("platform_restored", "vm-1")
        await self.loop.advance(3.0)
        self.assertEqual(self.revisions(), [2, 2, 2])
        change = await self.apply_document("vm-1", {"n": 2})
        self.assertEqual(change.revision, 3)

    async def test_outcome_of_a_write_is_unknown_after_a_restore(self) -> None:
        """It was reported as a conflict, although routers may have it."""
        copy = self.fleet.platform.store.take_copy()
        access = self.fleet.platform_access["vm-0"]

        def restore() -> None:
            access.after_config_write = None
            self.fleet.platform.store.restore(copy)
            raise objects.OutcomeUnknownError("response lost", peer="platform")

        access.after_config_write = restore
        await self.assert_apply_rejected("platform_outcome_unknown", "vm-0")
        await self.loop.advance(15.0)
        self.assertEqual(self.fleet.serving_vms(), set(self.fleet.names))

    async def test_final_rollout_state_is_written_again(self) -> None:
        """A rollout that was stopped must not start again."""
        state = {
            "state": "running",
            "step": 0,
            "since_ms": 1,
            "decided_by": "vm-0",
            "fencing": 1,
        }
        self.write_control("rollout.next", state)
        for copied in (True, False):
            copy = self.fleet.platform.store.take_copy()
            if not copied:
                del copy.objects["control", "rollout.next"]
            self.write_control(
                "rollout.next", state | {"state": "stopped", "fencing": 2}
            )
            await self.loop.advance(3.0)
            self.fleet.platform.store.restore(copy)
            await self.loop.advance(3.0)
            self.assertEqual(
                self.read_control("rollout.next")["state"], "stopped"
            )
            for member in self.fleet.nodes.values():
                current = member.state.current
                self.assertEqual(
                    current.roll_outs["next"].phase.value, "stopped"
                )

    async def test_older_list_of_the_same_era_repeats_nothing(self) -> None:
        """A replica that lags behind does not have the version either."""
        copy = self.fleet.platform.store.take_copy()
        await self.apply_document("vm-0", {"n": 1})
        await self.loop.advance(3.0)
        writes = self.fleet.platform_access["vm-0"].writes
        for access in self.fleet.platform_access.values():
            access.store = store.MemoryStore()
            access.store.restore(copy)
            access.store.version = copy.version
        await self.loop.advance(3.0)
        self.assertEqual(self.revisions(), [2, 2, 2])
        self.assertEqual(self.fleet.platform_access["vm-0"].writes, writes)

    async def test_session_keys_are_written_again(self) -> None:
        """Sessions signed with a lost key would end."""
        keys = self.read_control("keys")
        copy = self.fleet.platform.store.take_copy()
        del copy.objects["control", "keys"]
        self.fleet.platform.store.restore(copy)
        await self.loop.advance(3.0)
        self.assertEqual(self.read_control("keys"), keys)


class LostObjectTest(unittest.TestCase):
    """Guards against states of before a restore that replace later ones."""

    def find_lost(self, known: Any, restored: Any) -> list[str]:
        """Returns the names of the lost objects; values are by name."""
        return [
            lost.name
            for lost in restoration.find_lost_objects(
                _build_objects(known, 1), _build_objects(restored, 2)
            )
        ]

    def test_newer_state_of_the_restored_platform_is_kept(self) -> None:
        newer = {"config": {"revision": 4, "change_id": "b"}}
        older = {"config": {"revision": 3, "change_id": "a"}}
        self.assertEqual(self.find_lost(older, newer), [])
        self.assertEqual(self.find_lost(newer, older), ["config"])
        self.assertEqual(self.find_lost(newer, newer), [])

    def test_objects_that_no_router_may_repeat_are_left(self) -> None:
        self.assertEqual(self.find_lost({"other": {"n": 1}}, {}), [])


def _build_objects(
    values: dict[str, Any], era: int
) -> dict[str, objects.StoredObject]:
    version = model.combine_version(era, 5)
    return {
        name: objects.StoredObject("control", name, version, value)
        for name, value in values.items()
    }
