"""Child processes of tests and demos."""

import asyncio
import os
import pathlib
import signal
import sys

READY_PREFIX = "listening on "
_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 60.0


class ManagedProcess:
    """A program of this project, run as a child process.

    Attributes:
        name: Name for messages and the log file.
        ready_line: Line that the program printed when it was ready, without
            READY_PREFIX.
    """

    __slots__ = ("_arguments", "_log_path", "_process", "name", "ready_line")

    def __init__(
        self,
        name: str,
        module: str,
        arguments: tuple[str, ...],
        log_directory: pathlib.Path,
    ) -> None:
        """Creates a description of the process without starting it.

        Args:
            name: Name for messages and the log file.
            module: Module whose function `main` runs the program.
            arguments: Command line after the program name.
            log_directory: Directory of the log file, which gets standard error.
        """
        self.name = name
        self.ready_line = ""
        self._arguments = (
            sys.executable,
            "-c",
            f"import sys; from {module} import main; sys.exit(main())",
            *arguments,
        )
        self._log_path = log_directory / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._get_process().pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process and waits until it prints its ready line.

        Raises:
            RuntimeError: If it exits or prints none within the timeout; the
                message has the end of its log.
        """
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
                # In the group of a shell's job, the kernel continues suspended
                # processes when the shell exits.
                process_group=0,
            )
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                self.ready_line = await self._read_ready_line()
        except TimeoutError:
            self.kill()
            raise RuntimeError(self._describe_failure()) from None

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        self._get_process().send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self._get_process().send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        if self.is_running:
            self._get_process().kill()

    def terminate(self) -> None:
        """Requests a graceful shutdown with SIGTERM."""
        if self.is_running:
            self._get_process().terminate()

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the exit code.

        Raises:
            TimeoutError: If the process did not exit in time; it was killed.
        """
        process = self._get_process()
        try:
            async with asyncio.timeout(timeout_s):
                return await process.wait()
        except TimeoutError:
            process.send_signal(signal.SIGCONT)
            process.kill()
            await process.wait()
            raise

    async def stop(self) -> None:
        """Shuts the process down, also if it is suspended."""
        if not self.is_running:
            return
        self.resume()
        self.terminate()
        await self.wait()

    def read_log(self) -> str:
        """Returns what the process wrote to standard error."""
        return self._log_path.read_text(errors="replace")

    def read_resident_bytes(self) -> int:
        """Returns the resident memory of the process in bytes."""
        pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def read_processor_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        after_name = fields.rpartition(")")[2].split()
        ticks = int(after_name[11]) + int(after_name[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _get_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._process

    async def _read_ready_line(self) -> str:
        stream = self._get_process().stdout
        assert stream is not None
        while line := await stream.readline():
            text = line.decode().strip()
            if text.startswith(READY_PREFIX):
                return text.removeprefix(READY_PREFIX)
        await self._get_process().wait()
        raise RuntimeError(self._describe_failure())

    def _describe_failure(self) -> str:
        code = self._get_process().returncode
        return (
            f"{self.name} did not become ready (exit code {code});"
            f" end of its log:\n{self.read_log()[-2000:]}"
        )
