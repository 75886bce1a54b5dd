"""A small deployment: platform, runners and nodes, for the time of a case."""

import asyncio
import os
import pathlib
import tempfile
from typing import Any

from standins import clients, record, routers, runners, store

ENGINES = "llm-servers"
DESK = "office-app"
HOST = "ficu95.example"


def build_route(
    name: str, prefix: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "service": service,
        "kind": kind,
        "timeoutMs": 1_500,
        "targetLatencyMs": 400,
        "maxAttempts": 1,
        "priority": 1,
        **fields,
    }


def build_configuration(
    version: int, routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINES,
                "healthPath": "/healthz",
                "maxConnections": 370,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 492_709,
                    "stride": 5,
                    "models": [{"name": "m0", "cost": 0.01}],
                },
            },
            {
                "name": DESK,
                "healthPath": "/healthz",
                "maxConnections": 110,
            },
        ],
        "tenants": [
            {"name": clients.TENANT, "apiKeys": [clients.KEY], "priority": 1}
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 10_000,
        },
    }


class Deployment:
    """Platform, runners and nodes.

    Attributes:
        log: Record of the case.
        store: The platform's store.
        runners: All runners.
        nodes: All nodes.
    """

    def __init__(self, case: pathlib.Path) -> None:
        self.log = record.Record(case / "record.txt")
        self.store = store.Store()
        self.runners: list[runners.Runner] = []
        self.nodes: list[routers.Router] = []
        self._folder = tempfile.TemporaryDirectory()

    async def start_store(self, configuration: dict[str, Any]) -> None:
        """Starts the store with a first configuration."""
        await self.store.start("127.0.0.1")
        self.store.put("config", "main", spec=configuration)

    async def add_runner(
        self,
        service: str,
        zone: str,
        handler: runners.Handler,
        **options: Any,
    ) -> runners.Runner:
        """Starts a runner."""
        runner = runners.Runner(
            self.store, self.log, service, zone, handler, **options
        )
        await runner.start()
        self.runners.append(runner)
        return runner

    async def add_node(self, zone: str, zones: list[str]) -> routers.Router:
        """Starts a node without waiting until it is ready."""
        folder = pathlib.Path(os.environ.get("LOGS") or self._folder.name)
        node = routers.Router(
            folder, len(self.nodes), zone, zones, self.store.address
        )
        self.nodes.append(node)
        await node.start()
        return node

    async def wait_ready(self) -> None:
        """Waits until all nodes are ready."""
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))

    async def stop(self) -> None:
        """Ends all that was started."""
        for node in self.nodes:
            await node.kill()
        for runner in self.runners:
            runner.end()
        self.log.close()
        self._folder.cleanup()
