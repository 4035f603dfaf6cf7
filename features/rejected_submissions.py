"""Submit jobs over HTTP to entry processes, and find the rejected ones that ran."""

import asyncio
import collections
import dataclasses
import enum
import json
import shutil
import tempfile
import time

import h11
from nutmegshelf import jobs
from nutmegshelf_http import client

from features import jobsite

DEADLINE_S = 3.0
SHORT_S = (0.05, 0.9)
MAX_RETRY_AFTER_S = 1.0
REJECTIONS = (429, 503)
BODY = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 1000}]}).encode()
STEPS = (jobs.Step(count=1, cpu_millis=1000),)
MAX_EXPLAINED_JOBS = 5


class Verdict(enum.Enum):
    """What the responses to a job's tries tell its caller."""

    ACCEPTED = "accepted"
    REJECTED = "rejected by every try"
    REJECTED_AFTER_UNKNOWN = "rejected after an unknown"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Try:
    """One try of a job; the status is 0 without an answer."""

    entry: str
    sent_at: str
    took_s: float
    status: int
    answer: str


@dataclasses.dataclass
class Submission:
    """A job and its tries."""

    job: str
    tries: list[Try] = dataclasses.field(default_factory=list)

    @property
    def verdict(self):
        statuses = [one.status for one in self.tries]
        if 200 in statuses:
            return Verdict.ACCEPTED
        if all(status in REJECTIONS for status in statuses):
            return Verdict.REJECTED
        return Verdict.REJECTED_AFTER_UNKNOWN if statuses[-1] in REJECTIONS else Verdict.UNKNOWN


class Load:
    """Callers that submit one job each, with tries at different entries."""

    def __init__(self, rng, world, processes, max_tries, *, is_hurried=False):
        self.rng = rng
        self.world = world
        self.processes = processes
        self.max_tries = max_tries
        self.is_hurried = is_hurried
        self.clients = {
            process.name: client.Client("127.0.0.1", process.callers_port) for process in processes
        }
        self.submissions = []

    async def run(self, rate, duration_s):
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * duration_s)):
                await asyncio.sleep(began_s + number / rate - time.monotonic())
                job = jobsite.job(number + 1, STEPS)
                self.world.jobs[job.job] = job
                self.submissions.append(Submission(job.job))
                group.create_task(self.submit(self.submissions[-1]))
        for http_client in self.clients.values():
            http_client.close()

    async def submit(self, submission):
        tries = self.rng.randint(1, self.max_tries)
        for process in self.rng.sample(self.processes, tries):
            is_last = len(submission.tries) == tries - 1
            deadline_s, leaves_after_s = self.choose_times(is_last)
            one, retry_after_s = await self.post(
                process.name, submission.job, deadline_s, leaves_after_s
            )
            submission.tries.append(one)
            if one.status == 200:
                return
            if one.status in REJECTIONS:
                await asyncio.sleep(min(retry_after_s, MAX_RETRY_AFTER_S))

    def choose_times(self, is_last):
        """Return the time limit that a caller sends with a try, and when it leaves."""
        if not self.is_hurried or is_last:
            return DEADLINE_S, DEADLINE_S
        short_s = self.rng.uniform(*SHORT_S)
        return self.rng.choice(((short_s, DEADLINE_S), (DEADLINE_S, short_s)))

    async def post(self, entry, job, deadline_s, leaves_after_s):
        sent_at, sent_s = time.strftime("%H:%M:%S", time.gmtime()), time.monotonic()
        status, answer, retry_after_s = 0, "", 0.0
        headers = [(b"x-deadline-ms", b"%d" % (deadline_s * 1000))]
        try:
            async with asyncio.timeout(leaves_after_s):
                response = await self.clients[entry].request("POST", f"/jobs/{job}", BODY, headers)
            status, answer = response.status, response.body.decode()
            retry_after_s = float(response.get_header(b"retry-after") or 0)
        except (OSError, h11.ProtocolError) as error:
            answer = repr(error)
        took_s = round(time.monotonic() - sent_s, 3)
        return Try(entry, sent_at, took_s, status, answer), retry_after_s


def summarize(submissions, started):
    """Return how many jobs got which answers, and how many of each ran."""
    totals, ran = collections.Counter(), collections.Counter()
    for submission in submissions:
        totals[submission.verdict] += 1
        ran[submission.verdict] += submission.job in started
    parts = [f"{totals[kind]} {kind.value} ({ran[kind]} ran)" for kind in Verdict]
    return f"{len(submissions)} jobs: {', '.join(parts)}"


def explain(broken, processes, store_lines):
    """Keep the tries of jobs and the logs of all entries; return where, and the jobs' lines."""
    folder = tempfile.mkdtemp(prefix="rejected-")
    with open(f"{folder}/tries.jsonl", "w") as file:
        for submission in broken:
            store = store_lines.get(submission.job, [])
            file.write(json.dumps({**dataclasses.asdict(submission), "store": store}) + "\n")
    lines = [f"logs and tries: {folder}"]
    logs = {process.name: (process.folder / "log").read_text() for process in processes}
    for process in processes:
        shutil.copy(process.folder / "log", f"{folder}/{process.name}.log")
    for submission in broken[:MAX_EXPLAINED_JOBS]:
        lines += map(str, submission.tries)
        entry_lines = [
            f"{json.loads(line).get('timestamp')} {name} {line}"
            for name, log in logs.items()
            for line in log.splitlines()
            if submission.job in line
        ]
        lines += sorted([*entry_lines, *store_lines.get(submission.job, ())])
    return "\n".join(lines)
