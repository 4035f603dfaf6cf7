"""Check what a service asks of hosts, and what it notes of tasks that find no room."""

import behave
from nutmegshelf import fleetview, jobs, rebalancing, scheduler

from features import jobsite, poolplay

GB = 1024


@behave.given("a service of hosts with {cores:d} cores and {memory:d} GB")
def make_service(context, cores, memory):
    context.now_s = 10.0
    context.host = {"cpu_millis": cores * 1000, "memory_mb": memory * GB}
    context.scheduler = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    context.listed = []
    context.jobs = 0


def list_hosts(context, count):
    """Have so many more hosts listed, each with a worker that answered."""
    found = len(context.listed)
    context.listed += [
        jobsite.worker_facts(number, **context.host) for number in range(found, found + count)
    ]
    for worker in context.scheduler.update_workers(context.listed, context.now_s):
        worker.is_polled = True


def add_job(context, step):
    context.jobs += 1
    book = context.scheduler.registry
    made = jobsite.job(context.jobs, (step,))
    return book.add(made, None, context.now_s, 0, may_run=False)


def lasting(count, cores, memory, **fields):
    return jobs.Step(
        count=count,
        cpu_millis=int(cores * 1000),
        memory_mb=memory * GB,
        long_running=True,
        **fields,
    )


def run_all(context, record):
    """Have the tasks of a record run at the hosts by turns."""
    workers = list(context.scheduler.workers.values())
    for index, task in enumerate(list(record.iterate_tasks())):
        worker = workers[index % len(workers)]
        context.scheduler.registry.adopt(record, task, worker, 1, context.now_s)
        record.ready.pop(task.key, None)
        task.percent = 100
        worker.heard_s = context.now_s


@behave.given(
    "{hosts:d} of its hosts are full of tasks with {cores:g} cores and {memory:d} GB that last"
)
def fill_hosts(context, hosts, cores, memory):
    list_hosts(context, hosts)
    each = min(
        context.host["memory_mb"] // (memory * GB), int(context.host["cpu_millis"] / 1000 / cores)
    )
    context.shape = cores, memory
    run_all(context, add_job(context, lasting(hosts * each, cores, memory)))


@behave.when("{count:d} more such task waits for {seconds:g} s and one of its hosts is asked for")
def wait_beside_cleared(context, count, seconds):
    context.record = add_job(context, lasting(count, *context.shape))
    context.scheduler.tick(context.now_s, 0)
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        context.scheduler.closed_hosts.close(context.listed[0].host, context.now_s)
        context.scheduler.tick(context.now_s, 0)


def stalls(context):
    taken = context.scheduler.notes.take()
    return [one.fields for one in taken if one.event == "task has not moved on"]


@behave.then('it is noted that the task waits for "{what}"')
def check_stall(context, what):
    (context.stall,) = stalls(context)
    assert context.stall["awaits"] == what and context.stall["lasts"], context.stall
    assert context.stall["phase"] == fleetview.Phase.WAITING.value, context.stall


@behave.then('that {lacking:d} workers lack "{what}" and {closed:d} is passed over as "{why}"')
def check_obstacles(context, lacking, what, closed, why):
    assert context.stall["workers"] == {what: lacking, why: closed}, context.stall


