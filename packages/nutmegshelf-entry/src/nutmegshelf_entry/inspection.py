"""Answer operators' calls from a holder's memory."""

import collections
import collections.abc

import msgspec
from nutmegshelf import audit, calls, ids, rebalancing, scheduler, upkeep, views

# Operators are shown no more jobs of a service than this.
_MOST_SHOWN = 200


def inspect_service(
    call: calls.Inspect,
    held: scheduler.Scheduler,
    decisions: audit.DecisionLog,
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
            found = [views.make_job_view(held, record, now_s) for record in ordered[:_MOST_SHOWN]]
        case calls.View.JOB if (record := records.get(call.job)) is not None:
            found = views.make_job_detail(held, record, decisions, now_s)
        case calls.View.JOB:
            return calls.Reply(status=calls.Status.UNKNOWN_JOB)
        case calls.View.QUEUES:
            found = views.make_queue_views(held)
        case calls.View.POOLS:
            found = [views.make_pool_view(held, call.service, now_s)]
        case calls.View.HOLDERS:
            found = [holder]
        case _:
            found = []
    return _reply(found)


def inspect_fleet(
    call: calls.Inspect,
    hosts: collections.abc.Iterable[rebalancing.HostView],
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
        down=len(plan.down_since_s),
        at_once=plan.wave.max_concurrent,
        is_finished=plan.row.is_finished,
    )


def _reply(found: object) -> calls.Reply:
    return calls.Reply(status=calls.Status.DONE, payload=msgspec.json.encode(found))
