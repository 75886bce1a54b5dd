"""Microbenchmarks of single operations, run within one process."""

import asyncio
import dataclasses
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from dragonflydyke import billing, configuration, metrics, objects
from dragonflydyke.billing import pacing
from dragonflydyke.emulator import store
from dragonflydyke.membership import node
from dragonflydyke.protocol import node_pb2
from harness.measures import documents, platforms

_DEFAULT_REPETITIONS = 5
_INCARNATION = 0x1234_5678_9ABC_DEF0


def median_processor_ms(
    call: Callable[[], Any], repetitions: int = _DEFAULT_REPETITIONS
) -> float:
    """Returns the median processor time of a call in milliseconds.

    Args:
        call: Function to measure.
        repetitions: Number of calls.
    """
    times = []
    for _ in range(repetitions):
        started_s = time.process_time()
        call()
        times.append((time.process_time() - started_s) * 1000)
    return sorted(times)[len(times) // 2]


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentResults:
    """Results for a configuration document of one size.

    Attributes:
        servers: Number of backend servers.
        accounts: Number of client accounts.
        bytes: Size of the document as JSON.
        parse_ms: Processor time of parsing with full validation.
        adopt_ms: Processor time of parsing an already accepted document.
        json_ms: Processor time of decoding the JSON text.
        memory_kib: Memory of the decoded mapping and the parsed document
            together.
    """

    servers: int
    accounts: int
    bytes: int
    parse_ms: float
    adopt_ms: float
    json_ms: float
    memory_kib: float


def measure_document(servers: int, accounts: int) -> DocumentResults:
    """Measures a configuration document with 20 versions.

    Args:
        servers: Number of backend servers.
        accounts: Number of client accounts.
    """
    mapping = documents.build_configuration(
        servers, accounts, ("http://10.0.0.1:8000",), vms=True
    )
    text = json.dumps(mapping)
    gc.collect()
    tracemalloc.start()
    retained_mapping = json.loads(text)
    retained_document = configuration.parse_accepted(retained_mapping)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained_document
    return DocumentResults(
        servers=servers,
        accounts=accounts,
        bytes=len(text),
        parse_ms=median_processor_ms(lambda: configuration.parse(mapping)),
        adopt_ms=median_processor_ms(
            lambda: configuration.parse_accepted(mapping)
        ),
        json_ms=median_processor_ms(lambda: json.loads(text)),
        memory_kib=memory_bytes / 1024,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ReportResults:
    """Results for a relay's report of one size.

    Attributes:
        heard: Number of VMs in `heard_vms`.
        accounts: Number of client accounts with demand.
        bytes: Size of the serialised message.
    """

    heard: int
    accounts: int
    bytes: int


def measure_report(heard_vm_count: int, account_count: int) -> ReportResults:
    """Measures the size of a relay's report.

    Args:
        heard_vm_count: Number of VMs from which the relay received reports.
        account_count: Number of client accounts with demand.
    """
    report = node_pb2.NodeReport(
        vm="entry-001",
        data_centre="cr-central-a",
        incarnation=_INCARNATION,
        state=node_pb2.NODE_STATE_SERVING,
        revision=1_000,
        control_version=10_000_000,
        confirmation_age_ms=900,
        has_confirmation=True,
        platform_age_ms=900,
        has_platform=True,
        inner_address="10.0.0.1:8081",
        sent_at_ms=1_000_000_000,
        echo_incarnation=_INCARNATION,
        echo_sent_at_ms=1_000_000_000,
        echo_held_ms=900,
        heard_revision=1_000,
        uptime_ms=1_000_000_000,
        heard_vms=[f"entry-{index:03}" for index in range(heard_vm_count)],
        demands=[
            node_pb2.AccountDemand(
                client_account=f"account-{index}",
                requests_per_s_milli=5_000,
                requests_in_progress=3,
                tokens_per_s=1_000,
            )
            for index in range(account_count)
        ],
    )
    return ReportResults(heard_vm_count, account_count, report.ByteSize())


def measure_vm_list_bytes(entry_count: int, backend_count: int) -> int:
    """Returns the size in bytes of the platform's VM list as JSON.

    Args:
        entry_count: Number of entry VMs.
        backend_count: Number of backend VMs.
    """
    vms = [
        platforms.describe_vm(f"entry-{i:03}", "cr-central-a", "10.0.0.1:8081")
        for i in range(entry_count)
    ]
    vms += [
        platforms.describe_vm(f"backend-{i}", "cr-central-a", "", "backend")
        for i in range(backend_count)
    ]
    return len(json.dumps({"as_of_ms": 1_700_000_000_000, "vms": vms}))


@dataclasses.dataclass(slots=True, frozen=True)
class BillResults:
    """Results for the billing of one node at one request rate.

    Attributes:
        nodes: Number of nodes in the fleet, which determines the flush
            interval.
        requests_per_s: Request rate of this node.
        writes_per_s: Journal entries written per second.
        bytes_per_bill: JSON bytes in the journal per bill.
        copy_calls_per_s: Replication calls per second to all replicas.
        copy_bytes_per_bill: Bytes of the replication calls to all replicas per
            bill.
        release_ms: Median time until a bill is recorded, after which the
            response is released.
        processor_ms_per_bill: Processor time of the writer, the store and the
            replicas per bill.
    """

    nodes: int
    requests_per_s: float
    writes_per_s: float
    bytes_per_bill: float
    copy_calls_per_s: float
    copy_bytes_per_bill: float
    release_ms: float
    processor_ms_per_bill: float


class _CountingStore:
    """In-memory object store that counts writes and their JSON bytes."""

    __slots__ = ("bytes", "store", "writes")

    def __init__(self) -> None:
        self.store = store.MemoryStore()
        self.writes = 0
        self.bytes = 0

    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoredObject:
        self.writes += 1
        self.bytes += len(json.dumps(value, separators=(",", ":")))
        return self.store.put(kind, name, value, None)


class _CountingReplica:
    """In-memory replica of bills that counts calls and their bytes."""

    __slots__ = ("bytes", "calls", "data_centre", "incarnation", "vm")

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.data_centre = vm
        self.incarnation = 1
        self.calls = 0
        self.bytes = 0

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        del timeout_s
        self.calls += 1
        self.bytes += request.ByteSize()
        return node_pb2.HoldBillsReply(held=len(request.bills))


def _build_bill(index: int) -> billing.Bill:
    return billing.Bill(
        bill_id=f"{index:032x}",
        request_id=f"{index:032x}",
        client_account="account-7",
        request_class="line_question",
        model="planner-3",
        version="v2",
        backend_server="engine-123",
        prompt_tokens=900,
        completion_tokens=355,
        cost=123_456,
        outcome=billing.Outcome.COMPLETED,
        attempts=(),
        revision=1_000,
        finished_at_ms=1_700_000_000_000,
    )


async def measure_bills(
    nodes: int, requests_per_s: float, window_s: float
) -> BillResults:
    """Measures the recording of bills at a steady rate.

    The processor time includes everything that the process does, so nothing
    else may run in it.

    Args:
        nodes: Number of nodes in the fleet.
        requests_per_s: Bills to record per second.
        window_s: Duration of the recording in seconds.
    """
    platform = _CountingStore()
    replicas = [_CountingReplica(f"vm-{i}") for i in range(3)]
    writer = billing.BillWriter(
        platform,  # type: ignore[arg-type]
        lambda: replicas,
        _INCARNATION,
        metrics.Counters(),
        vm_name="vm-x",
        data_centre="x",
        node_count=lambda: nodes,
    )
    loop = asyncio.get_running_loop()
    released_s: list[float] = []

    async def record(index: int) -> None:
        started_s = loop.time()
        await writer.record(_build_bill(index))
        released_s.append(loop.time() - started_s)

    started_s = loop.time()
    processor_s = time.process_time()
    tasks = []
    count = int(requests_per_s * window_s)
    for index in range(count):
        await asyncio.sleep(
            max(0.0, started_s + index / requests_per_s - loop.time())
        )
        tasks.append(asyncio.create_task(record(index)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(pacing.compute_flush_interval_s(nodes) + 1.5)
    processor_s = time.process_time() - processor_s
    await writer.close()
    replicated_bytes = sum(replica.bytes for replica in replicas)
    return BillResults(
        nodes=nodes,
        requests_per_s=requests_per_s,
        writes_per_s=platform.writes / window_s,
        bytes_per_bill=platform.bytes / count,
        copy_calls_per_s=sum(r.calls for r in replicas) / window_s,
        copy_bytes_per_bill=replicated_bytes / count,
        release_ms=1000 * sorted(released_s)[count // 2],
        processor_ms_per_bill=1000 * processor_s / count,
    )


async def measure_report_build_ms(nodes: int) -> float:
    """Returns the median processor milliseconds to build a relay's report.

    Args:
        nodes: Number of nodes in the fleet.
    """
    membership = node.Membership(
        node.MembershipSettings("entry-000", "a", "10.0.0.1:1"),
        None,  # type: ignore[arg-type]
        lambda address: None,  # type: ignore[arg-type, return-value]
        parse=configuration.parse_accepted,
        check_transition=configuration.check_transition,
        counters=metrics.Counters(),
    )
    vms = tuple(
        objects.ListedVm(f"entry-{i:03}", "a", "entry", "", "live")
        for i in range(nodes)
    )
    membership.peer_tracker.set_vms(objects.VmList(1, vms))
    now_s = asyncio.get_running_loop().time()
    # A relay receives reports from the other relays and from its share of the
    # ordinary nodes.
    for index in range(1, min(nodes, 64)):
        report = node_pb2.NodeReport(
            vm=f"entry-{index:03}", incarnation=index, sent_at_ms=1
        )
        membership.peer_tracker.record(report, now_s, now_s)
    return median_processor_ms(
        lambda: membership._reports.build("entry-001"), 20
    )
