"""Measurement of idle routers.

Their load depends on the number of peers, backend servers and client accounts.
"""

import asyncio
import dataclasses
import pathlib

from harness import deployment, processes
from harness.measures import documents, platforms, router, samples

_LOOPBACK = "127.0.0.1"
_WARM_UP_S = 8.0
_PLATFORM_WRITES_COUNTER = "platform.PUT.answered"
_MAX_CONCURRENT_STARTS = 6


@dataclasses.dataclass(slots=True, frozen=True)
class RouterGroupSpec:
    """Sizes of a group of routers and its configuration.

    Attributes:
        routers: Number of routers.
        servers: Number of backend servers in the configuration.
        accounts: Number of client accounts in the configuration.
        backend_vms: Number of backend servers in the platform's VM list.
        mesh_vms: Number of VMs up to which every router exchanges reports with
            every other router, without relays.
    """

    routers: int
    servers: int
    accounts: int
    backend_vms: int = 0
    mesh_vms: int = 16


class RouterGroup:
    """Context manager that runs a group of routers.

    Attributes:
        router_processes: Processes of the routers and their snapshot files.
        public_urls: Base URLs of the routers' public APIs.
        engine: Engine emulator that serves as every backend server.
    """

    __slots__ = (
        "_directory",
        "_platform",
        "_spec",
        "engine",
        "public_urls",
        "router_processes",
    )

    def __init__(
        self,
        spec: RouterGroupSpec,
        directory: pathlib.Path,
        engine_flags: tuple[str, ...] = (),
    ) -> None:
        self._spec = spec
        self._directory = directory
        self._platform = platforms.PlatformProcess(directory)
        models = range(documents.MODELS)
        versions = ",".join(f"planner-{m}@v{v}" for m in models for v in (1, 2))
        self.engine = processes.ManagedProcess(
            "engine",
            "dragonflydyke.emulator.engine_main",
            ("serve", f"--versions={versions}", *engine_flags),
            directory,
        )
        self.router_processes: list[
            tuple[processes.ManagedProcess, pathlib.Path]
        ] = []
        self.public_urls: list[str] = []

    async def __aenter__(self) -> "RouterGroup":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        await asyncio.gather(self._platform.start(), self.engine.start())
        document = documents.build_configuration(
            self._spec.servers,
            self._spec.accounts,
            (f"http://{self.engine.ready_line}",),
        )
        await self._platform.create_configuration(document)
        mesh_file = self._directory / router.MESH_FILE
        mesh_file.write_text(str(self._spec.mesh_vms))
        start_limit = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)
        vms = await asyncio.gather(
            *(
                self._start_router(i, start_limit)
                for i in range(self._spec.routers)
            )
        )
        vms += [
            platforms.describe_vm(
                f"backend-{index}", documents.DATA_CENTRES[0][0], "", "backend"
            )
            for index in range(self._spec.backend_vms)
        ]
        await self._platform.publish_vms(vms)

    async def _start_router(
        self, index: int, start_limit: asyncio.Semaphore
    ) -> dict[str, str]:
        name = f"entry-{index:03}"
        centres = documents.DATA_CENTRES
        data_centre = centres[index % len(centres)][0]
        key_file = self._directory / "inner.key"
        key_file.write_text(deployment.INNER_KEY)
        key_hash = deployment.hash_key(deployment.OPERATOR_KEY)
        process = processes.ManagedProcess(
            name,
            "harness.measures.router",
            (
                "serve",
                f"--vm-name={name}",
                f"--data-centre={data_centre}",
                f"--public-address={_LOOPBACK}:0",
                f"--inner-address={_LOOPBACK}:0",
                f"--admin-address={_LOOPBACK}:0",
                f"--platform-url={self._platform.url}",
                f"--inner-key-file={key_file}",
                f"--operator-key-hashes={key_hash}",
                "--drain-s=0",
            ),
            self._directory,
        )
        async with start_limit:
            await process.start()
        self.router_processes.append(
            (process, self._directory / f"{name}.probe")
        )
        words = process.ready_line.split()
        addresses = dict(zip(words[::2], words[1::2], strict=True))
        self.public_urls.append(f"http://{addresses['public']}")
        return platforms.describe_vm(name, data_centre, addresses["inner"])

    async def _stop(self) -> None:
        await asyncio.gather(
            *(process.stop() for process, _ in self.router_processes)
        )
        await self.engine.stop()
        await self._platform.stop()


@dataclasses.dataclass(slots=True, frozen=True)
class IdleResults:
    """Rates of the idle routers of a group.

    Attributes:
        holder: Rates of the router that holds the rollout lease.
        others: Mean of the other routers; None if there are none.
    """

    holder: samples.Sample
    others: samples.Sample | None


async def measure_idle(
    spec: RouterGroupSpec, directory: pathlib.Path, window_s: float
) -> IdleResults:
    """Starts a group of routers and measures them without client traffic.

    Args:
        spec: Sizes of the group.
        directory: Existing directory for logs and snapshots.
        window_s: Seconds over which the rates are measured.
    """
    async with RouterGroup(spec, directory) as router_group:
        await asyncio.sleep(_WARM_UP_S)
        rates = await samples.measure_rates(
            router_group.router_processes, window_s
        )
    # Only the lease holder writes to the platform without client traffic.
    rates.sort(key=lambda s: s.calls_per_s.get(_PLATFORM_WRITES_COUNTER, 0.0))
    holder = rates.pop()
    return IdleResults(holder, samples.average(rates) if rates else None)
