"""Simulated platform, minions and callers for tests, the demo and the benchmarks."""
