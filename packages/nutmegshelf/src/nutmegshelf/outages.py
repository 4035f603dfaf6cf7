"""Decide when callers come back that were refused because the table does not answer.

Load pattern: an outage of seconds meets a burst, and each refused caller gives up after its own
time limit. Told to come back later than that, all of them are lost; told to come back at once, they
add to the load.
"""

# Share of a caller's time limit after which it comes back, so that it has two more attempts.
_RETRY_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 5.0


def get_retry_after_s(timeout_s: float) -> float:
    """Return after how long a caller with a time limit comes back."""
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, _RETRY_SHARE * timeout_s))
