"""Check host moves and upkeep over fakes, and the decisions behind them in isolation."""

import asyncio
import collections
import itertools

import behave
from nutmegshelf import (
    bursts,
    calls,
    declarations,
    evacuation,
    fleetview,
    jobs,
    policy,
    queues,
    rebalancing,
    registry,
    scheduler,
    simulation,
    upkeep,
)

from features import jobsite
from features.steps import jobs_steps

LONG_RUNNING = {"cpu_millis": 2000, "memory_mb": 100, "long_running": True, "max_per_worker": 2}


@behave.given("a job of {count:d} long-running tasks, of which {most:d} may be unavailable")
@jobs_steps.paused
async def run_long_running(context, count, most):
    step = jobs.Step(count=count, may_miss=most, **LONG_RUNNING)
    context.made = await jobs_steps.submit(context, 1, (step,), "e0")
    await asyncio.sleep(3.0)
    context.most_unavailable = 0


@behave.given("every host runs a task of {seconds:g} s all the time")
@jobs_steps.paused
async def keep_busy(context, seconds):
    context.world.default_work = (seconds, fleetview.RunOutcome.DONE)
    step = jobs.Step(count=8, cpu_millis=16_000, memory_mb=100, estimate_ms=int(seconds * 1000))

    async def submit_all():
        for number in range(100, 130):
            await jobs_steps.submit(context, number, (step,), "e0")
            await asyncio.sleep(seconds)

    context.submitting = asyncio.ensure_future(submit_all())
    await asyncio.sleep(1.0)


@behave.given("the hosts' upkeep takes {upkeep_s:g} s")
def set_upkeep_duration(context, upkeep_s):
    context.world.upkeep_duration_s = upkeep_s


@behave.given("a list of the hosts arrives {late_s:g} s late")
@jobs_steps.paused
async def delay_lists(context, late_s):
    service, _ = context.site.entries["e0"]
    hosts = service._adapters.hosts
    list_hosts = hosts.list_hosts
    context.list_requested = asyncio.Event()

    async def list_late():
        context.list_requested.set()
        views = await list_hosts()
        await asyncio.sleep(late_s)
        return views

    hosts.list_hosts = list_late


@behave.given("the answers to moves are lost")
def lose_move_answers(context):
    context.world.lost_move_answers = 100


@behave.given("the first move is lost")
def lose_move(context):
    context.world.lost_moves = 1


@behave.when("a job for {hosts:d} hosts arrives while the hosts are listed, and one of them moves")
@jobs_steps.paused
async def submit_while_listed(context, hosts):
    context.world.default_work = (6.0, fleetview.RunOutcome.DONE)
    context.list_requested.clear()
    await context.list_requested.wait()
    step = jobs.Step(
        count=hosts, cpu_millis=context.world.cpu_millis, memory_mb=100, estimate_ms=6000
    )
    await jobs_steps.submit(context, 1, (step,), "e0")

    async def check():
        return bool(context.world.moves) or context.world.hosts

    await jobs_steps.wait_until(3.0, check, "hosts")


@behave.then("the only move brought a host to the service")
def check_only_move(context):
    assert [target for *_, target in context.world.moves] == ["a"], context.world.moves


@behave.when("a wave requests the upkeep of all hosts within {seconds:g} s, {at_once:d} at once")
@jobs_steps.paused
async def request_wave(context, seconds, at_once):
    context.world.request_wave(jobsite.wave(1, context.world.hosts, seconds, at_once))


@behave.given("the answer to the first order of upkeep is lost")
def lose_upkeep_answer(context):
    context.world.lost_upkeep_answers = 1


@behave.given("the first order of upkeep is lost")
def lose_upkeep(context):
    context.world.lost_upkeeps = 1


@behave.given("every host of the service runs a task")
@jobs_steps.paused
async def occupy_hosts(context):
    context.world.default_work = (1000.0, fleetview.RunOutcome.DONE)
    # More than half of a host, so that each has one, and the pool needs no further host.
    step = jobs.Step(count=len(context.world.minions), cpu_millis=9000, memory_mb=100)
    await jobs_steps.submit(context, 1, (step,), "e0")
    await asyncio.sleep(1.0)


@behave.when("the tasks end {later_s:g} s after the first host went down")
@jobs_steps.paused
async def end_tasks(context, later_s):
    async def check():
        return bool(context.world.upkeeps)

    await jobs_steps.wait_until(5, check, "upkeeps")
    await asyncio.sleep(later_s)
    for minion in context.world.minions.values():
        for run in minion.runs.values():
            run.ends_s = jobs_steps.get_time_s()


