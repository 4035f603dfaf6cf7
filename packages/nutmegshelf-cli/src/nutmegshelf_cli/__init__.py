"""Give operators a command line."""

__version__ = "0.1.0"
