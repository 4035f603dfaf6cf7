"""Steps on workers that start again under the id that they had."""

import asyncio
import dataclasses

import behave
from nutmegshelf import fleetview, jobs

from features import jobsite
from features.steps import jobs_steps

FIRST_JOB = 1
START_S = 10.0
LEARNED_S = 11.0
HEARTBEAT_S = 1.5
SMALL = {"cpu_millis": 250, "memory_mb": 100, "estimate_ms": 8000}


@behave.given("a worker that crashed is back under its id")
def keep_ids(context):
    context.world.keeps_ids = True


@behave.when(
    "{count:d} jobs of {tasks:d} tasks come and the busiest worker is cut off after "
    "{starts:d} starts"
)
@jobs_steps.paused
async def cut_during_burst(context, count, tasks, starts):
    await submit_and_cut(context, count, starts, jobs.Step(count=tasks, **SMALL))


@behave.when(
    "{count:d} jobs of {tasks:d} {shape} tasks come and the busiest worker is cut off after "
    "{starts:d} starts"
)
@jobs_steps.paused
async def cut_during_shaped_burst(context, count, tasks, shape, starts):
    is_gang, is_long_running = shape == "gang", shape == "long-running"
    step = jobs.Step(count=tasks, gang=is_gang, long_running=is_long_running, **SMALL)
    await submit_and_cut(context, count, starts, step)


async def submit_and_cut(context, count, starts, step):
    world = context.world
    context.submitted = [
        asyncio.ensure_future(jobs_steps.submit(context, number, (step,), "e0"))
        # Of the tasks that may have crashed a worker, the first by name is tried first.
        for number in reversed(range(FIRST_JOB, FIRST_JOB + count))
    ]
    while sum(world.starts.values()) < starts:
        await asyncio.sleep(0.001)
    context.submitted = [await each for each in context.submitted]
    cut_busiest(context)


def cut_busiest(context):
    context.minion = max(context.world.minions.values(), key=lambda minion: len(minion.runs))
    context.minion.is_unresponsive = True


@behave.when(
    "{count:d} jobs of 1 task come, one every {interval_s:g} s, and the busiest worker is cut off "
    "after {after_s:g} s"
)
@jobs_steps.paused
async def cut_during_stream(context, count, interval_s, after_s):
    async def submit_all():
        step = jobs.Step(count=1, **SMALL)
        for number in range(FIRST_JOB, FIRST_JOB + count):
            context.submitted.append(await jobs_steps.submit(context, number, (step,), "e0"))
            await asyncio.sleep(interval_s)

    context.submitted = []
    context.submitting = asyncio.ensure_future(submit_all())
    await asyncio.sleep(after_s)
    # A poll that waits at the worker would tell of the cut at once.
    await wait_for_poll(context.site.workers["e0"])
    cut_busiest(context)


async def wait_for_poll(workers):
    """Wait until a poll is answered."""
    answered, poll = asyncio.Event(), workers.poll

    async def notice_answer(facts, **fields):
        result = await poll(facts, **fields)
        answered.set()
        return result

    workers.poll = notice_answer
    await answered.wait()
    workers.poll = poll


@behave.when("it starts again behind the cut after {down_s:g} s and is reachable after {cut_s:g} s")
@jobs_steps.paused
async def restart_behind_cut(context, down_s, cut_s):
    await asyncio.sleep(down_s)
    later = context.world.restart(context.minion)
    later.is_unresponsive, later.former_facts = True, context.minion.facts
    await asyncio.sleep(cut_s - down_s)
    later.is_unresponsive = False
    await asyncio.sleep(HEARTBEAT_S)
    later.former_facts = None


@behave.given("what is sent during a cut arrives after it")
def hold_calls(context):
    context.world.holds_calls = True


@behave.given("what is sent during a cut arrives after it, polls {lag_s:g} s after the rest")
def hold_polls_longer(context, lag_s):
    context.world.holds_calls, context.world.poll_lag_s = True, lag_s


