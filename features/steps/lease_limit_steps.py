"""Steps on how long the runs of a silent worker are waited for."""

import behave
from nutmegshelf import fleetview, jobs, leaselimits, scheduler

from features import jobsite

FIRST_JOB, OTHER_JOB = 1, 2
REPORTED_S = 10.0
TAKEOVER_S = 100.0
POLL_LEASE_S = 5.0
START_LEASE_S = {"plain": 2.5, "speculative": 2.5, "long-running": 1.5}
LONGEST_LEASE_S = 6.0 / 0.98 + 0.1
TICK_S = 0.02
# The ticks come this long before and after the time at which a run is to be released.
TOLERANCE_S = 0.005
NO_CALL = ("start", 0.0)


def make_step(shape):
    return jobs.Step(
        count=1,
        cpu_millis=1000,
        estimate_ms=500,
        long_running=shape == "long-running",
        speculative=shape == "speculative",
    )


def add_task(context, shape, number):
    record = context.service.registry.add(
        jobsite.job(number, (make_step(shape),)), None, context.now_s, 1, may_run=False
    )
    (task,) = record.iterate_tasks()
    return task


def ask_for_lease(context, lease_s, call):
    context.worker.extend_lease(context.now_s, lease_s, call)
    context.asked_s = context.now_s


def report(context, worker, tasks=(), ends=()):
    running = tuple(fleetview.ReportedRun(name, run, "", 5, 0.0) for name, run in tasks)
    context.service.apply_report(
        fleetview.WorkerReport(
            worker.facts.incarnation,
            0,
            context.now_s - 0.01,
            context.now_s,
            running,
            tuple(ends),
            fencing_token=worker.fencing_token,
        )
    )


def poll(context, worker, tasks=()):
    worker.extend_lease(context.now_s - 0.01, POLL_LEASE_S, fleetview.LeaseCall.POLL)
    report(context, worker, tasks)


def send_start(context, shape):
    (order,) = context.service.choose_starts(context.now_s)
    context.service.record_sent(order)
    context.worker = context.service.workers[order.incarnation]
    ask_for_lease(context, START_LEASE_S[shape], fleetview.LeaseCall.START)
    return order


def start(context, shape, answer):
    """Start the first task, with the outcome that is named."""
    order = send_start(context, shape)
    context.start_s, context.run = context.now_s, context.task.run
    match answer:
        case "without an answer":
            may_start_until_s = context.now_s + START_LEASE_S[shape] / 0.98 + 0.1
            context.service.record_unanswered(
                order, context.now_s, may_start_until_s=may_start_until_s, why=""
            )
        case "with an answer":
            context.service.record_started(order, context.now_s)
        case "with a report":
            context.service.record_started(order, context.now_s)
            report(context, context.worker, [(context.task.key.name, context.run)])


def advance(context, until_s):
    """Tick until a time; return when the run was released, or None."""
    while context.now_s < until_s:
        context.now_s = min(until_s, context.now_s + TICK_S)
        context.service.tick(context.now_s, 1)
        if not is_kept(context):
            return context.now_s
    return None


def is_kept(context):
    return context.task.incarnation is not None and context.task.run == context.run


def check_released(context, release_s):
    released_s = advance(context, release_s - TOLERANCE_S)
    assert released_s is None, f"it is released {release_s - released_s:.3f} s too early"
    released_s = advance(context, release_s + TOLERANCE_S)
    assert released_s is not None, f"it is still kept at {context.now_s}: {context.task}"
    assert context.task.phase is fleetview.Phase.WAITING, context.task


def prepare(context, count):
    context.service = jobsite.scheduler_with_workers(count, cpu_millis=4000, memory_mb=1000)
    context.now_s, context.first_start_s = REPORTED_S, None
    context.worker, *context.others = context.service.workers.values()


