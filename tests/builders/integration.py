"""Base class and helpers of the tests with real processes."""

import asyncio
import collections
import json
import pathlib
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from dragonflydyke import configuration
from dragonflydyke.cli import client as admin_client
from dragonflydyke.cli import operations
from harness import deployment, http

ACCOUNT_KEY = "account-key"
OTHER_KEY = "other-account-key"
MODEL = "planner-small"
# Timeout after which a test fails; not a limit that a test asserts.
_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05


def build_mapping(
    versions: int = 2, engines: int = 1, **replaced: Any
) -> dict[str, Any]:
    """Returns a configuration with one model and two client accounts.

    Args:
        versions: Number of versions of the model: v1, v2 and so on, all active.
        engines: Number of engines, each of which serves all versions.
        replaced: Top-level fields to add or replace.
    """
    names = [f"v{number}" for number in range(1, versions + 1)]
    return {
        "deployment": "proofs",
        "data_centres": [
            {"name": "cartago-a", "region": "cr-central"},
            {"name": "cartago-b", "region": "cr-central"},
        ],
        "models": [
            {
                "name": MODEL,
                "versions": [
                    {
                        "name": name,
                        "state": "active",
                        "price": {"prompt": 100_000, "completion": 400_000},
                        "quality": {"question": 0.9},
                    }
                    for name in names
                ],
            }
        ],
        "classes": [
            {
                "name": "question",
                "quality_target": 0.5,
                "deadline_s": 30.0,
                "max_completion_tokens": 4,
            }
        ],
        "client_accounts": [
            _build_account("account", ACCOUNT_KEY),
            _build_account("other", OTHER_KEY),
        ],
        "backend_servers": [
            {
                "name": f"engine-{number}",
                "kind": "engine",
                # Placeholder; the deployment sets the actual URL.
                "url": f"http://127.0.0.1:{number}",
                "data_centre": "cartago-a",
                "serves": [f"{MODEL}@{name}" for name in names],
                "checks_fencing": number % 2 == 1,
                "slots": 64,
            }
            for number in range(1, engines + 1)
        ],
        **replaced,
    }


def _build_account(name: str, key: str) -> dict[str, Any]:
    return {
        "name": name,
        "key_hashes": [configuration.hash_key(key)],
        "models": [MODEL],
        "default_class": "question",
    }


def set_version_state(mapping: dict[str, Any], name: str, state: str) -> None:
    """Sets the state of a version in a configuration."""
    for version in mapping["models"][0]["versions"]:
        if version["name"] == name:
            version["state"] = state


class IntegrationTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that start deployments and send requests."""

    async def deploy(
        self, mapping: dict[str, Any], **options: Any
    ) -> deployment.Deployment:
        """Starts a deployment, which is stopped after the test.

        Returns when every router has received reports of all others.
        """
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        configuration_path = path / "configuration"
        configuration_path.mkdir()
        # JSON is a subset of YAML.
        (configuration_path / "all.yaml").write_text(json.dumps(mapping))
        self.running = deployment.Deployment(
            path, deployment.DeploymentOptions(configuration_path, **options)
        )
        self.addAsyncCleanup(self.running.stop)
        await self.running.start()
        await self.running.wait_until_connected()
        return self.running

    def router(self, number: int) -> deployment.RunningRouter:
        """Returns the router with a number, for example router-1."""
        return self.running.routers[f"router-{number}"]

    async def send_chat(
        self,
        router: deployment.RunningRouter,
        model: str = MODEL,
        *,
        session: str = "",
        key: str = ACCOUNT_KEY,
        **options: Any,
    ) -> http.HttpResponse:
        """Sends a chat completion request to a router."""
        headers = {"Authorization": f"Bearer {key}"}
        if session:
            headers["Dragonflydyke-Session"] = session
        return await self.running.http.call(
            "POST",
            f"{router.public_url}/v1/chat/completions",
            body={
                "model": model,
                "messages": [{"role": "user", "content": "Which hamper?"}],
                "max_tokens": 2,
            },
            headers=headers,
            **options,
        )

    async def call_admin(
        self,
        router: deployment.RunningRouter,
        path: str,
        method: str = "GET",
        body: Any = None,
    ) -> http.HttpResponse:
        """Calls the admin API of a router with the operator key."""
        return await self.running.call_admin(router, path, method, body)

    async def read_counter(
        self, router: deployment.RunningRouter, name: str
    ) -> int:
        """Returns the total of a counter of a router."""
        reply = await self.call_admin(router, "/v1/counters")
        return reply.json()["counters"].get(name, 0)

    async def count_engine_requests(self) -> collections.Counter[str]:
        """Returns the number of requests at the engines, by version name."""
        total: collections.Counter[str] = collections.Counter()
        for name in self.running.backends:
            received = (await self.running.control_emulator(name)).get(
                "received", {}
            )
            for version, count in received.items():
                total[version.rpartition("@")[2]] += count
        return total

    async def withdraw(self, version: str, router_number: int = 1) -> int:
        """Withdraws a version and returns the new revision."""
        set_version_state(self.running.document, version, "withdrawn")
        return await self.running.apply(
            self.running.document, self.router(router_number)
        )

    async def wait_in_force(
        self, revision: int, router_number: int = 1
    ) -> float:
        """Waits like `dragonflydyke wait`; returns the duration in seconds."""
        started_s = time.monotonic()
        client = admin_client.AdminClient(
            [self.router(router_number).admin_url], deployment.OPERATOR_KEY
        )
        try:
            await operations.wait_until_in_force(client, revision, _TIMEOUT_S)
        finally:
            client.close()
        return time.monotonic() - started_s

    async def wait_until(
        self, description: str, condition: Callable[[], Awaitable[Any]]
    ) -> Any:
        """Repeats a check until its result is true and returns the result."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                while not (result := await condition()):
                    await asyncio.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            self.fail(f"timeout while waiting until {description}")
        return result

    async def read_object(self, kind: str, name: str) -> Any:
        """Returns the value of an object on the platform, None if absent."""
        url = f"{self.running.platform_url}/v1/objects/{kind}/{name}"
        reply = await self.running.http.call("GET", url)
        return reply.json()["value"] if reply.status == 200 else None

    async def read_lease_holder(self) -> str:
        """Returns the VM that holds the lease of the rollout driver."""
        lease = await self.read_object("leases", "rollout")
        return lease["holder"].partition("/")[0]

    async def read_revision(self, router: deployment.RunningRouter) -> int:
        """Returns the revision in force on a router, 0 if none."""
        reply = await self.call_admin(router, "/v1/status")
        return reply.json()["revision"] or 0


def read_code(reply: http.HttpResponse) -> str:
    """Returns the error code of a reply, `ok` or `no response`."""
    if reply.status == 200:
        return "ok"
    if reply.status == 599:
        return "no response"
    return reply.json()["error"]["code"]


def read_revision(reply: http.HttpResponse) -> int:
    """Returns the configuration revision that a request was served with."""
    return int(reply.headers["Dragonflydyke-Revision"])


def build_roll_out(
    steps: tuple[tuple[float, float], ...], min_samples: int = 5
) -> dict[str, Any]:
    """Returns a rollout from v1 to v2.

    Args:
        steps: Share and duration in seconds of each step.
        min_samples: Requests required before the stop condition is evaluated.
    """
    return {
        "name": "next",
        "model": MODEL,
        "from_version": "v1",
        "to_version": "v2",
        "steps": [{"share": share, "hold_s": hold} for share, hold in steps],
        "stop": {
            "min_samples": min_samples,
            "min_rating": 0.5,
            "max_error_share": 0.2,
        },
    }


def read_version(reply: http.HttpResponse) -> str:
    """Returns the name of the version that served a reply."""
    return reply.headers["Dragonflydyke-Version"].rpartition("@")[2]
