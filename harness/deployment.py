"""A deployment of emulator and router processes on loopback."""

import asyncio
import collections
import dataclasses
import hashlib
import json
import pathlib
from typing import Any

import ruamel.yaml

from harness import http, processes, proxy

OPERATOR_KEY = "operator-key-for-tests"
# Seed of the texts that the engine emulators generate.
ENGINE_SEED = 0
INNER_KEY = "inner-key-for-tests"
ROUTERS = (
    ("router-1", "cartago-a"),
    ("router-2", "cartago-a"),
    ("router-3", "cartago-b"),
)
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.05
_PRINTED_LOG_CHARACTERS = 4_000
_LOOPBACK = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class RunningRouter:
    """A router process and its addresses."""

    vm: str
    data_centre: str
    process: processes.ManagedProcess
    public_url: str = ""
    admin_url: str = ""
    inner_address: str = ""
    platform_proxy: proxy.FaultProxy | None = None


@dataclasses.dataclass(slots=True)
class DeploymentOptions:
    """Options of a deployment.

    Attributes:
        configuration: Directory of the configuration to apply.
        routers: Names and data centres of the routers.
        engine_flags: Flags for all engine emulators.
        router_flags: Flags for all routers.
        platform_proxies: Whether each router connects to the platform through
            its own fault proxy.
        backend_proxies: Whether routers connect to backend servers through
            fault proxies.
        peer_proxies: Whether each router connects to each other router through
            a fault proxy of the pair. Reports contain the sender's direct
            address, so a pair must be isolated in both directions.
    """

    configuration: pathlib.Path
    routers: tuple[tuple[str, str], ...] = ROUTERS
    engine_flags: tuple[str, ...] = ("--prefill-ms", "0.05", "--decode-ms", "2")
    router_flags: tuple[str, ...] = ("--drain-s", "0.2")
    platform_proxies: bool = False
    backend_proxies: bool = False
    peer_proxies: bool = False


