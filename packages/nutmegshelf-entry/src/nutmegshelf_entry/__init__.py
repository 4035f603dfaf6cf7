"""Run one entry: the daemon between callers and minions."""
