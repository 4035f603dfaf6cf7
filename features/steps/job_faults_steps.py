"""Steps that inject faults into holders, workers and the table, and check what callers see."""

import asyncio
import itertools

import behave
from nutmegshelf import codecs, exceptions, fleetview, platform

from features import jobsite
from features.steps import jobs_steps


async def inject_fault(context, fault):
    name = context.site.holder_of("a")
    view = context.site.views[name]
    match fault:
        case "killed":
            await context.site.kill(name)
        case "killed and started again":
            await context.site.kill(name)
            await asyncio.sleep(0.5)
            context.site.start(name)
        case "stopped gracefully":
            await context.site.stop(name)
        case "disconnected from the table":
            view.is_partitioned = True
            await asyncio.sleep(6.0)
            view.is_partitioned = False
        case "losing answers":
            view.lost_answers = 3
        case "losing answers, done late":
            view.lost_answers, view.apply_delay_s = 3, 0.7


@behave.when(
    "{count:d} jobs of two steps come over {seconds:g} s and the holder is {fault} after 2 s"
)
@jobs_steps.paused
async def submit_over(context, count, seconds, fault):
    context.all = []

    async def submit_job(number):
        await asyncio.sleep(number * seconds / count)
        # Callers submit the same job at another entry again until they get an answer.
        for attempt in range(6):
            name = list(context.site.entries)[attempt % len(context.site.entries)]
            try:
                context.all.append(
                    await jobs_steps.submit(
                        context, number, jobs_steps.parse_steps("2, 2 after 0"), name
                    )
                )
                return
            except exceptions.RequestError:
                await asyncio.sleep(1.0)

    async def inject():
        await asyncio.sleep(2.0)
        await inject_fault(context, fault)

    await asyncio.gather(inject(), *(submit_job(number) for number in range(count)))
    assert len(context.all) == count, f"{len(context.all)} of {count} jobs were accepted"


@behave.when("all entries are killed at once and started after {seconds:g} s")
@jobs_steps.paused
async def kill_all(context, seconds):
    names = list(context.site.entries)
    for name in names:
        await context.site.kill(name)
    await asyncio.sleep(seconds)
    context.started_s = jobs_steps.get_time_s()
    for name in names:
        context.site.start(name)
    await asyncio.sleep(1.0)


@behave.then("the service was acquired within {seconds:g} s of the start")
def check_acquired(context, seconds):
    service, _ = context.site.entries[context.site.holder_of("a")]
    duration_s = service.lease_manager.get_holder("a")._acquired_s - context.started_s
    assert duration_s <= seconds, duration_s


@behave.given("a job ran and a host was moved away since")
@jobs_steps.paused
async def run_and_move(context):
    job = await jobs_steps.submit(context, 7, jobs_steps.parse_steps("8"), "e0")
    await jobs_steps.wait_until(4, jobs_steps.has_state(context, job, "succeeded"), "states")
    await asyncio.sleep(6.0)
    assert context.world.moves, "no host moved"


@behave.given("the row of used incarnations still names the hosts that moved")
def keep_used_incarnations(context):
    lives = [(fleetview.Incarnation(f"w{number}", number), f"h{number}") for number in range(1, 9)]
    write = platform.Write("used/a/lives", codecs.pack(lives))
    context.world.table.apply(platform.Transaction(writes=(write,)))


@behave.when("the holder is killed")
@jobs_steps.paused
async def kill_holder(context):
    await context.site.kill(context.site.holder_of("a"))


@behave.given("workers that ended stay listed for {seconds:g} s")
def set_list_lag(context, seconds):
    context.world.list_lag_s = seconds


@behave.when("the holder is killed as hosts move away")
@jobs_steps.paused
async def kill_while_moving(context):
    async def check():
        return len(context.world.moves) >= 2 or context.world.moves

    await jobs_steps.wait_until(6, check, "moves")
    assert any(context.world.running.values()), "the first task has ended"
    await context.site.kill(context.site.holder_of("a"))


@behave.given("answers of the table take {seconds:g} s")
def slow_answers(context, seconds):
    for view in context.site.views.values():
        view.answer_delay_s = seconds


@behave.when('a job of steps "{steps}" is submitted and the holder is stopped at once')
@jobs_steps.paused
async def submit_and_stop(context, steps):
    name = context.site.holder_of("a")
    context.made = await jobs_steps.submit(context, 1, jobs_steps.parse_steps(steps), name)
    service, _ = context.site.entries[name]
    service.is_leaving = True
    # A transaction was sent, and its answer has not arrived yet.
    service.lease_manager.get_holder("a").writer.write(platform.Write("scratch/a/other", b""))
    await asyncio.sleep(0.05)
    context.stopped_s = jobs_steps.get_time_s()
    context.stop = asyncio.ensure_future(context.site.stop(name))
    context.stopped = name


@behave.then("another entry holds the service within {seconds:g} s")
@jobs_steps.paused
async def check_taken(context, seconds):
    async def check():
        name = next(
            (
                name
                for name, (service, _) in context.site.entries.items()
                if name != context.stopped and service.lease_manager.get_holder("a")
            ),
            None,
        )
        return name is not None or "no other holder"

    await jobs_steps.wait_until(seconds, check, "holder")
    if hasattr(context, "stop"):
        await context.stop


@behave.when("a job is submitted while answers are lost and again while the table is unavailable")
@jobs_steps.paused
async def submit_unsettled(context):
    view = context.site.views["e0"]
    context.kinds = []
    job = jobsite.job(9, jobs_steps.parse_steps("1"))
    context.world.jobs[job.job] = job
    service, _ = context.site.entries["e0"]
    view.lost_answers, view.apply_delay_s = 100, 9.0
    for _ in range(2):
        try:
            await service.job_router.submit(job)
        except exceptions.RequestError as error:
            context.kinds.append(error.kind.value)
        view.is_unavailable = True


