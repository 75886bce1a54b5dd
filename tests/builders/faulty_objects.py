"""Access of a node to a shared platform with latency and random faults."""

import asyncio
import os
import random
from collections.abc import Callable
from typing import Any

from dragonflydyke import errors, objects
from tests.builders import objects as memory


def read_seed() -> int:
    """Returns DRAGONFLYDYKE_SEED or a random seed, and prints it."""
    text = os.environ.get("DRAGONFLYDYKE_SEED")
    seed = int(text) if text else random.SystemRandom().getrandbits(32)
    print(f"DRAGONFLYDYKE_SEED={seed}", flush=True)
    return seed


class SharedPlatform(memory.InMemoryObjectStore):
    """Platform that several nodes share.

    Attributes:
        latency_s: Latency of a call in each direction, in seconds.
        lost_response_share: Share of writes with a lost response. Of these,
            one third takes effect, one third does not, and one third takes
            effect one second later.
    """

    __slots__ = ("latency_s", "lost_response_share")

    def __init__(self) -> None:
        super().__init__()
        self.latency_s = 0.0
        self.lost_response_share = 0.0


class FaultyObjectStore:
    """Access of one node to the shared platform.

    Attributes:
        is_crashed: Whether the node has crashed. No more calls are sent; those
            already sent take effect, but their responses never arrive.
        running: Event that is cleared while the node is suspended; calls wait
            for it.
    """

    def __init__(self, platform: SharedPlatform, seed: int = 0) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self.is_crashed = False
        self.running = asyncio.Event()
        self.running.set()

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        await self._delay_one_way()
        stored = await self._platform.get(kind, name)
        await self._delay_one_way()
        return stored

    async def list(
        self, kind: str, *, since: int = 0, prefix: str = "", limit: int = 0
    ) -> objects.ObjectList:
        """Returns the objects of a kind."""
        await self._delay_one_way()
        return await self._platform.list(
            kind, since=since, prefix=prefix, limit=limit
        )

    async def list_vms(self) -> objects.VmList:
        """Returns the list of VMs."""
        return await self._platform.list_vms()

    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoredObject:
        """Creates an object."""
        return await self._write(
            lambda: self._platform.store.put(kind, name, value, None)
        )

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> objects.StoredObject:
        """Replaces an object."""
        return await self._write(
            lambda: self._platform.store.put(kind, name, value, version)
        )

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object."""
        await self._write(
            lambda: self._platform.store.delete(kind, name, version)
        )

    async def _delay_one_way(self) -> None:
        await asyncio.sleep(self._platform.latency_s)
        await self.running.wait()
        if self.is_crashed:
            await asyncio.Event().wait()

    async def _write(self, change: Callable[[], Any]) -> Any:
        if self.is_crashed:
            await asyncio.Event().wait()
        sent = asyncio.ensure_future(self._execute(change))
        # Retrieves the exception, since no task awaits the outcome after the
        # sender is cancelled.
        sent.add_done_callback(lambda s: s.cancelled() or s.exception())
        # A write that was sent takes effect even if its sender crashes.
        stored = await asyncio.shield(sent)
        await self._delay_one_way()
        return stored

    async def _execute(self, change: Callable[[], Any]) -> Any:
        await asyncio.sleep(self._platform.latency_s)
        if not self._platform.available:
            raise objects.PlatformUnavailableError(
                "unavailable", step=errors.Step.WRITE_PLATFORM, peer="platform"
            )
        is_lost = self._platform.responses_to_lose > 0
        is_fault = self._random.random() < self._platform.lost_response_share
        effect = self._random.randrange(3) if is_fault else 0
        if effect == 1:
            asyncio.get_running_loop().call_later(1.0, _execute_delayed, change)
        stored = change() if effect == 0 else None
        self._platform.writes += effect == 0
        if is_lost:
            self._platform.responses_to_lose -= 1
        if is_lost or is_fault:
            raise objects.OutcomeUnknownError("response lost", peer="platform")
        return stored


def _execute_delayed(change: Callable[[], Any]) -> None:
    try:
        change()
    except objects.ConflictError:
        return
