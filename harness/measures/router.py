"""The router program with a probe that writes snapshots."""

import sys

from dragonflydyke.membership import relays
from dragonflydyke.router import assembly
from dragonflydyke.router import main as program
from harness.measures import probe

# File with the size of the full mesh. It is in the directory of the inner key
# file, like the snapshots.
MESH_FILE = "mesh_vms"


class _ProbedRouter(assembly.Router):
    """A router that writes snapshots on SIGUSR1."""

    __slots__ = ()

    async def start(self) -> str:
        directory = self._settings.inner_key_file.parent
        relays.FULL_MESH_MAX_VMS = int((directory / MESH_FILE).read_text())
        probe.install(
            directory / f"{self._settings.vm_name}.probe", self._counters.totals
        )
        return await super().start()


def main() -> int:
    """Runs the router and returns its exit code."""
    assembly.Router = _ProbedRouter  # type: ignore[misc]
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
