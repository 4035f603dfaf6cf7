"""Steps that run random histories of requests, faults and publishes."""

import behave

from features import histories


@behave.then("{examples:d} random histories violate no guarantee")
def check_histories(context, examples):
    histories.check(context.seed, examples)
