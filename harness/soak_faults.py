"""Random faults of the soak."""

import asyncio
import collections
import copy
import random
from collections.abc import Awaitable, Callable

from harness import deployment

# The backoff of journal writes after an outage is at most 10 s. A router that
# is killed earlier may have the only copy of a bill. The design permits this
# loss, and it would hide losses that it does not permit.
_JOURNAL_WRITE_WAIT_S = 12.0
# Time without reports after which replicas write the bills of a router, with
# a margin.
_RECOVERY_S = 16.0

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Injects faults at random times until it is stopped.

    At any time there is at most one fault of the routers or the platform, and
    at most one of the links or backend servers.

    Attributes:
        counts: Number of faults by name.
        stopped_urls: Public URLs of routers that were stopped gracefully.
        errors: Failures of the product that the injector noticed itself.
    """

    __slots__ = (
        "_is_stopping",
        "_last_vm_number",
        "_outage_end_s",
        "_random",
        "_running",
        "_tasks",
        "counts",
        "errors",
        "stopped_urls",
    )

    def __init__(
        self, running: deployment.Deployment, generator: random.Random
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.stopped_urls: set[str] = set()
        self.errors: list[str] = []
        self._running = running
        self._random = random.Random(generator.random())
        self._outage_end_s = 0.0
        self._last_vm_number = 100
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    def start(self) -> None:
        """Starts injecting faults."""
        routers: tuple[Fault, ...] = (
            self.kill_router,
            self.replace_vm,
            self.freeze_router,
            self.stop_router,
            self.platform_outage,
            self.platform_hang,
            self.lose_answers,
            self.kill_in_outage,
            self.freeze_in_outage,
        )
        links: tuple[Fault, ...] = (
            self.cut_links,
            self.freeze_link,
            self.refuse_link,
            self.limit_link,
            self.delay_link,
            self.engine_faults,
            self.service_faults,
            self.change_configuration,
        )
        for faults, max_delay_s in ((routers, 2.0), (links, 1.0)):
            self._tasks.append(
                asyncio.create_task(self._inject(faults, max_delay_s))
            )

    async def stop(self) -> None:
        """Stops all faults and waits until all routers are ready."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        for entry in self._running.backend_proxies.values():
            entry.clear_faults()
        for router in list(self._running.routers.values()):
            await self._running.wait_until_ready(router)

    async def _inject(
        self, faults: tuple[Fault, ...], max_delay_s: float
    ) -> None:
        # Each fault is injected once before any is repeated.
        queue: list[Fault] = []
        while not self._is_stopping:
            if not queue:
                queue = self._random.sample(faults, len(faults))
            await self._sleep_randomly(0.1, max_delay_s)
            fault = queue.pop()
            self.counts[fault.__name__] += 1
            await fault()

    async def _sleep_randomly(
        self, shortest_s: float, longest_s: float
    ) -> None:
        await asyncio.sleep(self._random.uniform(shortest_s, longest_s))

    def _pick_router(self) -> deployment.RunningRouter:
        return self._random.choice(list(self._running.routers.values()))

    async def _wait_until_bills_written(self) -> None:
        """Waits until all bills of the last outage are in the journal."""
        now_s = asyncio.get_running_loop().time()
        remaining_s = self._outage_end_s + _JOURNAL_WRITE_WAIT_S - now_s
        await asyncio.sleep(max(0.0, remaining_s))

    async def _end_outage(self) -> None:
        await self._running.control_emulator(
            "platform", outage=False, hang=False
        )
        self._outage_end_s = asyncio.get_running_loop().time()

    async def _wait_until_all_ready(self) -> None:
        for router in list(self._running.routers.values()):
            await self._running.wait_until_ready(router)

    async def _restart(self, router: deployment.RunningRouter) -> None:
        await router.process.wait()
        await self._running.start_router(router.vm, router.data_centre)
        await self._running.publish_vms()
        await self._wait_until_all_ready()

    async def kill_router(self) -> None:
        """Kills a router and restarts it on the same VM."""
        await self._wait_until_bills_written()
        router = self._pick_router()
        router.process.kill()
        await self._sleep_randomly(0.0, 2.0)
        await self._restart(router)

    async def replace_vm(self) -> None:
        """Kills a router and starts another one on a VM with a new name."""
        await self._wait_until_bills_written()
        router = self._pick_router()
        router.process.kill()
        await router.process.wait()
        del self._running.routers[router.vm]
        self._last_vm_number += 1
        await self._running.start_router(
            f"router-{self._last_vm_number}", router.data_centre
        )
        await self._running.publish_vms()
        await self._wait_until_all_ready()

    async def freeze_router(self) -> None:
        """Suspends a router, sometimes until its replicas write its bills."""
        router = self._pick_router()
        router.process.suspend()
        await self._sleep_randomly(0.5, 14.0)
        router.process.resume()
        await self._wait_until_all_ready()

    async def stop_router(self) -> None:
        """Shuts a router down gracefully and restarts it."""
        await self._wait_until_bills_written()
        router = self._pick_router()
        self.stopped_urls.add(router.public_url)
        router.process.terminate()
        code = await router.process.wait()
        if code:
            self.errors.append(f"{router.vm} stopped with exit code {code}")
        await self._restart(router)

    async def platform_outage(self) -> None:
        """Makes the platform reject all calls for some seconds."""
        await self._running.control_emulator("platform", outage=True)
        await self._sleep_randomly(1.0, 12.0)
        await self._end_outage()
        await self._wait_until_all_ready()

    async def platform_hang(self) -> None:
        """Makes the platform block all calls and execute them later."""
        await self._running.control_emulator("platform", hang=True)
        await self._sleep_randomly(0.5, 6.0)
        await self._end_outage()
        await self._wait_until_all_ready()

    async def lose_answers(self) -> None:
        """Loses the responses of writes that take effect."""
        await self._running.control_emulator(
            "platform", lose_answers=self._random.randint(1, 50)
        )
        await self._sleep_randomly(0.5, 3.0)
        await self._running.control_emulator("platform", lose_answers=0)

    async def kill_in_outage(self) -> None:
        """Kills a router while only its replicas have its newest bills."""
        await self._wait_until_bills_written()
        await self._running.control_emulator("platform", outage=True)
        await self._sleep_randomly(0.5, 6.0)
        router = self._pick_router()
        router.process.kill()
        await self._sleep_randomly(0.0, 4.0)
        await self._end_outage()
        await asyncio.sleep(_RECOVERY_S)
        await self._restart(router)

    async def freeze_in_outage(self) -> None:
        """Suspends a router in an outage until its replicas write its bills."""
        await self._wait_until_bills_written()
        await self._running.control_emulator("platform", outage=True)
        await self._sleep_randomly(0.5, 3.0)
        router = self._pick_router()
        router.process.suspend()
        await self._sleep_randomly(0.0, 4.0)
        await self._end_outage()
        await asyncio.sleep(_RECOVERY_S)
        router.process.resume()
        await self._wait_until_all_ready()

    def _pick_proxy(self):
        return self._random.choice(list(self._running.backend_proxies.values()))

    async def cut_links(self) -> None:
        """Resets all connections to one backend server."""
        self._pick_proxy().reset_connections()

    async def freeze_link(self) -> None:
        """Stalls the connections to a backend server for a while."""
        entry = self._pick_proxy()
        entry.faults.frozen = True
        await self._sleep_randomly(0.2, 3.0)
        entry.clear_faults()

    async def refuse_link(self) -> None:
        """Resets new connections to a backend server."""
        entry = self._pick_proxy()
        entry.faults.refuse = True
        await self._sleep_randomly(0.2, 2.0)
        entry.clear_faults()

    async def limit_link(self) -> None:
        """Resets each connection after a number of bytes in one direction."""
        entry = self._pick_proxy()
        limit = self._random.randint(0, 6_000)
        if self._random.random() < 0.5:
            entry.faults.reset_after_bytes_to_client = limit
        else:
            entry.faults.reset_after_bytes_to_server = limit % 700
        await self._sleep_randomly(0.2, 2.0)
        entry.clear_faults()

    async def delay_link(self) -> None:
        """Delays the traffic to and from a backend server."""
        entry = self._pick_proxy()
        entry.faults.delay_s = self._random.uniform(0.001, 0.05)
        await self._sleep_randomly(0.2, 3.0)
        entry.clear_faults()

    async def engine_faults(self) -> None:
        """Makes an engine fail, stall or truncate a few requests."""
        name = self._random.choice(("engine-1", "engine-2", "engine-3"))
        count = self._random.randint(1, 10)
        fields = self._random.choice(
            (
                {"cut_before_requests": count},
                {"cut_after_requests": count},
                {"cut_answers": count, "cut_after_events": count},
                {"stall_requests": count, "stall_s": 0.5},
                {"error_share": 0.3},
            )
        )
        await self._running.control_emulator(name, **fields)
        await self._sleep_randomly(0.5, 2.0)
        await self._running.control_emulator(name, error_share=0.0)

    async def service_faults(self) -> None:
        """Makes the service fail a few requests and respond slowly."""
        field = self._random.choice(("cut_before", "cut_after", "fail_before"))
        await self._running.control_emulator(
            "labels-1", **{field: self._random.randint(1, 5)}, delay_s=0.1
        )
        await self._sleep_randomly(0.5, 2.0)
        await self._running.control_emulator("labels-1", delay_s=0.0)

    async def change_configuration(self) -> None:
        """Changes prices, and sets one engine or none to the state leaving.

        A rejection for lack of a majority or of the platform is expected and
        is not counted as a failure.
        """
        document = copy.deepcopy(self._running.document)
        leaving = self._random.choice(("engine-1", "engine-2", ""))
        for entry in document["backend_servers"]:
            is_leaving = entry["name"] == leaving
            entry["state"] = "leaving" if is_leaving else "active"
        for version in document["models"][0]["versions"]:
            version["price"]["prompt"] = self._random.randint(1, 10) * 50_000
        router = self._pick_router()
        response = await self._running.try_apply(document, router.admin_url)
        self.counts[f"configuration change: {response.status}"] += 1
