"""Give each scenario its own seeded randomness and event loop."""

import asyncio
import itertools
import logging
import random

from nutmegshelf_entry import logs

_LIMIT_S = 60


async def _limited(work):
    async with asyncio.timeout(_LIMIT_S):
        return await work


def before_all(context):
    context.seed = int(context.config.userdata.get("seed", 7))
    number, _, count = context.config.userdata.get("shard", "0/1").partition("/")
    context.shard = int(number), int(count)
    context.scenario_numbers = itertools.count()
    logs.configure(context.config.userdata.get("log", "critical"))
    # Hosts that were killed leave spans open, as a killed process would.
    logging.getLogger("opentelemetry").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    number, count = context.shard
    is_ours = next(context.scenario_numbers) % count == number
    if not is_ours:
        scenario.skip()
    context.rng = random.Random(f"{context.seed}:{scenario.name}")
    context.runner = asyncio.Runner()
    context.run = lambda work: context.runner.run(_limited(work))
    context.cleanup = []


def after_scenario(context, scenario):
    for end in reversed(context.cleanup):
        context.run(end())
    context.runner.close()
