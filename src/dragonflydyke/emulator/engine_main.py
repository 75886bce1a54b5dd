"""Command-line program dragonflydyke-engine-emulator."""

import dataclasses
import sys

from dragonflydyke import program, settings
from dragonflydyke.emulator import engine, engine_model, serving


def _parse_versions(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """Settings of the engine emulator; /control sets all other behaviour."""

    listen: settings.Address = settings.setting(
        "Address host:port; port 0 lets the system pick one.",
        settings.parse_address,
        "127.0.0.1:0",
    )
    versions: tuple[str, ...] = settings.setting(
        "Loaded versions as model@version, comma-separated.",
        _parse_versions,
        "",
    )
    seed: int = settings.setting(
        "Decides texts and which requests fail.",
        settings.parse_non_negative_integer,
        "0",
    )
    slots: int = settings.setting(
        "Requests that run at the same time.",
        settings.parse_non_negative_integer,
        "8",
    )
    prefill_ms: float = settings.setting(
        "Prefill time per prompt token in milliseconds.",
        settings.parse_non_negative_float,
        "0.2",
    )
    decode_ms: float = settings.setting(
        "Decode time per completion token in milliseconds.",
        settings.parse_non_negative_float,
        "20",
    )
    load_lag_s: float = settings.setting(
        "Age of the load report in seconds.",
        settings.parse_non_negative_float,
        "0",
    )
    checks_fencing: bool = settings.setting(
        "Whether stale orders are refused, true or false.",
        settings.parse_boolean,
        "true",
    )


_MS_PER_S = 1_000


async def _run(values: EngineSettings) -> None:
    behaviour = engine_model.EngineBehaviour(
        prefill_s=values.prefill_ms / _MS_PER_S,
        decode_s=values.decode_ms / _MS_PER_S,
        slots=values.slots,
        load_lag_s=values.load_lag_s,
        checks_fencing=values.checks_fencing,
    )
    state = engine.EngineState(values.versions, values.seed, behaviour)
    await serving.serve(engine.build_application(state), values.listen)


def main() -> int:
    """Runs the program and returns its exit code."""
    return program.run_program(
        "dragonflydyke-engine-emulator",
        "Emulates one batching engine.",
        EngineSettings,
        _run,
    )


if __name__ == "__main__":
    sys.exit(main())
