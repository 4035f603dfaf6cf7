"""Ask entries that have not heard of the newest configuration."""

import asyncio

import behave
from nutmegshelf import exceptions
from nutmegshelf_entry import histograms, job_handler, job_metrics

from features import jobsite
from features.steps import jobs_steps

UNKNOWN_PATH = "/not-known/"


class Exchange:
    """Be a request without a body, and keep its answer."""

    method = "GET"

    def __init__(self, target):
        self.target = target

    def get_header(self, name):
        return b"x" if name == b"host" else None

    async def respond(self, status, headers, body):
        self.answer = status, dict(headers).get(b"nutmegshelf-error", b"").decode()


class Codec:
    def get_timeout_s(self, exchange):
        return None


async def ask(context, name, target):
    service, _ = context.site.entries[name]
    metrics = job_metrics.JobMetrics(histograms.Histograms())
    exchange = Exchange(target)
    await job_handler.JobHandler(
        service.active_queues, Codec(), service.job_router, metrics
    ).handle(exchange)
    return exchange.answer


@behave.when("entry {number:d} hears nothing of the operators for {seconds:g} s")
@jobs_steps.paused
async def deafen(context, number, seconds):
    context.site.cut_from_operators.add(f"e{number}")
    await asyncio.sleep(seconds)


@behave.when("entry {number:d} hears of the operators again")
@jobs_steps.paused
async def hear(context, number):
    context.site.cut_from_operators.discard(f"e{number}")
    await asyncio.sleep(1.5)


@behave.then('a request for an unknown path is answered {status:d} "{kind}" at entry {number:d}')
@jobs_steps.paused
async def check_unknown(context, status, kind, number):
    found = await ask(context, f"e{number}", UNKNOWN_PATH)
    assert found == (status, kind), found


@behave.then('a request for an unknown path is answered {status:d} "{kind}" at the holder')
@jobs_steps.paused
async def check_unknown_at_holder(context, status, kind):
    found = await ask(context, context.site.holder_of("a"), UNKNOWN_PATH)
    assert found == (status, kind), found


@behave.when('the holder hears nothing of the operators and queue "{name}" is added')
@jobs_steps.paused
async def add_unheard(context, name):
    context.site.cut_from_operators.add(context.site.holder_of("a"))
    found = jobsite.queue(), jobsite.queue(name)
    context.world.declare(jobsite.declare(*found, version=2))
    await asyncio.sleep(0.1)


@behave.when('a job of queue "{name}" is submitted at an entry that is not the holder')
@jobs_steps.paused
async def submit_new(context, name):
    holder = context.site.holder_of("a")
    entry = next(one for one in context.site.entries if one != holder)
    steps = jobs_steps.parse_steps("1")
    await jobs_steps.submit(context, 1, steps, entry, queue=jobsite.queue(name))


@behave.when(
    'an entry that is not the holder hears nothing of the operators and queue "{name}" is dropped'
)
@jobs_steps.paused
async def drop_unheard(context, name):
    holder = context.site.holder_of("a")
    context.behind = next(one for one in context.site.entries if one != holder)
    context.made = await jobs_steps.submit(context, 1, jobs_steps.parse_steps("1"), holder)
    context.site.cut_from_operators.add(context.behind)
    context.world.declare(jobsite.declare(jobsite.queue("other"), version=2))
    await asyncio.sleep(0.1)


@behave.when('a job is {call} in queue "q" at that entry')
@jobs_steps.paused
async def call_behind(context, call):
    service, _ = context.site.entries[context.behind]
    made, queue = context.made, jobsite.queue()
    context.error = None
    try:
        match call:
            case "submitted":
                await service.job_router.submit(jobsite.job(2, jobs_steps.parse_steps("1")))
            case "shown":
                await service.job_router.get_state(queue, made.job)
            case "cancelled":
                await service.job_router.cancel(queue, made.job)
            case "counted":
                await service.job_router.count_pending(queue)
    except exceptions.RequestError as error:
        context.error = error


@behave.then('it is answered {status:d} "{kind}"')
def check_refused(context, status, kind):
    assert context.error is not None, "answered with success"
    found = context.error.response.status, context.error.kind.value
    assert found == (status, kind), found


@behave.when(
    "a job's answer is lost at an entry that is not the holder, whose queue is then dropped"
)
@jobs_steps.paused
async def lose_answer(context):
    holder = context.site.holder_of("a")
    context.behind = next(one for one in context.site.entries if one != holder)
    view = context.site.views[context.behind]
    # The holder can't be asked, and the table's answer is lost.
    net, context.site.net.services = context.site.net.services, {}
    view.lost_answers = 1
    kind = None
    try:
        await jobs_steps.submit(context, 2, jobs_steps.parse_steps("1"), context.behind)
    except exceptions.RequestError as error:
        kind = error.kind
    assert kind is exceptions.ErrorKind.JOB_UNSETTLED, kind
    context.site.net.services = net
    context.site.cut_from_operators.add(context.behind)
    context.world.declare(jobsite.declare(jobsite.queue("other"), version=2))
    await asyncio.sleep(0.1)


@behave.when("the same job is submitted at that entry")
@jobs_steps.paused
async def submit_again(context):
    service, _ = context.site.entries[context.behind]
    context.error = None
    try:
        await service.job_router.submit(jobsite.job(2, jobs_steps.parse_steps("1")))
    except exceptions.RequestError as error:
        context.error = error