@behave.then("nothing more is noted of it for {seconds:g} s")
def check_paced(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        context.scheduler.tick(context.now_s, 0)
    assert not stalls(context)


@behave.when("{count:d} more such tasks wait, and {closed:d} of its hosts are asked for")
def wait_beside_closed(context, count, closed):
    context.record = add_job(context, lasting(count, *context.shape, max_per_worker=count))
    context.now_s += 1.0
    for facts in context.listed[:closed]:
        context.scheduler.closed_hosts.close(facts.host, context.now_s)


@behave.when("a job of {count:d} tasks with {cores:d} cores and {memory:d} GB that end soon waits")
def wait_shortly(context, count, cores, memory):
    step = jobs.Step(count=count, cpu_millis=cores * 1000, memory_mb=memory * GB, estimate_ms=500)
    context.record = add_job(context, step)
    context.now_s += 1.0


@behave.then("{count:d} more hosts are asked for")
def check_asked(context, count):
    assert not context.scheduler.choose_starts(context.now_s)
    size = context.host["cpu_millis"]
    views = [
        rebalancing.HostView(facts.host, "a", rebalancing.HostState.UP, "z", "r", size)
        for facts in context.listed
    ]
    views += [
        rebalancing.HostView(f"s{number}", "spare", rebalancing.HostState.UP, "z", "r", size)
        for number in range(count + 3)
    ]
    demands = {"a": context.scheduler.get_demand(context.now_s)}
    moves = rebalancing.Planner().plan(views, demands, set(), "spare", context.now_s)
    assert [move.target for move in moves] == ["a"] * count, moves


@behave.given(
    "a pool of {hosts:d} hosts with {cores:d} cores and {memory:d} GB, and {spare:d} spare hosts"
)
def make_play(context, hosts, cores, memory, spare):
    context.play = poolplay.Play(cores * 1000, memory * GB, hosts, spare)


@behave.given(
    "a job of {count:d} tasks with {cores:g} cores and {memory:d} GB that last,"
    " of which {most:d} may be away"
)
def run_play(context, count, cores, memory, most):
    context.play.add(1, lasting(count, cores, memory, may_miss=most))
    context.play.run(5.0)
    context.play.longest_away_s, context.play.most_away = 0.0, 0


@behave.when("a wave asks for the upkeep of each host of the pool in turn")
def ask_play(context):
    context.asked = [one.name for one in context.play.hosts if one.pool == poolplay.POOL]
    context.play.wave = list(context.asked)


@behave.then(
    "for {seconds:g} s no task is away for over {longest:g} s, and at most {most:d} at once"
)
def check_play(context, seconds, longest, most):
    context.play.run(seconds)
    play = context.play
    assert play.longest_away_s <= longest, (play.longest_away_s, play.away_s)
    assert play.most_away <= most, play.most_away


@behave.then("{which} of the hosts had their upkeep")
def check_upkept(context, which):
    assert which == "any number" or context.play.upkept == context.asked, context.play.upkept


@behave.when(
    "a job of {count:d} tasks with {cores:g} cores and {memory:d} GB that last comes"
    " as the last host is back"
)
def add_as_back(context, count, cores, memory):
    play = context.play
    for _ in range(200):
        play.step()
        back = not play.wave and all(one.state is rebalancing.HostState.UP for one in play.hosts)
        if back:
            break
    context.host = next(one for one in play.hosts if one.name == play.upkept[-1])
    play.hosts.remove(next(one for one in play.hosts if one is not context.host))
    play.add(1, lasting(count, cores, memory, max_per_worker=count))


@behave.then("within {seconds:g} s {count:d} tasks run at that host")
def check_runs(context, seconds, count):
    context.play.run(seconds)
    assert len(context.host.runs) == count, context.host


@behave.when("one of the workers is said to drain")
def drain_one(context):
    host = context.host = next(one for one in context.play.hosts if one.runs)
    context.runs = dict(host.runs)
    host.left_ms = 9000


@behave.then("for {seconds:g} s no task leaves it, as the other one runs half of the step")
def check_stays(context, seconds):
    for _ in range(int(seconds / poolplay.STEP_S)):
        context.play.step()
        context.play.scheduler.evacuate_draining(context.play.now_s)
        assert context.host.runs == context.runs, context.host


@behave.given("short tasks with {cores:d} cores and {memory:d} GB come all the time, more than fit")
def flood(context, cores, memory):
    step = jobs.Step(count=16, cpu_millis=cores * 1000, memory_mb=memory * GB, estimate_ms=1000)
    context.play.flood(step, 1.0)
    context.play.run(5.0)


@behave.when("a job of {count:d} tasks with {cores:d} cores and {memory:d} GB that last comes")
def add_lasting(context, count, cores, memory):
    context.jobs = getattr(context, "jobs", 10) + 1
    context.record = context.play.add(context.jobs, lasting(count, cores, memory))


@behave.then("after {seconds:g} s each of them runs")
def check_all_run(context, seconds):
    check_some_run(context, seconds, context.record.job.steps[0].count)


@behave.then("after {seconds:g} s {count:d} of them run")
def check_some_run(context, seconds, count):
    context.play.run(seconds)
    running = {name for host in context.play.hosts for name in host.runs}
    found = [one.key.name for one in context.record.iterate_tasks() if one.key.name in running]
    assert len(found) == count, found


@behave.given("a service that was taken over {seconds:g} s ago")
def take_over_before(context, seconds):
    make_service(context, 32, 128)
    context.scheduler = scheduler.Scheduler(
        2, lease_expiry_s=5.0, now_s=context.now_s - seconds, is_takeover=True
    )
    context.scheduler.tick(context.now_s, 0)
    assert context.scheduler.is_reconciled


@behave.when("a host joins it and its worker answers a first look")
def join(context):
    context.listed = [jobsite.worker_facts(0, **context.host)]
    context.scheduler.update_workers(context.listed, context.now_s)
    answer(context)


@behave.when("its worker answers again")
def answer(context):
    context.now_s += 0.05
    life = context.listed[0].incarnation
    context.scheduler.apply_report(
        fleetview.WorkerReport(life, 0, context.now_s - 0.01, context.now_s, (), ())
    )


@behave.given("one host whose worker was silent until its lease lapsed")
def lapse(context):
    list_hosts(context, 1)
    (worker,) = context.scheduler.workers.values()
    worker.extend_lease(context.now_s, 2.5)
    context.now_s += 5.0
    context.scheduler.tick(context.now_s, 0)
    assert not context.scheduler.get_open_workers(context.now_s)


@behave.then("the host takes tasks from then on")
def check_open(context):
    for _ in range(20):
        context.now_s += 0.1
        context.scheduler.tick(context.now_s, 0)
        assert len(context.scheduler.get_open_workers(context.now_s)) == 1, context.now_s


@behave.given(
    "a service that was just taken over with {count:d} tasks of {cores:d} cores and {memory:d} GB"
    " that may run somewhere"
)
def take_over_work(context, count, cores, memory):
    make_service(context, 32, 128)
    context.scheduler = scheduler.Scheduler(
        2, lease_expiry_s=5.0, now_s=context.now_s, is_takeover=True
    )
    list_hosts(context, 1)
    step = jobs.Step(count=count, cpu_millis=cores * 1000, memory_mb=memory * GB, estimate_ms=500)
    made = jobsite.job(1, (step,))
    context.scheduler.registry.add(made, None, context.now_s, 0, may_run=True)


@behave.then("it asks for room for {count:d} tasks of {cores:d} cores")
def check_need(context, count, cores):
    report = context.scheduler.get_demand(context.now_s)
    assert report.cpu_waiting == count * cores * 1000, report
    assert report.waiting_ms == 500, report
