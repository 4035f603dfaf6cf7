"""Let hypothesis disturb a played pool; once it is calm, each task that is to last runs."""

import dataclasses

import hypothesis
import hypothesis.stateful
from hypothesis import strategies
from nutmegshelf import fleetview, jobs, orders

from features import jobsite, standstill

_HOSTS = 4
_STEPS = 16
# Time for what was asked for last to take effect, then without any disturbance.
_LAST_S = 2.0
_CALM_S = 14.0
# No task waits for longer beside room for it; a move to another host takes less.
_MOST_S = 6.0
_DRAIN_S = 3.0

_hosts = strategies.sampled_from([f"h{number}" for number in range(_HOSTS)])
_times_s = strategies.sampled_from([0.3, 1.0, 2.5, 6.0])
_kinds = strategies.sampled_from([orders.StartRun, orders.StopRun])
_told = strategies.sampled_from([standstill.MUTE, standstill.LOST, standstill.LATE])
_untold = strategies.sampled_from([standstill.UNTOLD, standstill.DROPPED])


class Told(hypothesis.stateful.RuleBasedStateMachine):
    """Disturb a pool whose orders' outcomes are all told, though some of them late."""

    def __init__(self):
        super().__init__()
        self.pool = standstill.Pool(_HOSTS)
        self.pool.submit(_lasting(6))
        self.pool.play(2)

    def _worker(self, host):
        return self.pool.workers.get(host)

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def ask_for(self, host, for_s):
        """Ask for a host for a while."""
        self.pool.asked[host] = self.pool.now_s + for_s

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def leave_out(self, host, for_s):
        """Leave a worker out of the list for a while."""
        if self._worker(host) is not None:
            self._worker(host).unlisted_until_s = self.pool.now_s + for_s

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def silence(self, host, for_s):
        """Have a worker not answer for a while."""
        worker = self._worker(host)
        if worker is not None:
            worker.is_dark = True
            self.pool.later(for_s, lambda: setattr(worker, "is_dark", False))

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def begin_anew(self, host, for_s):
        """Have a worker end at once, and begin a later life after a while."""
        if self.pool.workers.pop(host, None) is not None:
            self.pool.later(for_s, lambda: self.pool.begin_life_again(host))

    @hypothesis.stateful.rule(host=_hosts)
    def drain(self, host):
        """Have a worker drain and begin a later life afterwards."""
        worker = self._worker(host)
        if worker is None or worker.facts.is_draining:
            return
        worker.facts = dataclasses.replace(
            worker.facts, is_draining=True, left_ms=int(_DRAIN_S * 1000)
        )

        def leave():
            if self._worker(host) is worker:
                self.pool.begin_life_again(host)

        self.pool.later(_DRAIN_S, leave)

    @hypothesis.stateful.rule(host=_hosts, which=strategies.integers(0, 5))
    def fail(self, host, which):
        """Have a run fail."""
        worker = self._worker(host)
        if worker is not None and worker.runs:
            names = sorted(worker.runs)
            worker.end(names[which % len(names)], fleetview.RunOutcome.FAILED)

    @hypothesis.stateful.rule(count=strategies.integers(1, 8), took_s=_times_s)
    def submit_short(self, count, took_s):
        """Have short tasks take room."""
        took_ms = int(took_s * 1000)
        self.pool.submit(
            jobs.Step(count=count, cpu_millis=4000, memory_mb=1000, estimate_ms=took_ms)
        )

    @hypothesis.stateful.rule()
    def take_over(self):
        """Have a later holder take over."""
        self.pool.take_over()

    @hypothesis.stateful.rule(kind=_kinds, fate=_told)
    def delay(self, kind, fate):
        """Have the next order go without an answer."""
        self.pool.fates[kind].append(fate)

    @hypothesis.stateful.rule(for_s=_times_s)
    def wait(self, for_s):
        """Let time pass."""
        self.pool.play(for_s)

    def teardown(self):
        """Check that all runs once it is calm."""
        self.pool.play(_LAST_S)
        for fates in self.pool.fates.values():
            fates.clear()
        self.pool.play(_CALM_S)
        for task, since_s in self.pool.waits.items():
            waited_s = self.pool.now_s - since_s
            assert waited_s < _MOST_S, f"{waited_s:.1f} s: {self.pool.explain(task)}"


class Untold(Told):
    """Disturb a pool where the outcome of some orders is never told."""

    @hypothesis.stateful.rule(kind=_kinds, fate=_untold)
    def drop(self, kind, fate):
        """Have the next order go without a word."""
        self.pool.fates[kind].append(fate)


class Waves(Told):
    """Disturb a pool with spare hosts, two jobs that last, a planner and a wave of upkeep."""

    def __init__(self):
        super().__init__()
        self.pool = standstill.Pool(_HOSTS, spare=2)
        self.pool.submit(_lasting(6))
        self.pool.play(2)
        self.pool.plan_hosts()

    @hypothesis.stateful.rule(memory_gb=strategies.sampled_from([13, 31, 60]))
    def submit_lasting(self, memory_gb):
        """Take in another job that lasts."""
        step = _lasting(4, memory_gb=memory_gb, cores=2)
        if len([one for one in self.pool.jobs.values() if one.is_long_running]) < 3:
            self.pool.submit(step)

    @hypothesis.stateful.precondition(lambda self: self.pool.wave is None)
    @hypothesis.stateful.rule(hosts=strategies.sets(_hosts, min_size=1), at_once=_times_s)
    def ask_wave(self, hosts, at_once):
        """Ask for a wave of upkeep."""
        self.pool.plan_hosts(jobsite.wave(1, sorted(hosts), 20.0, 1 + int(at_once > 1)))


def _lasting(count, memory_gb=13, cores=7.7):
    return jobs.Step(
        count=count,
        cpu_millis=int(cores * 1000),
        memory_mb=memory_gb * standstill.GB,
        long_running=True,
        may_miss=1,
    )


MACHINES = {"told": Told, "untold": Untold, "waves": Waves}


def check(machine, seed, examples, *, shrinks=False):
    """Run histories; raises with one after which a task does not run, the shortest if asked."""
    phases = [hypothesis.Phase.generate, *([hypothesis.Phase.shrink] if shrinks else [])]
    hypothesis.stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(MACHINES[machine]),
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=_STEPS,
            phases=phases,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
