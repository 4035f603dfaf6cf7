"""Give each scenario its own seeded randomness and event loop."""

import asyncio
import random

from nutmegshelf_entry import logs

_LIMIT_S = 60


async def _limited(work):
    async with asyncio.timeout(_LIMIT_S):
        return await work


def before_all(context):
    context.seed = int(context.config.userdata.get("seed", 7))
    logs.configure("critical")


def before_scenario(context, scenario):
    context.rng = random.Random(f"{context.seed}:{scenario.name}")
    context.runner = asyncio.Runner()
    context.run = lambda work: context.runner.run(_limited(work))
    context.cleanup = []


def after_scenario(context, scenario):
    for end in reversed(context.cleanup):
        context.run(end())
    context.runner.close()
