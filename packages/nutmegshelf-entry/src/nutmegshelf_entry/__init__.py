"""Entry daemon: the reverse proxy and job scheduler between callers and minions."""
