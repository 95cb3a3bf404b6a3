"""Starts the programs of the deploy file as processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RUN_WORDS = {"entry": ["python3", "deploy/node.py", "entry"], "agent": ["python3", "deploy/node.py", "agent"]}


class Node:
    """One process of the deploy file, with its settings file and its log in `folder`."""

    def __init__(self, role: str, settings: dict[str, Any], folder: pathlib.Path, options: list[str]) -> None:
        self.name = str(settings["node"])
        self._words = [*RUN_WORDS[role], *options]
        self._path = folder / f"{self.name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"CACTUSGAUGE_NODE_FILE": str(self._path), "PYTHONPATH": "target/deps"}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._process.returncode if self._process is not None else None

    @property
    def log_text(self) -> str:
        """What the process wrote."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def local_ports(self) -> set[int]:
        """Return the local ports of the process's TCP connections."""
        if self._process is None:
            return set()
        inodes = set()
        with contextlib.suppress(OSError):
            for descriptor in pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    inodes.add(os.readlink(descriptor).removeprefix("socket:[").removesuffix("]"))
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        # The second word of a line is the local address, ADDRESS:PORT in hexadecimal; the tenth is the inode.
        return {int(words[1].partition(":")[2], 16) for words in map(str.split, lines) if words[9] in inodes}
