"""Decide whether a start without an answer may still be carried out by a later incarnation.

A start that got no answer may be carried out seconds later. While its worker lives, a stop bars it.
A worker that has started again under its id knows of no stop, so the start is carried out there
unless a call with a higher fencing token comes first. Waiting for each such start would delay many
tasks for a rare failure, but restarts come in series: for a while after a worker of a service has
started again under its id, the tasks of its starts without an answer start nowhere else.

This decides for workers that answer; `leaselimits` does for those that don't.
"""

from nutmegshelf import fleetview, leaselimits

# A long-running task waits no longer than this, as its users wait for it. A lease that a later
# incarnation grants at once has expired by then.
_MAX_LONG_RUNNING_DELAY_S = 6.5
# After a restart, others may follow for this long.
_RESTART_PERIOD_S = 30.0


class LateStarts:
    """The restarts of one service's workers, and the starts that may arrive after another one."""

    def __init__(self) -> None:
        self._restarted_s: float | None = None

    def record_restart(self, now_s: float) -> None:
        """Record that a worker of the service has started again under its id."""
        self._restarted_s = now_s

    def may_arrive(self, task: fleetview.Task, now_s: float) -> bool:
        """Return whether a task has to wait for a start without an answer."""
        if task.phase is not fleetview.Phase.UNCONFIRMED or task.step.speculative:
            return False
        if self._restarted_s is None or now_s - self._restarted_s > _RESTART_PERIOD_S:
            return False
        is_long_running = task.step.long_running
        limit_s = _MAX_LONG_RUNNING_DELAY_S if is_long_running else leaselimits.MAX_DELAY_S
        return now_s < task.sent_s + limit_s
