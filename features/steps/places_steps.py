"""Check waits that no part ends, and hosts that are asked for in vain."""

import dataclasses

import behave
from nutmegshelf import calls, fleetview, jobs, orders, queues, rebalancing, upkeep

from features import jobsite, poolplay
from features.steps import room_steps


def play_job(context, step):
    context.jobs = getattr(context, "jobs", 10) + 1
    context.record = context.play.add(context.jobs, step)


@behave.given("a wave asks for the host that can't be cleared, of which some tasks stay")
def wave_stuck(context):
    context.play.wave = [context.play.hosts[0].name]
    context.play.run(12.0)
    assert context.play.hosts[0].runs and not context.play.upkept, context.play.hosts[0]


@behave.when(
    "a job of {count:d} tasks with {cores:d} cores and {memory:d} GB, {most:d} at a worker,"
    " lasts and comes"
)
def add_apart(context, count, cores, memory, most):
    play_job(context, room_steps.lasting(count, cores, memory, max_per_worker=most))


@behave.when("such a job of {count:d} tasks with {cores:g} cores and {memory:d} GB comes")
def add_more(context, count, cores, memory):
    play_job(context, room_steps.lasting(count, cores, memory))


@behave.given("tasks with {cores:d} cores and {memory:d} GB that end after {seconds:d} s fill it")
def flood_slowly(context, cores, memory, seconds):
    step = jobs.Step(
        count=16, cpu_millis=cores * 1000, memory_mb=memory * room_steps.GB, estimate_ms=10000
    )
    context.play.flood(step, float(seconds))
    context.play.run(2.0)


@behave.then("for {seconds:g} s there are at most {count:d} moves of hosts")
def check_moves(context, seconds, count):
    play, moves = context.play, 0
    for _ in range(int(seconds / poolplay.STEP_S)):
        before = [one.pool for one in play.hosts]
        play.step()
        moves += sum(one.pool != was for one, was in zip(play.hosts, before, strict=True))
    assert moves <= count, moves


def plan(context, spare, unlisted=()):
    size = context.host["cpu_millis"]
    up = rebalancing.HostState.UP
    names = [facts.host for facts in context.listed] + list(unlisted)
    views = [rebalancing.HostView(name, "a", up, "z", "r", size) for name in names]
    views += [rebalancing.HostView(f"s{one}", "spare", up, "z", "r", size) for one in range(spare)]
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


@behave.given(
    "{count:d} tasks wait that end after {millis:d} ms with {cores:d} cores and {memory:d} GB"
)
def wait_short(context, count, millis, cores, memory):
    step = jobs.Step(
        count=count, cpu_millis=cores * 1000, memory_mb=memory * room_steps.GB, estimate_ms=millis
    )
    context.record = room_steps.add_job(context, step)


@behave.given("a task that lasts waits, and a host that came for it has not answered yet")
def host_came(context):
    context.record = room_steps.add_job(context, room_steps.lasting(1, *context.shape))
    moves = plan(context, 3)
    assert len(moves) == 1, moves
    number = len(context.listed)
    context.listed.append(jobsite.worker_facts(number, **context.host))
    context.scheduler.update_workers(context.listed, context.now_s)


@behave.then("at most {count:d} hosts are asked for")
def check_at_most(context, count):
    moves = plan(context, 40)
    assert len(moves) <= count, len(moves)


@behave.given("one more host is up in the pool, whose worker is not listed any more")
def unlist(context):
    listed = [*context.listed, jobsite.worker_facts(len(context.listed), **context.host)]
    for worker in context.scheduler.update_workers(listed, context.now_s):
        worker.is_polled = True
    context.scheduler.update_workers(context.listed, context.now_s)
    context.scheduler.tick(context.now_s, 0)
    context.ghost = listed[-1].host


@behave.then("a task that lasts and finds no room has a host asked for within {seconds:d} s")
def check_ghost(context, seconds):
    room_steps.add_job(context, room_steps.lasting(1, *context.shape))
    for _ in range(seconds * 5):
        context.now_s += 0.2
        context.scheduler.tick(context.now_s, 0)
        if plan(context, 3, [context.ghost]):
            return
    raise AssertionError(f"no host in {seconds} s")


@behave.given("{count:d} hosts with label {label} run what they can of tasks that ask for it")
def labelled(context, count, label):
    context.labelled = {f"h{number}" for number in range(count)}
    play = context.play
    made = play._facts

    def facts(host):
        labels = {label} if host.name in context.labelled else set()
        return dataclasses.replace(made(host), labels=frozenset(labels))

    play._facts = facts
    for worker in play.scheduler.workers.values():
        worker.facts = dataclasses.replace(worker.facts, labels=frozenset({label}))
    play_job(context, room_steps.lasting(count * 4, 4, 30, label=label, max_per_worker=4))
    play.run(3.0)


@behave.when("one more task that asks for label {label} comes")
def more_labelled(context, label):
    play_job(context, room_steps.lasting(1, 4, 30, label=label))


