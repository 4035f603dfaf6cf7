"""Let `python -m nutmegshelf_entry` start the daemon."""

from nutmegshelf_entry import main

main.run()