@behave.given("reports of waves fail")
def fail_reports(context):
    context.world.reports_fail = True


@behave.when("all hosts have had their upkeep within {seconds:g} s")
@jobs_steps.paused
async def wait_for_upkeep(context, seconds):
    async def check():
        return set(context.world.upkeeps) == set(context.world.hosts) or context.world.upkeeps

    await jobs_steps.wait_until(seconds, check, "upkeeps")
    await asyncio.sleep(context.world.upkeep_duration_s)


@behave.when("the holder of the fleet is killed, and reports of waves succeed again")
@jobs_steps.paused
async def kill_fleet(context):
    await context.site.kill(context.site.holder_of("*fleet"))
    context.world.reports_fail = False


@behave.then("within {seconds:g} s the wave is reported as done")
@jobs_steps.paused
async def check_wave(context, seconds):
    async def check():
        names = [name for name, runs in context.world.running.items() if runs]
        context.most_unavailable = max(getattr(context, "most_unavailable", 0), 4 - len(names))
        return (1, True) in context.world.reported_waves or context.world.upkeeps

    await jobs_steps.wait_until(seconds, check, "upkeeps")
    assert sorted(context.world.upkeeps) == sorted(context.world.hosts), context.world.upkeeps


@behave.then("at most {most:d} of the long-running tasks was ever unavailable")
def check_unavailable(context, most):
    assert context.most_unavailable <= most, context.most_unavailable


@behave.then("no order for a host was refused")
def check_refused(context):
    assert not context.world.refused_orders, context.world.refused_orders


@behave.then("no bound of the hosts was broken")
def check_bounds(context):
    jobs_steps.check_no_violations(context)


@behave.given(
    "a step of {count:d} long-running tasks on 2 workers, of which {most:d} may be unavailable"
)
def place_long_running(context, count, most):
    step = jobs.Step(count=count, may_miss=most, **LONG_RUNNING)
    job = jobsite.job(1, (step,))
    context.job_registry = registry.JobRegistry(1)
    record = context.job_registry.add(job, None, 0.0, 0, may_run=False)
    context.workers = {}
    for number in range(2):
        facts = fleetview.WorkerFacts(
            fleetview.Incarnation(f"w{number}", 1),
            "a",
            f"h{number}",
            "",
            "z",
            "r",
            frozenset(),
            9,
            9,
            0,
        )
        context.workers[facts.incarnation] = fleetview.Worker(facts, heard_s=10.0)
    workers = list(context.workers.values())
    for index, task in enumerate(record.iterate_tasks()):
        context.job_registry.adopt(record, task, workers[index % 2], 1, 0.0)
        task.percent = 100


@behave.when("one of the workers has been silent for {seconds:g} s")
def silence_worker(context, seconds):
    next(iter(context.workers.values())).heard_s = 10.0 - seconds


@behave.then("no task of the other worker may be stopped")
def check_stay(context):
    other = list(context.workers.values())[1]
    simulated = simulation.PlacementSimulation(context.workers.values(), policy.Advice())
    stopped = evacuation.ClosedHosts().choose_evacuated(
        other, context.workers, context.job_registry, simulated, 10.0
    )
    assert not stopped, stopped


def paid_hosts(context):
    hosts = context.world.hosts.values()
    return sum(fields["pool"] != context.world.spare for fields in hosts)


@behave.step("no work arrives for {seconds:g} s")
@jobs_steps.paused
async def rest(context, seconds):
    await asyncio.sleep(seconds)


@behave.then("at most {most:d} hosts are paid for")
def check_paid(context, most):
    assert paid_hosts(context) <= most, context.world.hosts


@behave.then("within {seconds:g} s at most {most:d} hosts are paid for")
@jobs_steps.paused
async def check_paid_within(context, seconds, most):
    async def check():
        return paid_hosts(context) <= most or paid_hosts(context)

    await jobs_steps.wait_until(seconds, check, "paid hosts")


@behave.when("jobs for {hosts:d} hosts arrive every second for {seconds:d} s")
@jobs_steps.paused
async def burst(context, hosts, seconds):
    context.world.default_work = (1.0, fleetview.RunOutcome.DONE)
    step = jobs.Step(count=8, cpu_millis=2000, memory_mb=100, estimate_ms=1000)
    context.most_paid = 0
    for second in range(seconds):
        for number in range(hosts):
            await jobs_steps.submit(context, 100 + second * hosts + number, (step,), "e0")
        for _ in range(10):
            await asyncio.sleep(0.1)
            context.most_paid = max(context.most_paid, paid_hosts(context))


@behave.then("at least {hosts:d} hosts were in the pool at some time")
def check_most(context, hosts):
    assert context.most_paid >= hosts, context.most_paid


