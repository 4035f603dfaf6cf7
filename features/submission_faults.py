"""Make the store and entry processes fail by chance, in series that overlap."""

import asyncio
import collections
import dataclasses
import datetime
import enum
import json
import signal

from nutmegshelf import codecs, leases
from nutmegshelf_http import server

SERVICE = "a"
SILENCE_S = 3.0
SLOW_S = (0.1, 0.9)
LATE_S = (0.5, 4.0)
# The load begins without faults.
QUIET_S = 0.5
SERIES_S = (0.3, 3.0)
SERIES_PER_S = 2.0
PAUSE_S = (0.8, 3.0)
STOPPED_S = (0.3, 2.5)
DOWN_S = (0.1, 1.5)
FAILING_S = (0.3, 2.5)
SERVED_S = (0.1, 1.0)


def writes_jobs(data):
    return any(write["table"] == "jobs" for write in data["setKeys"])


def depends_on_lease(data):
    return any(row["table"] == "leases" for row in data["expectedRevision"])


class Fault(enum.Enum):
    """What becomes of a transaction."""

    SLOW = "slow"
    UNAVAILABLE = "503"
    BUSY = "429"
    RESET = "reset"
    SILENT = "not carried out and not answered"
    LOST = "carried out and not answered"
    LATE = "carried out late and not answered"


class Subject(enum.Enum):
    """The transactions that a series concerns."""

    STORED_BY_HOLDER = "jobs stored by their holder"
    STORED_WITHOUT_HOLDER = "jobs stored without their holder"
    LEASES = "transactions under a lease, or of a lease itself"
    SERVICE = "all rows of the service"

    def matches(self, data):
        match self:
            case Subject.STORED_BY_HOLDER:
                return writes_jobs(data) and depends_on_lease(data)
            case Subject.STORED_WITHOUT_HOLDER:
                return writes_jobs(data) and not depends_on_lease(data)
            case Subject.LEASES:
                return depends_on_lease(data)
        return any(row["part"] == SERVICE for row in data["setKeys"] + data["expectedRevision"])


@dataclasses.dataclass(frozen=True)
class Series:
    """A time in which a share of some transactions fails in one way."""

    fault: Fault
    subject: Subject
    begins_s: float
    ends_s: float
    share: float


def make_series(rng, duration_s):
    series = []
    subjects = (Subject.STORED_BY_HOLDER, Subject.STORED_WITHOUT_HOLDER, Subject.SERVICE)
    for _ in range(int(duration_s * SERIES_PER_S)):
        begins_s = rng.uniform(QUIET_S, duration_s)
        ends_s = min(duration_s, begins_s + rng.uniform(*SERIES_S))
        fault, subject = rng.choice(list(Fault)), rng.choice(subjects)
        series.append(Series(fault, subject, begins_s, ends_s, rng.choice((0.3, 0.7, 1.0))))
    return series


def make_lost_answers(duration_s):
    """Return faults that leave submissions in doubt, while others are refused."""
    shares = (
        (Fault.SLOW, Subject.STORED_BY_HOLDER, 1.0),
        (Fault.UNAVAILABLE, Subject.STORED_WITHOUT_HOLDER, 0.5),
        (Fault.LOST, Subject.SERVICE, 0.15),
        (Fault.LATE, Subject.SERVICE, 0.05),
        (Fault.RESET, Subject.SERVICE, 0.15),
    )
    return [Series(fault, subject, QUIET_S, duration_s, share) for fault, subject, share in shares]


def make_refused_leases(duration_s):
    """Return faults that leave a service without a holder, and some of its new jobs in doubt."""
    shares = (
        (Fault.UNAVAILABLE, Subject.LEASES, 1.0),
        (Fault.LATE, Subject.STORED_WITHOUT_HOLDER, 0.3),
        (Fault.UNAVAILABLE, Subject.STORED_WITHOUT_HOLDER, 0.8),
    )
    return [Series(fault, subject, QUIET_S, duration_s, share) for fault, subject, share in shares]


def make_refusals(duration_s):
    """Return faults that delay jobs stored by their holder and refuse some of the others."""
    slow = Series(Fault.SLOW, Subject.STORED_BY_HOLDER, QUIET_S, duration_s, 0.5)
    refused = Series(Fault.UNAVAILABLE, Subject.STORED_WITHOUT_HOLDER, QUIET_S, duration_s, 0.5)
    return [slow, refused]


