"""Tests of the processes that the harness starts."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

_SHELL = (sys.executable, "-m", "tests.builders.shell_jobs", "shell")
# The kernel continues the processes of a job when its shell exits.
_OBSERVATION_S = 0.5


class SuspendedProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routers that continue while a test counts on the opposite.

    The kernel continues suspended processes of a process group when the shell
    that started the group exits. A suspended lease holder stopped a rollout.
    """

    async def test_process_stays_suspended_when_the_shell_ends(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            shell = await asyncio.create_subprocess_exec(
                *_SHELL,
                directory,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
            output, _ = await shell.communicate()
            job, suspended = (int(pid) for pid in output.split())
            try:
                await asyncio.sleep(_OBSERVATION_S)
                self.assertEqual(_read_state(suspended), "T")
            finally:
                for pid in (suspended, job):
                    os.kill(pid, signal.SIGKILL)


def _read_state(pid: int) -> str:
    """Returns the state of a process, T if it is suspended."""
    status = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return status.rpartition(")")[2].split()[0]
