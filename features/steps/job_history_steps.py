"""Steps that run random histories of jobs and faults."""

import asyncio
import random

import behave
from nutmegshelf_standins import clock

from features import jobhistories


@behave.then("{count:d} random histories of jobs, the {part} ones, violate no guarantee")
def run_histories(context, count, part):
    for number in range(count):
        seed = f"{context.seed}:{part}:{number}"
        history = jobhistories.History(random.Random(seed))
        # The fakes start tasks that wait for the clock, and a violation must not leave them behind.
        with asyncio.Runner(loop_factory=clock.SimulatedTimeLoop) as runner:
            violations = runner.run(history.run())
        events = "\n".join(history.events[-60:])
        assert not violations, f"seed {seed}: {violations[:5]}\n{events}"
