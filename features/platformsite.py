"""Serve the users' platform's protocol on the loopback interface from the simulated world."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

import yaml
from nutmegshelf import exceptions, jobs, orders, platform, rebalancing
from nutmegshelf_http import server

from features import jobhosts, jobworld

JSON = [(b"content-type", b"application/json")]
STALL_S = 3.0
CHUNK_BYTES = 16 * 1024
LISTENER_PORTS = (12_000, 32_000)
ROOT = pathlib.Path(__file__).resolve().parent.parent


def get_now_ms():
    return time.monotonic() * 1000


def encode_text(text):
    return base64.b64encode(text.encode()).decode()


def encode_row(row):
    table, part, key = (*row.key.split("/", 2), "-")[:3]
    encoded = {"table": table, "part": part, "key": key, "ver": row.version}
    if not row.version:
        return {**encoded, "deleted": True}
    return {**encoded, "value": base64.b64encode(row.value).decode()}


def decode_key(row):
    key = f"{row['table']}/{row['part']}"
    return key if row["key"] == "-" else f"{key}/{row['key']}"


@dataclasses.dataclass(frozen=True)
class SlowLink:
    """A connection with limited rates that may stall in the middle of a response."""

    send_rate_bytes_s: float = math.inf
    receive_rate_bytes_s: float = math.inf
    stalls_after_bytes: float = math.inf

    async def receive(self, exchange):
        data = bytearray()
        async for chunk in exchange.connection.iterate_body():
            data += chunk
            await asyncio.sleep(len(chunk) / self.receive_rate_bytes_s)
        return bytes(data)

    async def send(self, exchange, status, body):
        await exchange.start_response(status, [*JSON, (b"content-length", str(len(body)).encode())])
        for start in range(0, len(body), CHUNK_BYTES):
            if start >= self.stalls_after_bytes:
                await asyncio.sleep(STALL_S)
            chunk = body[start : start + CHUNK_BYTES]
            await asyncio.sleep(len(chunk) / self.send_rate_bytes_s)
            await exchange.write(chunk)
        await exchange.end()


class PlatformServer:
    """A server of the store, the minions, the machines and the policy service on one port."""

    def __init__(self, world):
        self.world = world
        # Fixed responses by path: a status and a body.
        self.fault_responses = {}
        # Paths whose calls get no response before the client's timeout.
        self.unresponsive_paths = set()
        # The delays of responses by path.
        self.delays_s = {}
        # Handles a transaction; returns None to reset its connection.
        self.handle_transaction = self.handle_commit
        self.page_rows = 3
        self.calls = []
        # The keys of workers' rows that another program writes.
        self.foreign_keys = set()
        self.drops_history = False
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
        parameters = {key: values[0] for key, values in urllib.parse.parse_qs(query, True).items()}
        data = json.loads(body) if body else {}
        self.calls.append((exchange.method, path))
        await asyncio.sleep(self.delays_s.get(path, 0.0))
        if path in self.unresponsive_paths:
            await asyncio.sleep(STALL_S)
        answer = self.fault_responses.get(path) or await self.respond(
            exchange, path, parameters, data
        )
        if answer is None:
            exchange.connection.reset()
            return
        status, response = answer
        await self.link.send(exchange, status, json.dumps(response).encode())

    async def respond(self, exchange, path, parameters, data):
        if path.startswith("/v1/rows-"):
            return await self.respond_store(path, parameters, data)
        if path == "/v1/machines":
            return 200, {"machines": await self.list_machines(), "nextToken": None}
        if path.startswith("/v1/machine-"):
            return await self.handle_host_order(exchange, path, data)
        return await self.handle_minion_order(exchange, path, data)

    async def respond_store(self, path, parameters, data):
        match path:
            case "/v1/rows-tx":
                return await self.handle_transaction(data)
            case "/v1/rows-get":
                return 200, self.get_rows(parameters)
            case "/v1/rows-feed":
                return await self.wait_for_changes(parameters)
            case "/v1/rows-parts":
                rows = [
                    key
                    for key in self.world.table.rows
                    if key.startswith(parameters["table"] + "/")
                ]
                return 200, {"parts": sorted({key.split("/")[1] for key in rows}), "hasMore": False}
        return 404, {}

    def publish_workers(self):
        """Write the rows of the workers that changed and delete those that are gone."""
        workers = {}
        for minion in self.world.minions.values():
            facts = minion.facts
            workers[f"servers//{facts.incarnation.worker}"] = {
                "service": facts.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": facts.zone,
                "version": "v1",
                "slots": 8,
                "coldRemainingMs": 0,
                "state": "draining" if facts.is_draining else "ready",
                "capacity": {"cpu": facts.cpu_millis, "memMb": facts.memory_mb, "gpu": 0},
                "labels": ["a", facts.rack],
                "machine": facts.host,
                "born": facts.incarnation.born_ms,
                "clockMs": 1000,
                "sequence": 1,
            }
        for key in [key for key in self.world.table.rows if key.startswith("servers//")]:
            if key not in workers and key not in self.foreign_keys:
                self.write(key, None)
        for key, worker in workers.items():
            if key in self.foreign_keys:
                continue
            value = json.dumps(worker).encode()
            if self.world.table.read(key).value != value:
                self.write(key, value)

    def write(self, key, value):
        self.world.table.apply(platform.Transaction(writes=(platform.Write(key, value),)))

    async def handle_commit(self, data):
        return self.commit(data)

    def commit(self, data):
        transaction = platform.Transaction(
            conditions=tuple(
                platform.Condition(decode_key(condition), condition["ver"])
                for condition in data["expectedRevision"]
            ),
            writes=(
                *(
                    platform.Write(decode_key(write), base64.b64decode(write["value"]))
                    for write in data["setKeys"]
                ),
                *(platform.Write(decode_key(row), None) for row in data["remove"]),
            ),
        )
        result = self.world.table.apply(transaction)
        if result.ok:
            return 200, {"ver": self.world.table.version, "nowMs": get_now_ms()}
        return 412, {"rows": [encode_row(row) for row in result.rows if row.version]}

    def get_rows(self, parameters):
        prefix = f"{parameters['table']}/{parameters['part']}"
        rows = [
            encode_row(row) for key, row in self.world.table.rows.items() if key.startswith(prefix)
        ]
        rows = [
            row
            for row in sorted(rows, key=lambda row: row["key"])
            if row["table"] == parameters["table"] and row["part"] == parameters["part"]
            if row["key"] >= parameters.get("from", "")
            if "to" not in parameters or row["key"] < parameters["to"]
        ]
        limit = min(int(parameters.get("limit", 500)), self.page_rows)
        page = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        return {**page, "ver": len(self.world.table.log), "nowMs": get_now_ms()}

    async def wait_for_changes(self, parameters):
        if self.drops_history:
            self.drops_history = False
            return 410, {}
        after, kind = int(parameters["after"]), parameters["table"] + "/"
        for _ in range(int(parameters["waitMs"]) // 10):
            changes = [row for row in self.world.table.log[after:] if row.key.startswith(kind)]
            if changes:
                break
            await asyncio.sleep(0.01)
        else:
            changes = []
        # Changes are counted by row, so that "ver" is the log's length, not the latest version.
        page = {"rows": [encode_row(row) for row in changes], "nowMs": get_now_ms()}
        return 200, {**page, "ver": len(self.world.table.log)}

    async def list_machines(self):
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

    async def handle_host_order(self, exchange, path, data):
        assert exchange.get_header(b"x-duty-holder") and exchange.get_header(b"x-fencing-token")
        if data["machine"] not in self.world.hosts:
            return 400, {}
        if path.endswith("move"):
            move = rebalancing.Move(data["machine"], "", data["pool"], "")
            outcome = await self.hosts.move(move, 1)
        else:
            outcome = await self.hosts.start_upkeep(data["machine"], data["wave"], 1)
        return (200, {}) if outcome.value == "done" else (409, {"reason": outcome.value})

    async def handle_minion_order(self, exchange, path, data):
        name = exchange.get_header(b"x-expect-instance").decode()
        minion = next(
            (
                minion
                for minion in self.world.minions.values()
                if minion.facts.incarnation.worker == name
            ),
            None,
        )
        if minion is None:
            return 421, {}
        fence = data.get("fencingToken", 0)
        try:
            minion.check(fence)
        except exceptions.Fenced:
            return 409, {"reason": "fence", "clockMs": minion.clock_ms()}
        response = {"clockMs": minion.clock_ms(), "born": minion.facts.incarnation.born_ms}
        match path:
            case "/v1/run-start":
                return self.start_run(minion, data, response)
            case "/v1/run-stop":
                order = orders.StopRun(minion.facts.incarnation, data["task"], data["run"], "")
                await self.workers.stop(minion.facts, order, fencing_token=fence)
            case "/v1/hold":
                response |= await self.poll(minion, data)
        return 200, response

    def start_run(self, minion, data, response):
        key = jobs.parse_task_name(data["task"])
        order = orders.StartRun(
            minion.facts.incarnation, key, data["run"], data["spec"], "", data.get("ticket")
        )
        refusal = minion.start(order, data["deadlineMs"])
        return (409, {**response, "reason": refusal.value}) if refusal else (200, response)

    async def poll(self, minion, data):
        result = await self.workers.poll(
            minion.facts,
            fencing_token=data["fencingToken"],
            last_seen=data["lastSeen"],
            lease_until_ms=data.get("deadlineMs"),
            wait_s=data.get("waitMs", 0) / 1000,
            timeout_s=5.0,
        )
        return {
            "clockMs": result.clock_ms,
            "running": [[*run[:3], run.percent, run.tail_latency_ms] for run in result.running],
            "finished": [
                [end.number, end.task, end.run, end.outcome.value, ""] for end in result.ends
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


def find_free_ports(count):
    """Return ports that were free when this was called.

    They are below those that the system gives to connections, which would take them meanwhile.
    """
    ports = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = random.SystemRandom().randrange(*LISTENER_PORTS)
            listener = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                listener.bind(("127.0.0.1", port))
                ports.append(port)
    return ports


# All entries share the loopback address, so that each one gets its own port for metrics.
START_SCRIPT = """
import sys
from nutmegshelf_platform import settings
settings.METRICS_PORT = int(sys.argv[1])
import nutmegshelf_platform.__main__
"""


class EntryProcess:
    """An entry that runs as a process with a settings file of the platform."""

    def __init__(self, name, platform_port):
        self.name = name
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.callers_port, self.ready_port, peers_port, self.metrics_port = find_free_ports(4)
        self.settings = {
            "node": name,
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {
                "frontendAddr": f"127.0.0.1:{self.callers_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internalPorts": [peers_port, peers_port],
            "platform": {"address": f"127.0.0.1:{platform_port}"},
            "cloudApi": {"address": f"127.0.0.1:{platform_port}", "dutyPerS": 64.0},
            "bounds": {"graceS": 3, "holdMaxMs": 6000, "upkeepS": 2, "leaseMs": 3000},
            "somethingNew": {"is": "ignored"},
        }
        self.child = None
        self.settings_file = self.folder / "settings.yaml"

    def write_settings(self):
        self.settings_file.write_text(yaml.safe_dump(self.settings))

    async def start(self):
        self.write_settings()
        self.log_file = (self.folder / "log").open("ab")
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            START_SCRIPT,
            str(self.metrics_port),
            env={**os.environ, "NUTMEGSHELF_SETTINGS": str(self.settings_file)},
            cwd=ROOT,
            stdout=self.log_file,
            stderr=self.log_file,
        )

    async def stop(self, signal_number=signal.SIGKILL):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal_number)
            await self.child.wait()
        return self.child.returncode if self.child else None