@behave.when(
    "it starts again behind the cut after {down_s:g} s, and is reachable from {cut_s:g} s on for "
    "{open_s:g} s"
)
@jobs_steps.paused
async def restart_and_open(context, down_s, cut_s, open_s):
    await open_for_a_moment(context, down_s, cut_s, open_s, loses_answers=False)


@behave.when(
    "it starts again behind the cut after {down_s:g} s, and is reachable from {cut_s:g} s on for "
    "{open_s:g} s, of which no answer arrives"
)
@jobs_steps.paused
async def restart_and_open_mutely(context, down_s, cut_s, open_s):
    await open_for_a_moment(context, down_s, cut_s, open_s, loses_answers=True)


async def open_for_a_moment(context, down_s, cut_s, open_s, *, loses_answers):
    await asyncio.sleep(down_s)
    context.later = context.world.restart(context.minion)
    context.later.is_unresponsive, context.later.former_facts = True, context.minion.facts
    context.later.loses_answers = loses_answers
    await asyncio.sleep(cut_s - down_s)
    context.later.is_unresponsive = False
    await asyncio.sleep(open_s)
    context.later.is_unresponsive = True


@behave.when("the holder is stopped {after_s:g} s later")
@jobs_steps.paused
async def stop_holder(context, after_s):
    await asyncio.sleep(after_s)
    context.stopping = asyncio.ensure_future(context.site.stop(context.site.holder_of("a")))


@behave.when("the holder is stopped {after_s:g} s later, and starts again after {down_s:g} s")
@jobs_steps.paused
async def restart_holder(context, after_s, down_s):
    async def run():
        await asyncio.sleep(after_s)
        holder = context.site.holder_of("a")
        await context.site.stop(holder)
        await asyncio.sleep(down_s)
        context.site.start(holder)

    context.restarting = asyncio.ensure_future(run())


@behave.when("the holder is cut off from the table {after_s:g} s later")
@jobs_steps.paused
async def cut_holder(context, after_s):
    await asyncio.sleep(after_s)
    context.site.views[context.site.holder_of("a")].is_partitioned = True


@behave.when("the holder is killed at that moment")
@jobs_steps.paused
async def kill_holder(context):
    await context.site.kill(context.site.holder_of("a"))


@behave.then(
    "another entry holds the service within {seconds:g} s, and waits {wait_s:g} s for the worker"
)
@jobs_steps.paused
async def check_next_holder(context, seconds, wait_s):
    former, began_s = context.site.holder_of("a"), jobs_steps.get_time_s()

    async def is_held():
        holders = {
            name: service.lease_manager.get_holder("a")
            for name, (service, _) in context.site.entries.items()
            if name != former
        }
        context.next = next((each for each in holders.values() if each is not None), None)
        return (context.next is not None and context.next.is_loaded) or list(holders)

    await jobs_steps.wait_until(seconds, is_held, "held")
    await asyncio.sleep(began_s + wait_s - 0.1 - jobs_steps.get_time_s())
    assert not context.next.scheduler.is_reconciled
    await asyncio.sleep(seconds + 0.3)
    assert context.next.scheduler.is_reconciled


@behave.then("after {seconds:g} s each of their tasks runs once")
@jobs_steps.paused
async def check_each_runs(context, seconds):
    await asyncio.sleep(seconds)
    running = sorted(name for minion in context.world.minions.values() for name in minion.runs)
    count = sum(step.count for job in context.submitted for step in job.steps)
    assert len(running) == len(set(running)) == count, running


@behave.when("it is cut off for {seconds:g} s more")
@jobs_steps.paused
async def cut_off_again(context, seconds):
    await asyncio.sleep(seconds)
    context.later.is_unresponsive = context.later.loses_answers = False
    context.later.former_facts = None
    for view in context.site.views.values():
        view.is_partitioned = False


@behave.then("it gets {count:d} starts more at most, and counts as silent after {seconds:g} s")
@jobs_steps.paused
async def check_silence_noticed(context, count, seconds):
    incarnation = context.minion.facts.incarnation
    cut_s = jobs_steps.get_time_s()
    await asyncio.sleep(seconds)
    holder = context.site.entries["e0"][0].lease_manager.get_holder("a")
    worker = holder.scheduler.workers[incarnation]
    calls_s = [each for each in context.world.start_calls_s[incarnation.worker] if each > cut_s]
    assert worker.unresponsive_since_s is not None, f"{len(calls_s)} starts since the cut"
    assert len(calls_s) <= count, calls_s


