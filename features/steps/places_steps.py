"""Check that tasks don't wait forever, and that no host is requested in vain."""

import dataclasses

import behave
from nutmegshelf import calls, fleetview, jobs, orders, queues, rebalancing, upkeep

from features import jobsite, poolsimulation
from features.steps import room_steps


def add_job(context, step):
    context.jobs = getattr(context, "jobs", 10) + 1
    context.record = context.simulation.add(context.jobs, step)


@behave.given("a wave requests a host that can't be evacuated, as some of its tasks stay")
def wave_stuck(context):
    context.simulation.wave = [context.simulation.hosts[0].name]
    context.simulation.run(12.0)
    assert (
        context.simulation.hosts[0].runs and not context.simulation.upkeep_done
    ), context.simulation.hosts[0]


@behave.when(
    "a long-running job of {count:d} tasks with {cores:d} cores and {memory:d} GB,"
    " {most:d} at a worker, arrives"
)
def add_spread(context, count, cores, memory, most):
    add_job(context, room_steps.long_running_step(count, cores, memory, max_per_worker=most))


@behave.when("a further such job of {count:d} tasks with {cores:g} cores and {memory:d} GB arrives")
def add_more(context, count, cores, memory):
    add_job(context, room_steps.long_running_step(count, cores, memory))


@behave.given(
    "tasks with {cores:d} cores and {memory:d} GB that end after {seconds:d} s fill the pool"
)
def keep_adding_long(context, cores, memory, seconds):
    step = jobs.Step(
        count=16, cpu_millis=cores * 1000, memory_mb=memory * room_steps.GB, estimate_ms=10000
    )
    context.simulation.keep_adding(step, float(seconds))
    context.simulation.run(2.0)


@behave.then("for {seconds:g} s there are at most {count:d} moves of hosts")
def check_moves(context, seconds, count):
    simulation, moves = context.simulation, 0
    for _ in range(int(seconds / poolsimulation.STEP_S)):
        before = [host.pool for host in simulation.hosts]
        simulation.step()
        moves += sum(host.pool != pool for host, pool in zip(simulation.hosts, before, strict=True))
    assert moves <= count, moves


def plan(context, spare, unlisted=()):
    size = context.host["cpu_millis"]
    up = rebalancing.HostState.UP
    names = [facts.host for facts in context.listed] + list(unlisted)
    views = [rebalancing.HostView(name, "a", up, "z", "r", size) for name in names]
    views += [
        rebalancing.HostView(f"s{index}", "spare", up, "z", "r", size) for index in range(spare)
    ]
    report = context.scheduler.get_demand(context.now_s)
    planner = getattr(context, "planner", None)
    if planner is None:
        planner = context.planner = rebalancing.Planner()
    return planner.plan(views, {"a": report}, set(), "spare", context.now_s)


@behave.given("{count:d} idle workers that are listed and {state}")
def list_idle(context, count, state):
    room_steps.list_hosts(context, count)
    for worker in context.scheduler.workers.values():
        if state == "have not answered yet":
            worker.is_polled = False
        elif state == "refused a start just now":
            worker.start_refused_s = context.now_s
        else:
            raise AssertionError(state)


@behave.given("{count:d} tasks of {millis:d} ms with {cores:d} cores and {memory:d} GB wait")
def wait_short(context, count, millis, cores, memory):
    step = jobs.Step(
        count=count, cpu_millis=cores * 1000, memory_mb=memory * room_steps.GB, estimate_ms=millis
    )
    context.record = room_steps.add_job(context, step)


@behave.given("a long-running task waits, and a host that arrived for it has not answered yet")
def add_arrived_host(context):
    context.record = room_steps.add_job(context, room_steps.long_running_step(1, *context.shape))
    moves = plan(context, 3)
    assert len(moves) == 1, moves
    number = len(context.listed)
    context.listed.append(jobsite.worker_facts(number, **context.host))
    context.scheduler.update_workers(context.listed, context.now_s)


@behave.then("at most {count:d} hosts are requested")
def check_at_most(context, count):
    moves = plan(context, 40)
    assert len(moves) <= count, len(moves)


@behave.given("one more host is up in the pool, whose worker is not listed any more")
def add_unlisted_host(context):
    listed = [*context.listed, jobsite.worker_facts(len(context.listed), **context.host)]
    for worker in context.scheduler.update_workers(listed, context.now_s):
        worker.is_polled = True
    context.scheduler.update_workers(context.listed, context.now_s)
    context.scheduler.tick(context.now_s, 0)
    context.unlisted_host = listed[-1].host


