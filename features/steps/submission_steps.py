"""Steps that run submissions through orders of events."""

import behave
from nutmegshelf_standins import clock

from features import submission_orders

# The fake table's log grows with each order, so that a site serves only so many.
ORDERS_PER_SITE = 40


def run(context, orders, gap_turns):
    for start in range(0, len(orders), ORDERS_PER_SITE):
        batch = orders[start : start + ORDERS_PER_SITE]
        context.contradictions += [
            f"{gap_turns} turns apart: {contradiction}"
            for contradiction in clock.run(submission_orders.run_orders(batch, gap_turns))
        ]


@behave.when(
    "a submission meets all orders of {length:d} events, "
    "{low:d} to {high:d} turns of the loop apart"
)
def run_all(context, length, low, high):
    context.contradictions = []
    for gap_turns in range(low, high + 1):
        run(context, submission_orders.list_orders(length), gap_turns)


@behave.when(
    "a submission meets {count:d} random orders of {length:d} events, "
    "{low:d} to {high:d} turns of the loop apart"
)
def run_random(context, count, length, low, high):
    context.contradictions = []
    gaps = range(low, high + 1)
    for gap_turns in gaps:
        orders = context.rng.sample(submission_orders.list_orders(length), count // len(gaps))
        run(context, orders, gap_turns)


@behave.then("no caller's answer is contradicted")
def check_answers(context):
    assert not context.contradictions, "\n".join(context.contradictions)
