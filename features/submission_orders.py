"""Submit one job while its transaction, its time limit and its callers end in a given order."""

import asyncio
import dataclasses
import enum
import functools
import itertools
import types

from nutmegshelf import exceptions, jobs, leases
from nutmegshelf_entry import job_handler, job_metrics

from features import jobsite, jobworld

START_S = 2.0
# How long the holder waits for the table before it answers.
ACCEPT_LIMIT_S = 0.7
# A turn of a busy loop that a time limit ends in; a call between entries takes less.
LATE_S = 0.008
# When transactions without an answer are carried out, and how long the job may then take to start.
CARRY_OUT_DELAY_S = 1.0
WATCH_S = 4.0
STEPS = (jobs.Step(count=1, cpu_millis=1000, memory_mb=100, estimate_ms=500),)


class Event(enum.Enum):
    """What may happen to a submission while the holder stores it."""

    STORED = "the table answers that it is stored"
    UNAVAILABLE = "the table answers 503"
    REFUSED = "the table refuses the transaction"
    LOST = "the answer of the table is lost"
    LATE = "there is no answer, and the transaction is carried out later"
    LIMIT = "a time limit ends"
    CANCEL = "a caller leaves"
    TRY = "the job is submitted once more, at the next entry"
    DIRECT_LATE = "the next write without the holder gets no answer, and is carried out later"
    LEASE = "the holder stops"


ANSWERS = (Event.STORED, Event.UNAVAILABLE, Event.REFUSED, Event.LOST, Event.LATE)


def list_orders(length):
    """Return the orders in which so many events can follow the first submission."""
    events = [event for event in Event if event is not Event.DIRECT_LATE]
    return [order for order in itertools.product(events, repeat=length) if _is_of_interest(order)]


def draw_orders(rng, count, length):
    """Draw orders of so many events, also those in which writes without the holder are lost."""
    orders = []
    while len(orders) < count:
        order = tuple(rng.choices(list(Event), k=length))
        if _is_of_interest(order):
            orders.append(order)
    return orders


def _is_of_interest(order):
    return (
        any(event in order for event in (Event.LIMIT, Event.CANCEL, Event.LEASE))
        and order.count(Event.TRY) <= 2
        and order.count(Event.LEASE) <= 1
    )


@dataclasses.dataclass
class Try:
    """One call of a caller, and what it was told."""

    task: asyncio.Task
    began_s: float
    ended_s: float | None = None
    outcome: str = "no answer"


