"""Measure what control costs entries at rest by the size of the fleet list."""

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

_SIZES = (0, 500, 1500, 4500)
_ENTRIES = 7
_SETTLE_S = 4.0
_WINDOW_S = 12.0
# Each message over a pynng socket goes with its length in eight bytes.
_FRAME_BYTES = 8
_READ_BYTES = 65536
_UNITS = {
    "cpu": "%core",
    "memory": "MB",
    "platform_bytes": "B/s",
    "peer_bytes": "B/s",
    "calls": "calls/s",
}


class CountingProxy:
    """Carry entries' connections to the platform, counting bytes and calls by kind."""

    def __init__(self) -> None:
        self.transferred_bytes = 0
        self.call_counts: collections.Counter[str] = collections.Counter()
        self._to = 0

    async def start(self, port: int) -> asyncio.Server:
        """Listen for entries on behalf of the platform."""
        self._to = port
        return await asyncio.start_server(self._carry, "127.0.0.1", 0)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        back, forth = await asyncio.open_connection("127.0.0.1", self._to)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(reader, forth, asks=True))
            group.create_task(self._pump(back, writer, asks=False))

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, asks: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                self.transferred_bytes += len(data)
                if asks:
                    self.call_counts[_kind(data)] += 1
                writer.write(data)
        writer.close()


def _kind(data: bytes) -> str:
    """Name a call; an entry writes each small call in one go."""
    head, _, body = data.partition(b"\r\n\r\n")
    method, target = head.decode("ascii", "replace").split(" ")[:2]
    path = target.partition("?")[0].strip("/")
    if path != "table":
        return ".".join(path.split("/")[:2]) if method == "GET" else path.split("/")[0]
    with contextlib.suppress(msgspec.DecodeError):
        asked = codecs.unpack(body, platform.Transaction)
        if asked.writes:
            return f"write.{asked.writes[0].key.partition('/')[0]}"
        if asked.conditions:
            return f"check.{asked.conditions[0].key.partition('/')[0]}"
    return "table"


class ProxiedDeployment(demo.Deployment):
    """Start entries whose calls to the platform go over a counted wire."""

    def __init__(self, group: process.Group, seed: int) -> None:
        super().__init__(group, demo.EXAMPLES / "dorna", seed, folder="control")
        self.proxy = CountingProxy()

    async def start_entry(self, name: str) -> None:
        """Start an entry behind the wire."""
        direct = self.platform_port
        server = await self.proxy.start(direct)
        self.platform_port = server.sockets[0].getsockname()[1]
        await super().start_entry(name)
        self.platform_port = direct

    def make_records(self, size: int, sample: list[platform.MinionRecord]) -> None:
        """Make a list of some size whose records all lead to the started minions."""
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
    """Count what entries send to each peer, as a member that takes no duties."""

    def __init__(self, site: ProxiedDeployment) -> None:
        self.received_bytes = 0
        self._site = site
        self._pull = pynng.Pull0(listen="tcp://127.0.0.1:0", recv_buffer_size=128)
        port = str(self._pull.listeners[0].local_address).rpartition(":")[2]
        self._row = members.EntryRow(
            entry=ids.EntryId("ear"),
            zone=ids.ZoneName(site.zones[0]),
            peer_address=f"tcp://127.0.0.1:{port}",
            operator_address="127.0.0.1:1",
            leaving=True,
        )

    async def listen(self) -> None:
        """Count messages until cancelled."""
        with self._pull:
            while True:
                self.received_bytes += len(await self._pull.arecv()) + _FRAME_BYTES

    async def send_heartbeats(self) -> None:
        """Stay listed until cancelled."""
        while True:
            self._row = msgspec.structs.replace(self._row, beat=self._row.beat + 1)
            row = platform.Write(members.PREFIX + self._row.entry, codecs.pack(self._row))
            await self._site.write_row(row)
            await asyncio.sleep(1.0)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class _Marks(typing.NamedTuple):
    at_s: float
    cpu_s: list[float]
    wire_bytes: int
    ear_bytes: int
    calls: collections.Counter[str]


def _mark(site: ProxiedDeployment, ear: PeerListener) -> _Marks:
    now_s = asyncio.get_running_loop().time()
    cpu_s = [_cpu_s(entry.pid) for entry in site.entries.values()]
    calls = collections.Counter(site.proxy.call_counts)
    return _Marks(now_s, cpu_s, site.proxy.transferred_bytes, ear.received_bytes, calls)


async def _measure(site: ProxiedDeployment, ear: PeerListener, size: int) -> dict[str, float]:
    await asyncio.sleep(_SETTLE_S)
    before = _mark(site, ear)
    await asyncio.sleep(_WINDOW_S)
    after = _mark(site, ear)
    took_s = after.at_s - before.at_s
    node_s = took_s * len(site.entries)
    shares = [
        (end_s - start_s) / took_s * 100
        for start_s, end_s in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    figures.report_spread(f"control.{size}.cpu_of_one", shares, "%core")
    calls = after.calls - before.calls
    for kind, count in sorted(calls.items()):
        figures.report(f"control.{size}.calls.{kind}", count / node_s, "calls/s")
    # The ear hears each entry's share for one peer; a node sends and receives one for each.
    heard = (after.ear_bytes - before.ear_bytes) / node_s
    return {
        "cpu": statistics.mean(shares),
        "memory": max(_memory_mb(entry.pid) for entry in site.entries.values()),
        "platform_bytes": (after.wire_bytes - before.wire_bytes) / node_s,
        "peer_bytes": 2 * heard * (len(site.entries) - 1),
        "calls": calls.total() / node_s,
    }


async def _run(seed: int) -> None:
    found: list[dict[str, float]] = []
    async with process.Group() as group:
        site = ProxiedDeployment(group, seed)
        await site.start(entries=_ENTRIES, minions_per_service=1)
        sample = list(site.records)
        ear = PeerListener(site)
        tasks = [asyncio.create_task(ear.listen()), asyncio.create_task(ear.send_heartbeats())]
        for size in _SIZES:
            site.make_records(size, sample)
            await site.put_fleet()
            found.append(await _measure(site, ear, size))
            for name, value in found[-1].items():
                figures.report(f"control.{size}.{name}", value, _UNITS[name])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for name, unit in _UNITS.items():
        values = [one[name] for one in found]
        fit = figures.fit_line(_SIZES, values)
        figures.report(f"control.slope.{name}", fit.slope, f"{unit}/worker")
        figures.report(f"control.intercept.{name}", fit.intercept, unit)
        figures.report(f"control.fit_error.{name}", fit.max_relative_error, "ratio")


@figures.register("control")
def measure_control(seed: int) -> None:
    """Print what control costs at each size, and its slope a worker with the fit's error."""
    logs.configure("critical")
    asyncio.run(_run(seed))
