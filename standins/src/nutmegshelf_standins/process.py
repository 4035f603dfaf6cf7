"""Start stand-ins and daemons as processes, and end just those."""

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
_END_TIMEOUT_S = 40.0
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 61


async def print_port_and_wait(port: int) -> None:
    """Print the port that a stand-in listens on, then wait for SIGTERM."""
    print(port, flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()


def is_running(pid: int) -> bool:
    """Say whether a process still exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class Process:
    """Own one started process."""

    def __init__(self, name: str, started: asyncio.subprocess.Process, port: int) -> None:
        self.name = name
        self.port = port
        self.pid = started.pid
        self._started = started

    @property
    def is_running(self) -> bool:
        """Say whether the process has not ended."""
        return self._started.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            self._started.send_signal(number)

    async def wait(self) -> int:
        """Give the exit code once the process has ended."""
        return await self._started.wait()

    async def stop(self) -> int:
        """Ask for a graceful end, and kill after a while."""
        if self._started.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_END_TIMEOUT_S):
                return await self.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.wait()


class Group(contextlib.AsyncExitStack):
    """End every process that was started within it, also when this process gets SIGTERM."""

    def __init__(self) -> None:
        super().__init__()
        self._processes: list[Process] = []

    async def __aenter__(self) -> typing.Self:
        """Have SIGTERM end the task that starts processes, which then ends them."""
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # Only the main thread gets signals; elsewhere the starter has to see to it.
        if task is not None and threading.current_thread() is threading.main_thread():
            loop.add_signal_handler(signal.SIGTERM, task.cancel, "SIGTERM")
            self.callback(loop.remove_signal_handler, signal.SIGTERM)
        return await super().__aenter__()

    def list_running(self) -> list[str]:
        """Name the processes that still run."""
        return [process.name for process in self._processes if is_running(process.pid)]

    async def start_standin(self, name: str, module: str, *arguments: str) -> Process:
        """Start a stand-in that prints its port."""
        started = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", f"nutmegshelf_standins.{module}", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        assert started.stdout is not None
        process = self._own(Process(name, started, 0))
        async with asyncio.timeout(_START_TIMEOUT_S):
            process.port = int(await started.stdout.readline())
        return process

    async def start_entry(self, name: str, settings_path: str, log: typing.IO[bytes]) -> Process:
        """Start an entry with its settings file."""
        started = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "nutmegshelf_entry", "--settings", settings_path),
            stderr=log,
        )
        return self._own(Process(name, started, 0))

    async def run_module(self, module: str, *arguments: str) -> int:
        """Run a program of the workspace and give its exit code."""
        started = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *arguments), stdout=asyncio.subprocess.DEVNULL
        )
        return await self._own(Process(module, started, 0)).wait()

    def _own(self, process: Process) -> Process:
        self._processes.append(process)
        self.push_async_callback(process.stop)
        return process


def find_free_ports(count: int) -> list[int]:
    """Find ports that nothing listens on now and that no outgoing connection will take.

    A port that the system chose and that was set free again may become the local end of any
    connection before its process listens there, so these lie below the range for those.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_port_numbers)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
    return ports


def _port_range() -> collections.abc.Iterator[int]:
    # Each process starts elsewhere, so that tests that run together rarely meet.
    span = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * _PORTS_PER_PROCESS
    return (_FIRST_PORT + (start + step) % span for step in itertools.count())


_port_numbers = _port_range()


async def wait_until_ready(port: int) -> None:
    """Wait until an entry's operators' port says that it is ready."""
    operators = client.Client("127.0.0.1", port)
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                if (await operators.request("GET", "/ready")).status == 200:
                    operators.close()
                    return
            await asyncio.sleep(0.05)