def poll_throughout(context):
    """Poll all workers until the lease of the first report counts no more."""
    while context.now_s < REPORTED_S + 10.0:
        context.now_s += 1.0
        for worker in context.service.workers.values():
            poll(context, worker)
        context.service.tick(context.now_s, 1)
    # The last poll before the start is sent 0.1 s before it.
    context.now_s += 0.09


@behave.given("a worker that is known throughout")
def prepare_known(context):
    prepare(context, 1)
    poll_throughout(context)


@behave.given("a worker that is known throughout, beside another one")
def prepare_two(context):
    prepare(context, 2)
    poll_throughout(context)


@behave.given("a worker whose first report has just come")
def prepare_new(context):
    prepare(context, 1)
    context.now_s += 0.05


@behave.when("it gets the start of a {shape} task, {answer}")
def start_task(context, shape, answer):
    context.shape = shape
    context.task = add_task(context, shape, FIRST_JOB)
    start(context, shape, answer)
    context.first_start_s = context.start_s


@behave.when("it gets the start of the task again, {answer}")
def start_again(context, answer):
    context.now_s = context.first_start_s + 10.1
    context.worker.start_refused_s = 0.0
    start(context, context.shape, answer)


@behave.when("the last call that asks for a lease is a {call} sent {after_s:g} s later")
def ask_last(context, call, after_s):
    if (call, after_s) == NO_CALL:
        return
    advance(context, context.now_s + after_s)
    if call == "poll":
        ask_for_lease(context, POLL_LEASE_S, fleetview.LeaseCall.POLL)
    elif context.worker.is_in_doubt:
        # Another start that had been sent before the first one turned out to have no answer.
        ask_for_lease(context, START_LEASE_S["plain"], fleetview.LeaseCall.START)
    else:
        add_task(context, "plain", OTHER_JOB)
        send_start(context, "plain")


@behave.when("the worker falls silent")
def fall_silent(context):
    context.service.record_silence(context.worker.facts.incarnation, context.now_s)


@behave.when("calls to it get no answer")
def lose_answers(context):
    context.worker.is_absent = False


@behave.when("calls to it are refused, as nobody listens")
def refuse_calls(context):
    context.worker.is_absent = True


@behave.given("workers that grant {max_lease_s:g} s at most by a clock that may be 2% slow")
def limit_lease(context, max_lease_s):
    context.takeover_s = leaselimits.get_takeover_s(max_lease_s)


@behave.then(
    "a new holder waits for the longest lease of a call that is carried out {delay_s:g} s late"
)
def check_takeover(context, delay_s):
    assert context.takeover_s >= delay_s + LONGEST_LEASE_S, context.takeover_s


@behave.when("restarts show {times} s after the start")
def restart(context, times):
    for after_s in map(float, times.split(",")):
        released_s = advance(context, context.start_s + after_s)
        assert released_s is None, f"it is released {released_s - context.start_s:.2f} s after it"
        former = context.worker.facts.incarnation
        later = fleetview.Incarnation(former.worker, former.born_ms + 1)
        context.service.record_restart(former, later.born_ms, context.now_s)
        context.worker = context.service.workers[later]
        assert context.task.incarnation == later, context.task
        context.service.record_silence(later, context.now_s)


@behave.when("it answers {after_s:g} s after the start with a report that {lists} the run")
def answer_after(context, after_s, lists):
    released_s = advance(context, context.start_s + after_s)
    assert released_s is None, f"it is released {released_s - context.start_s:.2f} s after it"
    answer(context, lists)


@behave.when("it answers with a report that {lists} the run")
def answer(context, lists):
    name = context.task.key.name
    tasks, ends = [], []
    if lists == "has":
        tasks = [(name, context.run)]
    if lists == "has ended":
        how = fleetview.RunOutcome.DONE
        if context.others:
            how = fleetview.RunOutcome.LEASE_EXPIRED
        ends = [fleetview.RunEnd(1, name, context.run, how, "")]
    report(context, context.worker, tasks, ends)


