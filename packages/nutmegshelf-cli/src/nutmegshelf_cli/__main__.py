"""Run the command line with `python -m nutmegshelf_cli`."""

from nutmegshelf_cli import main

main.run()
