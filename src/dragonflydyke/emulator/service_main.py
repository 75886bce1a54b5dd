"""Command-line program dragonflydyke-service-emulator."""

import dataclasses
import sys

from dragonflydyke import program, settings
from dragonflydyke.emulator import service, serving


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSettings:
    """Settings of the service emulator; /control sets all other behaviour."""

    listen: settings.Address = settings.setting(
        "Address host:port; port 0 lets the system pick one.",
        settings.parse_address,
        "127.0.0.1:0",
    )
    rating: bool = settings.setting(
        "Whether it is the rating service, true or false; --rating alone "
        "means true.",
        settings.parse_boolean,
        "false",
    )
    seed: int = settings.setting(
        "Decides ratings and weights.", settings.parse_non_negative_integer, "0"
    )


async def _run(values: ServiceSettings) -> None:
    state = service.ServiceState(values.seed)
    application = service.build_application(state, rating=values.rating)
    await serving.serve(application, values.listen)


def _expand_rating_flag(arguments: list[str]) -> list[str]:
    """Appends `true` to a --rating without a value.

    The parser of the command line requires a value for every flag.
    """
    expanded = []
    for index, argument in enumerate(arguments):
        expanded.append(argument)
        next_arguments = arguments[index + 1 : index + 2]
        has_no_value = not next_arguments or next_arguments[0].startswith("-")
        if argument == "--rating" and has_no_value:
            expanded.append("true")
    return expanded


def main() -> int:
    """Runs the program and returns its exit code."""
    return program.run_program(
        "dragonflydyke-service-emulator",
        "Emulates one plain service, or the rating service.",
        ServiceSettings,
        _run,
        _expand_rating_flag(sys.argv[1:]),
    )


if __name__ == "__main__":
    sys.exit(main())
