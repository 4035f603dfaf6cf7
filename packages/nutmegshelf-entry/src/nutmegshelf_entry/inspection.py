"""Build replies to operators' inspection calls from the state of a lease holder."""

import collections
import collections.abc

import msgspec
from nutmegshelf import audit, calls, ids, rebalancing, scheduler, upkeep, views

# An inspection of the jobs of a service returns at most this many.
_MAX_JOBS_SHOWN = 200


def inspect_service(
    call: calls.Inspect,
    service_scheduler: scheduler.Scheduler,
    decisions: audit.DecisionLog,
    holder: views.HolderView,
    now_s: float,
) -> calls.Reply:
    """Return the requested view of a service, taken from its scheduler."""
    records = service_scheduler.registry.records
    payload: object
    match call.view:
        case calls.View.JOBS:
            # Live jobs go first, as jobs beyond the limit are left out.
            ordered = sorted(
                records.values(),
                key=lambda job_record: (not job_record.is_live, job_record.ended_s),
            )
            payload = [
                views.make_job_view(service_scheduler, record, now_s)
                for record in ordered[:_MAX_JOBS_SHOWN]
            ]
        case calls.View.JOB if (record := records.get(call.job)) is not None:
            payload = views.make_job_detail(service_scheduler, record, decisions, now_s)
        case calls.View.JOB:
            return calls.Reply(status=calls.Status.UNKNOWN_JOB)
        case calls.View.QUEUES:
            payload = views.make_queue_views(service_scheduler)
        case calls.View.POOLS:
            payload = [views.make_pool_view(service_scheduler, call.service, now_s)]
        case calls.View.HOLDERS:
            payload = [holder]
        case _:
            payload = []
    return _make_reply(payload)


def inspect_fleet(
    call: calls.Inspect,
    hosts: collections.abc.Iterable[rebalancing.HostView],
    wanted: dict[ids.ServiceName, int],
    plans: dict[int, upkeep.WavePlan],
    holder: views.HolderView,
) -> calls.Reply:
    """Return the requested view of the fleet: pools, waves or the holder itself."""
    match call.view:
        case calls.View.POOLS:
            counts = collections.Counter(view.pool for view in hosts)
            return _make_reply(
                [
                    views.PoolView(pool=pool, hosts=count, hosts_wanted=wanted.get(pool))
                    for pool, count in counts.items()
                ]
            )
        case calls.View.WAVES:
            return _make_reply([_make_wave_view(plan) for _, plan in sorted(plans.items())])
        case calls.View.HOLDERS:
            return _make_reply([holder])
        case _:
            return _make_reply([])


def _make_wave_view(plan: upkeep.WavePlan) -> views.WaveView:
    return views.WaveView(
        wave=plan.wave.number,
        hosts=len(plan.wave.hosts),
        done=len(plan.row.done),
        down=len(plan.down_since_s),
        at_once=plan.wave.max_concurrent,
        is_finished=plan.row.is_finished,
    )


def _make_reply(payload: object) -> calls.Reply:
    return calls.Reply(status=calls.Status.DONE, payload=msgspec.json.encode(payload))
