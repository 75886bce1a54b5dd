"""Tests of entries that other writers left among those of the servers."""

import asyncio
import random
import time
import unittest

from dragonflydyke import metrics
from dragonflydyke.forwarding import supervision
from dragonflydyke.objects import documents, pages, replicas, watchers
from dragonflydyke.objects import model as objects
from dragonflydyke.platform import records
from tests.builders import skipping_loop, store, stored_records, virtual_loop

_DEEP = "[" * 5_000 + "]" * 5_000
_LONG_NUMBER = "9" * 6_000
_ODD_FIELDS = {
    "deep service": {"service": _DEEP},
    "deep models": {"models": _DEEP},
    "long number of slots": {"slots": _LONG_NUMBER},
    "long sequence": {"sequence": _LONG_NUMBER},
    "infinite start": {"born": "1e999"},
    "infinite slots": {"slots": "Infinity"},
    "no number of slots": {"slots": "NaN"},
    "negative slots": {"slots": "-3"},
    "no slots": {"slots": "0"},
    "enormous slots": {"slots": "900000000"},
    "port 0": {"address": '"10.0.0.9:0"'},
    "port out of range": {"address": '"10.0.0.9:99999"'},
    "port in another script": {"address": '"10.0.0.9:\\u0661\\u0662"'},
    "no host": {"address": '":80"'},
    "broken host": {"address": '"[::1:80"'},
    "half of a character": {"zone": '"\\ud800"'},
    "state of another kind": {"state": "[1]"},
}


def _write_item(name: str, fields: dict[str, str]) -> str:
    """Returns the text of an item; the fields are JSON texts."""
    spec = {
        "service": '"engines"',
        "address": '"10.0.0.9:8080"',
        "zone": '"north"',
        "version": '"v1"',
        "slots": "64",
        "state": '"ready"',
        "coldRemainingMs": "0",
        "sequence": "4",
    } | fields
    text = ", ".join(f'"{key}": {value}' for key, value in spec.items())
    return f'{{"metadata": {{"name": "{name}", "rev": 1}}, "spec": {{{text}}}}}'


_MALFORMED_ITEMS = {
    "no metadata": "{}",
    "no object": "3",
    "no name": '{"metadata": {"rev": 1}}',
    "name that is no text": '{"metadata": {"name": [1], "rev": 1}}',
    "name for no header": _write_item("odd\\nname", {}),
    "infinite revision": '{"metadata": {"name": "odd", "rev": 1e999}}',
    "deep metadata": f'{{"metadata": {_DEEP}}}',
}


# Texts of values that are not JSON, or not in its encoding.
_UNREADABLE_SPECS = {
    "bytes that are not UTF-8": '"\udcff\udcfe\udc9c\udc80"',
    "bytes without quotes": "\udcff\udcfe\udc9c\udc80",
    "control characters": '"\0\1"',
    "nothing": "",
    "word": "nope",
    "open text": '"abc',
    "open list": "[1, 2",
    "open lists": "[" * 5_000,
    "open object": '{"service": ',
    "closed object": "}",
    "closed list": "]",
    "end of a text": '\\"',
    "server and an open text": _write_item("odd", {})[41:-2] + ', "',
}


def _write_unreadable_item(spec: str, name: str = "odd") -> str:
    return (
        f'{{"metadata": {{"name": "{name}", "rev": 1}}, "spec": {spec}, '
        '"status": null}'
    )


