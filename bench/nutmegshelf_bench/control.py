"""Measure the idle cost of the control plane for entries by the size of the fleet list."""

import asyncio
import collections
import contextlib
import os
import pathlib
import statistics
import typing

import msgspec
import pynng
from nutmegshelf import codecs, ids, members, platform
from nutmegshelf_entry import logs
from nutmegshelf_standins import demo, process

from nutmegshelf_bench import figures

_FLEET_SIZES = (0, 500, 1500, 4500)
_ENTRY_COUNT = 7
_SETTLE_TIME_S = 4.0
_MEASUREMENT_WINDOW_S = 12.0
# A pynng socket prefixes each message with its length in eight bytes.
_FRAME_HEADER_BYTES = 8
_MAX_READ_BYTES = 65536
_UNITS_BY_NAME = {
    "cpu": "%core",
    "memory": "MB",
    "platform_bytes": "B/s",
    "peer_bytes": "B/s",
    "calls": "calls/s",
}


class CountingProxy:
    """A TCP proxy from entries to the platform that counts bytes and calls by kind."""

    def __init__(self) -> None:
        self.transferred_bytes = 0
        self.call_counts: collections.Counter[str] = collections.Counter()
        self._platform_port = 0

    async def start(self, port: int) -> asyncio.Server:
        """Start a server that forwards connections to a port of the platform."""
        self._platform_port = port
        return await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        platform_reader, platform_writer = await asyncio.open_connection(
            "127.0.0.1", self._platform_port
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward(reader, platform_writer, is_request=True))
            group.create_task(self._forward(platform_reader, writer, is_request=False))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_request: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_MAX_READ_BYTES):
                self.transferred_bytes += len(data)
                if is_request:
                    self.call_counts[_classify_call(data)] += 1
                writer.write(data)
        writer.close()


def _classify_call(data: bytes) -> str:
    """Return the kind of a call; an entry writes each small call in a single chunk."""
    head, _, body = data.partition(b"\r\n\r\n")
    method, target = head.decode("ascii", "replace").split(" ")[:2]
    path = target.partition("?")[0].strip("/")
    if path != "table":
        return ".".join(path.split("/")[:2]) if method == "GET" else path.split("/")[0]
    with contextlib.suppress(msgspec.DecodeError):
        transaction = codecs.unpack(body, platform.Transaction)
        if transaction.writes:
            return f"write.{transaction.writes[0].key.partition('/')[0]}"
        if transaction.conditions:
            return f"check.{transaction.conditions[0].key.partition('/')[0]}"
    return "table"


class ProxiedDeployment(demo.Deployment):
    """A deployment whose entries call the platform through a counting proxy."""

    def __init__(self, group: process.Group, seed: int) -> None:
        super().__init__(group, demo.EXAMPLES / "dorna", seed, folder="control")
        self.proxy = CountingProxy()

    async def start_entry(self, name: str) -> None:
        """Start an entry that calls the platform through the proxy."""
        platform_port = self.platform_port
        server = await self.proxy.start(platform_port)
        self.platform_port = server.sockets[0].getsockname()[1]
        await super().start_entry(name)
        self.platform_port = platform_port

    def set_fleet_size(self, size: int, sample: list[platform.MinionRecord]) -> None:
        """Fill the fleet list to a size with records that lead to the minions of the sample."""
        self.records = [
            msgspec.structs.replace(
                sample[number % len(sample)],
                minion=ids.MinionId(f"minion-{number}"),
                worker=ids.WorkerId(f"worker-{number}"),
                rack=ids.RackName(f"rack-{number // 40}"),
            )
            for number in range(size)
        ]


