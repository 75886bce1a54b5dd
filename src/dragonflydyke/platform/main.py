"""Router program for a VM on the users' platform."""

import asyncio
import sys

from dragonflydyke import logs, metrics, settings
from dragonflydyke.forwarding import node
from dragonflydyke.platform import headers, process, records, reports, store

_EXIT_USAGE = 2


async def _serve(values: node.NodeSettings) -> None:
    counters = metrics.Counters()
    router = node.Node(
        values,
        store.PlatformStore(
            values.store_url, counters, max_silence_s=values.max_silence_s
        ),
        records.KINDS,
        headers.HeaderCodec(),
        reports.ReportCodec(),
        counters,
        process.read_settings,
    )
    await router.run()


def main() -> int:
    """Runs the router until SIGTERM and returns its exit code."""
    logs.configure_non_blocking("info")
    try:
        values = process.read_settings()
    except settings.SettingsError as error:
        print(f"invalid settings: {error}", file=sys.stderr)
        return _EXIT_USAGE
    asyncio.run(_serve(values))
    return 0
