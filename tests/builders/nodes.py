"""Whole router nodes in the process of the test."""

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from tornado import netutil, tcpclient

from dragonflydyke import metrics, settings, transport
from dragonflydyke.forwarding import node, paths, rollouts, tunnels
from dragonflydyke.platform import headers, records, reports, store

_HOST = "127.0.0.1"
# Tunnels are opened in real time, and a busy machine may stop a test for longer
# than a neighbour is waited for.
PATIENT_TIMEOUT_S = 10.0


class CutResolver(transport.AddressResolver):
    """Resolves the ports behind a cut to a port that refuses connections.

    Attributes:
        cut_ports: Ports that cannot be reached.
    """

    cut_ports: frozenset[int] = frozenset()
    refusing_port = 1

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        """Returns pairs of address family and socket address."""
        if port in self.cut_ports:
            port = self.refusing_port
        return await super().resolve(host, port, family)


def build_settings(vm: str, store_port: int) -> node.NodeSettings:
    """Returns the settings of a node with free ports."""
    return node.NodeSettings(
        vm=vm,
        data_centre="north",
        front=_find_free_address(),
        ready=_find_free_address(),
        metrics=_find_free_address(),
        peers=_find_free_address(),
        store_url=f"http://{_HOST}:{store_port}",
        grace_s=8.0,
        exposure=rollouts.ExposureLimit(0.1),
        contact_s=3.0,
        drain_s=2.0,
        apply_s=2.0,
    )


def start_node(
    values: node.NodeSettings,
    add_cleanup: Callable[..., object],
    resolver: transport.AddressResolver | None = None,
) -> node.Node:
    """Starts a node.

    Args:
        values: Its settings.
        add_cleanup: Receives what ends it.
        resolver: Resolver of the connections to servers and other nodes.
    """
    counters = metrics.Counters()
    found = resolver or transport.AddressResolver()
    with mock.patch.object(
        node.transport,
        "AddressResolver",
        lambda: found,
    ):
        built = node.Node(
            values,
            store.PlatformStore(values.store_url, counters),
            records.KINDS,
            headers.HeaderCodec(),
            reports.ReportCodec(),
            counters,
            lambda: values,
        )
    add_cleanup(asyncio.create_task(built.run()).cancel)
    return built


def start_tunnel_server(
    counters: metrics.Counters,
    add_cleanup: Callable[..., object],
    refusal: tunnels.Refusal | None = None,
) -> tuple[tunnels.TunnelServer, settings.Address]:
    """Starts a neighbour that reaches all servers, or refuses all connections.

    Args:
        counters: Counters of the neighbour.
        add_cleanup: Receives what ends it.
        refusal: Why it refuses, None to pass connections on.

    Returns:
        The neighbour and its address.
    """
    connector = paths.ServerConnector(
        tcpclient.TCPClient(), paths.Neighbours(random.Random(3)), counters
    )
    server = tunnels.TunnelServer(
        lambda address, region: refusal, connector.connect_directly, counters
    )
    (listener,) = netutil.bind_sockets(0, _HOST)
    server.add_socket(listener)
    add_cleanup(server.stop)
    return server, settings.Address(_HOST, listener.getsockname()[1])


def wait_for_neighbours(add_cleanup: Callable[..., object]) -> None:
    """Lets nodes wait for neighbours however busy the machine is.

    Args:
        add_cleanup: Receives what ends it.
    """
    for module, name in (
        (paths, "TUNNEL_TIMEOUT_S"),
        (tunnels, "REQUEST_TIMEOUT_S"),
    ):
        patch = mock.patch.object(module, name, PATIENT_TIMEOUT_S)
        patch.start()
        add_cleanup(patch.stop)


def _find_free_address() -> settings.Address:
    """Returns an address at which no socket listens."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return settings.Address(_HOST, probe.getsockname()[1])