class OddEntryTest(store.StoreTestCase):
    """Guards against an odd entry that hides the others or ends a watcher."""

    async def asyncSetUp(self) -> None:
        """Stores one sound server."""
        await super().asyncSetUp()
        await self.stub.put("servers", "sound", store.build_server_spec())

    async def check_servers(self, names: set[str]) -> None:
        """Checks which servers are read from the store."""
        listed = await self.store.list_all(
            "servers", consistency=objects.ReadConsistency.LINEARIZABLE
        )
        servers = stored_records.list_records(listed.objects)
        self.assertEqual({server.name for server in servers}, names)

    async def test_entries_with_odd_fields_are_left_out(self) -> None:
        for case, fields in _ODD_FIELDS.items():
            with self.subTest(case):
                self.stub.raw_items = [_write_item("odd", fields)]
                await self.check_servers({"sound"})

    async def test_malformed_entries_are_left_out(self) -> None:
        for case, item in _MALFORMED_ITEMS.items():
            with self.subTest(case):
                self.stub.raw_items = [item]
                await self.check_servers({"sound"})

    async def test_unreadable_entries_are_left_out(self) -> None:
        """After a restart, a node had no servers at all beside one of them."""
        await self.stub.put("servers", "second", store.build_server_spec())
        for case, spec in _UNREADABLE_SPECS.items():
            with self.subTest(case):
                self.stub.raw_items = [_write_unreadable_item(spec)]
                await self.check_servers({"sound", "second"})

    async def test_unreadable_entry_hides_no_object_of_any_kind(self) -> None:
        """A node reads a configuration, rollouts and other kinds as well."""
        specs = {
            "config": ("main", store.build_policy_spec()),
            "rollouts": (
                "engines",
                {"service": "engines", "target": "v2", "rampS": 24},
            ),
            "evacuations": ("north", {}),
            records.NODE_KIND: ("node", {"address": "10.0.0.1:7341"}),
        }
        spec = _UNREADABLE_SPECS["bytes that are not UTF-8"]
        self.stub.raw_items = [_write_unreadable_item(spec)]
        for kind, (name, value) in specs.items():
            with self.subTest(kind):
                await self.stub.put(kind, name, value)
                listed = await self.store.list_all(
                    kind, consistency=objects.ReadConsistency.LINEARIZABLE
                )
                found = {
                    entry.name: entry.value is not None
                    for entry in listed.objects
                }
                # Of an evacuation, or a node, the name alone counts.
                is_odd_used = kind in ("evacuations", records.NODE_KIND)
                self.assertEqual(found, {name: True, "odd": is_odd_used})

    async def test_watcher_follows_the_others_beside_odd_entries(self) -> None:
        self.stub.raw_items = [
            *_MALFORMED_ITEMS.values(),
            *(_write_item("odd", fields) for fields in _ODD_FIELDS.values()),
            *map(_write_unreadable_item, _UNREADABLE_SPECS.values()),
        ]
        names = self.start_watcher()
        await skipping_loop.wait_until(lambda: names == {"sound"})
        await self.stub.put("servers", "second", store.build_server_spec())
        await skipping_loop.wait_until(lambda: names == {"sound", "second"})
        self.check_store_was_available()

    async def test_server_whose_entry_becomes_unreadable_is_dropped(
        self,
    ) -> None:
        for case, spec in _UNREADABLE_SPECS.items():
            with self.subTest(case):
                self.stub.raw_items = []
                await self.stub.put("servers", "odd", store.build_server_spec())
                names = self.start_watcher()
                await skipping_loop.wait_until(lambda n=names: "odd" in n)
                self.stub.raw_items = [_write_unreadable_item(spec)]
                await self.stub.put(
                    "servers", "second", store.build_server_spec()
                )
                await skipping_loop.wait_until(
                    lambda n=names: n == {"sound", "second"}
                )
                await self.stub.remove("servers", "second")
                self.check_store_was_available()

    def check_store_was_available(self) -> None:
        """Checks that no odd entry counted as a store that is away.

        All other kinds were listed again each time.
        """
        name = "watch.servers.platform_unavailable"
        self.assertEqual(self.counters.total(name), 0)

    def start_watcher(self) -> set[str]:
        """Starts a watcher; returns the servers that it knows."""
        names: set[str] = set()

        def record(snapshot: watchers.KindSnapshot, gap: bool) -> None:
            names.clear()
            names.update(server.name for server in snapshot.records)

        timing = watchers.WatchTiming(3.0)
        watcher = watchers.KindWatcher(
            replicas.ReplicaReader(self.store, "rollouts"),
            "servers",
            record,
            self.counters,
            watchers.StoreRetryGate(
                random.Random(3), lambda: self.store.probe("rollouts"), timing
            ),
            timing,
        )
        self.addCleanup(asyncio.create_task(watcher.run()).cancel)
        return names

    async def test_page_of_odd_entries_does_not_end_a_list(self) -> None:
        """The name of the last entry of a page selects the next page."""
        self.stub.page_size = 1
        self.stub.raw_items = ["{}"]
        await self.stub.put("servers", "third", store.build_server_spec())
        await self.check_servers({"sound", "third"})


