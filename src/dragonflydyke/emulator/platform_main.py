"""Command-line program dragonflydyke-platform-emulator."""

import dataclasses
import sys

from dragonflydyke import program, settings
from dragonflydyke.emulator import platform, serving


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of the platform emulator."""

    listen: settings.Address = settings.setting(
        "Address host:port; port 0 lets the system pick one.",
        settings.parse_address,
        "127.0.0.1:0",
    )


async def _run(values: PlatformSettings) -> None:
    await serving.serve(platform.build_application(), values.listen)


def main() -> int:
    """Runs the program and returns its exit code."""
    return program.run_program(
        "dragonflydyke-platform-emulator",
        "Emulates the platform's object API and VM list.",
        PlatformSettings,
        _run,
    )


if __name__ == "__main__":
    sys.exit(main())