@behave.when("the holder of the fleet is stopped gracefully while hosts move")
@jobs_steps.paused
async def stop_fleet(context):
    name = context.site.holder_of("*fleet")
    await context.site.stop(name)


@behave.given(
    "a wave of {count:d} hosts with {most:d} at once, of which {down:d} are down by an earlier "
    "holder's order"
)
def plan_wave(context, count, most, down):
    hosts = [f"h{number}" for number in range(count)]
    row = upkeep.WaveRow(number=1, began_ms=0)
    context.plan = upkeep.WavePlan(jobsite.wave(1, hosts, 20.0, most), row)
    context.hosts_down = set(hosts[:down])
    context.candidates = [
        upkeep.Candidate(host, is_off=False, idle_s=9.0, long_running_count=0, cpu_millis=0)
        for host in hosts[down:]
    ]


@behave.given(
    "a wave of {count:d} hosts with {most:d} at once, of which {moving:d} move and 1 is in "
    "another wave's upkeep"
)
def plan_wave_while_moving(context, count, most, moving):
    plan_wave(context, count, most, moving + 1)
    states = [rebalancing.HostState.MOVING] * moving + [rebalancing.HostState.UPKEEP]
    states += [rebalancing.HostState.UP] * (count - len(states))
    views = [
        rebalancing.HostView(f"h{number}", "a", state, "z", "r", 1000)
        for number, state in enumerate(states)
    ]
    context.hosts_down = upkeep.find_hosts_down(views, set())


@behave.then("only {count:d} host goes down, though all others idle")
@behave.then("only {count:d} hosts go down, though all others idle")
def check_chosen(context, count):
    # More hosts may be evacuated ahead, but only these go down.
    chosen = context.plan.choose(context.candidates, context.hosts_down, 1_000, 2.0)
    taken_down = [host for host in chosen if context.plan.try_begin(host, context.hosts_down, 1.0)]
    assert len(taken_down) == count, taken_down


@behave.given("a planner for hosts of {cores:d} cores")
def make_planner(context, cores):
    context.size = cores * 1000
    context.planner = rebalancing.Planner()


@behave.when("a pool runs {running:g} and has {waiting:g} waiting, each task for {seconds:g} s")
def plan_once(context, running, waiting, seconds):
    report = calls.DemandReport(
        cpu_running=int(running * context.size),
        cpu_waiting=int(waiting * context.size),
        cpu_long_running=0,
        waiting_ms=int(seconds * 1000),
        arrived_core_ms=0,
        min_hosts=0,
        host_cpu_millis=context.size,
        hosts={},
    )
    view = rebalancing.HostView("h", "spare", rebalancing.HostState.UP, "z", "r", context.size)
    context.planner.plan([view], {"a": report}, set(), "spare", 0.0)


@behave.then("it needs {hosts:d} hosts")
def check_needed(context, hosts):
    assert context.planner.wanted_hosts["a"] == hosts, context.planner.wanted_hosts


@behave.given('bursts in pools "{names}" that begin every {seconds:g} s')
def make_bursts(context, names, seconds):
    context.forecaster = bursts.BurstForecaster()
    context.gap_s = seconds
    observe_bursts(
        context.forecaster,
        [(index * seconds, name) for index, name in enumerate(names.split(", "))],
    )


def observe_bursts(forecaster, begins):
    pools = {pool for _, pool in begins}
    for begins_s, pool in begins:
        for other in sorted(pools):
            need = 5.0 if other == pool else 0.2
            forecaster.observe(other, need, need, begins_s)


@behave.then('after the fourth burst the next is forecast for pool "{pool}" within 1 s of its time')
def check_forecast(context, pool):
    forecast = context.forecaster.forecast(3 * context.gap_s + 1)
    assert forecast is not None and forecast.pools == (pool,), forecast
    assert abs(forecast.begins_s - 4 * context.gap_s) <= 1, forecast


@behave.then("with bursts at {times} s none is forecast")
def check_no_forecast(context, times):
    forecaster = bursts.BurstForecaster()
    starts = [float(text) for text in times.replace(" and", ",").split(",") if text.strip()]
    observe_bursts(forecaster, list(zip(starts, "abcd", strict=False)))
    assert forecaster.forecast(starts[-1] + 1) is None


def make_facts(number, born_ms=1):
    return fleetview.WorkerFacts(
        fleetview.Incarnation(f"w{number}", born_ms),
        "a",
        f"h{number}",
        "",
        "z",
        "r",
        frozenset(),
        9000,
        900,
        0,
    )


