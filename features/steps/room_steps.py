"""Check the hosts that a service requests, and its reports of tasks that can't be placed."""

import behave
from nutmegshelf import fleetview, jobs, rebalancing, scheduler

from features import jobsite, poolsimulation

GB = 1024


@behave.given("a service of hosts with {cores:d} cores and {memory:d} GB")
def make_service(context, cores, memory):
    context.now_s = 10.0
    context.host = {"cpu_millis": cores * 1000, "memory_mb": memory * GB}
    context.scheduler = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    context.listed = []
    context.jobs = 0


def list_hosts(context, count):
    """List some more hosts, each with a worker that has answered."""
    first = len(context.listed)
    context.listed += [
        jobsite.worker_facts(number, **context.host) for number in range(first, first + count)
    ]
    for worker in context.scheduler.update_workers(context.listed, context.now_s):
        worker.is_polled = True


def add_job(context, step):
    context.jobs += 1
    job_registry = context.scheduler.registry
    job = jobsite.job(context.jobs, (step,))
    return job_registry.add(job, None, context.now_s, 0, may_run=False)


def long_running_step(count, cores, memory, **fields):
    return jobs.Step(
        count=count,
        cpu_millis=int(cores * 1000),
        memory_mb=memory * GB,
        long_running=True,
        **fields,
    )


def run_all(context, record):
    """Have the tasks of a record run on the workers, distributed round robin."""
    workers = list(context.scheduler.workers.values())
    for index, task in enumerate(list(record.iterate_tasks())):
        worker = workers[index % len(workers)]
        context.scheduler.registry.adopt(record, task, worker, 1, context.now_s)
        record.ready.pop(task.key, None)
        task.percent = 100
        worker.heard_s = context.now_s


@behave.given(
    "{hosts:d} of its hosts are full of long-running tasks with {cores:g} cores and {memory:d} GB"
)
def fill_hosts(context, hosts, cores, memory):
    list_hosts(context, hosts)
    per_host = min(
        context.host["memory_mb"] // (memory * GB), int(context.host["cpu_millis"] / 1000 / cores)
    )
    context.shape = cores, memory
    run_all(context, add_job(context, long_running_step(hosts * per_host, cores, memory)))


@behave.when(
    "{count:d} more such task waits for {seconds:g} s and one of its hosts is to be evacuated"
)
def wait_beside_evacuated(context, count, seconds):
    context.record = add_job(context, long_running_step(count, *context.shape))
    context.scheduler.tick(context.now_s, 0)
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        context.scheduler.closed_hosts.close(context.listed[0].host, context.now_s)
        context.scheduler.tick(context.now_s, 0)


def take_stall_notes(context):
    notes = context.scheduler.notes.take()
    return [note.fields for note in notes if note.event == "task has not moved on"]


@behave.then('the task is reported to wait for "{what}"')
def check_stall(context, what):
    (context.stall,) = take_stall_notes(context)
    assert context.stall["awaits"] == what and context.stall["lasts"], context.stall
    assert context.stall["phase"] == fleetview.Phase.WAITING.value, context.stall


@behave.then(
    '{lacking:d} workers are reported to lack "{what}" and {closed:d} is skipped as "{why}"'
)
def check_constraints(context, lacking, what, closed, why):
    assert context.stall["workers"] == {what: lacking, why: closed}, context.stall


