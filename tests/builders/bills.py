"""Builders of bills and of routers that replicate bills to each other."""

import asyncio
import random

from dragonflydyke import errors, metrics
from dragonflydyke.billing import model, replicas, writer
from dragonflydyke.protocol import node_pb2
from tests.builders import faulty_objects


def build_bill(number: int = 0, account: str = "cartago-packing") -> model.Bill:
    """Returns a bill whose bill_id is derived from the number."""
    return model.Bill(
        bill_id=f"{number:032x}",
        request_id=f"{number:032x}",
        client_account=account,
        request_class="line_question",
        model="planner-small",
        version="v1",
        backend_server="engine-1",
        prompt_tokens=812,
        completion_tokens=164,
        cost=245,
        outcome=model.Outcome.COMPLETED,
        attempts=(model.BillAttempt("v1", "engine-1", "completed", 245),),
        revision=17,
        finished_at_ms=1_790_000_000_000 + number,
    )


class Router:
    """Bill writer and replica store of one router.

    Also serves as the peer that the other routers call.

    Attributes:
        is_reachable: Whether calls from other routers succeed.
        lose_replies: Number of calls that are executed but fail for the
            calling router.
    """

    def __init__(
        self,
        platform: faulty_objects.FaultyObjectStore,
        fleet: list["Router"],
        number: int,
        *,
        node_count: int,
        seed: int = 0,
        max_replicas: int = 10_000,
    ) -> None:
        generator = random.Random(seed * 1_000 + number)
        self.vm = f"vm-{number}"
        self.data_centre = f"dc-{number % 3}"
        self.incarnation = generator.getrandbits(64)
        self.is_reachable = True
        self.lose_replies = 0
        self.counters = metrics.Counters()
        self.platform = platform
        self.writer = writer.BillWriter(
            platform,
            lambda: [r for r in fleet if r.is_reachable],
            self.incarnation,
            self.counters,
            vm_name=self.vm,
            data_centre=self.data_centre,
            node_count=lambda: node_count,
            generator=generator,
        )
        self.replica_store = replicas.ReplicaStore(
            platform,
            self.counters,
            node_count=lambda: node_count,
            max_replicas=max_replicas,
            generator=generator,
        )

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        """Stores replicas of another router's bills."""
        await asyncio.sleep(0)
        if not self.is_reachable:
            raise self._build_error()
        reply = self.replica_store.store(request)
        if self.lose_replies:
            self.lose_replies -= 1
            raise self._build_error()
        return reply

    async def crash(self) -> None:
        """Stops the router abruptly and discards everything in its memory."""
        self.is_reachable = False
        self.platform.is_crashed = True
        await self.writer.close()
        await self.replica_store.close()

    def _build_error(self) -> errors.DragonflydykeError:
        return errors.DragonflydykeError(
            "peer_unavailable",
            "no response",
            step=errors.Step.CALL_PEER,
            peer=self.vm,
        )


def build_fleet(
    shared: faulty_objects.SharedPlatform,
    count: int,
    *,
    node_count: int = 4,
    seed: int = 0,
) -> list[Router]:
    """Returns routers in three data centres that share one platform."""
    fleet: list[Router] = []
    for number in range(count):
        access = faulty_objects.FaultyObjectStore(shared, seed + number)
        fleet.append(
            Router(access, fleet, number, node_count=node_count, seed=seed)
        )
    return fleet