@behave.then("a host is requested within {seconds:d} s for a long-running task that finds no room")
def check_host_requested(context, seconds):
    room_steps.add_job(context, room_steps.long_running_step(1, *context.shape))
    for _ in range(seconds * 5):
        context.now_s += 0.2
        context.scheduler.tick(context.now_s, 0)
        if plan(context, 3, [context.unlisted_host]):
            return
    raise AssertionError(f"no host in {seconds} s")


@behave.given("{count:d} hosts with label {label} are full of tasks that require it")
def fill_labelled(context, count, label):
    context.labelled = {f"h{number}" for number in range(count)}
    simulation = context.simulation
    make_facts = simulation._facts

    def facts(host):
        labels = {label} if host.name in context.labelled else set()
        return dataclasses.replace(make_facts(host), labels=frozenset(labels))

    simulation._facts = facts
    for worker in simulation.scheduler.workers.values():
        worker.facts = dataclasses.replace(worker.facts, labels=frozenset({label}))
    add_job(context, room_steps.long_running_step(count * 4, 4, 30, label=label, max_per_worker=4))
    simulation.run(3.0)


@behave.when("one more task that requires label {label} arrives")
def add_labelled(context, label):
    add_job(context, room_steps.long_running_step(1, 4, 30, label=label))


@behave.then("after {seconds:g} s at most {count:d} hosts of the pool idle")
def check_idle(context, seconds, count):
    context.simulation.run(seconds)
    idle = [
        host.name
        for host in context.simulation.hosts
        if host.pool == poolsimulation.POOL and not host.runs
    ]
    assert len(idle) <= count, idle


@behave.given("a long-running task waits for a label that no worker has")
def wait_label(context):
    room_steps.add_job(context, room_steps.long_running_step(1, 1, 1, label="none"))


@behave.then("a stalled task gets a second run at the other worker")
def check_second_run(context):
    step = jobs.Step(count=1, cpu_millis=1000, memory_mb=1, estimate_ms=500, speculative=True)
    record = room_steps.add_job(context, step)
    for worker in context.scheduler.workers.values():
        worker.is_polled, worker.start_refused_s = True, -1.0
    (order,) = [
        start
        for start in context.scheduler.choose_starts(context.now_s)
        if start.key.job == record.job.job
    ]
    context.scheduler.record_started(order, context.now_s)
    context.now_s += 5.0
    starts = context.scheduler.choose_starts(context.now_s)
    assert [start.key.job for start in starts] == [record.job.job], starts


@behave.when(
    "a gang of {count:d} tasks with {cores:d} cores and {memory:d} GB and {millis:d} ms waits"
)
def add_gang(context, count, cores, memory, millis):
    context.gang = jobs.Step(
        count=count,
        cpu_millis=cores * 1000,
        memory_mb=memory * room_steps.GB,
        estimate_ms=millis,
        gang=True,
    )
    add_job(context, context.gang)


@behave.when(
    "a gang of {count:d} tasks with {cores:d} cores and {memory:d} GB that needs one rack waits"
)
def add_rack_gang(context, count, cores, memory):
    step = jobs.Step(
        count=count,
        cpu_millis=cores * 1000,
        memory_mb=memory * room_steps.GB,
        estimate_ms=500,
        gang=True,
        same_rack=True,
    )
    add_job(context, step)


@behave.then("after {seconds:g} s the pool has at most {count:d} hosts")
def check_pool_size(context, seconds, count):
    context.simulation.run(seconds)
    held = [host.name for host in context.simulation.hosts if host.pool == poolsimulation.POOL]
    assert len(held) <= count, held


@behave.then("it starts within {seconds:g} s")
def check_started(context, seconds):
    for _ in range(int(seconds / poolsimulation.STEP_S)):
        context.simulation.step()
        if not context.record.ready:
            return
    raise AssertionError(
        [(host.name, host.pool, len(host.runs)) for host in context.simulation.hosts]
    )


@behave.given(
    "a pool that lacks {lacking:d} hosts for short tasks, and one that lacks 1 for a long-running"
    " task"
)
def two_pools(context, lacking):
    def report(**fields):
        defaults = {
            "cpu_running": 0,
            "cpu_waiting": 0,
            "cpu_long_running": 0,
            "waiting_ms": 0,
            "arrived_core_ms": 0,
            "min_hosts": 0,
            "host_cpu_millis": 32000,
        }
        return calls.DemandReport(**{**defaults, **fields})

    short = {"a0": calls.HostLoad(cpu_millis=32000)}
    long_running = {"b0": calls.HostLoad(cpu_millis=30000, long_running_count=4)}
    context.demands = {
        "a": report(
            cpu_running=32000, cpu_waiting=(lacking - 1) * 32000, waiting_ms=1000, hosts=short
        ),
        "b": report(
            cpu_running=30000, cpu_long_running=30000, additional_hosts=1, hosts=long_running
        ),
    }


