"""Start the daemon with `python -m nutmegshelf_entry`."""

from nutmegshelf_entry import main

main.run()
