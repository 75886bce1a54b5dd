"""Tests of name resolution."""

import asyncio
import socket
import unittest
from unittest import mock

from dragonflydyke import transport


class AddressResolverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against using a worker thread to resolve IP addresses."""

    async def test_ip_addresses_are_resolved_without_thread(self) -> None:
        resolver = transport.AddressResolver()
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "getaddrinfo") as getaddrinfo:
            ipv4 = await resolver.resolve("127.0.0.1", 80)
            ipv6 = await resolver.resolve("::1", 80)
        getaddrinfo.assert_not_called()
        self.assertEqual(ipv4, [(socket.AF_INET, ("127.0.0.1", 80))])
        self.assertEqual(ipv6, [(socket.AF_INET6, ("::1", 80, 0, 0))])

    async def test_host_names_are_resolved(self) -> None:
        resolver = transport.AddressResolver()
        found = await resolver.resolve("localhost", 80)
        self.assertIn(("127.0.0.1", 80), [a[:2] for _, a in found])
