"""Stand-ins of the platform, the minions, the clients and the operator on loopback addresses."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopMs": 200,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "moveS": 1.5,
    "upkeepS": 2,
    "fencingRequired": False,
    "leaseMs": 3000,
}
HOLD_MAX_MS = 6000
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class Recorder:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.lines = []

    def note(self, text):
        """Add a line."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.lines.append(line)

    def write(self):
        """Write the record."""
        if self.path is not None:
            self.path.write_text("\n".join(self.lines) + "\n")


def free_port(host="127.0.0.1"):
    """Return a port that is free now, below those that connections take."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


class HttpServer:
    """A small HTTP/1.1 server with open connections; a handler returns None to give no answer."""

    def __init__(self, handler, host="127.0.0.1", port=0):
        self.handler, self.host, self.port = handler, host, port
        self.writers = set()
        self.server = None

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = request.split(" ")
                headers = dict(
                    (name.strip().lower(), value.strip())
                    for name, _, value in (line.partition(":") for line in lines if line)
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                parameters = {
                    key: values[0] for key, values in urllib.parse.parse_qs(query, True).items()
                }
                data = json.loads(body) if body else {}
                answer = await self.handler(method, path, parameters, headers, data)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                payload = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store, with an address for each entry."""

    def __init__(self, recorder):
        self.recorder = recorder
        self.rows = {}
        self.version = 1
        self.log = []
        self.history_from = 0
        self.changed = asyncio.Event()
        self.read_s, self.write_s = 0.004, 0.005
        self.modes = {}
        self.lost_share = {}
        self.late_s = (1.0, 6.0)
        self.late = False
        self.random = random.Random(1)
        self.counts = {}
        self.loses_next = None
        self.lost_s = None

    def lose_next(self, entry):
        """Lose the answer to the next write of an entry that holds a lease."""
        self.loses_next, self.lost_s = entry, None

    def make_handler(self, entry):
        """Return a handler of the calls of one entry."""

        async def handle(method, path, parameters, headers, data):
            return await self.handle(entry, path, parameters, data)

        return handle

    def apply(self, conditions, writes, removes):
        """Apply a transaction; return whether its conditions hold."""
        for key, version in conditions:
            if self.rows.get(key, (None, 0))[1] != version:
                return False
        if writes or removes:
            self.version += 1
            for key, value in writes:
                self.rows[key] = value, self.version
                self.log.append((self.version, key, value))
            for key in removes:
                if self.rows.pop(key, None) is not None:
                    self.log.append((self.version, key, None))
            self.changed.set()
            self.changed = asyncio.Event()
        return True

    def put(self, table, key, value):
        """Write a row as the operator or a minion does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([], [((table, "", key), encoded)], [])

    def remove(self, table, key):
        """Remove a row as the platform does."""
        self.apply([], [], [(table, "", key)])

    def get(self, table, part, key):
        """Return the value of a row, or None."""
        row = self.rows.get((table, part, key))
        return base64.b64decode(row[0]) if row else None

    def forget_history(self):
        """Drop the history, and end the calls that wait for changes."""
        self.history_from = self.version
        self.recorder.note("store: the history is forgotten")
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, rows):
        """Return a response about rows."""
        return {"rows": rows, "ver": self.version, "nowMs": time.monotonic() * 1000}

    async def handle(self, entry, path, parameters, data):
        """Answer a call."""
        mode = self.modes.get(entry)
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode in ("busy", "many"):
            await asyncio.sleep(0.002)
            return (503 if mode == "busy" else 429), {}
        if mode == "reset":
            return None
        if path == "/v1/rows-tx":
            return await self._commit(entry, data)
        if path == "/v1/rows-feed":
            return await self._feed(entry, parameters)
        await asyncio.sleep(self.read_s / 2)
        if path == "/v1/rows-parts":
            table = parameters["table"]
            parts = sorted({key[1] for key in self.rows if key[0] == table})
            answer = 200, {"parts": parts, "hasMore": False, "ver": self.version}
        else:
            answer = self._read(parameters)
        await asyncio.sleep(self.read_s / 2)
        return answer

    def _read(self, parameters):
        table, part = parameters["table"], parameters.get("part", "")
        low, high = parameters.get("from", ""), parameters.get("to")
        limit = min(int(parameters.get("limit", 500)), 500)
        keys = sorted(
            key[2]
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= low and (high is None or key[2] < high)
        )
        rows = [self._encode((table, part, key)) for key in keys[:limit]]
        return 200, {**self.page(rows), "hasMore": len(keys) > limit}

    def _encode(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    async def _commit(self, entry, data):
        def key(row):
            return row["table"], row.get("part", ""), row["key"]

        conditions = [(key(row), row["ver"]) for row in data.get("expectedRevision", [])]
        writes = [(key(row), row["value"]) for row in data.get("setKeys", [])]
        removes = [key(row) for row in data.get("remove", [])]
        if any(row[0] in ("op", "servers") for row, _ in writes):
            return 403, {}
        await asyncio.sleep(self.write_s / 2)
        is_lost = self.random.random() < self.lost_share.get(entry, 0.0)
        if entry == self.loses_next and any(key[0] == "leases" for key, _ in writes):
            # A write of a holder, which renews its lease with it.
            is_lost, self.loses_next, self.lost_s = True, None, time.monotonic()
            self.recorder.note(f"store: the answer to a write of {entry} is lost")
        if is_lost and self.late:
            delay_s = self.random.uniform(*self.late_s)
            asyncio.get_running_loop().call_later(
                delay_s, lambda: self.apply(conditions, writes, removes)
            )
            await asyncio.sleep(3600)
        is_ok = self.apply(conditions, writes, removes)
        if is_lost:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.write_s / 2)
        if is_ok:
            return 200, {"ver": self.version, "nowMs": time.monotonic() * 1000}
        rows = [self._encode(row) for row, _ in conditions if row in self.rows]
        return 412, self.page(rows)

    async def _feed(self, entry, parameters):
        table, after = parameters["table"], int(parameters["after"])
        until_s = time.monotonic() + int(parameters.get("waitMs", 0)) / 1000
        await asyncio.sleep(self.read_s / 2)
        while True:
            if after < self.history_from:
                self.counts[entry, "410"] = self.counts.get((entry, "410"), 0) + 1
                await asyncio.sleep(self.read_s / 2)
                return 410, {}
            changes = [each for each in self.log if each[0] > after and each[1][0] == table]
            left_s = until_s - time.monotonic()
            if changes or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            if self.modes.get(entry) in ("silent",):
                await asyncio.sleep(3600)
            if self.modes.get(entry) is not None:
                return None
        rows = []
        for version, key, value in changes:
            row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
            rows.append({**row, "deleted": True} if value is None else {**row, "value": value})
        page = self.page(rows)
        await asyncio.sleep(self.read_s / 2)
        return 200, page


class Run:
    """A run of a task at a minion."""

    def __init__(self, task, run, job, step, checkpoint):
        self.task, self.run, self.job, self.step = task, run, job, step
        self.began_s = time.monotonic()
        self.checkpoint = checkpoint
        self.timer = None


class Minion:
    """One life of a machine's minion."""

    def __init__(self, world, machine, service, minion_id, address=None):
        self.world, self.machine, self.service, self.id = world, machine, service, minion_id
        self.host, self.port = address or ("127.0.0.1", free_port())
        self.born = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0.0
        self.runs = {}
        self.barred = {}
        self.finished = []
        self.noted = []
        self.next_end = 1
        self.state = "ready"
        self.is_up = True
        self.sequence = 0
        self.ended = asyncio.Event()
        self.server = HttpServer(self.handle, self.host, self.port)
        self.lease_timer = None
        self.mode = None
        self.late_share = 0.0
        self.lost_share = 0.0
        self.lapses = []
        self.late_starts = 0
        self.end_times = {}

    @property
    def clock_ms(self):
        """The minion's clock, which starts with its life."""
        return int((time.monotonic() - self.born_s) * 1000)

    @property
    def free(self):
        """What no run takes."""
        free = dict(self.machine.capacity)
        for run in self.runs.values():
            for name in ("cpu", "memMb", "gpu"):
                free[name] -= run.step.get(name, 0)
        return free

    async def start(self):
        """Start to listen."""
        await self.server.start()
        self.publish()

    def publish(self):
        """Write the minion's entry in the store."""
        self.sequence += 1
        self.world.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": self.machine.capacity,
                "labels": ["a", self.machine.rack],
                "clockMs": self.clock_ms,
                "sequence": self.sequence,
                "machine": self.machine.name,
                "born": self.born,
                **({"remainingMs": 2000} if self.state == "draining" else {}),
            },
        )

    def end_life(self):
        """Crash: everything that runs ends."""
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.world.judge.record_end(self, run, "crashed", None)
        self.runs.clear()
        if self.lease_timer is not None:
            self.lease_timer.cancel()

    def _extend(self, deadline_ms):
        limit = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        if limit > self.deadline_ms:
            self.deadline_ms = limit
            if self.lease_timer is not None:
                self.lease_timer.cancel()
            delay_s = max(0.0, (limit - self.clock_ms) / 1000)
            self.lease_timer = asyncio.get_running_loop().call_later(delay_s, self._lapse)

    def _lapse(self):
        if self.clock_ms < self.deadline_ms:
            delay_s = (self.deadline_ms - self.clock_ms) / 1000 + 0.001
            self.lease_timer = asyncio.get_running_loop().call_later(delay_s, self._lapse)
            return
        self.lapses.append(time.monotonic())
        if self.runs:
            self.world.recorder.note(
                f"minion {self.id}: its lease lapses, {len(self.runs)} runs end"
            )
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        number = self.next_end
        self.next_end += 1
        self.finished.append([number, run.task, run.run, how, ""])
        self.end_times[number] = time.monotonic()
        self.world.judge.record_end(self, run, how, number)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, parameters, headers, data):
        """Answer a call."""
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        is_order = path in ("/v1/run-start", "/v1/run-stop")
        if is_order and self.world.random.random() < self.late_share:
            delay_s = self.world.random.uniform(2.0, 12.0)
            self.late_starts += path == "/v1/run-start"
            self.world.recorder.note(
                f"minion {self.id}: {path} {data.get('task')} is held {delay_s:.1f} s"
            )
            asyncio.get_running_loop().create_task(self._carry_out_late(delay_s, path, data))
            await asyncio.sleep(3600)
        answer = await self._answer(path, data)
        if is_order and self.world.random.random() < self.lost_share:
            await asyncio.sleep(3600)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        return answer

    async def _carry_out_late(self, delay_s, path, data):
        await asyncio.sleep(delay_s)
        # A later life under the same id takes it, at the same address.
        minion = self.machine.minion
        if minion is not None and minion.id == self.id and minion.is_up:
            await minion._answer(path, data)

    async def _answer(self, path, data):
        token = data.get("fencingToken", 0)
        if token < self.fence:
            return 409, self._body(reason="fence")
        self.fence = token
        if path == "/v1/run-start":
            return self._start(data)
        if path == "/v1/run-stop":
            run = self.runs.get(data["task"])
            self.barred[data["task"]] = max(self.barred.get(data["task"], 0), data["run"])
            if run is not None and run.run <= data["run"]:
                self.world.recorder.note(f"minion {self.id}: stop {data['task']} run {data['run']}")
                self._end(run, "stopped")
            return 200, self._body()
        if path == "/v1/pace":
            return 200, self._body()
        if path == "/v1/hold":
            return await self._hold(data)
        return 404, {}

    def _body(self, **more):
        return {"clockMs": self.clock_ms, "born": self.born, **more}

    def _start(self, data):
        task, number = data["task"], data["run"]
        self.world.judge.record_order(self, data)
        if self.clock_ms > data["deadlineMs"]:
            return 409, self._body(reason="late")
        self._extend(data["deadlineMs"])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, self._body()
        if number <= self.barred.get(task, 0) or (present is not None and number < present.run):
            return 409, self._body(reason="old")
        job, step = self.world.find_step(task)
        if step is None:
            self.world.judge.fail("UNASKED", f"{task} was never sent")
            return 400, self._body()
        free = self.free
        if any(step.get(name, 0) > free[name] for name in ("cpu", "memMb", "gpu")):
            return 409, self._body(reason="room")
        run = Run(task, number, job, step, data.get("checkpoint", ""))
        self.world.judge.record_start(self, run, data)
        self.runs[task] = run
        if not step.get("longRunning"):
            loop = asyncio.get_running_loop()
            work_s = self.world.get_work_s(run)
            how = "failed" if self.world.does_fail(run) else "done"
            run.timer = loop.call_later(work_s, self._end, run, how)
        return 200, self._body()

    async def _hold(self, data):
        if "deadlineMs" in data:
            self._extend(data["deadlineMs"])
        seen = data.get("lastSeen", 0)
        for end in self.finished:
            if end[0] <= seen:
                self.world.judge.record_noted(self, end)
        self.finished = [end for end in self.finished if end[0] > seen]
        if not self.finished and data.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(data["waitMs"] / 1000):
                    await self.ended.wait()
        running = [
            [run.task, run.run, run.checkpoint, self._percent(run), 10.0]
            for run in self.runs.values()
        ]
        return 200, self._body(running=running, finished=self.finished[:500])

    def _percent(self, run):
        age_s = time.monotonic() - run.began_s
        if run.step.get("longRunning"):
            return 100 if age_s > 0.3 else 0
        return min(99, int(100 * age_s / self.world.get_work_s(run)))


