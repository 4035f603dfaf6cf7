"""The command-line interface for nutmegshelf operators."""

__version__ = "0.1.0"
