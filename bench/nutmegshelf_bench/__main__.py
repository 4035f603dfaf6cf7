"""Run all benches, or those named."""

import argparse
import importlib
import pkgutil

import nutmegshelf_bench
from nutmegshelf_bench import figures


def _main() -> None:
    for module in pkgutil.iter_modules(nutmegshelf_bench.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"nutmegshelf_bench.{module.name}")
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("names", nargs="*", help=f"among {', '.join(sorted(figures.BENCHES))}")
    given = parser.parse_args()
    print(f"seed {given.seed}", flush=True)
    for name in given.names or sorted(figures.BENCHES):
        figures.BENCHES[name](given.seed)


_main()
