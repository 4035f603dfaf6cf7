"""Set up an event loop and a seeded random generator for each scenario."""

import asyncio
import itertools
import logging
import random

from nutmegshelf_entry import logs

_TIMEOUT_S = 60


async def _run_with_timeout(coroutine):
    async with asyncio.timeout(_TIMEOUT_S):
        return await coroutine


def before_all(context):
    context.seed = int(context.config.userdata.get("seed", 7))
    shard_number, _, shard_count = context.config.userdata.get("shard", "0/1").partition("/")
    context.shard = int(shard_number), int(shard_count)
    context.scenario_numbers = itertools.count()
    logs.configure(context.config.userdata.get("log", "critical"))
    # Killed hosts leave spans open, as killed processes do; OpenTelemetry reports each of them.
    logging.getLogger("opentelemetry").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    shard_number, shard_count = context.shard
    is_in_shard = next(context.scenario_numbers) % shard_count == shard_number
    if not is_in_shard:
        scenario.skip()
    context.rng = random.Random(f"{context.seed}:{scenario.name}")
    context.runner = asyncio.Runner()
    context.run = lambda coroutine: context.runner.run(_run_with_timeout(coroutine))
    context.cleanup = []


def after_scenario(context, scenario):
    for cleanup in reversed(context.cleanup):
        context.run(cleanup())
    context.runner.close()
