"""Platform emulator process of one measurement."""

import pathlib
from collections.abc import Sequence
from typing import Any

from harness import http, processes


class PlatformProcess:
    """A platform emulator process with a client of its HTTP API.

    Attributes:
        url: Base URL of the emulator; empty until it is started.
    """

    __slots__ = ("_http", "_process", "url")

    def __init__(self, directory: pathlib.Path) -> None:
        self._process = processes.ManagedProcess(
            "platform",
            "dragonflydyke.emulator.platform_main",
            ("serve",),
            directory,
        )
        self._http = http.HttpClient()
        self.url = ""

    async def start(self) -> None:
        """Starts the emulator and sets `url`."""
        await self._process.start()
        self.url = f"http://{self._process.ready_line}"

    async def stop(self) -> None:
        """Stops the emulator and closes the client."""
        await self._process.stop()
        self._http.close()

    async def create_configuration(self, mapping: dict[str, Any]) -> None:
        """Stores a configuration document as revision 1."""
        value = {
            "revision": 1,
            "document": mapping,
            "applied_at_ms": 0,
            "applied_by": "capacity",
            "change_id": "first",
        }
        await self._call(
            "PUT",
            "/v1/objects/control/config",
            value,
            {"If-None-Match": "*"},
        )

    async def publish_vms(self, vms: Sequence[dict[str, str]]) -> None:
        """Replaces the VM list."""
        await self._call("PUT", "/v1/vms", {"vms": list(vms)})

    async def set_behaviour(self, **fields: Any) -> dict[str, Any]:
        """Changes the emulator's behaviour.

        Args:
            **fields: New values by name of the behaviour's fields.

        Returns:
            The behaviour and the number of calls.
        """
        return await self._call("POST", "/control", fields)

    async def read_call_counts(self) -> dict[str, int]:
        """Returns the number of calls since the start by HTTP method."""
        return (await self._call("GET", "/control"))["calls"]

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        response = await self._http.call(
            method, f"{self.url}{path}", body=body, headers=headers
        )
        if response.status != 200:
            raise RuntimeError(
                f"{method} {path}: {response.status} {response.error}"
            )
        return response.json()


def describe_vm(
    name: str, data_centre: str, address: str, role: str = "entry"
) -> dict[str, str]:
    """Returns a VM as an entry of the platform's VM list."""
    return {
        "name": name,
        "data_centre": data_centre,
        "role": role,
        "inner_address": address,
        "state": "live",
    }
