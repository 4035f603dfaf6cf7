"""Stand in for the platform, the minions and the callers in tests, the demo and the bench."""