@behave.then("of {spare:d} spare hosts one goes to the long-running task")
def check_shared(context, spare):
    up = rebalancing.HostState.UP
    views = [rebalancing.HostView(f"{pool}0", pool, up, "z", "r", 32000) for pool in "ab"]
    views += [
        rebalancing.HostView(f"s{index}", "spare", up, "z", "r", 32000) for index in range(spare)
    ]
    moves = rebalancing.Planner().plan(views, context.demands, set(), "spare", 10.0)
    assert "b" in [move.target for move in moves], moves


@behave.given("an idle host was released")
def release_idle(context):
    room_steps.list_hosts(context, 2)
    context.released = context.listed[0]
    assert context.scheduler.evacuate_host(context.released.host, context.now_s)


@behave.when(
    "its worker's entry is missing for {seconds:g} s and returns with the same incarnation"
)
def miss_briefly(context, seconds):
    context.scheduler.update_workers(context.listed[1:], context.now_s)
    context.now_s += seconds
    context.scheduler.tick(context.now_s, 0)
    for worker in context.scheduler.update_workers(context.listed, context.now_s):
        worker.is_polled = True


@behave.then("no task starts there")
def check_released(context):
    count = 8
    room_steps.add_job(context, room_steps.long_running_step(count, 1, 1))
    started = [start.incarnation for start in context.scheduler.choose_starts(context.now_s)]
    assert started and context.released.incarnation not in started, started


@behave.given("a host with a task of 80 GB and one of three of 40 GB, and a host with the others")
def two_hosts(context):
    simulation = context.simulation
    context.other = simulation.add(1, room_steps.long_running_step(1, 2, 80))
    simulation.run(1.0)
    context.record = simulation.add(2, room_steps.long_running_step(3, 2, 40, may_miss=2))
    simulation.run(2.0)
    by_count = sorted(simulation.hosts, key=lambda host: sum(name[15] == "2" for name in host.runs))
    context.lost, context.requested = by_count
    assert [len(host.runs) for host in by_count] == [2, 2], by_count


@behave.when("the latter is requested, its stops get no answer, and the former is lost")
def lose_host(context):
    simulation = context.simulation
    carry_out = simulation._carry_out
    context.drops_stops = True

    def carry_out_lossy(order):
        if context.drops_stops and isinstance(order, orders.StopRun):
            context.dropped = True
            simulation.scheduler.record_stop_unanswered(order)
        else:
            carry_out(order)

    simulation._carry_out = carry_out_lossy
    context.dropped = False
    simulation.wave = [context.requested.name]
    for _ in range(100):
        simulation.step()
        if context.dropped:
            break
    assert context.dropped
    incarnation = context.lost.incarnation
    simulation.hosts.remove(context.lost)
    simulation.scheduler.workers[incarnation].leased_until_s = simulation.now_s + 0.2
    simulation.run(0.5)
    context.drops_stops = False


@behave.then("within {seconds:g} s the host is evacuated, or the lost task runs there")
def check_evacuated_or_restarted(context, seconds):
    simulation = context.simulation
    for _ in range(int(seconds / poolsimulation.STEP_S)):
        simulation.step()
        if simulation.upkeep_done or len(context.requested.runs) == 3:
            return
    raise AssertionError([(task.key.name, task.phase) for task in context.record.iterate_tasks()])


def add_with_policy(context, number, wait_s, is_allowed):
    """Add a job to a queue whose policy answers one question at a time, each after some time."""
    simulation = context.simulation
    timing = queues.AdviceTiming(decide_ms=int(wait_s * 1000), per_worker_ms=0, valid_ms=60_000)
    step = room_steps.long_running_step(1, 2, 60)
    job = jobsite.job(number, (step,), queue=jobsite.queue(advised=timing))
    job_registry = simulation.scheduler.registry
    context.record = job_registry.add(
        job, None, simulation.now_s, int(simulation.now_s * 1000), may_run=False
    )
    advice, step_simulation, pending = simulation.scheduler.advice, simulation.step, []

    def step_with_answers():
        step_simulation()
        if not pending and (question := advice.pop_question()) is not None:
            pending.append((simulation.now_s, question))
        if pending and simulation.now_s >= pending[0][0] + wait_s:
            requested_s, question = pending.pop()
            tickets = (
                {incarnation.worker: "t" for incarnation in question.incarnations}
                if is_allowed
                else {}
            )
            advice.record_answer(question, tickets, 60.0, requested_s)

    simulation.step = step_with_answers