class Machine:
    """A machine of the fleet."""

    def __init__(self, name, pool, rack, capacity):
        self.name, self.pool, self.rack, self.capacity = name, pool, rack, capacity
        self.state = "up"
        self.minion = None


class Judge:
    """Check the rules on what minions and clients have seen."""

    def __init__(self, world):
        self.world = world
        self.broken = []
        self.live = {}
        self.done = {}
        self.noted = set()
        self.lapsed_after = set()
        self.starts = {}
        self.pending_checks = []

    def fail(self, rule, text):
        """Record that a rule is broken."""
        self.broken.append((rule, text))
        self.world.recorder.note(f"BROKEN {rule}: {text}")

    def record_order(self, minion, data):
        """Record an order to start."""
        self.world.recorder.note(
            f"minion {minion.id}: order to start {data['task']} run {data['run']}"
            f" token {data['fencingToken']}"
        )

    def record_start(self, minion, run, data):
        """Record a start, and check the rules on it."""
        now_s = time.monotonic()
        self.world.recorder.note(f"minion {minion.id}: starts {run.task} run {run.run}")
        self.starts.setdefault(run.task, []).append(now_s)
        if not run.step.get("speculative"):
            for other, other_run in self.live.get(run.task, []):
                if other.is_up:
                    self.fail(
                        "TWICE",
                        f"{run.task} runs at {minion.id} (run {run.run}) and {other.id}"
                        f" (run {other_run.run})",
                    )
            for end in self.done.get(run.task, []):
                self.pending_checks.append((run, minion, end))
        cancelled_s = self.world.cancelled.get(run.job["id"])
        if cancelled_s is not None and now_s > cancelled_s + 3.0:
            self.fail("UNASKED", f"{run.task} starts {now_s - cancelled_s:.1f} s after its cancel")
        if data["spec"] != run.job["spec"]:
            self.fail("UNASKED", f"{run.task} starts with another spec")
        name, occurrence, _, _ = run.task.split(".")
        for earlier in run.step.get("after", []):
            count = run.job["steps"][earlier]["count"]
            ended = sum(
                f"{name}.{occurrence}.{earlier}.{index}" in self.done for index in range(count)
            )
            if ended < count and not run.job["steps"][earlier].get("gang"):
                self.fail("ORDER", f"{run.task} starts before step {earlier} is done")
        if run.job.get("times"):
            due_ms = run.job.get("startAtMs", 0) + int(occurrence) * run.job.get("intervalMs", 0)
            if time.time() * 1000 < due_ms - 250:
                self.fail("ORDER", f"{run.task} starts early")
        self.live.setdefault(run.task, []).append((minion, run))

    def record_end(self, minion, run, how, number):
        """Record the end of a run."""
        self.world.recorder.note(f"minion {minion.id}: {run.task} run {run.run} ends {how}")
        self.live[run.task] = [each for each in self.live[run.task] if each[1] is not run]
        if how == "done":
            self.done.setdefault(run.task, []).append((minion, number, run))

    def record_noted(self, minion, end):
        """Record that an end is taken note of, unless the lease lapsed since."""
        ended_s = minion.end_times[end[0]]
        if not any(lapsed_s > ended_s for lapsed_s in minion.lapses):
            self.noted.add((minion.id, minion.born, end[0]))

    def finish(self):
        """Check what depends on later events."""
        for run, minion, (other, number, former) in self.pending_checks:
            if (other.id, other.born, number) in self.noted:
                self.fail(
                    "TWICE",
                    f"{run.task} starts at {minion.id} (run {run.run}) after run {former.run} had"
                    f" ended done at {other.id}, which is taken note of",
                )


