"""Measure nutmegshelf and print lines of name, value and unit."""