@behave.given("a worker got the start of a task, {confirmed}, and starts again under its id")
def start_and_restart(context, confirmed):
    service = jobsite.scheduler_with_workers(1, cpu_millis=4000, memory_mb=1000)
    context.service = service
    step = jobs.Step(count=1, cpu_millis=1000, estimate_ms=500)
    context.record = service.registry.add(jobsite.job(1, (step,)), None, START_S, 1, may_run=False)
    (context.former,) = service.workers.values()
    (order,) = service.choose_starts(START_S)
    (context.task,) = context.record.iterate_tasks()
    service.record_sent(order)
    match confirmed:
        case "without answer":
            service.record_unanswered(order, START_S, may_start_until_s=START_S + 2, why="")
        case "with an answer":
            service.record_started(order, START_S)
        case "with a report":
            report(service, context.former, [context.task], START_S + 0.1)
    context.run = context.task.run
    incarnation = context.former.facts.incarnation
    context.later = fleetview.Incarnation(incarnation.worker, incarnation.born_ms + 1)


@behave.when("{count:d} tasks end at its worker, which falls silent for {silent_s:g} s")
@jobs_steps.paused
async def end_then_silence(context, count, silent_s):
    (minion,) = context.world.minions.values()
    (workers,) = context.site.workers.values()
    context.polls, poll = [], workers.poll

    async def record_poll(facts, **fields):
        sent_s = jobs_steps.get_time_s()
        result = None
        try:
            result = await poll(facts, **fields)
            return result
        finally:
            context.polls.append((sent_s, fields["last_seen"], result is not None))

    workers.poll = record_poll
    steps = (jobs.Step(count=count, cpu_millis=250, memory_mb=100, estimate_ms=500),)
    await jobs_steps.submit(context, FIRST_JOB, steps, "e0")
    await asyncio.sleep(2.0)
    context.silent_from_s = jobs_steps.get_time_s()
    minion.is_unresponsive = True
    await asyncio.sleep(silent_s)
    minion.is_unresponsive = False
    await asyncio.sleep(4.0)


@behave.when(
    "{count:d} tasks end at its worker, and {more:d} more are to start while it is cut off"
)
@jobs_steps.paused
async def end_then_start_during_cut(context, count, more):
    (context.minion,) = context.world.minions.values()
    fields = {"cpu_millis": 250, "memory_mb": 100, "estimate_ms": 500}
    await jobs_steps.submit(context, FIRST_JOB, (jobs.Step(count=count, **fields),), "e0")
    await asyncio.sleep(2.0)
    assert len(context.world.acknowledged_tasks) == count, context.world.acknowledged_tasks
    context.submitted = [
        await jobs_steps.submit(context, FIRST_JOB + 1, (jobs.Step(count=more, **fields),), "e0")
    ]
    while len(context.world.start_calls_s[context.minion.facts.incarnation.worker]) < count + 1:
        await asyncio.sleep(0.001)
    context.minion.is_unresponsive = True


@behave.then("no poll after the silence began acknowledges an end before one is answered")
def check_not_acknowledged(context):
    silent = [each for each in context.polls if each[0] > context.silent_from_s]
    answered = next(index for index, each in enumerate(silent) if each[2])
    assert answered > 0 and not any(last_seen for _, last_seen, _ in silent[: answered + 1]), silent


@behave.then("all ends are acknowledged after it")
def check_acknowledged(context):
    assert context.polls[-1][1] == 5, context.polls


@behave.when(
    "a worker starts again, and {count:d} jobs of {tasks:d} tasks come whose first {late:d} "
    "starts at each worker are {delay_s:g} s late"
)
@jobs_steps.paused
async def restart_then_start_late(context, count, tasks, late, delay_s):
    context.world.restart(next(iter(context.world.minions.values())))
    await asyncio.sleep(2.0)
    await submit_late(context, count, tasks, late, delay_s)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks come whose first {late:d} starts at each worker are "
    "{delay_s:g} s late"
)
@jobs_steps.paused
async def start_late(context, count, tasks, late, delay_s):
    await submit_late(context, count, tasks, late, delay_s)