@behave.then("after {seconds:g} s at most {count:d} hosts of the pool idle")
def check_idle(context, seconds, count):
    context.play.run(seconds)
    idle = [one.name for one in context.play.hosts if one.pool == poolplay.POOL and not one.runs]
    assert len(idle) <= count, idle


@behave.given("a task that lasts waits for a label that no worker has")
def wait_label(context):
    room_steps.add_job(context, room_steps.lasting(1, 1, 1, label="none"))


@behave.then("a task that stands still gets a second run at the other worker")
def check_copy(context):
    step = jobs.Step(count=1, cpu_millis=1000, memory_mb=1, estimate_ms=500, speculative=True)
    record = room_steps.add_job(context, step)
    for worker in context.scheduler.workers.values():
        worker.is_polled, worker.start_refused_s = True, -1.0
    (order,) = [
        one
        for one in context.scheduler.choose_starts(context.now_s)
        if one.key.job == record.job.job
    ]
    context.scheduler.record_started(order, context.now_s)
    context.now_s += 5.0
    found = context.scheduler.choose_starts(context.now_s)
    assert [one.key.job for one in found] == [record.job.job], found


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
    play_job(context, context.gang)


@behave.then("it starts within {seconds:g} s")
def check_started(context, seconds):
    for _ in range(int(seconds / poolplay.STEP_S)):
        context.play.step()
        if not context.record.ready:
            return
    raise AssertionError([(one.name, one.pool, len(one.runs)) for one in context.play.hosts])


@behave.given(
    "a pool that lacks {lacking:d} hosts for short tasks, and one that lacks 1 for a task"
    " that lasts"
)
def two_pools(context, lacking):
    def report(**fields):
        terms = {
            "cpu_running": 0,
            "cpu_waiting": 0,
            "cpu_long_running": 0,
            "waiting_ms": 0,
            "arrived_core_ms": 0,
            "min_hosts": 0,
            "host_cpu_millis": 32000,
        }
        return calls.DemandReport(**{**terms, **fields})

    short = {"a0": calls.HostLoad(cpu_millis=32000)}
    lasting = {"b0": calls.HostLoad(cpu_millis=30000, long_running_count=4)}
    context.demands = {
        "a": report(
            cpu_running=32000, cpu_waiting=(lacking - 1) * 32000, waiting_ms=1000, hosts=short
        ),
        "b": report(cpu_running=30000, cpu_long_running=30000, additional_hosts=1, hosts=lasting),
    }


@behave.then("of {spare:d} spare hosts one goes to the task that lasts")
def check_shared(context, spare):
    up = rebalancing.HostState.UP
    views = [rebalancing.HostView(f"{pool}0", pool, up, "z", "r", 32000) for pool in "ab"]
    views += [rebalancing.HostView(f"s{one}", "spare", up, "z", "r", 32000) for one in range(spare)]
    moves = rebalancing.Planner().plan(views, context.demands, set(), "spare", 10.0)
    assert "b" in [one.target for one in moves], moves


@behave.given("a host that idles was given away")
def give_idle(context):
    room_steps.list_hosts(context, 2)
    context.given = context.listed[0]
    assert context.scheduler.evacuate_host(context.given.host, context.now_s)


@behave.when("its worker's entry is missing for {seconds:g} s and comes back in the same life")
def flicker(context, seconds):
    context.scheduler.update_workers(context.listed[1:], context.now_s)
    context.now_s += seconds
    context.scheduler.tick(context.now_s, 0)
    for worker in context.scheduler.update_workers(context.listed, context.now_s):
        worker.is_polled = True


@behave.then("no task starts there")
def check_given(context):
    count = 8
    room_steps.add_job(context, room_steps.lasting(count, 1, 1))
    lives = [one.incarnation for one in context.scheduler.choose_starts(context.now_s)]
    assert lives and context.given.incarnation not in lives, lives


@behave.given("a host with a task of 80 GB and one of three of 40 GB, and a host with the others")
def two_hosts(context):
    play = context.play
    context.other = play.add(1, room_steps.lasting(1, 2, 80))
    play.run(1.0)
    context.record = play.add(2, room_steps.lasting(3, 2, 40, may_miss=2))
    play.run(2.0)
    by_count = sorted(play.hosts, key=lambda one: sum(name[15] == "2" for name in one.runs))
    context.lost, context.asked_for = by_count
    assert [len(one.runs) for one in by_count] == [2, 2], by_count


@behave.when("the latter is asked for, its stops get no answer, and the former is lost")
def lose_host(context):
    play = context.play
    carry_out = play._carry_out
    context.is_mute = True

    def lossy(order):
        if context.is_mute and isinstance(order, orders.StopRun):
            context.dropped = True
            play.scheduler.record_stop_unanswered(order)
        else:
            carry_out(order)

    play._carry_out = lossy
    context.dropped = False
    play.wave = [context.asked_for.name]
    for _ in range(100):
        play.step()
        if context.dropped:
            break
    assert context.dropped
    life = context.lost.incarnation
    play.hosts.remove(context.lost)
    play.scheduler.workers[life].leased_until_s = play.now_s + 0.2
    play.run(0.5)
    context.is_mute = False


