"""Tests of large objects that other writers left in the store."""

import dataclasses
import unittest

from dragonflydyke import latencies
from dragonflydyke.objects import model
from dragonflydyke.platform import records
from tests.builders import memory_growth, store

_KINDS = (*dataclasses.astuple(records.KINDS), records.NODE_KIND)
_ENTRIES = 6
_EMPTY_OBJECTS = 60_000
# A value of 180 kB as text takes 4.3 MB once it is decoded.
_DECODED_BYTES = 72 * _EMPTY_OBJECTS
_MAX_KEPT_BYTES = 1_000_000
# One value, and the text of all in the client and in the stub of the store.
_MAX_PEAK_BYTES = 4 * _DECODED_BYTES
# Texts that fit into the fields of a server, but not into the memory of a node.
_LONG_TEXT = "z" * 900_000


class LargeEntryTest(store.StoreTestCase):
    """Guards against nodes whose memory is used up by entries of others.

    Six entries of 1 MB took 150 MB in each node. The platform ended all nodes,
    again and again, as each read the entries when it started.
    """

    async def put_entries(self, kind: str) -> None:
        """Stores entries whose values take far more memory than their text."""
        spec = {"service": "none", "models": [{}] * _EMPTY_OBJECTS}
        for number in range(_ENTRIES):
            await self.stub.put(kind, f"odd-{number}", spec)

    def check_growth(self, growth: memory_growth.MemoryGrowth) -> None:
        """Checks what was kept, and that one value at a time was decoded."""
        self.assertLess(growth.size_bytes, _MAX_KEPT_BYTES)
        self.assertLess(growth.peak_bytes, _MAX_PEAK_BYTES)

    async def test_lists_keep_only_what_is_used(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind):
                await self.put_entries(kind)
                with memory_growth.measure() as growth:
                    listed = await self.store.list_all(
                        kind, consistency=model.ReadConsistency.LINEARIZABLE
                    )
                self.assertEqual(len(listed.objects), _ENTRIES)
                self.check_growth(growth)

    async def test_watches_keep_only_what_is_used(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind):
                since = model.combine_version(self.stub.era, self.stub.revision)
                await self.put_entries(kind)
                with memory_growth.measure() as growth:
                    changes = await self.store.watch(
                        kind,
                        since,
                        1.0,
                        consistency=model.ReadConsistency.LINEARIZABLE,
                    )
                self.assertEqual(len(changes.written), _ENTRIES)
                self.check_growth(growth)

    async def test_long_texts_are_not_kept(self) -> None:
        """An entry with all fields of a server can be as large."""
        for field in ("service", "version", "zone"):
            spec = store.build_server_spec(**{field: _LONG_TEXT})
            await self.stub.put("servers", field, spec)
        await self.stub.put("servers", "sound", store.build_server_spec())
        with memory_growth.measure() as growth:
            listed = await self.store.list_all(
                "servers", consistency=model.ReadConsistency.LINEARIZABLE
            )
        self.assertEqual(len(listed.objects), 4)
        self.assertLess(growth.size_bytes, _MAX_KEPT_BYTES)


class RouteNameTest(unittest.TestCase):
    """Guards against memory for each route that was ever configured.

    Configurations with other routes, one after the other, ended all nodes.
    """

    def test_histograms_of_former_routes_are_dropped(self) -> None:
        histograms = latencies.LatencyHistograms()
        with memory_growth.measure() as growth:
            for number in range(5_000):
                histograms.record(f"request.route-{number}.delivered", 0.1)
                histograms.record("request.kept.delivered", 0.1)
        self.assertLess(growth.size_bytes, 20_000_000)
        text = histograms.format_text()
        self.assertIn("request.kept.delivered.count 5000\n", text)
        self.assertIn("request.route-4999.delivered.count 1\n", text)
        self.assertNotIn("request.route-1.delivered", text)
