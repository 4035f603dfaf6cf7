"""Make workers answer late or not at all for a while."""

import asyncio

import behave

from features.steps import jobs_steps


@behave.when("after {seconds:g} s each worker answers polls {delay:g} s late for {length:g} s")
@jobs_steps.paused
async def delay_polls(context, seconds, delay, length):
    await asyncio.sleep(seconds)
    for minion in context.world.minions.values():
        minion.poll_delay_s = delay
    await asyncio.sleep(length)
    for minion in context.world.minions.values():
        minion.poll_delay_s = 0.0


@behave.when("after {seconds:g} s each worker is silent for {length:g} s")
@jobs_steps.paused
async def silence(context, seconds, length):
    await asyncio.sleep(seconds)
    for minion in context.world.minions.values():
        minion.is_unresponsive = True
    await asyncio.sleep(length)
    for minion in context.world.minions.values():
        minion.is_unresponsive = False
