"""Benchmarks of nutmegshelf; each prints its results as lines of name, value and unit."""
