"""Suspends a process of the harness in a job of a shell that then ends.

Usage: python -m tests.builders.shell_jobs shell|job DIRECTORY. The shell prints
the process ids of its job and of the suspended process, and exits.
"""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

from harness import processes

_JOB_DURATION_S = 60.0


def _run_shell(directory: str) -> None:
    job = subprocess.Popen(
        (sys.executable, "-m", "tests.builders.shell_jobs", "job", directory),
        stdout=subprocess.PIPE,
        process_group=0,
    )
    assert job.stdout is not None
    print(job.stdout.readline().decode(), end="", flush=True)


async def _run_job(directory: str) -> None:
    # As nohup does, without which the job would end with the shell.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    process = processes.ManagedProcess(
        "platform",
        "dragonflydyke.emulator.platform_main",
        ("serve",),
        pathlib.Path(directory),
    )
    await process.start()
    process.suspend()
    print(os.getpid(), process.pid, flush=True)
    await asyncio.sleep(_JOB_DURATION_S)


if __name__ == "__main__":
    if sys.argv[1] == "shell":
        _run_shell(sys.argv[2])
    else:
        asyncio.run(_run_job(sys.argv[2]))
