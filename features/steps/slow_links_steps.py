"""Check the adapter's calls over a link that carries few bytes a second, or stops."""

import asyncio
import json
import time

import behave
import msgspec
from nutmegshelf import codecs, exceptions, jobs, platform, queues
from nutmegshelf_entry import loading, table
from nutmegshelf_http import server
from nutmegshelf_platform import operators

from features import jobsite, platformsite
from features.steps import platform_steps

KB = 1000
LONGEST_WATCH_S = 1.2
LARGE_KEY = "jobs/a/large"
CONFIG_KEY = "op//config"


@behave.given("the store's answers to small calls are known to be quick")
def learn_times(context):
    platform_steps.write_rows(context, 7)

    async def read():
        for number in range(7):
            await context.store.read(f"jobs/a/k{number}")

    context.run(read())


@behave.given("a row of {size:d} KB")
def write_large(context, size):
    context.platform.write(LARGE_KEY, bytes(size * KB * 3 // 4))


@behave.given("a link of {rate:d} KB a second")
@behave.when("a link of {rate:d} KB a second")
def slow_down(context, rate):
    context.platform.link = platformsite.SlowLink(send_rate_bytes_s=rate * KB)


@behave.given("a link that stops after {size:d} KB")
def stop_midway(context, size):
    context.platform.link = platformsite.SlowLink(stalls_after_bytes=size * KB)


@behave.given("a link that takes {rate:d} KB a second")
def slow_upload(context, rate):
    context.platform.link = platformsite.SlowLink(receive_rate_bytes_s=rate * KB)


@behave.then("the row is read whole")
def check_row(context):
    row = context.run(context.store.read(LARGE_KEY))
    assert row == context.world.table.read(LARGE_KEY), len(row.value)


@behave.then("a read of the row ends with TableUnavailable within {seconds:g} s")
def check_given_up(context, seconds):
    began_s = time.monotonic()
    try:
        context.run(context.store.read(LARGE_KEY))
        found = "no error"
    except exceptions.TableError as error:
        found = type(error).__name__
    took_s = time.monotonic() - began_s
    assert found == "TableUnavailable" and took_s < seconds, (found, took_s)


@behave.then("a commit of {size:d} KB is done")
def check_large_commit(context, size):
    write = platform.Write(LARGE_KEY, bytes(size * KB * 3 // 4))
    done = context.run(context.store.commit(platform.Transaction(writes=(write,))))
    assert done.ok, done


def write_configuration(context):
    """Write the next version, whose unused text takes the room of many queues."""
    context.version = getattr(context, "version", 0) + 1
    config = {**platformsite.CONFIG, "version": context.version, "text": "x" * context.size_bytes}
    context.platform.write(CONFIG_KEY, json.dumps(config).encode())


@behave.given("a configuration of {size:d} KB")
def write_first_configuration(context, size):
    # The store sends values as base64, which takes a third more.
    context.size_bytes = size * KB * 3 // 4
    write_configuration(context)


async def follow(context):
    async for found in operators.watch_operations(context.store):
        if isinstance(found, queues.QueueSet):
            context.in_force = found.version


def start_following(context):
    if not hasattr(context, "follower"):
        context.in_force = 0

        async def start():
            context.follower = asyncio.ensure_future(follow(context))

        async def stop():
            context.follower.cancel()

        context.run(start())
        context.cleanup.append(stop)


@behave.given("an entry that follows it")
def follow_first(context):
    check_in_force(context, 1.0)


@behave.then("the configuration is in force within {seconds:g} s")
@behave.then("the newest configuration is in force within {seconds:g} s")
def check_in_force(context, seconds):
    start_following(context)

    async def wait():
        until_s = time.monotonic() + seconds
        while context.in_force < context.version:
            assert time.monotonic() < until_s, (context.in_force, context.version)
            await asyncio.sleep(0.02)

    context.run(wait())


@behave.when("the store forgets its history and the configuration changes")
def forget(context):
    context.platform.drops_history = True
    write_configuration(context)


@behave.when("the entry is cut off while {count:d} versions are written")
def cut_off(context, count):
    context.platform.fault_responses["/v1/rows-feed"] = (503, {})
    # A call that waits already is still answered.
    context.run(asyncio.sleep(LONGEST_WATCH_S))
    for _ in range(count):
        write_configuration(context)
    context.platform.fault_responses.clear()


@behave.when("a version is written each {gap_s:g} s for {seconds:g} s")
def write_versions(context, gap_s, seconds):
    async def write():
        for _ in range(int(seconds / gap_s)):
            write_configuration(context)
            await asyncio.sleep(gap_s)

    context.run(write())


@behave.given("{count:d} stored jobs of {size:d} KB each")
def store_jobs(context, count, size):
    spec = "s" * (size * KB * 3 // 4)
    made = [jobsite.job(100 + number, (jobs.Step(count=1),)) for number in range(count)]
    context.stored = [msgspec.structs.replace(job, spec=spec) for job in made]
    for job in context.stored:
        context.platform.write(f"jobs/a/{job.job}", codecs.pack(job))


@behave.then("the service is loaded within {seconds:g} s")
def check_loaded(context, seconds):
    async def load():
        async with asyncio.timeout(seconds):
            return await loading.until_read("a", lambda: loading.service(context.store, "a"))

    found = context.run(load())
    stored = {job.job for job in context.stored}
    assert stored <= {job.job for job in found.submitted}, found


@behave.given("the own table behind a link of {rate:d} KB a second")
def start_own_table(context, rate):
    link = platformsite.SlowLink(send_rate_bytes_s=rate * KB)

    async def handle(exchange):
        await link.send(exchange, 200, bytes(context.object_bytes))

    async def start():
        listener = server.Server(handle)
        context.cleanup.append(listener.close)
        context.own_port = await listener.start("127.0.0.1", 0)

    context.run(start())


@behave.then("an object of {size:d} KB is read with a time limit of {limit_s:g} s")
def read_object(context, size, limit_s):
    context.object_bytes = size * KB

    async def read():
        own = table.Table("127.0.0.1", context.own_port, limit_s)
        try:
            return await own.get_object("sets/large")
        finally:
            own.close()

    assert len(context.run(read())) == size * KB
