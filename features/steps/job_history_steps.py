"""Steps that run random histories of jobs and faults."""

import asyncio
import random

import behave
from nutmegshelf_standins import clock

from features import jobhistories, movinghistories


@behave.then("{count:d} random histories of jobs, the {part} ones, violate no guarantee")
def run_histories(context, count, part):
    check_histories(context, jobhistories.History, count, part)


@behave.then("{count:d} random histories of queues that move, the {part} ones, lose no job")
def run_moving_histories(context, count, part):
    check_histories(context, movinghistories.MovingHistory, count, f"moving {part}")


def check_histories(context, kind, count, part):
    for number in range(count):
        seed = f"{context.seed}:{part}:{number}"
        history = kind(random.Random(seed))
        # The fakes start tasks that wait for the clock, and a violation must not leave them behind.
        with asyncio.Runner(loop_factory=clock.SimulatedTimeLoop) as runner:
            violations = runner.run(history.run())
        events = "\n".join(history.events[-60:])
        assert not violations, f"seed {seed}: {violations[:5]}\n{events}"