class Trial:
    """Entries that are to store one job; the table answers its transaction when told to.

    The table turns away whatever tries to store the job without its holder.
    """

    def __init__(self, site, number, caller_limit_s=None):
        self._site = site
        self._caller_limit_s = caller_limit_s
        self._job = jobsite.job(number, STEPS)
        self._commits = {name: view.commit for name, view in site.views.items()}
        holder = site.holder_of("a")
        # The holder comes last, as tries that start at other entries involve one more of them.
        self._names = sorted(site.entries, key=lambda name: (name == holder, name))
        self._open = []
        self._late_direct_writes = 0
        self._unanswered = []
        self._is_held_back = True
        self._tries = []
        self._loop = asyncio.get_running_loop()
        site.world.jobs[self._job.job] = self._job

    async def _control_commit(self, name, transaction):
        keys = {condition.key for condition in transaction.conditions}
        if not self._is_held_back or jobs.job_key("a", self._job.job) not in keys:
            return await self._commits[name](transaction)
        if leases.key("a") not in keys:
            if self._late_direct_writes:
                self._late_direct_writes -= 1
                self._unanswered.append(transaction)
                raise exceptions.TableAnswerLost("no answer")
            raise exceptions.TableUnavailable("503")
        answer = self._loop.create_future()
        call = transaction, answer
        self._open.append(call)
        try:
            return await answer
        except asyncio.CancelledError:
            if call in self._open:
                self._open.remove(call)
                self._unanswered.append(transaction)
            raise

    def _answer(self, event):
        if not self._open:
            return
        transaction, answer = self._open.pop(0)
        if answer.done():
            # The caller is being cancelled, but the table has the call.
            self._unanswered.append(transaction)
            return
        match event:
            case Event.STORED:
                answer.set_result(self._site.world.table.apply(transaction))
            case Event.UNAVAILABLE:
                answer.set_exception(exceptions.TableUnavailable("503"))
            case Event.REFUSED:
                answer.set_exception(exceptions.TableRefused("400"))
            case Event.LOST:
                self._site.world.table.apply(transaction)
                answer.set_exception(exceptions.TableAnswerLost("no answer"))
            case Event.LATE:
                self._unanswered.append(transaction)
                answer.set_exception(exceptions.TableAnswerLost("no answer"))

    async def _submit(self, attempt, name):
        service, _ = self._site.entries[name]
        try:
            if self._caller_limit_s is not None:
                attempt.outcome = await post(service, self._job, self._caller_limit_s)
                return
            await service.job_router.submit(self._job)
            attempt.outcome = "accepted"
        except exceptions.RequestError as error:
            attempt.outcome = error.outcome.value
        finally:
            attempt.ended_s = self._loop.time()

    def _begin_try(self):
        attempt = Try(None, self._loop.time())
        name = self._names[len(self._tries) % len(self._names)]
        attempt.task = asyncio.ensure_future(self._submit(attempt, name))
        self._tries.append(attempt)

    async def _apply(self, event):
        open_tries = [attempt for attempt in self._tries if attempt.ended_s is None]
        match event:
            case Event.TRY:
                self._begin_try()
            case Event.CANCEL:
                if open_tries:
                    open_tries[-1].task.cancel()
            case Event.LEASE:
                holder = self._site.holder_of("a")
                if holder is not None:
                    service, _ = self._site.entries[holder]
                    service.lease_manager._stop_holder("a")
                    service.lease_manager._lease_set.drop("a")
            case Event.DIRECT_LATE:
                self._late_direct_writes += 1
            case Event.LIMIT:
                if open_tries:
                    limit_s = open_tries[0].began_s + ACCEPT_LIMIT_S
                    await asyncio.sleep(limit_s - LATE_S / 2 - self._loop.time())
                    self._loop.block(LATE_S)
            case _:
                self._answer(event)

    async def run(self, order, gap_turns):
        """Apply the events, some turns of the loop apart; return what contradicts an answer."""
        for name, view in self._site.views.items():
            view.commit = functools.partial(self._control_commit, name)
        self._begin_try()
        while not self._open and self._tries[0].ended_s is None:
            await asyncio.sleep(0.001)
        for event in order:
            await self._apply(event)
            for _ in range(gap_turns):
                await asyncio.sleep(0)
        await asyncio.sleep(CARRY_OUT_DELAY_S)
        self._is_held_back = False
        while self._open:
            self._answer(Event.STORED)
        for transaction in self._unanswered:
            self._site.world.table.apply(transaction)
        await asyncio.sleep(WATCH_S)
        await asyncio.gather(*(attempt.task for attempt in self._tries), return_exceptions=True)
        for name, commit in self._commits.items():
            self._site.views[name].commit = commit
        return self._find_contradiction()

    def _find_contradiction(self):
        has_run = self._site.world.starts[f"{self._job.job}.0.0.0"] > 0
        outcomes = [attempt.outcome for attempt in self._tries]
        if "accepted" in outcomes and not has_run:
            return f"{outcomes}, and it didn't run"
        rejected_s = [attempt.ended_s for attempt in self._tries if attempt.outcome == "not-run"]
        # Only a try that begins after a rejection may have the job run all the same.
        explained = [
            attempt
            for attempt in self._tries
            if attempt.outcome != "not-run" and attempt.began_s >= max(rejected_s, default=0.0)
        ]
        if rejected_s and has_run and not explained:
            return f"{outcomes}, and it ran"
        return None


async def post(service, job, limit_s):
    """Submit a job as a caller that waits for so long; return the outcome that it is told."""
    outcomes = []
    codec = types.SimpleNamespace(
        # The handler answers a little earlier than its caller gives up.
        get_timeout_s=lambda exchange: limit_s + job_handler._RESPONSE_RESERVE_S,
        get_request_id=lambda exchange: None,
        decode_job=lambda body, name, queue, now_ms: job,
        encode_state=lambda state: b"",
    )

    async def read_body(limit):
        return b""

    async def respond(status, headers, body):
        told = dict(headers).get(b"nutmegshelf-outcome", b"accepted")
        outcomes.append(told.decode())

    metrics = job_metrics.JobMetrics(service.timings)
    handler = job_handler.JobHandler(service.active_queues, codec, service.job_router, metrics)
    await handler.handle(
        types.SimpleNamespace(
            method="POST",
            target=f"/q/{job.job}",
            get_header={b"host": b"x"}.get,
            connection=types.SimpleNamespace(read_body=read_body),
            respond=respond,
        )
    )
    return outcomes[0]


async def run_orders(orders, gap_turns, entries=1, caller_limit_s=None):
    """Return the orders of events after which an answer was contradicted, with the answers."""
    world = jobworld.World({"a": 4})
    world.default_work = (0.1, world.default_work[1])
    site = jobsite.Site(world)
    world.declare(jobsite.declare(jobsite.queue()))
    for number in range(entries):
        site.start(f"e{number}")
    await asyncio.sleep(START_S)
    contradictions = []
    for number, order in enumerate(orders):
        contradiction = await Trial(site, number + 1, caller_limit_s).run(order, gap_turns)
        if contradiction is not None:
            names = " > ".join(event.name for event in order)
            contradictions.append(f"{names}: {contradiction}")
    await site.close()
    return contradictions