@behave.given(
    "a holder that took over with workers at {count:d} hosts and tasks that may run anywhere"
)
def take_over(context, count):
    context.scheduler = scheduler.Scheduler(2, lease_expiry_s=6.0, now_s=0.0, is_takeover=True)
    job = jobsite.job(1, (jobs.Step(count=2, cpu_millis=1000),))
    context.scheduler.registry.add(job, None, 0.0, 0, may_run=True)
    context.listed = [make_facts(number) for number in range(count)]


@behave.when("the worker at the first host {says}, and the other one is silent")
def report_first(context, says):
    incarnations = [(facts.incarnation, facts.host) for facts in context.listed]
    if "earlier life" in says:
        # The earlier holder used a newer incarnation than the list shows yet.
        incarnations[0] = (fleetview.Incarnation("w0", 5), "h0")
    context.scheduler.update_workers(context.listed, 0.0)
    context.scheduler.expect_incarnations(incarnations)
    if says == "is silent too":
        return
    running = (
        (fleetview.ReportedRun(f"{1:016x}.0.0.0", 65537, "", 0, 0.0),) if "a task" in says else ()
    )
    report = fleetview.WorkerReport(context.listed[0].incarnation, 0, 0.5, 0.6, running, ())
    context.scheduler.apply_report(report)


@behave.then("the first host is {given} and the other one is kept")
def check_given(context, given):
    released = [context.scheduler.evacuate_host(host, 1.0, only_idle=True) for host in ("h0", "h1")]
    assert released == [given == "given", False], released


@behave.given("a job just ended at all its hosts, and none of them is released")
@jobs_steps.paused
async def keep_hosts(context):
    context.world.default_work = (4.0, fleetview.RunOutcome.DONE)
    step = jobs.Step(count=3, cpu_millis=16_000, memory_mb=100, estimate_ms=4000)
    job = await jobs_steps.submit(context, 1, (step,), "e0")
    done = jobs_steps.has_state(context, job, "succeeded")
    await jobs_steps.wait_until(6, done, "states")
    hosts = context.world.hosts.items()
    context.spare = {host for host, fields in hosts if fields["pool"] == "spare"}
    for service, _ in context.site.entries.values():
        forward = service.job_router.handle_call

        async def answer(call, forward=forward):
            if isinstance(call, calls.EvacuateHost):
                return calls.Reply(status=calls.Status.IN_PROGRESS)
            return await forward(call)

        service.job_router.handle_call = answer
        held = service.lease_manager.get_holder("a")
        if held is not None:
            held.scheduler.evacuate_host = lambda *args, **kwargs: False


@behave.given("none of its hosts is released")
@jobs_steps.paused
async def refuse_release(context):
    await asyncio.sleep(1.0)
    context.requests = collections.defaultdict(list)

    def refuse(host, now_s, *, only_idle=False):
        if not only_idle:
            context.requests[host].append(now_s)
        return False

    for service, _ in context.site.entries.values():
        if (held := service.lease_manager.get_holder("a")) is not None:
            held.scheduler.evacuate_host = refuse


@behave.then(
    "in {seconds:g} s a host that is requested in vain for {limit:g} s is left alone for"
    " {rest:g} s"
)
@jobs_steps.paused
async def check_rests(context, seconds, limit, rest):
    await asyncio.sleep(seconds)
    assert context.requests
    for requested_s in context.requests.values():
        begun_s = requested_s[0]
        for before, after in itertools.pairwise(requested_s):
            begun_s = after if after - before >= rest else begun_s
            assert after - begun_s <= limit + 0.5, (begun_s, after)


@behave.when("work for {hosts:d} hosts of another service waits for {seconds:g} s")
@jobs_steps.paused
async def demand_hosts(context, hosts, seconds):
    report = calls.DemandReport(
        cpu_running=0,
        cpu_waiting=hosts * context.world.cpu_millis,
        cpu_long_running=0,
        waiting_ms=1000,
        arrived_core_ms=0,
        min_hosts=0,
        host_cpu_millis=context.world.cpu_millis,
        hosts={},
    )
    call = calls.ReportDemand(service="*fleet", pool="b", epoch=1, report=report)
    for _ in range(int(seconds / 0.1)):
        for service, _ in context.site.entries.values():
            if (held := service.lease_manager.get_holder("*fleet")) is not None:
                await held.handle_call(call)
        await asyncio.sleep(0.1)


@behave.then("the {count:d} hosts that were spare moved to the other service")
def check_spare_moved(context, count):
    moved = {host for _, host, _, target in context.world.moves if target == "b"}
    assert len(context.spare) == count and moved == context.spare, (context.spare, moved)