class PeerListener:
    """Counts the bytes that entries send to a peer, as a leaving member without duties."""

    def __init__(self, deployment: ProxiedDeployment) -> None:
        self.received_bytes = 0
        self._deployment = deployment
        self._pull = pynng.Pull0(listen="tcp://127.0.0.1:0", recv_buffer_size=128)
        port = str(self._pull.listeners[0].local_address).rpartition(":")[2]
        self._row = members.EntryRow(
            entry=ids.EntryId("ear"),
            zone=ids.ZoneName(deployment.zones[0]),
            peer_address=f"tcp://127.0.0.1:{port}",
            operator_address="127.0.0.1:1",
            leaving=True,
        )

    async def listen(self) -> None:
        """Count the bytes of messages until cancelled."""
        with self._pull:
            while True:
                self.received_bytes += len(await self._pull.arecv()) + _FRAME_HEADER_BYTES

    async def send_heartbeats(self) -> None:
        """Renew the member's row every second until cancelled."""
        while True:
            self._row = msgspec.structs.replace(self._row, beat=self._row.beat + 1)
            write = platform.Write(members.PREFIX + self._row.entry, codecs.pack(self._row))
            await self._deployment.write_row(write)
            await asyncio.sleep(1.0)


def _read_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_memory_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class _Sample(typing.NamedTuple):
    at_s: float
    cpu_s: list[float]
    proxy_bytes: int
    listener_bytes: int
    calls: collections.Counter[str]


def _take_sample(deployment: ProxiedDeployment, listener: PeerListener) -> _Sample:
    now_s = asyncio.get_running_loop().time()
    cpu_s = [_read_cpu_s(entry.pid) for entry in deployment.entries.values()]
    calls = collections.Counter(deployment.proxy.call_counts)
    return _Sample(now_s, cpu_s, deployment.proxy.transferred_bytes, listener.received_bytes, calls)


async def _measure(
    deployment: ProxiedDeployment, listener: PeerListener, size: int
) -> dict[str, float]:
    await asyncio.sleep(_SETTLE_TIME_S)
    before = _take_sample(deployment, listener)
    await asyncio.sleep(_MEASUREMENT_WINDOW_S)
    after = _take_sample(deployment, listener)
    elapsed_s = after.at_s - before.at_s
    entry_seconds = elapsed_s * len(deployment.entries)
    cpu_percents = [
        (end_s - start_s) / elapsed_s * 100
        for start_s, end_s in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    figures.report_spread(f"control.{size}.cpu_of_one", cpu_percents, "%core")
    calls = after.calls - before.calls
    for kind, count in sorted(calls.items()):
        figures.report(f"control.{size}.calls.{kind}", count / entry_seconds, "calls/s")
    # The listener receives what each entry sends to one peer; an entry sends to and receives from
    # every other entry.
    listener_bytes_per_s = (after.listener_bytes - before.listener_bytes) / entry_seconds
    return {
        "cpu": statistics.mean(cpu_percents),
        "memory": max(_read_memory_mb(entry.pid) for entry in deployment.entries.values()),
        "platform_bytes": (after.proxy_bytes - before.proxy_bytes) / entry_seconds,
        "peer_bytes": 2 * listener_bytes_per_s * (len(deployment.entries) - 1),
        "calls": calls.total() / entry_seconds,
    }


async def _run(seed: int) -> None:
    results: list[dict[str, float]] = []
    async with process.Group() as group:
        deployment = ProxiedDeployment(group, seed)
        await deployment.start(entries=_ENTRY_COUNT, minions_per_service=1)
        sample = list(deployment.records)
        listener = PeerListener(deployment)
        tasks = [
            asyncio.create_task(listener.listen()),
            asyncio.create_task(listener.send_heartbeats()),
        ]
        for size in _FLEET_SIZES:
            deployment.set_fleet_size(size, sample)
            await deployment.put_fleet()
            results.append(await _measure(deployment, listener, size))
            for name, value in results[-1].items():
                figures.report(f"control.{size}.{name}", value, _UNITS_BY_NAME[name])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for name, unit in _UNITS_BY_NAME.items():
        values = [result[name] for result in results]
        fit = figures.fit_line(_FLEET_SIZES, values)
        figures.report(f"control.slope.{name}", fit.slope, f"{unit}/worker")
        figures.report(f"control.intercept.{name}", fit.intercept, unit)
        figures.report(f"control.fit_error.{name}", fit.max_relative_error, "ratio")


@figures.register("control")
def measure_control(seed: int) -> None:
    """Print the cost at each size, its slope per worker and the error of the linear fit."""
    logs.configure("critical")
    asyncio.run(_run(seed))
