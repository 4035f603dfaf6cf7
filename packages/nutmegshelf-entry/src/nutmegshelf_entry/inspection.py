"""Answer operators' calls from a holder's memory."""

import collections
import collections.abc

import msgspec
from nutmegshelf import calls, explain, ids, pooling, scheduler, upkeep, views

# Operators are shown no more jobs of a service than this.
_MOST_SHOWN = 200


def of_service(
    call: calls.Inspect,
    held: scheduler.Scheduler,
    decisions: explain.Decisions,
    holder: views.HolderView,
    now_s: float,
) -> calls.Reply:
    """Show what the holder of a service knows."""
    records = held.registry.records
    found: object
    match call.view:
        case calls.View.JOBS:
            # Live jobs go first, as there may be more than are shown.
            ordered = sorted(records.values(), key=lambda one: (not one.is_live, one.ended_s))
            found = [views.job(held, record, now_s) for record in ordered[:_MOST_SHOWN]]
        case calls.View.JOB if (record := records.get(call.job)) is not None:
            found = views.detail(held, record, decisions, now_s)
        case calls.View.JOB:
            return calls.Reply(verdict=calls.Verdict.UNKNOWN_JOB)
        case calls.View.QUEUES:
            found = views.queues_of(held)
        case calls.View.POOLS:
            found = [views.pool(held, call.service, now_s)]
        case calls.View.HOLDERS:
            found = [holder]
        case _:
            found = []
    return _reply(found)


def of_fleet(
    call: calls.Inspect,
    hosts: collections.abc.Iterable[pooling.HostView],
    wanted: dict[ids.ServiceName, int],
    plans: dict[int, upkeep.WavePlan],
    holder: views.HolderView,
) -> calls.Reply:
    """Show what the holder of the fleet knows."""
    match call.view:
        case calls.View.POOLS:
            counts = collections.Counter(view.pool for view in hosts)
            return _reply(
                [
                    views.PoolView(pool=pool, hosts=count, hosts_wanted=wanted.get(pool))
                    for pool, count in counts.items()
                ]
            )
        case calls.View.WAVES:
            return _reply([_wave(plan) for _, plan in sorted(plans.items())])
        case calls.View.HOLDERS:
            return _reply([holder])
        case _:
            return _reply([])


def _wave(plan: upkeep.WavePlan) -> views.WaveView:
    return views.WaveView(
        wave=plan.wave.number,
        hosts=len(plan.wave.hosts),
        done=len(plan.row.done),
        down=len(plan.down),
        at_once=plan.wave.at_once,
        is_finished=plan.row.is_finished,
    )


def _reply(found: object) -> calls.Reply:
    return calls.Reply(verdict=calls.Verdict.DONE, shown=msgspec.json.encode(found))