@behave.then("both responses say that it may run")
def check_unsettled(context):
    assert context.kinds == ["job-unsettled", "job-unsettled"], context.kinds


@behave.when("the holder is stopped gracefully")
@jobs_steps.paused
async def stop_holder(context):
    await context.site.stop(context.site.holder_of("a"))


@behave.when('a job of steps "{steps}" is submitted after {seconds:g} s')
@jobs_steps.paused
async def submit_after(context, steps, seconds):
    await asyncio.sleep(seconds)
    context.made = await jobs_steps.submit(
        context, 2, jobs_steps.parse_steps(steps), next(iter(context.site.entries))
    )


@behave.given(
    "a cancelled poll takes {ending_s:g} s to end and stops are answered {apart_s:g} s " "apart"
)
@jobs_steps.paused
async def slow_down_polls_and_stops(context, ending_s, apart_s):
    (workers,) = context.site.workers.values()
    look, stop = workers.poll, workers.stop
    answered = itertools.count()

    async def look_slowly(*args, **kwargs):
        try:
            return await look(*args, **kwargs)
        except asyncio.CancelledError:
            await asyncio.sleep(ending_s)
            raise

    async def stop_staggered(*args, **kwargs):
        await stop(*args, **kwargs)
        await asyncio.sleep(apart_s * next(answered))

    workers.poll, workers.stop = look_slowly, stop_staggered
    service, _ = context.site.entries["e0"]
    context.held = service.lease_manager.get_holder("a")


@behave.then("the holder did not change")
def check_holder_kept(context):
    service, _ = context.site.entries["e0"]
    assert service.lease_manager.get_holder("a") is context.held


@behave.when("the holder is disconnected from the table")
def disconnect_holder(context):
    context.cut = context.stopped = context.site.holder_of("a")
    context.site.views[context.cut].is_partitioned = True


@behave.when('a job of steps "{steps}" is submitted at another entry after {seconds:g} s')
@jobs_steps.paused
async def submit_elsewhere(context, steps, seconds):
    await asyncio.sleep(seconds)
    entry = next(name for name in context.site.entries if name != context.cut)
    started_s = jobs_steps.get_time_s()
    context.made = await jobs_steps.submit(context, 4, jobs_steps.parse_steps(steps), entry)
    context.took_s = jobs_steps.get_time_s() - started_s


@behave.then("it is accepted within {seconds:g} s")
def check_accepted(context, seconds):
    assert context.took_s <= seconds, context.took_s


@behave.then("within {seconds:g} s it is shown as succeeded at the other entries")
@jobs_steps.paused
async def check_others(context, seconds):
    names = [name for name in context.site.entries if name != context.cut]
    await jobs_steps.wait_until(
        seconds, jobs_steps.has_state(context, context.made, "succeeded", names), "states"
    )


@behave.when("the table refuses all entries for {seconds:g} s")
@jobs_steps.paused
async def refuse_all(context, seconds):
    context.held = context.site.holder_of("a")
    views = context.site.views.values()
    for view in views:
        view.is_unavailable = True

    def restore():
        for view in views:
            view.is_unavailable = False

    asyncio.get_running_loop().call_later(seconds, restore)


@behave.then("the same entry held the service all the time")
def check_same_holder(context):
    assert context.site.holder_of("a") == context.held
    service, _ = context.site.entries[context.held]
    assert service.lease_manager.get_holder("a").epoch == 1


@behave.when('a job of steps "{steps}" is submitted at entry {entry:d} after {seconds:g} s')
@jobs_steps.paused
async def submit_refused(context, steps, entry, seconds):
    await asyncio.sleep(seconds)
    context.made = jobsite.job(5, jobs_steps.parse_steps(steps))
    context.world.jobs[context.made.job] = context.made
    service, _ = context.site.entries[f"e{entry}"]
    try:
        await service.job_router.submit(context.made)
        context.refusal = None
    except exceptions.RequestError as error:
        context.refusal = error


@behave.then("it is refused as not run")
def check_refused(context):
    assert context.refusal is not None, "the job was accepted"
    assert context.refusal.outcome is exceptions.Outcome.NOT_RUN, context.refusal.kind


@behave.then("{seconds:g} s later it is not known anywhere")
@jobs_steps.paused
async def check_unknown(context, seconds):
    await asyncio.sleep(seconds)
    states = await jobs_steps.get_states(context, context.made)
    assert set(states.values()) == {"unknown-job"}, states


@behave.when(
    'a job of steps "{steps}" is submitted at the holder by a caller that gives up at once'
)
@jobs_steps.paused
async def submit_and_leave(context, steps):
    job = context.made = jobsite.job(6, jobs_steps.parse_steps(steps))
    context.world.jobs[job.job] = job
    service, _ = context.site.entries[context.site.holder_of("a")]
    task = asyncio.ensure_future(service.job_router.submit(job))
    await asyncio.sleep(0.014)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@behave.when("after {seconds:g} s one of its workers stops responding")
@jobs_steps.paused
async def stop_responding(context, seconds):
    await asyncio.sleep(seconds)
    next(minion for minion in context.world.minions.values() if minion.runs).is_unresponsive = True


@behave.when("after {seconds:g} s all workers restart")
@jobs_steps.paused
async def restart_workers(context, seconds):
    await asyncio.sleep(seconds)
    for minion in list(context.world.minions.values()):
        context.world.restart(minion)
