"""Keep the registry of benches and print their figures."""

import collections.abc
import statistics

Bench = collections.abc.Callable[[int], None]

BENCHES: dict[str, Bench] = {}


def register(name: str) -> collections.abc.Callable[[Bench], Bench]:
    """Add a bench to the registry under its name."""

    def add(bench: Bench) -> Bench:
        BENCHES[name] = bench
        return bench

    return add


def show(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.6g} {unit}", flush=True)


def show_spread(name: str, values: collections.abc.Sequence[float], unit: str) -> None:
    """Print the median of repeated runs and their least and greatest."""
    show(name, statistics.median(values), unit)
    show(f"{name}.min", min(values), unit)
    show(f"{name}.max", max(values), unit)