async def submit_late(context, count, tasks, late, delay_s):
    world = context.world
    for minion in world.minions.values():
        minion.delayed_starts, minion.start_delay_s = late, delay_s
    steps = (jobs.Step(count=tasks, cpu_millis=3500, memory_mb=100, estimate_ms=4000),)
    context.submitted = [
        await jobs_steps.submit(context, number, steps, "e0")
        for number in range(FIRST_JOB, FIRST_JOB + count)
    ]


@behave.when(
    "{count:d} of the workers start again {after_s:g} s later and can't be reached for "
    "{cut_s:g} s"
)
@jobs_steps.paused
async def restart_unreachable(context, count, after_s, cut_s):
    await restart_all(context, list(context.world.minions.values())[:count], after_s, cut_s)


@behave.when("they start again {after_s:g} s later and can't be reached for {cut_s:g} s")
@jobs_steps.paused
async def restart_once_more(context, after_s, cut_s):
    await restart_all(context, context.laters, after_s, cut_s)


async def restart_all(context, minions, after_s, cut_s):
    await asyncio.sleep(after_s)
    context.laters = []
    for minion in minions:
        later = context.world.restart(minion)
        later.is_unresponsive, later.former_facts = True, minion.facts
        context.laters.append(later)
    await asyncio.sleep(cut_s)
    for later in context.laters:
        later.is_unresponsive, later.former_facts = False, None


@behave.given(
    "{count:d} workers, of which the other one started again under its id {ago_s:g} s before"
)
def restart_other(context, count, ago_s):
    context.service = jobsite.scheduler_with_workers(count, cpu_millis=4000, memory_mb=1000)
    other = list(context.service.workers)[1]
    context.service.record_restart(other, other.born_ms + 1, START_S - ago_s)


@behave.when("a {shape} task is started without an answer, and is not reported after that")
def start_unanswered(context, shape):
    step = jobs.Step(
        count=1,
        cpu_millis=1000,
        estimate_ms=500,
        long_running=shape == "long-running",
        speculative=shape == "speculative",
    )
    service = context.service
    record = service.registry.add(jobsite.job(1, (step,)), None, START_S, 1, may_run=False)
    (order,) = service.choose_starts(START_S)
    (context.task,) = record.iterate_tasks()
    service.record_sent(order)
    service.record_unanswered(order, START_S + 0.4, may_start_until_s=START_S + 2.0, why="")
    context.worker = service.workers[order.incarnation]


@behave.then("it waits for {seconds:g} s")
def check_waits(context, seconds):
    for tenth in range(5, int(seconds * 10)):
        now_s = START_S + tenth / 10
        report(context.service, context.worker, [], now_s)
        assert context.task.phase is fleetview.Phase.UNCONFIRMED, (now_s, context.task)
        assert not context.service.choose_stops(now_s), now_s
    context.now_s = START_S + seconds


@behave.then("it is stopped after {seconds:g} s")
def check_stopped(context, seconds):
    context.now_s = START_S + seconds
    report(context.service, context.worker, [], context.now_s)
    (order,) = context.service.choose_stops(context.now_s)
    context.service.record_stop_acknowledged(order, context.now_s)


@behave.then("then it may start elsewhere")
def check_free(context):
    for tenth in range(1, 5):
        now_s = context.now_s + tenth / 10
        report(context.service, context.worker, [], now_s)
        for order in context.service.choose_stops(now_s):
            context.service.record_stop_acknowledged(order, now_s)
    assert context.task.phase is fleetview.Phase.WAITING, context.task


def report(service, worker, tasks, now_s):
    running = [fleetview.ReportedRun(task.key.name, task.run, "", 5, 0.0) for task in tasks]
    service.apply_report(
        fleetview.WorkerReport(
            worker.facts.incarnation,
            0,
            now_s - 0.01,
            now_s,
            tuple(running),
            (),
            fencing_token=worker.fencing_token,
        )
    )


