"""Speak the users' platform's protocol over loopback, in front of the fake world."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import signal
import socket
import sys
import tempfile
import urllib.parse

import yaml
from nutmegshelf import exceptions, jobs, orders, platform, rebalancing
from nutmegshelf_http import server

from features import jobhosts, jobworld

JSON = [(b"content-type", b"application/json")]
SILENT_S = 3.0
PART_BYTES = 16 * 1024
ROOT = pathlib.Path(__file__).resolve().parent.parent


def wire_row(row):
    table, part, key = (*row.key.split("/", 2), "-")[:3]
    found = {"table": table, "part": part, "key": key, "ver": row.version}
    if not row.version:
        return {**found, "deleted": True}
    return {**found, "value": base64.b64encode(row.value).decode()}


def kernel_key(one):
    key = f"{one['table']}/{one['part']}"
    return key if one["key"] == "-" else f"{key}/{one['key']}"


@dataclasses.dataclass(frozen=True)
class SlowLink:
    """Carry bodies in parts, at a bounded rate, or stop in the middle of an answer."""

    sends_bytes_s: float = math.inf
    receives_bytes_s: float = math.inf
    stops_after_bytes: float = math.inf

    async def receive(self, exchange):
        data = bytearray()
        async for part in exchange.connection.iterate_body():
            data += part
            await asyncio.sleep(len(part) / self.receives_bytes_s)
        return bytes(data)

    async def send(self, exchange, status, body):
        await exchange.start_response(status, [*JSON, (b"content-length", str(len(body)).encode())])
        for start in range(0, len(body), PART_BYTES):
            if start >= self.stops_after_bytes:
                await asyncio.sleep(SILENT_S)
            part = body[start : start + PART_BYTES]
            await asyncio.sleep(len(part) / self.sends_bytes_s)
            await exchange.write(part)
        await exchange.end()


class PlatformServer:
    """Serve the store, the minions, the machines and the policy on one port."""

    def __init__(self, world):
        self.world = world
        self.faults = {}
        # Paths whose calls get no answer.
        self.silent = set()
        # Paths whose calls are answered late, with the seconds.
        self.late = {}
        self.calls = []
        self.forgets = False
        self.link = SlowLink()
        self.workers = jobworld.Workers(world)
        self.hosts = jobhosts.Hosts(world, "platform")
        self.server = server.Server(self.handle)
        self.port = 0

    async def start(self):
        self.port = await self.server.start("127.0.0.1", 0)

    async def handle(self, exchange):
        path, _, query = exchange.target.partition("?")
        body = await self.link.receive(exchange)
        asked = {key: one[0] for key, one in urllib.parse.parse_qs(query, True).items()}
        data = json.loads(body) if body else {}
        self.calls.append((exchange.method, path))
        await asyncio.sleep(self.late.get(path, 0.0))
        if path in self.silent:
            await asyncio.sleep(SILENT_S)
        status, answer = self.faults.get(path) or await self.answer(exchange, path, asked, data)
        await self.link.send(exchange, status, json.dumps(answer).encode())

    async def answer(self, exchange, path, asked, data):
        if path.startswith("/v1/rows-"):
            return await self.answer_store(path, asked, data)
        if path == "/v1/machines":
            return 200, {"machines": await self.machines(), "nextToken": None}
        if path.startswith("/v1/machine-"):
            return await self.order_host(exchange, path, data)
        return await self.order_minion(exchange, path, data)

    async def answer_store(self, path, asked, data):
        match path:
            case "/v1/rows-tx":
                return self.commit(data)
            case "/v1/rows-get":
                return 200, self.get(asked)
            case "/v1/rows-feed":
                return await self.feed(asked)
            case "/v1/rows-parts":
                rows = [
                    key for key in self.world.table.rows if key.startswith(asked["table"] + "/")
                ]
                return 200, {"parts": sorted({key.split("/")[1] for key in rows}), "hasMore": False}
        return 404, {}

    def publish(self):
        """Write the rows that minions and operators write."""
        entries = {}
        for minion in self.world.minions.values():
            facts = minion.facts
            entries[f"servers//{facts.incarnation.worker}"] = {
                "service": facts.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": facts.zone,
                "state": "draining" if facts.is_draining else "ready",
                "capacity": {"cpu": facts.cpu_millis, "memMb": facts.memory_mb, "gpu": 0},
                "labels": ["a", facts.rack],
                "machine": facts.host,
                "born": facts.incarnation.born_ms,
                "sequence": 1,
            }
        for key in [key for key in self.world.table.rows if key.startswith("servers//")]:
            if key not in entries:
                self.write(key, None)
        for key, entry in entries.items():
            value = json.dumps(entry).encode()
            if self.world.table.read(key).value != value:
                self.write(key, value)

    def write(self, key, value):
        self.world.table.apply(platform.Transaction(writes=(platform.Write(key, value),)))

    def commit(self, data):
        transaction = platform.Transaction(
            conditions=tuple(
                platform.Condition(kernel_key(one), one["ver"]) for one in data["expectedRevision"]
            ),
            writes=(
                *(
                    platform.Write(kernel_key(one), base64.b64decode(one["value"]))
                    for one in data["setKeys"]
                ),
                *(platform.Write(kernel_key(one), None) for one in data["remove"]),
            ),
        )
        done = self.world.table.apply(transaction)
        if done.ok:
            return 200, {"ver": self.world.table.version, "nowMs": 1}
        return 412, {"rows": [wire_row(row) for row in done.rows if row.version]}

    def get(self, asked):
        rows = [wire_row(row) for row in self.world.table.rows.values()]
        rows = [
            row
            for row in sorted(rows, key=lambda row: row["key"])
            if row["table"] == asked["table"] and row["part"] == asked["part"]
            if row["key"] >= asked.get("from", "")
            if "to" not in asked or row["key"] < asked["to"]
        ]
        limit = min(int(asked.get("limit", 500)), 3)
        found = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        return {**found, "ver": self.world.table.version, "nowMs": 1}

    async def feed(self, asked):
        if self.forgets:
            self.forgets = False
            return 410, {}
        after, kind = int(asked["after"]), asked["table"] + "/"
        for _ in range(int(asked["waitMs"]) // 10):
            log = [row for row in self.world.table.log[after:] if row.key.startswith(kind)]
            if log:
                break
            await asyncio.sleep(0.01)
        else:
            log = []
        # The log's length counts transactions of one row each, as all versions do here.
        return 200, {"rows": [wire_row(row) for row in log], "ver": len(self.world.table.log)}

    async def machines(self):
        return [
            {
                "machine": view.host,
                "id": view.worker,
                "pool": view.pool,
                "state": view.state.value,
                "zone": view.zone,
                "labels": ["a", view.rack],
                "capacity": {"cpu": view.cpu_millis, "memMb": 1, "gpu": 0},
            }
            for view in await self.hosts.list_hosts()
        ]

    async def order_host(self, exchange, path, data):
        assert exchange.get_header(b"x-duty-holder") and exchange.get_header(b"x-fencing-token")
        if data["machine"] not in self.world.hosts:
            return 400, {}
        if path.endswith("move"):
            move = rebalancing.Move(data["machine"], "", data["pool"], "")
            done = await self.hosts.move(move, 1)
        else:
            done = await self.hosts.start_upkeep(data["machine"], data["wave"], 1)
        return (200, {}) if done.value == "done" else (409, {"reason": done.value})

    async def order_minion(self, exchange, path, data):
        name = exchange.get_header(b"x-expect-instance").decode()
        minion = next(
            (m for m in self.world.minions.values() if m.facts.incarnation.worker == name), None
        )
        if minion is None:
            return 421, {}
        fence = data.get("fencingToken", 0)
        try:
            minion.check(fence)
        except exceptions.Fenced:
            return 409, {"reason": "fence", "clockMs": minion.clock_ms()}
        said = {"clockMs": minion.clock_ms(), "born": minion.facts.incarnation.born_ms}
        match path:
            case "/v1/run-start":
                return self.start_run(minion, data, said)
            case "/v1/run-stop":
                order = orders.StopRun(minion.facts.incarnation, data["task"], data["run"], "")
                await self.workers.stop(minion.facts, order, fencing_token=fence)
            case "/v1/hold":
                said |= await self.look(minion, data)
        return 200, said

    def start_run(self, minion, data, said):
        key = jobs.parse_task_name(data["task"])
        order = orders.StartRun(
            minion.facts.incarnation, key, data["run"], data["spec"], "", data.get("ticket")
        )
        refused = minion.start(order, data["deadlineMs"])
        return (409, {**said, "reason": refused.value}) if refused else (200, said)

    async def look(self, minion, data):
        looked = await self.workers.poll(
            minion.facts,
            fencing_token=data["fencingToken"],
            last_seen=data["lastSeen"],
            lease_until_ms=data.get("deadlineMs"),
            wait_s=data.get("waitMs", 0) / 1000,
        )
        return {
            "clockMs": looked.clock_ms,
            "running": [[*one[:3], one.percent, one.tail_latency_ms] for one in looked.running],
            "finished": [
                [one.number, one.task, one.run, one.outcome.value, ""] for one in looked.ends
            ],
        }


CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "queue.example",
            "pathPrefix": "/jobs/",
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "a",
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [
        {"name": "a", "maxConnections": 64, "admissionControl": True, "spare": False},
        {"name": "spare", "maxConnections": 64, "admissionControl": True, "spare": True},
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000},
}


def free_ports(count):
    """Give ports that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in found:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in found]


