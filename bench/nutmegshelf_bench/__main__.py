"""Run all benchmarks, or those named on the command line."""

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
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}", flush=True)
    for name in arguments.names or sorted(figures.BENCHES):
        figures.BENCHES[name](arguments.seed)


_main()
