"""Process that runs the membership of one node without a request path.

SIGUSR1 makes the process write a snapshot; SIGUSR2 makes it apply a changed
configuration.
"""

import argparse
import asyncio
import copy
import pathlib
import signal
import sys
import time

from dragonflydyke import configuration, errors, metrics, objects, settings
from dragonflydyke.membership import node, state
from dragonflydyke.protocol import client, server
from harness.measures import probe

_LOOPBACK = "127.0.0.1"
_STOP_GRACE_S = 0.1


class ControlNode:
    """Membership of one node with its gRPC server and platform client."""

    __slots__ = (
        "_arguments",
        "_counters",
        "_membership",
        "_next_deadline_s",
        "_output",
        "_revision",
        "_tasks",
        "announce_change",
        "exchange",
        "fetch_state",
    )

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._output = pathlib.Path(arguments.output)
        self._counters = metrics.Counters()
        self._next_deadline_s = 30.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._revision = 0

    async def run(self) -> None:
        """Serves until the process receives SIGTERM."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        loop.add_signal_handler(signal.SIGUSR2, self._start_apply)
        probe.install(self._output, self._counters.totals)
        store = objects.ObjectClient(
            self._arguments.platform_url, counters=self._counters
        )
        inner = server.NodeServer(
            self, inner_key=self._arguments.key, counters=self._counters
        )
        port = await inner.start(settings.Address(_LOOPBACK, 0))
        address = f"{_LOOPBACK}:{port}"
        self._membership = self._create_membership(store, address)
        self.exchange = self._membership.exchange
        self.announce_change = self._membership.announce_change
        self.fetch_state = self._membership.fetch_state
        self._membership.state.subscribe(self._record_adopted)
        await self._membership.start()
        print(f"listening on {address}", flush=True)
        await stop_requested.wait()
        # The node does not announce that it leaves, because the whole fleet
        # stops at the same time.
        await inner.stop(_STOP_GRACE_S)

    def _create_membership(
        self, store: objects.ObjectStore, address: str
    ) -> node.Membership:
        return node.Membership(
            node.MembershipSettings(
                vm=self._arguments.vm,
                data_centre=self._arguments.data_centre,
                inner_address=address,
            ),
            store,
            lambda peer: client.PeerClient(
                peer, inner_key=self._arguments.key, counters=self._counters
            ),
            parse=configuration.parse_accepted,
            parse_proposed=configuration.parse,
            check_transition=configuration.check_transition,
            counters=self._counters,
        )

    def _record_adopted(self, in_force: state.ControlState) -> None:
        if in_force.revision == self._revision:
            return
        self._revision = in_force.revision
        probe.append_record(
            self._output,
            {"adopted": in_force.revision, "at_s": time.monotonic()},
        )

    def _start_apply(self) -> None:
        task = asyncio.get_running_loop().create_task(self._apply())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply(self) -> None:
        started_s = time.monotonic()
        try:
            current = await self._membership.writer.read()
            mapping = copy.deepcopy(dict(current.document if current else {}))
            self._next_deadline_s += 1.0
            mapping["policy"] = {"default_deadline_s": self._next_deadline_s}
            change = await self._membership.writer.apply(mapping, "capacity")
        except errors.DragonflydykeError as error:
            probe.append_record(self._output, {"refused": str(error)})
            return
        probe.append_record(
            self._output,
            {
                "accepted": change.revision,
                "started_s": started_s,
                "at_s": time.monotonic(),
            },
        )


def main() -> int:
    """Runs the node and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    for flag in ("vm", "data-centre", "platform-url", "output", "key"):
        parser.add_argument(f"--{flag}", required=True)
    asyncio.run(ControlNode(parser.parse_args()).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
