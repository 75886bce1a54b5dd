"""The watchers of a node with their monitor, without the rest of the node."""

import asyncio
import functools
import random
from collections.abc import Callable

from dragonflydyke import metrics
from dragonflydyke.objects import freshness, peer_groups, replicas, watchers
from dragonflydyke.platform import store

KINDS = ("config", "servers", "rollouts", "enginecrashes")
_SEED = 3


class WatchedKinds:
    """Follows kinds of objects and keeps the names in the newest snapshots.

    Attributes:
        monitor: Limits the age of what the watchers know.
        names: Names of the objects by kind.
        reader: Reads the store.
        retry_gate: Gate of the calls to the store.
        watchers: Watchers by kind.
    """

    def __init__(
        self,
        client: store.PlatformStore,
        counters: metrics.Counters,
        timing: watchers.WatchTiming,
        max_age_s: float,
        group: peer_groups.PeerGroup | None = None,
    ) -> None:
        self.names: dict[str, set[str]] = {}
        self.reader = replicas.ReplicaReader(client, "rollouts", max_age_s)
        self.retry_gate = watchers.StoreRetryGate(
            random.Random(_SEED), lambda: client.probe("rollouts"), timing
        )
        self.watchers = {
            kind: watchers.KindWatcher(
                self.reader,
                kind,
                functools.partial(self._record, kind),
                counters,
                self.retry_gate,
                timing,
            )
            for kind in KINDS
        }
        self.monitor = freshness.FreshnessMonitor(
            self.reader,
            tuple(self.watchers.values()),
            self.retry_gate,
            max_age_s,
            random.Random(_SEED),
            group,
        )

    def start(self, add_cleanup: Callable[..., object]) -> None:
        """Starts the activities; `add_cleanup` receives what ends them."""
        runs = [watcher.run for watcher in self.watchers.values()]
        for run in (*runs, self.monitor.run):
            add_cleanup(asyncio.create_task(run()).cancel)

    def _record(
        self, kind: str, snapshot: watchers.KindSnapshot, gap: bool
    ) -> None:
        del gap
        self.names[kind] = set(snapshot.objects)
