"""Inject random faults into a simulated pool; afterwards every long-running task has to run."""

import dataclasses

import hypothesis
import hypothesis.stateful
from hypothesis import strategies
from nutmegshelf import fleetview, jobs, orders

from features import jobsite, standstill

_HOSTS = 4
_STEPS = 16
# Time for the last faults to take effect, then time without any fault.
_SETTLING_S = 2.0
_QUIET_S = 14.0
# Longest allowed wait while a worker has room; a move to another host takes less.
_MAX_WAIT_S = 6.0
_DRAIN_S = 3.0

_hosts = strategies.sampled_from([f"h{number}" for number in range(_HOSTS)])
_times_s = strategies.sampled_from([0.3, 1.0, 2.5, 6.0])
_kinds = strategies.sampled_from([orders.StartRun, orders.StopRun])
_reported_fates = strategies.sampled_from([standstill.MUTE, standstill.LOST, standstill.LATE])
_unreported_fates = strategies.sampled_from([standstill.UNTOLD, standstill.DROPPED])


class ReportedFaults(hypothesis.stateful.RuleBasedStateMachine):
    """Faults of a pool where the outcome of every order is reported, though sometimes late."""

    def __init__(self):
        super().__init__()
        self.pool = standstill.Pool(_HOSTS)
        self.pool.submit(_make_long_running(6))
        self.pool.advance(2)

    def _worker(self, host):
        return self.pool.workers.get(host)

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def ask_evacuation(self, host, for_s):
        """Request the evacuation of a host for a while."""
        self.pool.evacuations[host] = self.pool.now_s + for_s

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def hide(self, host, for_s):
        """Omit a worker from the fleet list for a while."""
        if self._worker(host) is not None:
            self._worker(host).unlisted_until_s = self.pool.now_s + for_s

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def make_unresponsive(self, host, for_s):
        """Let a worker not answer for a while."""
        worker = self._worker(host)
        if worker is not None:
            worker.is_unresponsive = True
            self.pool.call_later(for_s, lambda: setattr(worker, "is_unresponsive", False))

    @hypothesis.stateful.rule(host=_hosts, for_s=_times_s)
    def crash(self, host, for_s):
        """End a worker at once, and start its next incarnation after a while."""
        if self.pool.workers.pop(host, None) is not None:
            self.pool.call_later(for_s, lambda: self.pool.restart_worker(host))

    @hypothesis.stateful.rule(host=_hosts)
    def drain(self, host):
        """Drain a worker and start its next incarnation afterwards."""
        worker = self._worker(host)
        if worker is None or worker.facts.is_draining:
            return
        worker.facts = dataclasses.replace(
            worker.facts, is_draining=True, left_ms=int(_DRAIN_S * 1000)
        )

        def end():
            if self._worker(host) is worker:
                self.pool.restart_worker(host)

        self.pool.call_later(_DRAIN_S, end)

    @hypothesis.stateful.rule(host=_hosts, which=strategies.integers(0, 5))
    def fail(self, host, which):
        """Fail a run."""
        worker = self._worker(host)
        if worker is not None and worker.runs:
            names = sorted(worker.runs)
            worker.end(names[which % len(names)], fleetview.RunOutcome.FAILED)

    @hypothesis.stateful.rule(count=strategies.integers(1, 8), took_s=_times_s)
    def submit_short(self, count, took_s):
        """Submit short tasks."""
        took_ms = int(took_s * 1000)
        self.pool.submit(
            jobs.Step(count=count, cpu_millis=4000, memory_mb=1000, estimate_ms=took_ms)
        )

    @hypothesis.stateful.rule()
    def take_over(self):
        """Replace the holder."""
        self.pool.start_next_epoch()

    @hypothesis.stateful.rule(kind=_kinds, fate=_reported_fates)
    def delay(self, kind, fate):
        """Let the next order get no answer."""
        self.pool.fates[kind].append(fate)

    @hypothesis.stateful.rule(for_s=_times_s)
    def wait(self, for_s):
        """Advance the simulation."""
        self.pool.advance(for_s)

    def teardown(self):
        """Check that every long-running task runs after a time without faults."""
        self.pool.advance(_SETTLING_S)
        for fates in self.pool.fates.values():
            fates.clear()
        self.pool.advance(_QUIET_S)
        for task, since_s in self.pool.waiting_since_s.items():
            waited_s = self.pool.now_s - since_s
            assert waited_s < _MAX_WAIT_S, f"{waited_s:.1f} s: {self.pool.describe(task)}"


class UnreportedFaults(ReportedFaults):
    """Faults of a pool where the outcome of some orders is never reported."""

    @hypothesis.stateful.rule(kind=_kinds, fate=_unreported_fates)
    def drop(self, kind, fate):
        """Let the outcome of the next order never be reported."""
        self.pool.fates[kind].append(fate)


class MaintenanceFaults(ReportedFaults):
    """Faults of a pool with spare hosts, long-running jobs, a planner and a maintenance wave."""

    def __init__(self):
        super().__init__()
        self.pool = standstill.Pool(_HOSTS, spare=2)
        self.pool.submit(_make_long_running(6))
        self.pool.advance(2)
        self.pool.start_planning()

    @hypothesis.stateful.rule(memory_gb=strategies.sampled_from([13, 31, 60]))
    def submit_long_running(self, memory_gb):
        """Submit another long-running job."""
        step = _make_long_running(4, memory_gb=memory_gb, cores=2)
        if len([job for job in self.pool.jobs.values() if job.is_long_running]) < 3:
            self.pool.submit(step)

    @hypothesis.stateful.precondition(lambda self: self.pool.wave is None)
    @hypothesis.stateful.rule(hosts=strategies.sets(_hosts, min_size=1), at_once=_times_s)
    def ask_wave(self, hosts, at_once):
        """Start a maintenance wave."""
        self.pool.start_planning(jobsite.wave(1, sorted(hosts), 20.0, 1 + int(at_once > 1)))


def _make_long_running(count, memory_gb=13, cores=7.7):
    return jobs.Step(
        count=count,
        cpu_millis=int(cores * 1000),
        memory_mb=memory_gb * standstill.GB,
        long_running=True,
        may_miss=1,
    )


MACHINES = {"reported": ReportedFaults, "unreported": UnreportedFaults, "waves": MaintenanceFaults}


def check(machine, seed, examples, *, shrinks=False):
    """Run random histories, and raise with the first that leaves a task waiting.

    With `shrinks` set, the history is reduced before.
    """
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