@behave.then("at least {count:d} hosts moved within {seconds:g} s of the start")
def check_soon(context, count, seconds):
    moved_s = [ordered_s - context.started_s for ordered_s, *_ in context.world.moves]
    soon_s = [after_s for after_s in moved_s if 0 <= after_s <= seconds]
    assert len(soon_s) >= count, moved_s


@behave.given('a move out of pool "{pool}" is declared to cost {cost:g} s of a host')
def declare_cost(context, pool, cost):
    text = f"""
    [pools.{pool}]
    wanted_workers = 2
    worker_cores = 16
    worker_memory_gb = 64
    move_cost = {cost}
    idle_worker_hour_cost = 3600.0
    [services.{pool}]
    pool = "{pool}"
    wanted_minions = 2
    """
    declared = declarations.from_toml({"set.toml": text})
    context.planner.costs = queues.build_queue_set(declared, 1).host_costs


@behave.when('a host of pool "{pool}" idles for {idle_s:g} s')
def idle_host(context, pool, idle_s):
    plan_idle(context, pool, idle_s)


@behave.when('a host of pool "{pool}" idles for {idle_s:g} s, and pool "{other}" {tells} its need')
def idle_host_beside(context, pool, idle_s, other, tells):
    plan_idle(context, pool, idle_s, is_complete=tells == "tells")


def plan_idle(context, pool, idle_s, **fields):
    hosts = {"h0": calls.HostLoad(cpu_millis=4000), "h1": calls.HostLoad(idle_s=idle_s)}
    report = calls.DemandReport(
        cpu_running=4000,
        cpu_waiting=0,
        cpu_long_running=0,
        waiting_ms=0,
        arrived_core_ms=0,
        min_hosts=1,
        host_cpu_millis=context.size,
        hosts=hosts,
    )
    views = [
        rebalancing.HostView(host, pool, rebalancing.HostState.UP, "z", "r", context.size)
        for host in hosts
    ]
    context.moves = context.planner.plan(views, {pool: report}, set(), "spare", 1.0, **fields)


@behave.then("the idle host is {what}")
def check_idle_host(context, what):
    targets = [(move.host, move.target) for move in context.moves]
    assert targets == ([("h1", "spare")] if what == "put away" else []), targets


@behave.given("a wave of {count:d} hosts within {seconds:g} s, {most:d} at once")
def plan_timed_wave(context, count, seconds, most):
    hosts = [f"h{number}" for number in range(count)]
    row = upkeep.WaveRow(number=1, began_ms=0)
    context.plan = upkeep.WavePlan(jobsite.wave(1, hosts, seconds, most), row)


@behave.given(
    "{slow:d} of them hold {tasks:d} long-running tasks each, of which {budget:d} in all may be"
    " away for {away:g} s at once"
)
def set_slow_hosts(context, slow, tasks, budget, away):
    hosts = context.plan.wave.hosts
    context.budget, context.away_s = budget, away
    context.tasks = {host: tasks if number < slow else 0 for number, host in enumerate(hosts)}
    context.candidates = [
        upkeep.Candidate(
            host,
            is_off=False,
            idle_s=None if context.tasks[host] else 5.0,
            long_running_count=context.tasks[host],
            cpu_millis=100 * context.tasks[host],
        )
        for host in hosts
    ]


@behave.then("each host goes down within {seconds:g} s, and at most {most:d} are down at once")
def replay_wave(context, seconds, most):
    plan, upkeep_s, step_s = context.plan, 2.0, 0.1
    down_until_s, away_until_s, late = {}, [], {}
    for number in range(int(2 * seconds / step_s)):
        now_s = number * step_s
        away_until_s = [until_s for until_s in away_until_s if until_s > now_s]
        for host in [host for host, until_s in down_until_s.items() if now_s >= until_s]:
            del down_until_s[host], plan.down_since_s[host]
        candidates = [each for each in context.candidates if each.host not in plan.row.done]
        for host in plan.choose(candidates, set(down_until_s), int(now_s * 1000), upkeep_s):
            plan.clearing_since_s[host] = now_s
        for host in list(plan.clearing_since_s):
            if context.tasks[host]:
                if len(away_until_s) < context.budget:
                    away_until_s.append(now_s + context.away_s)
                    context.tasks[host] -= 1
            elif plan.try_begin(host, set(down_until_s), now_s):
                del plan.clearing_since_s[host]
                plan.row.done.add(host)
                down_until_s[host] = now_s + upkeep_s
                if now_s > seconds:
                    late[host] = now_s
        assert len(down_until_s) <= most, down_until_s
    assert plan.row.done == set(plan.wave.hosts) and not late, late