class World:
    """The whole deployment."""

    def __init__(self, record=None, seed=1):
        self.recorder = Recorder(record)
        self.random = random.Random(seed)
        self.store = Store(self.recorder)
        self.judge = Judge(self)
        self.machines = {}
        self.jobs = {}
        self.cancelled = {}
        self.accepted = {}
        self.rejected_only = {}
        self.entries = {}
        self.servers = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="nutmeg-"))
        self.config = None
        self.names = 0
        self.cloud_delay_s = 0.01
        self.orders = []

    # --- jobs

    def find_step(self, task):
        """Return the job and the step of a task, or None twice."""
        name, _, step, _ = task.split(".")
        job = self.jobs.get(name)
        return (job, job["steps"][int(step)]) if job else (None, None)

    def get_work_s(self, run):
        """Return how long a run works."""
        return run.step.get("workMs", 500) / 1000

    def does_fail(self, run):
        """Return whether a run fails."""
        return False

    # --- machines

    async def add_machine(self, pool, rack="r1-1", cpu=32000, mem=65536):
        """Add a machine to a pool, and start its minion unless the pool is the spare one."""
        name = f"m-{len(self.machines):05x}"
        machine = self.machines[name] = Machine(
            name, pool, rack, {"cpu": cpu, "memMb": mem, "gpu": 0}
        )
        if pool != self.spare:
            await self.start_minion(machine)
        return machine

    spare = "varios"

    async def start_minion(self, machine, minion_id=None, address=None):
        """Start the minion of a machine."""
        self.names += 1
        minion_id = minion_id or f"i-{self.names:08x}"
        minion = machine.minion = Minion(self, machine, machine.pool, minion_id, address)
        machine.state = "up"
        await minion.start()
        return minion

    def crash(self, machine, unlist_s=4.5):
        """Let a minion crash; its entry goes after three heartbeat intervals."""
        minion = machine.minion
        minion.end_life()
        self.recorder.note(f"minion {minion.id} crashes")

        def unlist():
            if machine.minion is minion:
                self.store.remove("servers", minion.id)

        asyncio.get_running_loop().call_later(unlist_s, unlist)

    async def restart(self, machine, same_id=True):
        """Start a machine's minion again, under the id that it had or under another one."""
        former = machine.minion
        if former.is_up:
            self.crash(machine)
        minion_id = former.id if same_id else None
        if not same_id:
            self.store.remove("servers", former.id)
        minion = await self.start_minion(machine, minion_id, (former.host, former.port))
        self.recorder.note(f"minion {former.id} starts again as {minion.id} born {minion.born}")

    async def handle_cloud(self, method, path, parameters, headers, data):
        """Answer a call about machines."""
        await asyncio.sleep(self.cloud_delay_s)
        if path == "/v1/machines":
            return 200, {
                "machines": [
                    {
                        "machine": each.name,
                        "pool": each.pool,
                        "state": each.state,
                        "zone": "z",
                        "labels": ["a", each.rack],
                        "capacity": each.capacity,
                        **({"id": each.minion.id} if each.minion and each.minion.is_up else {}),
                    }
                    for each in self.machines.values()
                ],
                "nextToken": None,
            }
        machine = self.machines.get(data.get("machine"))
        if machine is None:
            return 400, {}
        holder, token = headers.get("x-duty-holder"), int(headers.get("x-fencing-token", 0))
        self.orders.append((time.monotonic(), machine.name, holder, token, path))
        self.recorder.note(f"cloud: {path} {data} by {holder} token {token}")
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if path == "/v1/machine-move":
            if machine.pool == data["pool"]:
                return 200, {}
            asyncio.get_running_loop().create_task(
                self._change(machine, "moving", data["pool"], 1.5)
            )
            await asyncio.sleep(0)
            return 200, {}
        asyncio.get_running_loop().create_task(self._change(machine, "upkeep", machine.pool, 2.0))
        await asyncio.sleep(0)
        return 200, {}

    async def _change(self, machine, state, pool, took_s):
        machine.state, machine.pool = state, pool
        if machine.minion is not None and machine.minion.is_up:
            machine.minion.end_life()
            self.store.remove("servers", machine.minion.id)
        machine.minion = None
        await asyncio.sleep(took_s)
        machine.state = "up"
        if pool != self.spare:
            await self.start_minion(machine)

    # --- configuration

    def configure(self, routes, services, version):
        """Write a version of the configuration."""
        self.config = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": "queue.example",
                    "pathPrefix": f"/{name}/",
                    "kind": "non_idempotent",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 2500,
                    "priority": 0,
                    "service": service,
                    "maxAttempts": 4,
                    "stretch": 1.6,
                }
                for name, service in routes.items()
            ],
            "services": [
                {
                    "name": name,
                    "maxConnections": 64,
                    "admissionControl": True,
                    **({"spare": True} if name == self.spare else {}),
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "config", self.config)
        self.recorder.note(f"operator: configuration {version}, routes {routes}")

    # --- processes

    async def start_platform(self):
        """Start the service of the machines."""
        cloud = HttpServer(self.handle_cloud)
        await cloud.start()
        self.servers.append(cloud)
        self.cloud_address = f"127.0.0.1:{cloud.port}"

    async def add_entry(self, name, ip):
        """Start a process of the system with a way of its own to the store."""
        server = HttpServer(self.store.make_handler(name))
        await server.start()
        self.servers.append(server)
        entry = Entry(self, name, ip, f"127.0.0.1:{server.port}")
        self.entries[name] = entry
        entry.spawn()
        return entry

    def get_holder(self, pool):
        """Return the entry that holds a pool's lease, by the row that it stored."""
        value = self.store.get("leases", pool, "-")
        if value is None:
            return None
        return next((each for each in self.entries if f"{each}".encode() in value), None)

    async def close(self):
        """End all processes and close all listeners."""
        for entry in self.entries.values():
            entry.kill()
        for machine in self.machines.values():
            if machine.minion is not None:
                machine.minion.server.stop()
        for server in self.servers:
            server.stop()
        for entry in self.entries.values():
            if entry.process is not None:
                await entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Entry:
    """One process of the system, with its settings file."""

    def __init__(self, world, name, ip, store_address):
        self.world, self.name, self.ip = world, name, ip
        self.port, self.ready_port, self.peer_port = (free_port(ip) for _ in range(3))
        self.file = world.folder / f"{name}.yaml"
        self.log = world.folder / f"{name}.log"
        self.process = None
        self.settings = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "ip": ip,
            "zone": "z",
            "listen": {
                "frontendAddr": f"{ip}:{self.port}",
                "ready": f"{ip}:{self.ready_port}",
            },
            "internalPorts": [self.peer_port, self.peer_port + 15],
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "bounds": BOUNDS,
            "orders": "invocation",
            "platform": {"address": store_address, "rowBytes": 65536},
            "cloudApi": {"address": world.cloud_address, "ratePerS": 64.0, "dutyPerS": 64.0},
        }

    def spawn(self):
        """Write the settings file and start the process."""
        self.file.write_text(json.dumps(self.settings))
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "target/app/serve.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "NUTMEGSHELF_SETTINGS": str(self.file),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )
        code = await self.process.wait()
        self.world.recorder.note(f"entry {self.name} ended with {code}")

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.recorder.note(f"entry {self.name} gets signal {number}")

    def kill(self):
        """Kill the process."""
        self.signal(signal.SIGKILL)

    async def wait_ready(self, timeout_s=20.0):
        """Return whether the process is ready within a time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                answer = await request(
                    self.ip, self.ready_port, "GET", "/v1/readiness", timeout_s=1
                )
                if answer[0] == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


async def request(ip, port, method, path, body=None, *, timeout_s=3.0, host="queue.example"):
    """Send one request on a connection of its own; return the status and the body."""

    async def call():
        """Send a request to an entry, and record it; return the status or None, and the body."""
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            payload = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                "Content-Type: application/json\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
            )
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            length = 0
            for line in lines:
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            data = await reader.readexactly(length)
            return int(lines[0].split(" ")[1]), data
        finally:
            writer.transport.abort()

    async with asyncio.timeout(timeout_s):
        return await call()


class Client:
    """A client that hands jobs in and asks for them, by the pages' rules."""

    def __init__(self, world):
        self.world = world

    def make_job(self, steps, **more):
        """Return a new job."""
        name = f"{self.world.random.getrandbits(64):016x}"
        job = {"id": name, "spec": f"work {name}", "steps": steps, **more}
        self.world.jobs[name] = job
        return job

    def body(self, job):
        """Return the body of a request that hands a job in."""

        def clean(step):
            return {key: value for key, value in step.items() if key != "workMs"}

        body = {key: value for key, value in job.items() if key not in ("id", "queue")}
        return {**body, "steps": [clean(step) for step in job["steps"]]}

    async def call(self, entry, method, path, body=None, timeout_s=3.0):
        """Send a request to an entry, and record it; return the status or None, and the body."""
        note = self.world.recorder.note
        try:
            status, data = await request(
                entry.ip, entry.port, method, path, body, timeout_s=timeout_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            note(f"client: {method} {path} at {entry.name}: {type(error).__name__}")
            return None, b""
        note(f"client: {method} {path} at {entry.name}: {status} {data[:80].decode('latin-1')}")
        return status, data

    async def submit(self, job, queue, entries=None, attempts=5):
        """Hand a job in; return whether it was accepted."""
        job["queue"] = queue
        name = job["id"]
        entries = entries or list(self.world.entries.values())
        statuses = []
        for attempt in range(attempts):
            entry = (
                entries[attempt % len(entries)] if attempt else self.world.random.choice(entries)
            )
            status, _ = await self.call(entry, "POST", f"/{queue}/{name}", self.body(job))
            statuses.append(status)
            if status is not None and 200 <= status < 300:
                self.world.accepted[name] = time.monotonic()
                return True
            if status in (429, 503, 404):
                break
            await asyncio.sleep(0.2)
        if all(status in (429, 503) for status in statuses):
            self.world.rejected_only[name] = time.monotonic()
        return False

    async def cancel(self, job, entry):
        """Cancel a job at an entry; return the status."""
        status, _ = await self.call(entry, "DELETE", f"/{job['queue']}/{job['id']}")
        if status in (200, 410):
            self.world.cancelled[job["id"]] = time.monotonic()
        return status

    async def get_state(self, job, entry):
        """Return the state of a job, or the status if it is not 200."""
        status, data = await self.call(entry, "GET", f"/{job['queue']}/{job['id']}")
        if status == 200:
            return json.loads(data)["state"]
        return status
