"""Pace tasks that fill, so that the tasks that serve beside them keep their response times.

Load pattern: on one worker some tasks serve users within a target, others use what is left of the
cores. How much they disturb one another differs by what they run and changes within seconds.
"""

from nutmegshelf import fleetview

# The tail of a serving task, as a part of its target, above which what fills beside it slows down,
# and below which it speeds up again.
_SLOW_ABOVE = 0.85
_FAST_BELOW = 0.65
_SLOW_FACTOR = 0.5
_LEAST_PERCENT = 10
_FAST_STEP_PERCENT = 15
# Figures are for the last half second, so a change shows only after that.
_SETTLE_S = 0.55


def choose_paces(worker: fleetview.Worker, now_s: float) -> dict[fleetview.Task, int]:
    """Give the paces to set at a worker, in percent, for the tasks whose pace changes."""
    filling = [
        task
        for task in worker.tasks.values()
        if task.step.fills and task.phase is fleetview.Phase.RUNNING
    ]
    if not filling or now_s - worker.pace_set_s < _SETTLE_S:
        return {}
    load = max(
        (
            task.tail_latency_ms / task.step.target_ms
            for task in worker.tasks.values()
            if task.step.target_ms and not task.step.fills
        ),
        default=0.0,
    )
    changed: dict[fleetview.Task, int] = {}
    for task in filling:
        percent = _next_percent(task.pace_percent, load)
        if percent != task.pace_percent:
            changed[task] = percent
    return changed


def _next_percent(percent: int, load: float) -> int:
    if load > _SLOW_ABOVE:
        slower = int(percent * _SLOW_FACTOR)
        return slower if slower >= _LEAST_PERCENT else 0
    if load < _FAST_BELOW:
        return min(100, percent + _FAST_STEP_PERCENT)
    return percent