@behave.when("the worker falls silent until the task runs elsewhere")
def run_elsewhere(context):
    fall_silent(context)
    silent = context.worker
    while is_kept(context):
        assert context.now_s < context.start_s + 60.0, context.task
        context.now_s += 0.1
        for worker in context.service.workers.values():
            if worker is not silent:
                poll(context, worker)
        context.service.tick(context.now_s, 1)
    (order,) = context.service.choose_starts(context.now_s)
    assert order.incarnation != silent.facts.incarnation, order
    context.service.record_sent(order)
    context.service.record_started(order, context.now_s)
    context.now_s += 0.5
    context.service.notes.take()


@behave.then(
    "the run is released {delay_s:g} s and the longest lease after that call, and not before"
)
def check_longest(context, delay_s):
    check_released(context, context.asked_s + delay_s + LONGEST_LEASE_S)


@behave.then("the run is released {limit_s:g} s after the start, and not before")
def check_limit(context, limit_s):
    check_released(context, context.start_s + limit_s)


@behave.then("the run is released {limit_s:g} s after the first start, and not before")
def check_limit_from_first(context, limit_s):
    check_released(context, context.first_start_s + limit_s)


@behave.then("the run is released {limit_s:g} s after the first report, and not before")
def check_limit_from_report(context, limit_s):
    check_released(context, REPORTED_S + limit_s)


@behave.then("the run is {phase} at once")
def check_settled(context, phase):
    if phase == "done":
        assert context.service.registry.records[context.task.key.job].progress.state is (
            jobs.JobState.SUCCEEDED
        ), context.task
    else:
        assert context.task.phase.value == phase, context.task


@behave.given(
    "a new holder that is told to wait for {wait_s:g} s, as {what} an earlier holder used"
)
def take_over(context, wait_s, what):
    facts = jobsite.worker_facts(0, cpu_millis=4000, memory_mb=1000)
    context.now_s, context.others = TAKEOVER_S, []
    context.service = scheduler.Scheduler(
        2, lease_expiry_s=wait_s, now_s=TAKEOVER_S, is_takeover=True
    )
    if what == "nobody knows what":
        context.service.expect_unknown_incarnations()
    else:
        context.service.expect_incarnations([(facts.incarnation, facts.host)])
    if what != "an unlisted worker is what":
        context.service.update_workers([facts], TAKEOVER_S)
        context.worker = context.service.workers[facts.incarnation]
    job = jobsite.job(FIRST_JOB, (make_step("plain"),))
    record = context.service.load_job(job, None, TAKEOVER_S - 5.0, TAKEOVER_S, 1)
    (context.task,) = record.iterate_tasks()


@behave.then("a task that may run is kept for {wait_s:g} s, and not longer")
def check_recovering(context, wait_s):
    while context.now_s < TAKEOVER_S + wait_s - TOLERANCE_S:
        context.service.tick(context.now_s, 1)
        assert context.task.phase is fleetview.Phase.RECOVERING, (context.now_s, context.task)
        context.now_s += TICK_S
    context.service.tick(TAKEOVER_S + wait_s + TOLERANCE_S, 1)
    assert context.task.phase is fleetview.Phase.WAITING, context.task


@behave.when("the worker reports the run {after_s:g} s later, and falls silent")
def adopt(context, after_s):
    context.now_s += after_s
    context.run = 1
    report(context, context.worker, [(context.task.key.name, context.run)])
    assert context.task.phase is fleetview.Phase.RUNNING, context.task
    fall_silent(context)


@behave.then("the run is released {limit_s:g} s after the takeover, and not before")
def check_limit_from_takeover(context, limit_s):
    check_released(context, TAKEOVER_S + limit_s)


@behave.then('"{event}" is noted')
def check_noted(context, event):
    context.events = [note.event for note in context.service.notes.take()]
    assert event in context.events, context.events


@behave.then('"{event}" isn\'t noted')
def check_not_noted(context, event):
    context.events = getattr(context, "events", []) + [
        note.event for note in context.service.notes.take()
    ]
    assert event not in context.events, context.events
