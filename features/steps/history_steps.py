"""Run random histories."""

import behave

from features import histories


@behave.then("{examples:d} random histories keep every promise")
def check_histories(context, examples):
    histories.check(context.seed, examples)
