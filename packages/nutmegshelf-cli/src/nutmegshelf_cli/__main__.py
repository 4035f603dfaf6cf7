"""Let `python -m nutmegshelf_cli` start the command line."""

from nutmegshelf_cli import main

main.run()