class Deployment:
    """Starts emulators and routers, and applies a configuration.

    Attributes:
        platform: Process of the platform emulator.
        platform_url: Base URL of the platform emulator.
        rating_url: Base URL of the rating service.
        backends: Backend server processes by configured name.
        backend_urls: Base URLs of the processes, not of their proxies.
        backend_proxies: Fault proxies by configured name.
        peer_proxies: Fault proxies by VM names of the connecting and the target
            router.
        routers: Routers by VM name.
        http: HTTP client.
        document: Configuration to apply, with the URLs of the emulators.
    """

    __slots__ = (
        "_directory",
        "_options",
        "_platform_proxies",
        "_proxied_addresses",
        "_started",
        "backend_proxies",
        "backend_urls",
        "backends",
        "document",
        "http",
        "peer_proxies",
        "platform",
        "platform_url",
        "rating_url",
        "routers",
    )

    def __init__(
        self, directory: pathlib.Path, options: DeploymentOptions
    ) -> None:
        """Creates a deployment without starting it.

        Args:
            directory: Directory for logs and key files.
            options: Options of the deployment.
        """
        self._directory = directory
        self._options = options
        self._started: list[processes.ManagedProcess] = []
        self._platform_proxies: dict[str, proxy.FaultProxy] = {}
        self.http = http.HttpClient()
        self.platform_url = ""
        self.rating_url = ""
        self.backends: dict[str, processes.ManagedProcess] = {}
        self.backend_urls: dict[str, str] = {}
        self.backend_proxies: dict[str, proxy.FaultProxy] = {}
        self.peer_proxies: dict[tuple[str, str], proxy.FaultProxy] = {}
        self._proxied_addresses: dict[tuple[str, str], str] = {}
        self.routers: dict[str, RunningRouter] = {}
        self.document = load_documents(options.configuration)

    async def __aenter__(self) -> "Deployment":
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Starts all processes and waits until all routers are ready."""
        await asyncio.gather(self._start_platform(), self._start_rating())
        await asyncio.gather(
            *(
                self._start_backend(entry)
                for entry in self.document["backend_servers"]
            )
        )
        await asyncio.gather(
            *(
                self.start_router(vm, data_centre)
                for vm, data_centre in self._options.routers
            )
        )
        await self.publish_vms()
        await self.apply(self.document)
        await asyncio.gather(
            *(self.wait_until_ready(router) for router in self.routers.values())
        )

    async def stop(self) -> None:
        """Stops all processes and proxies."""
        routers = [r.process for r in self.routers.values()]
        await asyncio.gather(*(p.stop() for p in routers))
        rest = [p for p in self._started if p not in routers]
        await asyncio.gather(*(p.stop() for p in rest))
        proxies = [
            *self.backend_proxies.values(),
            *self.peer_proxies.values(),
            *self._platform_proxies.values(),
        ]
        await asyncio.gather(*(entry.stop() for entry in proxies))
        self.http.close()

    def list_processes(self) -> list[processes.ManagedProcess]:
        """Returns all running processes."""
        return [p for p in self._started if p.is_running]

    def read_logs(self) -> dict[str, str]:
        """Returns the logs of all processes by process name."""
        return {p.name: p.read_log() for p in self._started}

    def print_logs(self) -> None:
        """Prints the end of each log; they are deleted with the directory."""
        for name, log in self.read_logs().items():
            print("log of", name, log[-_PRINTED_LOG_CHARACTERS:], flush=True)

    def add_router_flags(self, *flags: str) -> None:
        """Adds flags of routers that are started after this call."""
        self._options.router_flags = (*self._options.router_flags, *flags)

    async def start_router(self, vm: str, data_centre: str) -> RunningRouter:
        """Starts a router on a VM; replaces the entry of the same name."""
        process = processes.ManagedProcess(
            vm,
            "dragonflydyke.router.main",
            ("serve", *await self._build_router_flags(vm, data_centre)),
            self._directory,
        )
        router = RunningRouter(vm, data_centre, process)
        await process.start()
        self._started.append(process)
        words = process.ready_line.split()
        addresses = dict(zip(words[::2], words[1::2], strict=True))
        router.public_url = f"http://{addresses['public']}"
        router.admin_url = f"http://{addresses['admin']}"
        router.inner_address = addresses["inner"]
        router.platform_proxy = self._platform_proxies.get(vm)
        self.routers[vm] = router
        return router

    async def publish_vms(
        self,
        leaving: frozenset[str] = frozenset(),
        keep_listed: frozenset[str] = frozenset(),
    ) -> None:
        """Writes the running routers and the backend servers to the VM list.

        Args:
            leaving: VMs to list with the state `leaving`.
            keep_listed: VMs of routers that are listed although they exited.
        """
        vms: list[dict[str, Any]] = [
            {
                "name": router.vm,
                "data_centre": router.data_centre,
                "role": "entry",
                "inner_address": router.inner_address,
                "state": "leaving" if router.vm in leaving else "live",
            }
            for router in self.routers.values()
            if router.process.is_running or router.vm in keep_listed
        ]
        vms += [
            {
                "name": entry["vm"],
                "data_centre": entry["data_centre"],
                "role": "backend",
                "inner_address": "",
                "state": "leaving" if entry["vm"] in leaving else "live",
            }
            for entry in self.document["backend_servers"]
            if entry.get("vm")
        ]
        body = {"vms": vms}
        if self._options.peer_proxies:
            body["views"] = await self._build_viewer_addresses()
        await self.http.call("PUT", f"{self.platform_url}/v1/vms", body=body)

    def isolate_from_platform(self, vm: str) -> None:
        """Isolates a router from the platform."""
        self._platform_proxies[vm].isolate()

    def isolate_from_peers(self, vm: str, *others: str) -> None:
        """Isolates a router from the given others, or from all."""
        for pair, fault_proxy in self.peer_proxies.items():
            if vm in pair and (not others or set(pair) & set(others)):
                fault_proxy.isolate()

    def clear_link_faults(self) -> None:
        """Clears all faults of the proxies to the platform and to peers."""
        for fault_proxy in (
            *self._platform_proxies.values(),
            *self.peer_proxies.values(),
        ):
            fault_proxy.clear_faults()

    async def apply(
        self, document: dict[str, Any], router: RunningRouter | None = None
    ) -> int:
        """Applies a configuration and returns its revision.

        Raises:
            RuntimeError: If the configuration is rejected.
            TimeoutError: If it is not accepted in time.
        """
        url = (router or next(iter(self.routers.values()))).admin_url
        last = http.HttpResponse(0, {}, b"")
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while last.status != 200:
                last = await self.try_apply(document, url)
                if last.status in (400, 401, 409, 422):
                    break
                await asyncio.sleep(_POLL_S)
        if last.status != 200:
            raise RuntimeError(f"apply: {last.status} {last.body.decode()}")
        return last.json()["revision"]

    async def try_apply(
        self, document: dict[str, Any], admin_url: str
    ) -> http.HttpResponse:
        """Sends a configuration to a router, without retries."""
        return await self.http.call(
            "POST",
            f"{admin_url}/v1/configuration?applied_by=harness",
            body=document,
            headers=build_operator_headers(),
        )

    async def wait_until_ready(self, router: RunningRouter) -> None:
        """Waits until a router accepts requests."""
        await self.wait_for_status(f"{router.admin_url}/health/ready", 200)

    async def wait_until_connected(self) -> None:
        """Waits until each router has reports of all the others.

        A router is ready before; until then it has no peers that could hold
        replicas of its bills.

        Raises:
            TimeoutError: If a report is missing; the logs are printed.
        """
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                for router in self.routers.values():
                    while not await self.has_all_reports(router):
                        await asyncio.sleep(_POLL_S)
        except TimeoutError:
            print("status of", router.vm, await self.read_status(router))
            self.print_logs()
            raise

    async def wait_for_status(self, url: str, status: int) -> None:
        """Waits until a GET request to a URL returns a status."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while (await self.http.call("GET", url)).status != status:
                await asyncio.sleep(_POLL_S)

    async def control_emulator(self, name: str, **fields: Any) -> Any:
        """Changes the behaviour of an emulator and returns its state.

        Args:
            name: `platform`, `rating` or the name of a backend server.
            **fields: Behaviour fields to set.

        Raises:
            RuntimeError: If the emulator rejects the fields.
        """
        url = self.platform_url
        if name == "rating":
            url = self.rating_url
        elif name != "platform":
            url = self.backend_urls[name]
        response = await self.http.call("POST", f"{url}/control", body=fields)
        if response.status != 200:
            raise RuntimeError(f"control {name}: {response.body.decode()}")
        return response.json()

    async def read_ledger(self) -> list[dict[str, Any]]:
        """Returns all bills as stored on the platform."""
        response = await self.http.call(
            "GET", f"{self.platform_url}/v1/objects/ledger?since=0"
        )
        entries = response.json()["objects"]
        return [
            {"request_id": bill["bill_id"], **bill, "journal": entry["name"]}
            for entry in entries
            for bill in entry["value"]["bills"]
        ]

    async def call_admin(
        self,
        router: RunningRouter,
        path: str,
        method: str = "GET",
        body: Any = None,
    ) -> http.HttpResponse:
        """Calls the admin API of a router with the operator key."""
        return await self.http.call(
            method,
            f"{router.admin_url}{path}",
            body=body,
            headers=build_operator_headers(),
        )

    async def read_statement(
        self, router: RunningRouter
    ) -> list[dict[str, Any]]:
        """Returns the bills of the statement, each bill_id once."""
        response = await self.call_admin(router, "/v1/bills")
        return response.json()["bills"]

    async def read_status(self, router: RunningRouter) -> dict[str, Any]:
        """Returns the status of a router and of the VMs that it knows."""
        response = await self.call_admin(router, "/v1/status")
        return response.json()

    async def has_all_reports(self, router: RunningRouter) -> bool:
        """Returns whether a router has a report of each router that serves."""
        status = await self.read_status(router)
        states = [row["state"] for row in status["vms"]]
        return states == ["serving"] * len(self.routers)

    async def check_ledger(self, router: RunningRouter) -> dict[str, Any]:
        """Returns the gaps and duplicates that `bills --check` reports."""
        response = await self.call_admin(router, "/v1/bills?check=true")
        return response.json()

    async def read_counters(self, router: RunningRouter) -> dict[str, int]:
        """Returns the counters of a router."""
        response = await self.call_admin(router, "/v1/counters")
        return response.json()["counters"]

    async def read_emulator(self, name: str) -> Any:
        """Returns behaviour and counters of an emulated backend server."""
        url = f"{self.backend_urls[name]}/control"
        return (await self.http.call("GET", url)).json()

    async def read_runs(self) -> dict[str, int]:
        """Returns executions by request id, summed over the backend servers."""
        runs: collections.Counter[str] = collections.Counter()
        for name in self.backends:
            state = await self.read_emulator(name)
            runs.update(state.get("runs", {}))
            executions = state.get("executions", ())
            runs.update(entry["request_id"] for entry in executions)
        return dict(runs)

    async def wait_for_bills(self, count: int) -> list[dict[str, Any]]:
        """Waits until the ledger has a number of bills; returns all bills."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while len(bills := await self.read_ledger()) < count:
                await asyncio.sleep(_POLL_S)
        return bills

    async def _build_viewer_addresses(self) -> dict[str, dict[str, str]]:
        """Starts a proxy per pair of routers; returns addresses by viewer."""
        addresses: dict[str, dict[str, str]] = {}
        for viewer in self.routers:
            for vm, router in self.routers.items():
                if vm == viewer:
                    continue
                fault_proxy = await self._get_peer_proxy((viewer, vm), router)
                addresses.setdefault(viewer, {})[vm] = fault_proxy.address
        return addresses

    async def _get_peer_proxy(
        self, pair: tuple[str, str], router: RunningRouter
    ) -> proxy.FaultProxy:
        if self._proxied_addresses.get(pair) != router.inner_address:
            if pair in self.peer_proxies:
                await self.peer_proxies[pair].stop()
            self.peer_proxies[pair] = await _start_proxy(router.inner_address)
            self._proxied_addresses[pair] = router.inner_address
        return self.peer_proxies[pair]

    async def _start(
        self, name: str, module: str, *flags: str
    ) -> processes.ManagedProcess:
        process = processes.ManagedProcess(
            name, module, ("serve", *flags), self._directory
        )
        await process.start()
        self._started.append(process)
        return process

    async def _start_platform(self) -> None:
        process = await self._start(
            "platform", "dragonflydyke.emulator.platform_main"
        )
        self.platform = process
        self.platform_url = f"http://{process.ready_line}"

    async def _start_rating(self) -> None:
        process = await self._start(
            "rating",
            "dragonflydyke.emulator.service_main",
            "--rating",
            "true",
        )
        self.rating_url = f"http://{process.ready_line}"

    async def _start_backend(self, entry: dict[str, Any]) -> None:
        name = entry["name"]
        if entry["kind"] == "engine":
            flags = (
                "--versions",
                ",".join(entry["serves"]),
                "--checks-fencing",
                "true" if entry.get("checks_fencing") else "false",
                "--slots",
                str(entry.get("slots", 8)),
                # Without the flag, a seed of the tests in the environment would
                # be used.
                "--seed",
                str(ENGINE_SEED),
                *self._options.engine_flags,
            )
            module = "dragonflydyke.emulator.engine_main"
        else:
            flags = ()
            module = "dragonflydyke.emulator.service_main"
        process = await self._start(name, module, *flags)
        self.backends[name] = process
        self.backend_urls[name] = f"http://{process.ready_line}"
        entry["url"] = self.backend_urls[name]
        if self._options.backend_proxies:
            fault_proxy = await _start_proxy(process.ready_line)
            self.backend_proxies[name] = fault_proxy
            entry["url"] = f"http://{fault_proxy.address}"

    async def _build_router_flags(
        self, vm: str, data_centre: str
    ) -> tuple[str, ...]:
        key_file = self._directory / "inner.key"
        key_file.write_text(INNER_KEY)
        platform_url = self.platform_url
        if self._options.platform_proxies:
            if vm not in self._platform_proxies:
                address = self.platform.ready_line
                self._platform_proxies[vm] = await _start_proxy(address)
            platform_url = f"http://{self._platform_proxies[vm].address}"
        if self._options.peer_proxies:
            platform_url += f"/as/{vm}"
        seeds = [r.inner_address for r in self.routers.values() if r.vm != vm]
        return (
            f"--vm-name={vm}",
            f"--data-centre={data_centre}",
            f"--public-address={_LOOPBACK}:0",
            f"--inner-address={_LOOPBACK}:0",
            f"--admin-address={_LOOPBACK}:0",
            f"--platform-url={platform_url}",
            f"--rating-url={self.rating_url}",
            f"--seed-peers={','.join(seeds)}",
            f"--inner-key-file={key_file}",
            f"--operator-key-hashes={hash_key(OPERATOR_KEY)}",
            *self._options.router_flags,
        )


async def _start_proxy(address: str) -> proxy.FaultProxy:
    host, _, port = address.rpartition(":")
    fault_proxy = proxy.FaultProxy(host, int(port))
    await fault_proxy.start()
    return fault_proxy


def hash_key(key: str) -> str:
    """Returns the hash under which a bearer key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def build_operator_headers() -> dict[str, str]:
    """Returns the HTTP headers of a call by an operator."""
    return {"Authorization": f"Bearer {OPERATOR_KEY}"}


def load_documents(directory: pathlib.Path) -> dict[str, Any]:
    """Loads the YAML files of a directory, concatenating equal lists."""
    merged: dict[str, Any] = {}
    for path in sorted(directory.glob("*.yaml")):
        loaded = ruamel.yaml.YAML(typ="safe").load(path.read_text()) or {}
        for key, value in loaded.items():
            if isinstance(value, list):
                merged.setdefault(key, []).extend(value)
            else:
                merged[key] = value
    return json.loads(json.dumps(merged))