# Several entries share an address here, so each shows its metrics at a port of its own.
START = """
import sys
from nutmegshelf_platform import settings
settings.METRICS_PORT = int(sys.argv[1])
import nutmegshelf_platform.__main__
"""


class EntryProcess:
    """Own one entry that runs as a real process with the platform's settings."""

    def __init__(self, name, platform_port):
        self.name = name
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.callers, self.ready, first, self.metrics = free_ports(4)
        self.settings = {
            "node": name,
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {
                "frontendAddr": f"127.0.0.1:{self.callers}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internalPorts": [first, first],
            "platform": {"address": f"127.0.0.1:{platform_port}"},
            "cloudApi": {"address": f"127.0.0.1:{platform_port}", "dutyPerS": 64.0},
            "bounds": {"graceS": 3, "holdMaxMs": 6000, "upkeepS": 2, "leaseMs": 3000},
            "somethingNew": {"is": "ignored"},
        }
        self.child = None
        self.file = self.folder / "settings.yaml"

    def write_settings(self):
        self.file.write_text(yaml.safe_dump(self.settings))

    async def start(self):
        self.write_settings()
        self.log = (self.folder / "log").open("ab")
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            START,
            str(self.metrics),
            env={**os.environ, "NUTMEGSHELF_SETTINGS": str(self.file)},
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
        )

    async def end(self, how=signal.SIGKILL):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(how)
            await self.child.wait()
        return self.child.returncode if self.child else None