class FaultyStore:
    """Handle the transactions of a platform's stand-in with faults, and record those of jobs."""

    def __init__(self, platform, rng, series):
        self.platform = platform
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.series = series
        self.began_s = self.loop.time()
        self.lines_by_job = collections.defaultdict(list)

    async def handle(self, data):
        now_s = self.loop.time() - self.began_s
        for series in self.series:
            if not series.begins_s <= now_s < series.ends_s or not series.subject.matches(data):
                continue
            if self.rng.random() >= series.share:
                continue
            if series.fault is Fault.SLOW:
                await asyncio.sleep(self.rng.uniform(*SLOW_S))
                continue
            self.record(data, series.fault.value)
            return await self.fail(data, series.fault)
        return self.commit(data)

    async def fail(self, data, fault):
        match fault:
            case Fault.UNAVAILABLE:
                return 503, {}
            case Fault.BUSY:
                return 429, {}
            case Fault.LOST:
                self.commit(data)
            case Fault.LATE:
                self.loop.call_later(self.rng.uniform(*LATE_S), self.commit, data)
        if fault is not Fault.RESET and self.rng.random() < 0.5:
            await asyncio.sleep(SILENCE_S)
        return None

    def commit(self, data):
        status, answer = self.platform.commit(data)
        self.record(data, f"carried out: {status}")
        return status, answer

    def record(self, data, text):
        now = datetime.datetime.now(datetime.UTC).replace(tzinfo=None)
        holder = "the holder" if depends_on_lease(data) else "another entry"
        for write in data["setKeys"]:
            if write["table"] == "jobs":
                line = f"{now.isoformat()}Z store, for {holder}: {text}"
                self.lines_by_job[write["key"]].append(line)


class StoreLink:
    """The platform as one entry reaches it; the store may fail for that entry alone."""

    def __init__(self, platform, rng):
        self.platform = platform
        self.rng = rng
        self.is_failing = False
        self.server = server.Server(self.handle)

    async def handle(self, exchange):
        if not self.is_failing or not exchange.target.startswith("/v1/rows-"):
            await self.platform.handle(exchange)
            return
        body = await self.platform.link.receive(exchange)
        match self.rng.choice((Fault.UNAVAILABLE, Fault.RESET, Fault.LOST)):
            case Fault.UNAVAILABLE:
                await self.platform.link.send(exchange, 503, b"{}")
                return
            case Fault.LOST if exchange.target == "/v1/rows-tx":
                self.platform.commit(json.loads(body))
        exchange.connection.reset()


def find_holder(world):
    row = world.table.read(leases.key(SERVICE))
    return codecs.unpack(row.value, leases.LeaseRow).holder if row.version else None


async def fail_for_entries(world, links, rng, duration_s):
    """Have the store fail for one entry at a time, half of the time the holder of the service."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + duration_s
    while loop.time() < until_s:
        await asyncio.sleep(rng.uniform(*SERVED_S))
        holder = links.get(find_holder(world))
        is_holder = holder is not None and rng.random() < 0.5
        link = holder if is_holder else rng.choice(list(links.values()))
        link.is_failing = True
        await asyncio.sleep(rng.uniform(*FAILING_S))
        link.is_failing = False


async def restart_holder(world, processes):
    holder = find_holder(world)
    process = next(process for process in processes if process.name == holder)
    await process.stop()
    await process.start()


class EntryFaults:
    """Kill and restart, or stop and continue, entries, mostly the holder of the service."""

    def __init__(self, world, processes, rng):
        self.world = world
        self.processes = processes
        self.rng = rng
        self.disturbed = set()

    def choose(self):
        holder = find_holder(self.world)
        free = [process for process in self.processes if process.name not in self.disturbed]
        holders = [process for process in free if process.name == holder]
        chosen = holders if holders and self.rng.random() < 0.7 else free
        return self.rng.choice(chosen) if chosen else None

    async def run(self, duration_s):
        until_s = asyncio.get_running_loop().time() + duration_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < until_s:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                process = self.choose()
                if process is not None:
                    self.disturbed.add(process.name)
                    group.create_task(self.disturb(process))

    async def disturb(self, process):
        if self.rng.random() < 0.5:
            process.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*STOPPED_S))
            process.child.send_signal(signal.SIGCONT)
        else:
            await process.stop()
            await asyncio.sleep(self.rng.uniform(*DOWN_S))
            await process.start()
        self.disturbed.discard(process.name)