@behave.then("within {seconds:g} s the host is clear, or the task that was lost runs there")
def check_moved_on(context, seconds):
    play = context.play
    for _ in range(int(seconds / poolplay.STEP_S)):
        play.step()
        if play.upkept or len(context.asked_for.runs) == 3:
            return
    raise AssertionError([(one.key.name, one.phase) for one in context.record.iterate_tasks()])


def advise(context, number, wait_s, is_good):
    """Have a queue's policy answer one question after the other, each after some time."""
    play = context.play
    advised = queues.AdviceTiming(decide_ms=int(wait_s * 1000), per_worker_ms=0, valid_ms=60_000)
    step = room_steps.lasting(1, 2, 60)
    made = jobsite.job(number, (step,), queue=jobsite.queue(advised=advised))
    book = play.scheduler.registry
    context.record = book.add(made, None, play.now_s, int(play.now_s * 1000), may_run=False)
    advice, plain, under_way = play.scheduler.advice, play.step, []

    def step_with_answers():
        plain()
        if not under_way and (question := advice.pop_question()) is not None:
            under_way.append((play.now_s, question))
        if under_way and play.now_s >= under_way[0][0] + wait_s:
            asked_s, question = under_way.pop()
            good = {life.worker: "t" for life in question.incarnations} if is_good else {}
            advice.record_answer(question, good, 60.0, asked_s)

    play.step = step_with_answers


@behave.when("a task of 60 GB that lasts comes on a queue whose policy takes {seconds:g} s")
def add_advised(context, seconds):
    advise(context, 50, seconds, is_good=True)


@behave.when("a task of 60 GB that lasts comes on a queue whose policy allows no worker")
def add_refused(context):
    advise(context, 50, 0.1, is_good=False)


@behave.then("for {seconds:g} s no task leaves, and within {limit:g} s all run at the other worker")
def check_evacuated(context, seconds, limit):
    play = context.play
    other = next(one for one in play.hosts if one is not context.host)
    for _ in range(int(limit / poolplay.STEP_S)):
        play.step()
        play.scheduler.evacuate_draining(play.now_s)
    assert not context.host.runs and len(other.runs) == 6, (context.host, other)


@behave.given("2 workers full of less urgent work that saves its state, one of which is half free")
def fill_less_urgent(context):
    room_steps.list_hosts(context, 2)
    step = jobs.Step(count=1, cpu_millis=16000, estimate_ms=20000, checkpointing=True)
    context.runs = []
    for index in range(3):
        made = jobsite.job(20 + index, (step,), queue=jobsite.queue(priority=3))
        book = context.scheduler.registry
        record = book.add(made, None, context.now_s, 0, may_run=False)
        worker = list(context.scheduler.workers.values())[min(index, 1)]
        (task,) = record.iterate_tasks()
        book.adopt(record, task, worker, 1, context.now_s)
        record.ready.pop(task.key, None)
        context.runs.append(task)


@behave.given("a task of {cores:d} cores that lasts waits for room")
def wait_lasting(context, cores):
    room_steps.add_job(context, room_steps.lasting(1, cores, 1))
    context.now_s += 3.0


@behave.when("an urgent task of {cores:d} cores comes")
def add_urgent(context, cores):
    step = jobs.Step(count=1, cpu_millis=cores * 1000, estimate_ms=2000)
    made = jobsite.job(90, (step,), queue=jobsite.queue(priority=0))
    context.scheduler.registry.add(made, None, context.now_s, 0, may_run=False)


@behave.then("it starts, or a less urgent run makes room for it")
def check_urgent(context):
    found = [one.key.job for one in context.scheduler.choose_starts(context.now_s)]
    stopping = [one.key.name for one in context.runs if one.phase is fleetview.Phase.STOPPING]
    assert found or stopping, (found, [one.phase for one in context.runs])


@behave.given(
    "a wave over 3 hosts, one at a time, of which the 2 with the fewest tasks can't be cleared"
)
def blocked_wave(context):
    wave = upkeep.Wave(number=1, hosts=("h0", "h1", "h2"), duration_s=90.0, max_concurrent=1)
    context.plan = upkeep.WavePlan(wave, upkeep.WaveRow(number=1, began_ms=0))
    context.candidates = [
        upkeep.Candidate(
            host=f"h{one}", is_off=False, idle_s=None, long_running_count=one, cpu_millis=9
        )
        for one in range(3)
    ]


@behave.then("within {rounds:d} rounds of clearing the third is asked for")
def check_third(context, rounds):
    asked = []
    for one in range(rounds):
        chosen = context.plan.choose(context.candidates, set(), one * 12_000, 2.0)
        asked.append(chosen)
        if "h2" in chosen:
            return
        # Each is asked for until its limit and then given up.
        for host in chosen:
            context.plan.defer(host)
    raise AssertionError(asked)


@behave.when("a task that stands still is the only work, and the other worker's host is asked for")
def stand_still(context):
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
def check_no_copy(context):
    found = context.scheduler.choose_starts(context.now_s)
    assert not found, found
