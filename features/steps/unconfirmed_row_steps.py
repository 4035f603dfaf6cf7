"""Steps that answer a writer's transactions one by one, and check what its calls conclude."""

import asyncio

import behave
import msgspec
from nutmegshelf import calls, codecs, exceptions, leases, platform, registry
from nutmegshelf_entry import loading, writer

from features import jobtable
from features.steps import jobs_steps, malformed_row_steps

POOL = "a"
# Longer than the delay until a batch is sent.
PAUSE_S = 0.05


class GatedTable(jobtable.TableClient):
    """A table whose transactions wait until the test decides on them."""

    def __init__(self, table):
        super().__init__(table)
        self.waiting = []

    async def commit(self, transaction):
        decision = asyncio.get_running_loop().create_future()
        self.waiting.append(decision)
        await decision
        return self.table.apply(transaction)


def start_call(context, key, value):
    change = platform.Write(f"rows/{POOL}/{key}", value)
    call = asyncio.ensure_future(context.writer.write_and_wait(change))
    if key == "hosts":
        context.calls.append(call)


@behave.given("a writer whose transactions wait for their answers")
@jobs_steps.paused
async def start_writer(context):
    table = jobtable.Table()
    context.gated, context.calls = GatedTable(table), []
    lease_set = leases.Leases("e0", "i", 1000.0)
    lease_row = table.apply(lease_set.make_acquisition(POOL)).rows[0]
    lease_set.observe_held(lease_row, 0.0)
    context.writer = writer.Writer(context.gated, lease_set, POOL, jobs_steps.get_time_s())
    context.running = asyncio.ensure_future(context.writer.run(registry.JobRegistry(1)))
    await asyncio.sleep(PAUSE_S)


@behave.when('row "{key}" is written and sent')
@jobs_steps.paused
async def send_row(context, key):
    start_call(context, key, b"1")
    await asyncio.sleep(PAUSE_S)


@behave.when('rows "{first}" and "{second}" are written and sent')
@jobs_steps.paused
async def send_rows(context, first, second):
    start_call(context, first, b"1")
    start_call(context, second, b"1")
    await asyncio.sleep(PAUSE_S)


@behave.when('row "{key}" is written again')
@jobs_steps.paused
async def write_again(context, key):
    start_call(context, key, b"2")
    await asyncio.sleep(PAUSE_S)


@behave.when('row "{key}" is written twice before it is sent')
@jobs_steps.paused
async def write_twice(context, key):
    start_call(context, key, b"1")
    start_call(context, key, b"2")
    await asyncio.sleep(PAUSE_S)


@behave.when("the transaction is stored")
@behave.when("the next transaction is stored")
@jobs_steps.paused
async def store(context):
    context.gated.waiting.pop(0).set_result(None)
    await asyncio.sleep(PAUSE_S)


@behave.when("the transaction is refused")
@jobs_steps.paused
async def refuse(context):
    context.gated.waiting.pop(0).set_exception(exceptions.TableRefused("too large"))
    await asyncio.sleep(PAUSE_S)


@behave.when("the writer ends")
@jobs_steps.paused
async def end_writer(context):
    context.running.cancel()
    await asyncio.gather(context.running, return_exceptions=True)
    context.writer.end()
    await asyncio.sleep(PAUSE_S)


@behave.then("none of the calls has returned")
def check_waiting(context):
    assert context.calls
    assert not any(call.done() for call in context.calls), context.calls


@behave.then("both calls have returned and the table has the second value")
def check_stored(context):
    assert [call.done() and call.exception() for call in context.calls] == [None] * 2, context.calls
    assert context.gated.table.read(f"rows/{POOL}/hosts").value == b"2"


@behave.then("the call raises {error}")
@behave.then("each call raises {error}")
def check_raised(context, error):
    raised = [type(call.exception()).__name__ for call in context.calls if call.done()]
    assert raised == [error] * len(context.calls), (raised, context.calls)


CLEAR_CALL = calls.EvacuateHost(service=POOL, host="h1", reason="move", only_idle=True)


@behave.given("its hosts stay in its pool")
@jobs_steps.paused
async def keep_hosts(context):
    declared = context.world.declared
    services = tuple(service for service in declared.services if not service.is_spare)
    context.world.declare(msgspec.structs.replace(declared, version=2, services=services))
    await asyncio.sleep(PAUSE_S)


@behave.when("the entry is cut off from the table")
def cut_off(context):
    context.site.views["e0"].is_partitioned = True


@behave.when("one of its idle hosts is to be cleared")
@jobs_steps.paused
async def clear_host(context):
    holder = malformed_row_steps.get_holder(context)
    context.clearing = asyncio.ensure_future(holder.handle_call(CLEAR_CALL))


@behave.when("the entry is killed after {seconds:g} s")
@jobs_steps.paused
async def kill_entry(context, seconds):
    await asyncio.sleep(seconds)
    assert not context.clearing.done(), context.clearing
    await context.site.kill("e0")
    await asyncio.sleep(PAUSE_S)


@behave.then("the host is not given away")
def check_not_cleared(context):
    assert context.clearing.done(), context.clearing
    assert context.clearing.result().status is calls.Status.IN_PROGRESS, context.clearing


@behave.then("{count:d} tries to clear an idle host within {seconds:g} s give no answer")
@jobs_steps.paused
async def try_to_clear(context, count, seconds):
    service, _ = context.site.entries["e0"]
    replies = [await service.job_router.call_holder(CLEAR_CALL, seconds) for _ in range(count)]
    assert replies == [None] * count, replies


@behave.when("the entry reaches the table again")
@jobs_steps.paused
async def reach(context):
    context.site.views["e0"].is_partitioned = False
    # A transaction that is under way fails first.
    await asyncio.sleep(1.0)


@behave.then(
    'a try to clear an idle host within {seconds:g} s gives "{status}" and its worker is not'
    " stored as used"
)
@jobs_steps.paused
async def clear_idle_host(context, seconds, status):
    service, _ = context.site.entries["e0"]
    reply = await service.job_router.call_holder(CLEAR_CALL, seconds)
    assert reply.status.value == status, reply
    row = context.world.table.read(f"{loading.INCARNATIONS}/{POOL}/lives")
    hosts = {host for _, host in codecs.unpack(row.value, list[tuple[object, str]])}
    assert "h1" not in hosts, hosts


@behave.when("a host joins the service")
@jobs_steps.paused
async def join(context):
    context.world.add_host(POOL, "h9", "r0")
    await asyncio.sleep(0.3)


@behave.then("within {seconds:g} s tasks run at the new host")
@jobs_steps.paused
async def check_new_host(context, seconds):
    (minion,) = [each for each in context.world.minions.values() if each.facts.host == "h9"]

    async def check():
        return bool(minion.runs)

    await jobs_steps.wait_until(seconds, check, "tasks run at the new host")