@behave.then("no further report of it follows for {seconds:g} s")
def check_no_more_reports(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        context.scheduler.tick(context.now_s, 0)
    assert not take_stall_notes(context)


@behave.when("{count:d} more such tasks wait, and {closed:d} of its hosts are to be evacuated")
def wait_beside_closed(context, count, closed):
    context.record = add_job(
        context, long_running_step(count, *context.shape, max_per_worker=count)
    )
    context.now_s += 1.0
    for facts in context.listed[:closed]:
        context.scheduler.closed_hosts.close(facts.host, context.now_s)


@behave.when("a job of {count:d} short tasks with {cores:d} cores and {memory:d} GB waits")
def wait_short(context, count, cores, memory):
    step = jobs.Step(count=count, cpu_millis=cores * 1000, memory_mb=memory * GB, estimate_ms=500)
    context.record = add_job(context, step)
    context.now_s += 1.0


@behave.then("{count:d} more hosts are requested")
def check_requested(context, count):
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
def make_simulation(context, hosts, cores, memory, spare):
    context.simulation = poolsimulation.PoolSimulation(cores * 1000, memory * GB, hosts, spare)


@behave.given(
    "a long-running job of {count:d} tasks with {cores:g} cores and {memory:d} GB,"
    " of which {most:d} may be unavailable"
)
def run_long_running(context, count, cores, memory, most):
    context.simulation.add(1, long_running_step(count, cores, memory, may_miss=most))
    context.simulation.run(5.0)
    context.simulation.longest_unavailable_s, context.simulation.most_unavailable = 0.0, 0


@behave.when("a wave requests the upkeep of each host of the pool in turn")
def request_wave(context):
    context.requested = [
        host.name for host in context.simulation.hosts if host.pool == poolsimulation.POOL
    ]
    context.simulation.wave = list(context.requested)


@behave.then(
    "for {seconds:g} s no task is unavailable for over {longest:g} s, and at most {most:d} at once"
)
def check_availability(context, seconds, longest, most):
    context.simulation.run(seconds)
    simulation = context.simulation
    assert simulation.longest_unavailable_s <= longest, (
        simulation.longest_unavailable_s,
        simulation.unavailable_s,
    )
    assert simulation.most_unavailable <= most, simulation.most_unavailable


@behave.then("{which} of the hosts had their upkeep")
def check_upkeep(context, which):
    assert (
        which == "any number" or context.simulation.upkeep_done == context.requested
    ), context.simulation.upkeep_done


@behave.when(
    "a long-running job of {count:d} tasks with {cores:g} cores and {memory:d} GB arrives"
    " as the last host returns"
)
def add_on_return(context, count, cores, memory):
    simulation = context.simulation
    for _ in range(200):
        simulation.step()
        is_back = not simulation.wave and all(
            host.state is rebalancing.HostState.UP for host in simulation.hosts
        )
        if is_back:
            break
    context.host = next(
        host for host in simulation.hosts if host.name == simulation.upkeep_done[-1]
    )
    simulation.hosts.remove(next(host for host in simulation.hosts if host is not context.host))
    simulation.add(1, long_running_step(count, cores, memory, max_per_worker=count))


@behave.then("within {seconds:g} s {count:d} tasks run at that host")
def check_runs(context, seconds, count):
    context.simulation.run(seconds)
    assert len(context.host.runs) == count, context.host


@behave.when("one of the workers drains")
def drain_worker(context):
    host = context.host = next(host for host in context.simulation.hosts if host.runs)
    context.runs = dict(host.runs)
    host.left_ms = 9000


@behave.then("for {seconds:g} s no task leaves it, as the other one runs half of the step")
def check_stays(context, seconds):
    for _ in range(int(seconds / poolsimulation.STEP_S)):
        context.simulation.step()
        context.simulation.scheduler.evacuate_draining(context.simulation.now_s)
        assert context.host.runs == context.runs, context.host


@behave.given("short tasks with {cores:d} cores and {memory:d} GB keep arriving, more than fit")
def keep_adding(context, cores, memory):
    step = jobs.Step(count=16, cpu_millis=cores * 1000, memory_mb=memory * GB, estimate_ms=1000)
    context.simulation.keep_adding(step, 1.0)
    context.simulation.run(5.0)


@behave.when("a long-running job of {count:d} tasks with {cores:d} cores and {memory:d} GB arrives")
def add_long_running(context, count, cores, memory):
    context.jobs = getattr(context, "jobs", 10) + 1
    context.record = context.simulation.add(context.jobs, long_running_step(count, cores, memory))


@behave.then("after {seconds:g} s each of them runs")
def check_all_run(context, seconds):
    check_some_run(context, seconds, context.record.job.steps[0].count)


@behave.then("after {seconds:g} s {count:d} of them run")
def check_some_run(context, seconds, count):
    context.simulation.run(seconds)
    running = {name for host in context.simulation.hosts for name in host.runs}
    placed = [task.key.name for task in context.record.iterate_tasks() if task.key.name in running]
    assert len(placed) == count, placed


@behave.given("a service that was taken over {seconds:g} s ago")
def take_over_before(context, seconds):
    make_service(context, 32, 128)
    context.scheduler = scheduler.Scheduler(
        2, lease_expiry_s=5.0, now_s=context.now_s - seconds, is_takeover=True
    )
    context.scheduler.tick(context.now_s, 0)
    assert context.scheduler.is_reconciled


@behave.when("a host joins it and its worker answers a first poll")
def join(context):
    context.listed = [jobsite.worker_facts(0, **context.host)]
    context.scheduler.update_workers(context.listed, context.now_s)
    answer(context)


@behave.when("its worker answers again")
def answer(context):
    context.now_s += 0.05
    incarnation = context.listed[0].incarnation
    context.scheduler.apply_report(
        fleetview.WorkerReport(incarnation, 0, context.now_s - 0.01, context.now_s, (), ())
    )


@behave.given("one host whose worker was silent until its lease expired")
def expire_lease(context):
    list_hosts(context, 1)
    (worker,) = context.scheduler.workers.values()
    worker.extend_lease(context.now_s, 2.5, fleetview.LeaseCall.START)
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
    job = jobsite.job(1, (step,))
    context.scheduler.registry.add(job, None, context.now_s, 0, may_run=True)


@behave.then("it requests room for {count:d} tasks of {cores:d} cores")
def check_demand(context, count, cores):
    report = context.scheduler.get_demand(context.now_s)
    assert report.cpu_waiting == count * cores * 1000, report
    assert report.waiting_ms == 500, report
