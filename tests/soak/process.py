"""Runs a cactusgauge process as the platform does and injects faults by signals."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from typing import Any, Self

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STOP_GRACE_S = 6.0  # between SIGTERM and SIGKILL, as on the platform


class SoakProcess:
    """Runs `deploy/node.py` and restarts it when it exits, as the platform does."""

    def __init__(self, role: str, settings: dict[str, Any], options: list[str], folder: pathlib.Path) -> None:
        self.name = str(settings["node"])
        self._command = [sys.executable, "deploy/node.py", role, *options]
        self._settings = folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._restart_after_s = 0.0
        self.exit_codes: list[int] = []
        self.stopped_at = float("-inf")  # time of the last SIGTERM

    async def __aenter__(self) -> Self:
        await self._start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            self._signal(signal.SIGKILL)
            await process.wait()

    async def keep_running(self) -> None:
        """Restart the process whenever it has exited."""
        while True:
            assert self._process is not None
            code = await self._process.wait()
            self.exit_codes.append(code)
            await asyncio.sleep(max(0.3, self._restart_after_s))
            self._restart_after_s = 0.0
            await self._start()

    def kill(self, down_s: float = 0.0) -> None:
        """Kill the process, as a power loss would; `keep_running` restarts it after `down_s`."""
        self._restart_after_s = down_s
        self._signal(signal.SIGKILL)

    async def pause(self, seconds: float) -> None:
        """Suspend the process for the given time."""
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Send SIGTERM, then SIGKILL if the same process still runs after the grace period."""
        process = self._process
        self.stopped_at = asyncio.get_running_loop().time()
        self._signal(signal.SIGTERM)
        await asyncio.sleep(STOP_GRACE_S)
        if process is self._process:
            self._signal(signal.SIGKILL)

    def reload(self) -> None:
        """Send SIGHUP, which makes the process reload its settings."""
        self._signal(signal.SIGHUP)

    async def _start(self) -> None:
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={"CACTUSGAUGE_NODE_FILE": str(self._settings), "PATH": "/usr/bin:/bin"},
                stdout=log,
                stderr=log,
            )

    def _signal(self, number: signal.Signals) -> None:
        # `Process.send_signal` would read the status of a process that has just exited, which is lost to asyncio then.
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it has exited and is about to be restarted
                os.kill(self._process.pid, number)