class PageTest(unittest.TestCase):
    """Guards against an unreadable item that hides those beside it."""

    def read(self, *items: str) -> list[str | None]:
        """Returns the names of the items; None for an unreadable one."""
        text = f'{{"items": [{", ".join(items)}], "more": true, "rev": 7}}'
        page = pages.read_page(
            text.encode("utf-8", "surrogateescape"),
            "items",
            lambda item: (
                None
                if isinstance(item, pages.UnreadableItem)
                else item["metadata"]["name"]
            ),
            peer="store",
        )
        self.assertEqual(page.members, {"more": True, "rev": 7})
        assert page.items is not None
        return page.items

    def test_items_are_found_wherever_the_unreadable_one_is(self) -> None:
        sound = [_write_item(name, {}) for name in "abc"]
        for case, spec in _UNREADABLE_SPECS.items():
            for place in range(len(sound) + 1):
                with self.subTest(case, place=place):
                    odd = _write_unreadable_item(spec)
                    items = [*sound[:place], odd, *sound[place:]]
                    found = [name for name in self.read(*items) if name]
                    if spec.startswith('"\udcff'):
                        found.remove("odd")
                    self.assertEqual(found, ["a", "b", "c"])

    def test_page_of_one_unreadable_item(self) -> None:
        self.assertEqual(self.read(_write_unreadable_item("nope")), [None])

    def test_members_before_the_unreadable_one_are_known(self) -> None:
        item = _write_unreadable_item('{"service": "a", "slots": nope}')
        event = f'{{"removed": true, "object": {item}}}'
        page = pages.read_page(
            f'{{"events": [{event}]}}'.encode(),
            "events",
            lambda item: item.members,
            peer="store",
        )
        metadata = {"name": "odd", "rev": 1}
        expected = {"removed": True, "object": {"metadata": metadata}}
        self.assertEqual(page.items, [expected])

    def test_page_that_is_no_page_is_an_error_of_the_store(self) -> None:
        for text in ("", "[]", '{"items": [{"a": nope}', '{"items": 3} 4'):
            with (
                self.subTest(text),
                self.assertRaises(objects.PlatformUnavailableError),
            ):
                pages.read_page(text.encode(), "items", str, peer="store")

    def test_deep_value_without_an_end_is_looked_through_once(self) -> None:
        """The end was looked for at each of its levels, for a minute."""
        spec = '{"metadata": [0, ' * 400 + "[" * 900_000
        deep = _write_unreadable_item(spec)
        started_s = time.process_time()
        self.assertEqual(self.read(_write_item("a", {}), deep)[0], "a")
        self.assertLess(time.process_time() - started_s, 5.0)

    def test_number_of_unreadable_items_is_limited(self) -> None:
        """Reading a page must not keep a node from its other work."""
        items = ", ".join(['{"metadata": nope}'] * 10_000)
        with self.assertRaises(objects.PlatformUnavailableError):
            pages.read_page(
                f'{{"items": [{items}]}}'.encode(), "items", str, peer="store"
            )


class DocumentTest(unittest.TestCase):
    """Guards against documents that end the reader of a store."""

    def test_brackets_in_texts_are_no_nesting(self) -> None:
        body = ('{"a": "[{\\"", "deep": ' + _DEEP + ', "b": [[1]]}').encode()
        parsed = documents.parse_document(body, peer="store")
        self.assertEqual((parsed["a"], parsed["b"]), ('[{"', [[1]]))

    def test_response_that_is_not_json_is_an_error_of_the_store(self) -> None:
        for body in (b"", b"{", b"\xff", _DEEP.encode()[:-1]):
            with (
                self.subTest(body[:5]),
                self.assertRaises(objects.PlatformUnavailableError),
            ):
                documents.parse_document(body, peer="store")


class SupervisionTest(virtual_loop.VirtualTimeTestCase):
    """Guards against a node that follows nothing any more."""

    async def test_activity_that_failed_is_started_again(self) -> None:
        starts = []

        async def run() -> None:
            starts.append(self.loop.time())
            raise ValueError("unexpected")

        counters = metrics.Counters()
        task = asyncio.create_task(supervision.keep_running(run, counters))
        self.addCleanup(task.cancel)
        await self.loop.advance(supervision.RESTART_DELAY_S + 0.5)
        self.assertEqual(len(starts), 2)
        self.assertEqual(counters.total("activity.failed"), 2)
