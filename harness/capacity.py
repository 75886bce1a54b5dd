"""Measures how the resource use of a router grows, for docs/CAPACITY.md.

Every quantity is measured at several sizes. A line is fitted to the points and
printed with its residual. The results are written as JSON.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Any

from harness.measures import (
    documents,
    fits,
    fleets,
    microbenchmarks,
    requests,
    routers,
    samples,
)

_ENGINE_URLS = ("http://127.0.0.1:1",)
_SERVERS = 14
_ACCOUNTS = 10
_TARGET_SERVERS = 700
_TARGET_NODES = 380


@dataclasses.dataclass(slots=True, frozen=True)
class MeasurementPlan:
    """Sizes at which quantities are measured.

    Attributes:
        mesh: Numbers of routers in a full mesh.
        servers: Numbers of backend servers in the configuration.
        accounts: Numbers of client accounts in the configuration.
        backend_vms: Numbers of backend servers on the VM list.
        fleets: Numbers of control processes; the fleets of a group run at the
            same time.
        changes: Number of configuration changes that are applied to each fleet.
        window_s: Time over which rates are measured, in seconds.
        bill_rates: Rates of requests per second of one node.
        bill_window_s: Time over which bills are recorded, in seconds.
        requests: Tuples of completion tokens, whether streamed, and number of
            requests.
    """

    mesh: tuple[int, ...]
    servers: tuple[int, ...]
    accounts: tuple[int, ...]
    backend_vms: tuple[int, ...]
    fleets: tuple[tuple[int, ...], ...]
    changes: int
    window_s: float
    bill_rates: tuple[float, ...]
    bill_window_s: float
    requests: tuple[tuple[int, bool, int], ...]


_FULL = MeasurementPlan(
    mesh=(1, 2, 5, 9, 16, 30),
    servers=(14, 100, 350, 700),
    accounts=(10, 100, 300),
    backend_vms=(0, 350, 1066),
    fleets=((9, 16), (48,), (128,)),
    changes=2,
    window_s=10.0,
    bill_rates=(2.0, 8.0, 32.0),
    bill_window_s=5.0,
    requests=(
        (8, True, 200),
        (64, True, 200),
        (256, True, 100),
        (8, False, 200),
        (256, False, 100),
    ),
)
_QUICK = MeasurementPlan(
    mesh=(1, 2, 5),
    servers=(14, 350),
    accounts=(10, 100),
    backend_vms=(0, 350),
    fleets=((9, 24),),
    changes=1,
    window_s=5.0,
    bill_rates=(2.0, 8.0),
    bill_window_s=3.0,
    requests=((8, True, 50), (64, True, 50)),
)


class Measurement:
    """Runs the parts of a plan and collects figures and fits.

    Attributes:
        figures: Measured figures by title.
        fits: Fitted lines by title.
    """

    __slots__ = ("_directory", "_plan", "figures", "fits")

    def __init__(self, plan: MeasurementPlan, directory: pathlib.Path) -> None:
        self._plan = plan
        self._directory = directory
        self.figures: dict[str, Any] = {}
        self.fits: dict[str, fits.Fit] = {}

    async def measure_parts(self) -> None:
        """Measures single operations in this process."""
        plan = self._plan
        found = [
            microbenchmarks.measure_document(servers, _ACCOUNTS)
            for servers in plan.servers
        ]
        self.figures["documents"] = found
        for name in ("bytes", "parse_ms", "adopt_ms", "memory_kib"):
            self._add_fit(f"document {name} by servers", found, "servers", name)
        more = [
            microbenchmarks.measure_document(_SERVERS, n) for n in plan.accounts
        ]
        self.figures["documents by accounts"] = more
        self._add_fit("document bytes by accounts", more, "accounts", "bytes")
        reports = [
            microbenchmarks.measure_report(n, 0) for n in (0, 16, 62, 380)
        ]
        self.figures["reports"] = reports
        self._add_fit("report bytes by heard VMs", reports, "heard", "bytes")
        demands = [microbenchmarks.measure_report(0, n) for n in (0, 10, 100)]
        self._add_fit(
            "report bytes by accounts in use", demands, "accounts", "bytes"
        )
        self.figures["report build ms by heard VMs"] = {
            n: await microbenchmarks.measure_report_build_ms(n)
            for n in (1, 16, 64, 380)
        }
        self.figures["VM list bytes"] = {
            "9 + 14": microbenchmarks.measure_vm_list_bytes(9, _SERVERS),
            "380 + 700": microbenchmarks.measure_vm_list_bytes(
                _TARGET_NODES, _TARGET_SERVERS
            ),
        }

    async def measure_bills(self) -> None:
        """Measures the batching of bills, at one rate after the other."""
        found = [
            await microbenchmarks.measure_bills(
                nodes, rate, self._plan.bill_window_s
            )
            for nodes in (9, _TARGET_NODES)
            for rate in self._plan.bill_rates
        ]
        self.figures["bills"] = found
        for nodes in (9, _TARGET_NODES):
            same_size = [f for f in found if f.nodes == nodes]
            for name in ("writes_per_s", "copy_calls_per_s"):
                self._add_fit(
                    f"bill {name} by requests/s, {nodes} nodes",
                    same_size,
                    "requests_per_s",
                    name,
                )

    async def measure_routers(self) -> None:
        """Measures routers without traffic."""
        plan = self._plan
        largest = max(plan.mesh)
        mesh = [
            routers.RouterGroupSpec(n, _SERVERS, _ACCOUNTS, mesh_vms=largest)
            for n in plan.mesh
        ]
        # Two routers: the lease holder and another one.
        servers = [
            routers.RouterGroupSpec(2, n, _ACCOUNTS) for n in plan.servers
        ]
        accounts = [
            routers.RouterGroupSpec(2, _SERVERS, n) for n in plan.accounts
        ]
        listed = [
            routers.RouterGroupSpec(2, _SERVERS, _ACCOUNTS, n)
            for n in plan.backend_vms
        ]
        by_peers = await self._measure_groups("mesh", mesh)
        by_servers = await self._measure_groups("servers", servers)
        by_accounts = await self._measure_groups("accounts", accounts)
        by_list = await self._measure_groups("list", listed)
        for role in ("ordinary", "holder"):
            for title, groups, x in (
                ("peers", by_peers, "peers"),
                ("servers", by_servers, "servers"),
                ("accounts", by_accounts, "accounts"),
                ("backend VMs on the list", by_list, "backend_vms"),
            ):
                self._add_sample_fits(
                    f"router, {role}, by {title}", groups, x, role
                )

    async def _measure_groups(
        self, name: str, groups: list[routers.RouterGroupSpec]
    ) -> list[dict[str, Any]]:
        async def run(
            index: int, group: routers.RouterGroupSpec
        ) -> dict[str, Any]:
            directory = self._directory / f"{name}-{index}"
            directory.mkdir()
            idle = await routers.measure_idle(
                group, directory, self._plan.window_s
            )
            return {
                **dataclasses.asdict(group),
                "peers": group.routers - 1,
                "holder": idle.holder,
                "ordinary": idle.others,
            }

        found = await asyncio.gather(
            *(run(index, group) for index, group in enumerate(groups))
        )
        self.figures[f"routers by {name}"] = found
        return list(found)

    async def measure_fleets(self) -> None:
        """Measures fleets of control processes."""
        document = documents.build_configuration(
            _SERVERS, _ACCOUNTS, _ENGINE_URLS
        )
        found: list[fleets.FleetResults] = []
        for sizes in self._plan.fleets:
            found += await asyncio.gather(
                *(self._measure_fleet(size, document) for size in sizes)
            )
        self.figures["fleets"] = found
        roles = [s for f in found for s in (f.ordinary, f.relay) if s]
        for title, name in (
            ("core percent", "core_percent"),
            ("traffic kB/s", "traffic_kb_s"),
            ("resident MiB", "resident_mib"),
        ):
            points = [(_count_exchanges(s), getattr(s, name)) for s in roles]
            self.fits[f"control process, {title} by exchanges/s"] = (
                fits.fit_line(points)
            )
        changes = [(f.nodes, c.in_force_s) for f in found for c in f.changes]
        self.fits["seconds until in force by nodes"] = fits.fit_line(changes)
        accepts = [(f.nodes, c.accept_s) for f in found for c in f.changes]
        self.fits["seconds until accepted by nodes"] = fits.fit_line(accepts)
        self._add_fit(
            "platform reads/s by nodes", found, "nodes", "reads_per_s"
        )
        for title, name in (
            ("refused reads/s in an outage", "outage_reads_per_s"),
            ("highest reads/s after an outage", "burst_reads_per_s"),
        ):
            self._add_fit(f"{title} by nodes", found, "nodes", name)

    async def _measure_fleet(
        self, size: int, document: dict[str, Any]
    ) -> fleets.FleetResults:
        directory = self._directory / f"fleet-{size}"
        directory.mkdir()
        fleet = fleets.ControlFleet(size, directory, document)
        return await fleet.measure(self._plan.window_s, self._plan.changes)

    async def measure_requests(self) -> None:
        """Measures processor time and traffic per request."""
        directory = self._directory / "requests"
        directory.mkdir()
        found = await requests.measure_requests(
            directory, list(self._plan.requests)
        )
        self.figures["requests"] = found
        for streamed, title in ((True, "streamed"), (False, "whole")):
            kind = [f for f in found if f.stream is streamed]
            for name in ("processor_ms", "bytes"):
                if kind:
                    self._add_fit(
                        f"{name} per {title} request by tokens",
                        kind,
                        "tokens",
                        name,
                    )

    def _add_fit(self, title: str, found: list[Any], x: str, y: str) -> None:
        self.fits[title] = fits.fit_line(
            [(getattr(f, x), getattr(f, y)) for f in found]
        )

    def _add_sample_fits(
        self, title: str, groups: list[dict[str, Any]], x: str, role: str
    ) -> None:
        for name, unit in (
            ("core_percent", "core percent"),
            ("resident_mib", "resident MiB"),
            ("traffic_kb_s", "traffic kB/s"),
        ):
            points = [(g[x], getattr(g[role], name)) for g in groups if g[role]]
            self.fits[f"{title}: {unit}"] = fits.fit_line(points)


def _count_exchanges(sample: samples.Sample) -> float:
    return sum(
        sample.calls_per_s.get(name, 0.0)
        for name in ("inner.exchange.served", "peer.exchange.answered")
    )


def _convert_to_json(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    raise TypeError(f"{type(value).__name__} cannot be written as JSON")


def _print_table(found: dict[str, fits.Fit]) -> None:
    width = max(map(len, found))
    print(
        f"{'quantity':{width}}  {'at 0':>10} {'per unit':>10} {'residual':>9}"
    )
    for title, fit in found.items():
        print(
            f"{title:{width}}  {fit.intercept:10.4g} {fit.slope:10.4g}"
            f" {fit.residual:9.3g}"
        )


async def _run(
    plan: MeasurementPlan, directory: pathlib.Path, chosen: list[str]
) -> Measurement:
    measurement = Measurement(plan, directory)
    for name in chosen:
        started_s = time.monotonic()
        load = os.getloadavg()[0]
        await getattr(measurement, f"measure_{name}")()
        measurement.figures[f"machine, {name}"] = {
            "load_before": load,
            "load_after": os.getloadavg()[0],
            "seconds": time.monotonic() - started_s,
        }
    return measurement


_PARTS = ("parts", "bills", "requests", "routers", "fleets")


def main() -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="measure few and small sizes"
    )
    parser.add_argument(
        "--only",
        choices=_PARTS,
        action="append",
        help="measure only this part; repeatable",
    )
    parser.add_argument(
        "--output",
        type=pathlib.Path,
        help="file to which the results are written as JSON",
    )
    arguments = parser.parse_args()
    plan = _QUICK if arguments.quick else _FULL
    with tempfile.TemporaryDirectory() as directory:
        measurement = asyncio.run(
            _run(plan, pathlib.Path(directory), arguments.only or list(_PARTS))
        )
    _print_table(measurement.fits)
    machine = {"cores": os.cpu_count(), "load_average": os.getloadavg()}
    result = {
        "machine": machine,
        "fits": measurement.fits,
        "figures": measurement.figures,
    }
    print(f"machine: {json.dumps(machine)}")
    if arguments.output:
        arguments.output.write_text(
            json.dumps(result, indent=1, default=_convert_to_json) + "\n"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