def get_later_facts(context, **changes):
    return dataclasses.replace(context.former.facts, incarnation=context.later, **changes)


@behave.when("the holder learns of it by {source}")
def learn(context, source):
    service, former = context.service, context.former.facts.incarnation
    context.has_reported = source == "list of another address"
    if source in ("list", "list of another address"):
        is_moved = source == "list of another address"
        service.update_workers(
            [get_later_facts(context, address="other" if is_moved else "")], LEARNED_S
        )
        # The list alone proves nothing of the former incarnation.
        assert list(service.workers[former].tasks.values()) == [context.task], service.workers
        assert (context.later in service.workers) == is_moved, service.workers
    if source == "list of another address":
        service.record_silence(former, LEARNED_S)
        report(service, service.workers[context.later], [], LEARNED_S + 0.05)
    else:
        service.record_restart(former, context.later.born_ms, LEARNED_S)


@behave.when("the list has it as born before the former incarnation")
def set_clock_back(context):
    former = context.former.facts.incarnation
    context.later = fleetview.Incarnation(former.worker, former.born_ms - 1)
    context.service.update_workers([get_later_facts(context)], LEARNED_S)
    context.service.record_restart(former, context.later.born_ms, LEARNED_S)


@behave.then("the list's incarnation is used, with a higher fencing token")
def check_used(context):
    later = context.service.workers[context.later]
    report(context.service, later, [], LEARNED_S)
    assert later.fencing_token > context.former.fencing_token, later
    assert context.service.get_open_workers(LEARNED_S) == [later]


@behave.then("its run is {phase}")
def check_phase(context, phase):
    assert context.task.phase.value == phase, context.task


@behave.then("a run in phase {phase} belongs to the later incarnation, with a higher fencing token")
def check_transferred(context, phase):
    check_phase(context, phase)
    assert list(context.service.workers) == [context.later], context.service.workers
    later = context.service.workers[context.later]
    assert later.fencing_token > context.former.fencing_token, later
    context.is_there = phase == "unsure"
    assert list(later.tasks.values()) == [context.task] * context.is_there, later
    # Only an answer at another address came with the list; it is a report.
    assert later.is_polled == context.has_reported, later
    if not context.has_reported:
        assert not context.service.choose_starts(LEARNED_S), "it starts before a report"


@behave.then("a late list that still has the former incarnation changes nothing")
def check_late_list(context):
    context.service.update_workers([context.former.facts], LEARNED_S + 0.1)
    assert list(context.service.workers) == [context.later], context.service.workers


@behave.when("the first report of the later incarnation has the run")
def report_run(context):
    report(context.service, context.service.workers[context.later], [context.task], LEARNED_S + 0.3)


@behave.when("the first report of the later incarnation doesn't have the run")
def report_nothing(context):
    report(context.service, context.service.workers[context.later], [], LEARNED_S + 0.3)


@behave.then("its job counts {count:d} crashes")
def check_crashes(context, count):
    crashes = context.task.crashes
    assert len(crashes.runs if crashes is not None else ()) == count, crashes


@behave.when("the later incarnation doesn't answer for {seconds:g} s")
def stay_silent(context, seconds):
    context.silent_s = getattr(context, "silent_s", 0.0)
    context.service.record_silence(context.later, LEARNED_S)
    for _ in range(int(seconds * 10)):
        context.silent_s += 0.1
        context.service.tick(LEARNED_S + context.silent_s, 1)


@behave.given("a worker whose clock is read as {offset_s:g} s ahead")
def read_clock(context, offset_s):
    service = jobsite.scheduler_with_workers(1)
    (context.worker,) = service.workers.values()
    context.worker.clock_offset_ms, context.worker.clock_read_s = offset_s * 1000, 0.0


@behave.then(
    "an answer to a start {after_s:g} s later with a clock of {clock_s:g} s {is_own} its own"
)
def check_clock(context, after_s, clock_s, is_own):
    is_plausible = context.worker.is_clock_plausible(int(clock_s * 1000), after_s)
    assert is_plausible == (is_own == "is"), is_own
