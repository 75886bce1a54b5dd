"""The project's own program, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import tomllib
from typing import Any

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")
_START_S = 20.0
_BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.9,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "exposureShare": 0.15,
    "exposureSlack": 30,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
    "sessionS": 5,
}


def _find_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Router:
    """One node.

    Attributes:
        name: Name of the node.
        front: Host and port for clients.
        process: The process, None before the start.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        zone: str,
        zones: list[str],
        store_address: str,
    ) -> None:
        # The metrics port is fixed, so each node has an address of its own.
        process_id = os.getpid()
        self._host = f"127.{process_id // 250 % 250 + 1}.{process_id % 250}"
        self._host += f".{number + 1}"
        self._folder = folder
        self._zone = zone
        self._zones = zones
        self._store_address = store_address
        self.name = f"edge-{zone}-{number + 1}"
        self.front = (self._host, _find_port(self._host))
        self.ready = (self._host, _find_port(self._host))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._describe()))
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        environment["DRAGONFLYDYKE_CONFIG"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["router"]["run"].split(" "),
                cwd=_ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Waits until the node says that it is ready."""
        async with asyncio.timeout(_START_S):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Returns whether the node says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def _describe(self) -> dict[str, Any]:
        front_host, front_port = self.front
        ready_host, ready_port = self.ready
        return {
            "nodeName": self.name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self._host,
            "zone": self._zone,
            "region": "cymru",
            "zones": dict.fromkeys(self._zones, "cymru"),
            "listen": {
                "front": f"{front_host}:{front_port}",
                "ready": f"{ready_host}:{ready_port}",
            },
            "internalPorts": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 150,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
                "rollout",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": _BOUNDS,
            "platform": {
                "address": self._store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