@behave.when("a long-running task of 60 GB arrives on a queue whose policy takes {seconds:g} s")
def add_advised(context, seconds):
    add_with_policy(context, 50, seconds, is_allowed=True)


@behave.when("a long-running task of 60 GB arrives on a queue whose policy allows no worker")
def add_refused(context):
    add_with_policy(context, 50, 0.1, is_allowed=False)


@behave.then("for {seconds:g} s no task leaves, and within {limit:g} s all run at the other worker")
def check_evacuated(context, seconds, limit):
    simulation = context.simulation
    other = next(host for host in simulation.hosts if host is not context.host)
    for _ in range(int(limit / poolsimulation.STEP_S)):
        simulation.step()
        simulation.scheduler.evacuate_draining(simulation.now_s)
    assert not context.host.runs and len(other.runs) == 6, (context.host, other)


@behave.given("2 workers, one half full and one full of less urgent work with checkpoints")
def fill_less_urgent(context):
    room_steps.list_hosts(context, 2)
    step = jobs.Step(count=1, cpu_millis=16000, estimate_ms=20000, checkpointing=True)
    context.runs = []
    for index in range(3):
        job = jobsite.job(20 + index, (step,), queue=jobsite.queue(priority=3))
        job_registry = context.scheduler.registry
        record = job_registry.add(job, None, context.now_s, 0, may_run=False)
        worker = list(context.scheduler.workers.values())[min(index, 1)]
        (task,) = record.iterate_tasks()
        job_registry.adopt(record, task, worker, 1, context.now_s)
        record.ready.pop(task.key, None)
        context.runs.append(task)


@behave.given("a long-running task of {cores:d} cores waits for room")
def wait_long_running(context, cores):
    room_steps.add_job(context, room_steps.long_running_step(1, cores, 1))
    context.now_s += 3.0


@behave.when("an urgent task of {cores:d} cores arrives")
def add_urgent(context, cores):
    step = jobs.Step(count=1, cpu_millis=cores * 1000, estimate_ms=2000)
    job = jobsite.job(90, (step,), queue=jobsite.queue(priority=0))
    context.scheduler.registry.add(job, None, context.now_s, 0, may_run=False)


@behave.then("it starts, or a less urgent run is preempted for it")
def check_urgent(context):
    started = [start.key.job for start in context.scheduler.choose_starts(context.now_s)]
    stopping = [task.key.name for task in context.runs if task.phase is fleetview.Phase.STOPPING]
    assert started or stopping, (started, [task.phase for task in context.runs])


@behave.given(
    "a wave over 3 hosts, one at a time, of which the 2 with the fewest tasks can't be evacuated"
)
def blocked_wave(context):
    wave = upkeep.Wave(number=1, hosts=("h0", "h1", "h2"), duration_s=90.0, max_concurrent=1)
    context.plan = upkeep.WavePlan(wave, upkeep.WaveRow(number=1, began_ms=0))
    context.candidates = [
        upkeep.Candidate(
            host=f"h{index}", is_off=False, idle_s=None, long_running_count=index, cpu_millis=9
        )
        for index in range(3)
    ]


@behave.then("within {rounds:d} rounds the third is requested")
def check_third(context, rounds):
    requested = []
    for number in range(rounds):
        chosen = context.plan.choose(context.candidates, set(), number * 12_000, 2.0)
        requested.append(chosen)
        if "h2" in chosen:
            return
        # Each evacuation times out and is deferred.
        for host in chosen:
            context.plan.defer(host)
    raise AssertionError(requested)


@behave.when("a stalled task is the only work, and the other worker's host is to be evacuated")
def stall_task(context):
    step = jobs.Step(count=1, cpu_millis=1000, memory_mb=1, estimate_ms=500, speculative=True)
    room_steps.add_job(context, step)
    for worker in context.scheduler.workers.values():
        worker.is_polled, worker.start_refused_s = True, -1.0
    (order,) = context.scheduler.choose_starts(context.now_s)
    context.scheduler.record_started(order, context.now_s)
    context.now_s += 5.0
    for worker in context.scheduler.workers.values():
        if worker.facts.incarnation != order.incarnation:
            context.scheduler.closed_hosts.close(worker.facts.host, context.now_s)


@behave.then("it gets no second run")
def check_no_second_run(context):
    starts = context.scheduler.choose_starts(context.now_s)
    assert not starts, starts
