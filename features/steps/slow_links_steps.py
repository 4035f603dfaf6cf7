"""Steps that call the platform adapter over links that are slow or stop in mid-answer."""

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
MAX_WATCH_S = 1.2
LARGE_KEY = "jobs/a/large"
CONFIG_KEY = "op//config"


@behave.given("the store has answered several small calls quickly")
def learn_response_times(context):
    platform_steps.write_rows(context, 7)

    async def read():
        for number in range(7):
            await context.store.read(f"jobs/a/k{number}")

    context.run(read())


@behave.given("a row of {size:d} KB")
def write_large_row(context, size):
    context.platform.write(LARGE_KEY, bytes(size * KB * 3 // 4))


@behave.given("a link of {rate:d} KB/s")
@behave.when("a link of {rate:d} KB/s")
def limit_download(context, rate):
    context.platform.link = platformsite.SlowLink(send_rate_bytes_s=rate * KB)


@behave.given("a link that stops after {size:d} KB")
def stop_midway(context, size):
    context.platform.link = platformsite.SlowLink(stalls_after_bytes=size * KB)


@behave.given("a link that uploads {rate:d} KB/s")
def limit_upload(context, rate):
    context.platform.link = platformsite.SlowLink(receive_rate_bytes_s=rate * KB)


@behave.then("the row is read completely")
def check_row(context):
    row = context.run(context.store.read(LARGE_KEY))
    assert row == context.world.table.read(LARGE_KEY), len(row.value)


@behave.then("a read of the row ends with TableUnavailable within {seconds:g} s")
def check_read_fails(context, seconds):
    began_s = time.monotonic()
    try:
        context.run(context.store.read(LARGE_KEY))
        outcome = "no error"
    except exceptions.TableError as error:
        outcome = type(error).__name__
    took_s = time.monotonic() - began_s
    assert outcome == "TableUnavailable" and took_s < seconds, (outcome, took_s)


@behave.then("a commit of {size:d} KB succeeds")
def check_large_commit(context, size):
    write = platform.Write(LARGE_KEY, bytes(size * KB * 3 // 4))
    committed = context.run(context.store.commit(platform.Transaction(writes=(write,))))
    assert committed.ok, committed


def write_configuration(context):
    """Write the next version, padded with unused text to the size of many queues."""
    context.version = getattr(context, "version", 0) + 1
    config = {**platformsite.CONFIG, "version": context.version, "text": "x" * context.size_bytes}
    context.platform.write(CONFIG_KEY, json.dumps(config).encode())


@behave.given("a configuration of {size:d} KB")
def write_first_configuration(context, size):
    # The store sends values as base64, which is a third longer.
    context.size_bytes = size * KB * 3 // 4
    write_configuration(context)


async def follow(context):
    async for operation in operators.watch_operations(context.store):
        if isinstance(operation, queues.QueueSet):
            context.active_version = operation.version


def start_following(context):
    if not hasattr(context, "follower"):
        context.active_version = 0

        async def start():
            context.follower = asyncio.ensure_future(follow(context))

        async def stop():
            context.follower.cancel()

        context.run(start())
        context.cleanup.append(stop)


@behave.given("an entry that follows it")
def follow_configuration(context):
    check_active(context, 1.0)


@behave.then("the configuration is active within {seconds:g} s")
@behave.then("the newest configuration is active within {seconds:g} s")
def check_active(context, seconds):
    start_following(context)

    async def wait():
        until_s = time.monotonic() + seconds
        while context.active_version < context.version:
            assert time.monotonic() < until_s, (context.active_version, context.version)
            await asyncio.sleep(0.02)

    context.run(wait())


@behave.when("the store forgets its history and the configuration changes")
def forget_history(context):
    context.platform.drops_history = True
    write_configuration(context)


@behave.when("the entry is disconnected while {count:d} versions are written")
def write_while_disconnected(context, count):
    context.platform.fault_responses["/v1/rows-feed"] = (503, {})
    # A watch call that is already waiting is still answered.
    context.run(asyncio.sleep(MAX_WATCH_S))
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
    small_jobs = [jobsite.job(100 + number, (jobs.Step(count=1),)) for number in range(count)]
    context.stored_jobs = [msgspec.structs.replace(job, spec=spec) for job in small_jobs]
    for job in context.stored_jobs:
        context.platform.write(f"jobs/a/{job.job}", codecs.pack(job))


@behave.then("the service is loaded within {seconds:g} s")
def check_loaded(context, seconds):
    async def load():
        async with asyncio.timeout(seconds):
            return await loading.read_with_retries(
                "a", lambda: loading.load_service(context.store, "a")
            )

    loaded = context.run(load())
    stored = {job.job for job in context.stored_jobs}
    assert stored <= {job.job for job in loaded.submitted}, loaded


@behave.given("an object store behind a link of {rate:d} KB/s")
def start_object_store(context, rate):
    link = platformsite.SlowLink(send_rate_bytes_s=rate * KB)

    async def handle(exchange):
        await link.send(exchange, 200, bytes(context.object_bytes))

    async def start():
        listener = server.Server(handle)
        context.cleanup.append(listener.close)
        context.store_port = await listener.start("127.0.0.1", 0)

    context.run(start())


@behave.then("an object of {size:d} KB is read with a time limit of {limit_s:g} s")
def check_object_read(context, size, limit_s):
    context.object_bytes = size * KB

    async def read():
        client = table.PlatformClient("127.0.0.1", context.store_port, limit_s)
        try:
            return await client.get_object("sets/large")
        finally:
            client.close()

    assert len(context.run(read())) == size * KB
