"""Pace filling tasks so that the serving tasks beside them meet their latency targets.

Load pattern: on one worker some tasks serve users within a latency target, others use the remaining
CPU. How much they slow one another down depends on what they run and changes within seconds.
"""

from nutmegshelf import fleetview

# A serving task's tail latency, as a fraction of its target, above which the filling tasks beside
# it are slowed down, and below which they are sped up again.
_SLOW_DOWN_ABOVE = 0.85
_SPEED_UP_BELOW = 0.65
_SLOW_DOWN_FACTOR = 0.5
_MIN_PERCENT = 10
_SPEED_UP_STEP_PERCENT = 15
# Tail latencies cover the last half second, so a change shows only after that.
_SETTLE_S = 0.55


def choose_paces(worker: fleetview.Worker, now_s: float) -> dict[fleetview.Task, int]:
    """Return the new paces in percent for the tasks of a worker whose pace changes."""
    filling = [
        task
        for task in worker.tasks.values()
        if task.step.fills and task.phase is fleetview.Phase.RUNNING
    ]
    if not filling or now_s - worker.pace_set_s < _SETTLE_S:
        return {}
    latency_ratio = max(
        (
            task.tail_latency_ms / task.step.target_ms
            for task in worker.tasks.values()
            if task.step.target_ms and not task.step.fills
        ),
        default=0.0,
    )
    new_paces: dict[fleetview.Task, int] = {}
    for task in filling:
        percent = _get_next_percent(task.pace_percent, latency_ratio)
        if percent != task.pace_percent:
            new_paces[task] = percent
    return new_paces


def _get_next_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio > _SLOW_DOWN_ABOVE:
        slower = int(percent * _SLOW_DOWN_FACTOR)
        return slower if slower >= _MIN_PERCENT else 0
    if latency_ratio < _SPEED_UP_BELOW:
        return min(100, percent + _SPEED_UP_STEP_PERCENT)
    return percent
