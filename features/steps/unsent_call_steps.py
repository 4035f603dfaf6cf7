"""Steps on calls that wait for a connection or for their turn until they are given up."""

import asyncio
import dataclasses
import socket

import behave
from nutmegshelf import calls, exceptions, orders, window
from nutmegshelf_entry import forwarder
from nutmegshelf_platform import minions, transport

from features import jobsite

BACKLOG_CONNECTIONS = 4


def listen(context, backlog):
    listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    context.sockets = [listener]

    async def close():
        for each in context.sockets:
            each.close()

    context.cleanup.append(close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    return listener


@behave.given("a service whose queue of new connections is full")
def fill_queue(context):
    listener = listen(context, 0)
    for _ in range(BACKLOG_CONNECTIONS):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex(listener.getsockname())
        context.sockets.append(waiting)


@behave.given("a service that accepts connections and never answers")
def accept_only(context):
    listen(context, 16)


@behave.given("a service that refuses connections")
def refuse(context):
    listen(context, 0).close()


@behave.when("a worker there is polled for {seconds:g} s")
def poll(context, seconds):
    facts = jobsite.worker_facts(0, cpu_millis=1000, memory_mb=1000)
    facts = dataclasses.replace(facts, address=context.address)

    async def send():
        try:
            await minions.WorkerClient().poll(
                facts,
                fencing_token=1,
                last_seen=0,
                lease_until_ms=None,
                wait_s=0,
                timeout_s=seconds,
            )
        except exceptions.WorkerError as error:
            context.error = error

    context.run(send())


@behave.then("it counts as {state}")
def check_state(context, state):
    is_absent = isinstance(context.error, exceptions.WorkerAbsent)
    assert is_absent == (state == "absent"), repr(context.error)


@behave.when("a call to it gets no connection in {seconds:g} s")
@behave.when("a call to it gets no answer in {seconds:g} s")
def call(context, seconds):
    async def send():
        client = transport.ServiceClient(context.address)
        try:
            await client.call("POST", "/v1/run-start", {}, timeout=seconds)
        except (transport.RequestNotSent, transport.AnswerLost) as error:
            context.error = error
        finally:
            client.close()

    context.run(send())


@behave.then("it is known not to have been sent")
def check_not_sent(context):
    assert isinstance(context.error, transport.RequestNotSent), repr(context.error)


@behave.then("it may have been carried out")
def check_lost(context):
    assert isinstance(context.error, transport.AnswerLost), repr(context.error)


class SlowWorkers:
    """A client of one worker that answers each start late."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.sent = 0

    async def start(self, facts, order, *, fencing_token, valid_until_ms):
        self.sent += 1
        await asyncio.sleep(self.delay_s)
        return orders.StartAnswer(1)

    def disconnect(self, facts):
        pass


@behave.given("an entry that forwards starts to a worker that answers each one after {delay_s:g} s")
def make_forwarder(context, delay_s):
    context.workers = SlowWorkers(delay_s)
    context.forwarder = forwarder.Forwarder(context.workers, window.Window())
    context.facts = jobsite.worker_facts(0, cpu_millis=1000, memory_mb=1000)
    context.forwarder.update_workers([context.facts])


@behave.when("{count:d} starts for that worker come at once")
def forward(context, count):
    job = jobsite.job(1, ()).job
    incarnation = context.facts.incarnation
    starts = tuple(
        calls.ForwardedStart(incarnation.worker, incarnation.born_ms, f"{job}.0.0.{number}", 1, 1)
        for number in range(count)
    )
    call_made = calls.ForwardStarts(service="a", epoch=1, starts=starts, specs={job: "spec"})
    context.reply = context.run(context.forwarder.forward(call_made))


@behave.then("{count:d} of them are sent, and the others are known not to have been")
def check_forwarded(context, count):
    outcomes = list(context.reply.outcomes)
    assert context.workers.sent == count, (context.workers.sent, outcomes)
    assert outcomes.count(orders.Outcome.TAKEN) == count, outcomes
    assert outcomes.count(orders.Outcome.FULL) == len(outcomes) - count, outcomes
