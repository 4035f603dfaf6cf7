"""Start simulated services and entries as subprocesses, and stop only those."""

import asyncio
import collections.abc
import contextlib
import itertools
import os
import signal
import socket
import sys
import threading
import typing

from nutmegshelf_http import client

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 40.0
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 61


async def print_port_and_wait(port: int) -> None:
    """Print the port that this process listens on, then wait for SIGTERM or SIGINT."""
    print(port, flush=True)
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


def is_running(pid: int) -> bool:
    """Return whether a process with this id exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class Process:
    """A subprocess and the port that it listens on."""

    def __init__(self, name: str, subprocess: asyncio.subprocess.Process, port: int) -> None:
        self.name = name
        self.port = port
        self.pid = subprocess.pid
        self._subprocess = subprocess

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._subprocess.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        with contextlib.suppress(ProcessLookupError):
            self._subprocess.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        return await self._subprocess.wait()

    async def stop(self) -> int:
        """Send SIGTERM, then SIGKILL after a timeout, and return the exit code."""
        if self._subprocess.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                return await self.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.wait()


class Group(contextlib.AsyncExitStack):
    """A context that stops all its processes on exit, also if this process gets SIGTERM."""

    def __init__(self) -> None:
        super().__init__()
        self._processes: list[Process] = []

    async def __aenter__(self) -> typing.Self:
        """Cancel the current task on SIGTERM, so that its context stops the processes."""
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # asyncio sets signal handlers only in the main thread; other threads close the group.
        if task is not None and threading.current_thread() is threading.main_thread():
            loop.add_signal_handler(signal.SIGTERM, task.cancel, "SIGTERM")
            self.callback(loop.remove_signal_handler, signal.SIGTERM)
        return await super().__aenter__()

    def list_running(self) -> list[str]:
        """Return the names of the processes that are still running."""
        return [process.name for process in self._processes if is_running(process.pid)]

    async def start_standin(self, name: str, module: str, *arguments: str) -> Process:
        """Start a module of this package and read the port that it prints."""
        subprocess = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", f"nutmegshelf_standins.{module}", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        assert subprocess.stdout is not None
        process = self._register(Process(name, subprocess, 0))
        async with asyncio.timeout(_START_TIMEOUT_S):
            process.port = int(await subprocess.stdout.readline())
        return process

    async def start_entry(self, name: str, settings_path: str, log: typing.IO[bytes]) -> Process:
        """Start an entry with a settings file; its log goes to an open file."""
        subprocess = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "nutmegshelf_entry", "--settings", settings_path),
            stderr=log,
        )
        return self._register(Process(name, subprocess, 0))

    async def run_module(self, module: str, *arguments: str) -> int:
        """Run a module until it exits, and return the exit code."""
        subprocess = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *arguments), stdout=asyncio.subprocess.DEVNULL
        )
        return await self._register(Process(module, subprocess, 0)).wait()

    def _register(self, process: Process) -> Process:
        self._processes.append(process)
        self.push_async_callback(process.stop)
        return process


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free and lie below the ephemeral port range.

    An ephemeral port that was released could become the local port of an outgoing connection
    before the new process listens on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidate_ports)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
    return ports


def _generate_ports() -> collections.abc.Iterator[int]:
    # Each process starts at a different port, so that concurrent tests rarely collide.
    port_count = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * _PORTS_PER_PROCESS
    return (_FIRST_PORT + (start + step) % port_count for step in itertools.count())


_candidate_ports = _generate_ports()


async def wait_until_ready(port: int) -> None:
    """Wait until /ready at the operators' port of an entry returns 200."""
    operator_client = client.Client("127.0.0.1", port)
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                if (await operator_client.request("GET", "/ready")).status == 200:
                    operator_client.close()
                    return
            await asyncio.sleep(0.05)
