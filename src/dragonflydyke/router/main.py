"""Entry point of the program dragonflydyke-router."""

import asyncio
import signal
import sys

from dragonflydyke import logs, program
from dragonflydyke.router import assembly, options


async def _serve(values: options.RouterSettings) -> None:
    logs.configure(values.log_level, values.log_format)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    router = assembly.Router(values)
    addresses = await router.start()
    print(f"listening on {addresses}", flush=True)
    await stop_requested.wait()
    await router.drain()
    await router.stop()


def main() -> int:
    """Runs the program and returns its exit code."""
    return program.run_program(
        "dragonflydyke-router",
        "Routes client requests to models, versions and backend servers.",
        options.RouterSettings,
        _serve,
    )


if __name__ == "__main__":
    sys.exit(main())
