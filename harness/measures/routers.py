"""Real routers without traffic, by peers, backend servers and accounts."""

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
    """Routers with one platform and configuration.

    Attributes:
        routers: Number of routers.
        servers: Backend servers in the configuration.
        accounts: Client accounts in the configuration.
        backend_vms: Backend servers on the platform's VM list.
        mesh_vms: Largest fleet in which all routers exchange reports.
    """

    routers: int
    servers: int
    accounts: int
    backend_vms: int = 0
    mesh_vms: int = 16


class RouterGroup:
    """Runs one group of routers.

    Attributes:
        running: Processes of the routers with their snapshot files.
        public_urls: Base URLs of their caller APIs.
        engine: Engine emulator that answers for all backend servers.
    """

    def __init__(
        self,
        group: RouterGroupSpec,
        directory: pathlib.Path,
        engine_flags: tuple[str, ...] = (),
    ) -> None:
        self._spec = group
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
        gate = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)
        vms = await asyncio.gather(
            *(self._start_router(i, gate) for i in range(self._spec.routers))
        )
        vms += [
            platforms.describe_vm(
                f"backend-{index}", documents.DATA_CENTRES[0][0], "", "backend"
            )
            for index in range(self._spec.backend_vms)
        ]
        await self._platform.publish_vms(vms)

    async def _start_router(
        self, index: int, gate: asyncio.Semaphore
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
        async with gate:
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
    """Rates of the routers of a group without traffic.

    Attributes:
        holder: The router with the roll-out lease.
        others: Mean of the others; None if there are none.
    """

    holder: samples.Sample
    others: samples.Sample | None


async def measure_idle(
    group: RouterGroupSpec, directory: pathlib.Path, window_s: float
) -> IdleResults:
    """Returns the rates of the routers of a group without traffic.

    Args:
        group: What to run.
        directory: Existing directory for logs and snapshots.
        window_s: Seconds over which the rates are measured.
    """
    async with RouterGroup(group, directory) as running:
        await asyncio.sleep(_WARM_UP_S)
        measured = await samples.measure_rates(
            running.router_processes, window_s
        )
    # Only the holder writes without traffic.
    measured.sort(
        key=lambda s: s.calls_per_s.get(_PLATFORM_WRITES_COUNTER, 0.0)
    )
    holder = measured.pop()
    return IdleResults(holder, samples.average(measured) if measured else None)
