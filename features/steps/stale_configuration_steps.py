"""Steps that call entries whose configuration is older than the newest one."""

import asyncio

import behave
from nutmegshelf import exceptions
from nutmegshelf_entry import histograms, job_handler, job_metrics

from features import jobsite
from features.steps import jobs_steps

UNKNOWN_PATH = "/not-known/"


class Exchange:
    """A request without a body, which records its response."""

    method = "GET"
    is_over_limit = False

    def __init__(self, target):
        self.target = target

    def get_header(self, name):
        return b"x" if name == b"host" else None

    async def respond(self, status, headers, body):
        self.response = status, dict(headers).get(b"nutmegshelf-error", b"").decode()


class Codec:
    def get_request_id(self, exchange):
        return None

    def get_timeout_s(self, exchange):
        return None


async def send_request(context, name, target):
    service, _ = context.site.entries[name]
    metrics = job_metrics.JobMetrics(histograms.Histograms())
    exchange = Exchange(target)
    await job_handler.JobHandler(
        service.active_queues, Codec(), service.job_router, metrics
    ).handle(exchange)
    return exchange.response


@behave.when("entry {number:d} is disconnected from the operators for {seconds:g} s")
@jobs_steps.paused
async def disconnect_from_operators(context, number, seconds):
    context.site.cut_from_operators.add(f"e{number}")
    await asyncio.sleep(seconds)


@behave.when("entry {number:d} is connected to the operators again")
@jobs_steps.paused
async def reconnect_to_operators(context, number):
    context.site.cut_from_operators.discard(f"e{number}")
    await asyncio.sleep(1.5)


@behave.then('a request for an unknown path is answered {status:d} "{kind}" at entry {number:d}')
@jobs_steps.paused
async def check_unknown(context, status, kind, number):
    response = await send_request(context, f"e{number}", UNKNOWN_PATH)
    assert response == (status, kind), response


@behave.then('a request for an unknown path is answered {status:d} "{kind}" at the holder')
@jobs_steps.paused
async def check_unknown_at_holder(context, status, kind):
    response = await send_request(context, context.site.holder_of("a"), UNKNOWN_PATH)
    assert response == (status, kind), response


@behave.when('the holder is disconnected from the operators and queue "{name}" is added')
@jobs_steps.paused
async def add_queue_unseen_by_holder(context, name):
    context.site.cut_from_operators.add(context.site.holder_of("a"))
    declared = jobsite.queue(), jobsite.queue(name)
    context.world.declare(jobsite.declare(*declared, version=2))
    await asyncio.sleep(0.1)


@behave.when('a job of queue "{name}" is submitted at an entry that is not the holder')
@jobs_steps.paused
async def submit_to_added_queue(context, name):
    holder = context.site.holder_of("a")
    entry = next(other for other in context.site.entries if other != holder)
    steps = jobs_steps.parse_steps("1")
    await jobs_steps.submit(context, 1, steps, entry, queue=jobsite.queue(name))


@behave.when(
    'an entry that is not the holder is disconnected from the operators and queue "{name}" is'
    " removed"
)
@jobs_steps.paused
async def remove_queue_unseen(context, name):
    holder = context.site.holder_of("a")
    context.stale_entry = next(other for other in context.site.entries if other != holder)
    context.made = await jobs_steps.submit(context, 1, jobs_steps.parse_steps("1"), holder)
    context.site.cut_from_operators.add(context.stale_entry)
    context.world.declare(jobsite.declare(jobsite.queue("other"), version=2))
    await asyncio.sleep(0.1)


@behave.when('a job is {call} in queue "q" at that entry')
@jobs_steps.paused
async def call_stale_entry(context, call):
    service, _ = context.site.entries[context.stale_entry]
    job, queue = context.made, jobsite.queue()
    context.error = None
    try:
        match call:
            case "submitted":
                await service.job_router.submit(jobsite.job(2, jobs_steps.parse_steps("1")))
            case "queried":
                await service.job_router.get_state(queue, job.job)
            case "cancelled":
                await service.job_router.cancel(queue, job.job)
            case "counted":
                await service.job_router.count_pending(queue)
    except exceptions.RequestError as error:
        context.error = error


@behave.then('it is answered {status:d} "{kind}"')
def check_refused(context, status, kind):
    assert context.error is not None, "answered with success"
    response = context.error.response.status, context.error.kind.value
    assert response == (status, kind), response


@behave.when(
    "the answer to a submission at an entry that is not the holder is lost and its queue removed"
)
@jobs_steps.paused
async def lose_answer_and_remove_queue(context):
    holder = context.site.holder_of("a")
    context.stale_entry = next(other for other in context.site.entries if other != holder)
    view = context.site.views[context.stale_entry]
    # The entry can't call the holder, and the table's answer is lost.
    services, context.site.net.services = context.site.net.services, {}
    view.lost_answers = 1
    kind = None
    try:
        await jobs_steps.submit(context, 2, jobs_steps.parse_steps("1"), context.stale_entry)
    except exceptions.RequestError as error:
        kind = error.kind
    assert kind is exceptions.ErrorKind.JOB_UNSETTLED, kind
    context.site.net.services = services
    context.site.cut_from_operators.add(context.stale_entry)
    context.world.declare(jobsite.declare(jobsite.queue("other"), version=2))
    await asyncio.sleep(0.1)


@behave.when("the same job is submitted at that entry")
@jobs_steps.paused
async def submit_again(context):
    service, _ = context.site.entries[context.stale_entry]
    context.error = None
    try:
        await service.job_router.submit(jobsite.job(2, jobs_steps.parse_steps("1")))
    except exceptions.RequestError as error:
        context.error = error
