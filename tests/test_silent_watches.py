"""Tests of watches of the store whose connection stops responding."""

import asyncio
import dataclasses
import socket
import unittest
from unittest import mock

from tornado import iostream

from dragonflydyke import settings, transport
from dragonflydyke.forwarding import execution, node, rollouts
from dragonflydyke.objects import model as objects
from tests.builders import forwarding, skipping_loop, store, watched_kinds

_ADDRESS = settings.Address("127.0.0.1", 0)
_SETTINGS = node.NodeSettings(
    vm="vm1",
    data_centre="north",
    front=_ADDRESS,
    ready=_ADDRESS,
    metrics=_ADDRESS,
    peers=_ADDRESS,
    store_url="",
    grace_s=8.0,
    exposure=rollouts.ExposureLimit(0.1),
    contact_s=3.0,
    drain_s=2.0,
    apply_s=2.0,
)
# The state of a test moves within this time, by the clock of its loop.
_STEP_S = 0.1


class RefusedRequestLogTest(forwarding.ForwardingTestCase):
    """Guards against refusals whose log does not tell what they are based on.

    A silent watch, a replica that lags behind and a watcher that has ended
    would all look the same.
    """

    async def test_refusal_names_the_configuration_and_its_age(self) -> None:
        self.forwarder.policy = forwarding.build_policy(version=4)
        self.forwarder.find_ages = lambda now_s: {
            "policy_age_s": 3.8,
            "rollouts_age_s": 0.2,
        }
        with mock.patch.object(execution, "_LOGGER") as logger:
            response = await self.fetch("/unknown/1")
        self.assertEqual(response.status, 404)
        fields = logger.info.call_args.kwargs
        self.assertEqual(fields["outcome"], "no_route")
        self.assertEqual((fields["policy"], fields["policy_age_s"]), (4, 3.8))
        self.assertEqual(fields["rollouts_age_s"], 0.2)


class SilentWatchTest(store.StoreTestCase):
    """Guards against changes that arrive late after connections went silent.

    The limits on changes hold again as soon as a calm node is in contact with
    the store; the time that a change may take does not add to that.
    """

    async def asyncSetUp(self) -> None:
        """Starts the watchers and waits for their first lists."""
        await super().asyncSetUp()
        watched = watched_kinds.WatchedKinds(
            self.store,
            self.counters,
            _SETTINGS.watch_timing,
            _SETTINGS.max_age_s,
        )
        self.names = watched.names
        self.watchers = watched.watchers
        for kind in self.watchers:
            await self.stub.put(kind, "first", {})
        watched.start(self.addCleanup)
        await skipping_loop.wait_until(
            lambda: len(self.names) == self.stub.open_watches == 4
        )

    async def test_change_is_in_force_once_a_calm_node_is_in_contact(
        self,
    ) -> None:
        """The watches have just begun when the store goes silent on them.

        See deploy/days/unanswered.toml.
        """
        self.stub.silence_watches()
        silent_s = self.loop.time()
        for kind in self.watchers:
            await self.stub.put(kind, "second", {})
        until_s = silent_s + _SETTINGS.contact_s
        while self.loop.time() < until_s - _STEP_S:
            self.loop.skip(_STEP_S)
            # Lets the calls that became due complete.
            await asyncio.sleep(_STEP_S / 10)
        for kind in self.watchers:
            with self.subTest(kind):
                self.assertEqual(self.names[kind], {"first", "second"})

    async def test_rejected_call_ends_the_watches(self) -> None:
        """Entries can expire while the store is unavailable."""
        self.stub.rejection_status = 503
        await self.stub.put("config", "second", {})
        error = "watch.config.platform_unavailable"
        await skipping_loop.wait_until(lambda: self.counters.total(error))
        self.stub.rejection_status = 0
        del self.stub.objects["servers"]["first"]
        await skipping_loop.wait_until(lambda: self.names["servers"] == set())

    async def test_age_of_a_silent_watch_is_known(self) -> None:
        self.stub.silence_watches()
        self.loop.skip(1.0)
        age_s = self.watchers["config"].find_age_s(self.loop.time())
        assert age_s is not None
        self.assertGreaterEqual(age_s, 1.0)


class SilentConnectionTest(store.StoreTestCase):
    """Guards against long polls on connections that went silent.

    The kernel closes a connection whose probes are not answered.
    """

    async def test_connections_to_the_store_are_probed(self) -> None:
        for contact_s, limit_s in ((3.0, 2), (4.0, 3), (5.0, 4)):
            values = dataclasses.replace(_SETTINGS, contact_s=contact_s)
            client = transport.ProbingTCPClient(values.max_silence_s)
            stream = await client.connect("127.0.0.1", self.port)
            self.addCleanup(stream.close)
            with self.subTest(contact_s=contact_s):
                self.assertTrue(
                    _read_option(stream, socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                )
                idle_s, interval_s, probes = (
                    _read_option(stream, socket.IPPROTO_TCP, option)
                    for option in (
                        socket.TCP_KEEPIDLE,
                        socket.TCP_KEEPINTVL,
                        socket.TCP_KEEPCNT,
                    )
                )
                self.assertEqual(idle_s + probes * interval_s, limit_s)

    async def test_client_of_the_store_uses_probes(self) -> None:
        with (
            mock.patch.object(
                transport.ProbingTCPClient, "connect", side_effect=OSError
            ) as connect,
            self.assertRaises(objects.PlatformUnavailableError),
        ):
            await self.store.read_version("rollouts")
        connect.assert_called_once()


def _read_option(stream: iostream.IOStream, level: int, option: int) -> int:
    return stream.socket.getsockopt(level, option)


class WatchTimingTest(unittest.TestCase):
    """Guards against limits that are added although they run concurrently."""

    def test_longer_limit_applies(self) -> None:
        cases = ((3.0, 2.0, 2.0, 3.0), (2.0, 4.0, 3.0, 3.0))
        for contact_s, apply_s, drain_s, expected_s in cases:
            with self.subTest(contact_s=contact_s):
                values = dataclasses.replace(
                    _SETTINGS,
                    contact_s=contact_s,
                    apply_s=apply_s,
                    drain_s=drain_s,
                )
                delay_s = values.watch_timing.max_detection_delay_s
                self.assertEqual(delay_s, expected_s)

    def test_shortest_limit_bounds_the_age(self) -> None:
        """An evacuation may have to take effect before a configuration."""
        for evacuation_s, expected_s in ((None, 2.0), (5.0, 2.0), (1.5, 1.5)):
            with self.subTest(evacuation_s=evacuation_s):
                values = dataclasses.replace(
                    _SETTINGS, evacuation_s=evacuation_s
                )
                self.assertEqual(values.max_age_s, expected_s)
