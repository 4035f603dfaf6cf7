"""Register the benchmarks and print their results."""

import collections.abc
import dataclasses
import statistics

Bench = collections.abc.Callable[[int], None]

BENCHES: dict[str, Bench] = {}


def register(name: str) -> collections.abc.Callable[[Bench], Bench]:
    """Return a decorator that registers a benchmark; it is called with the seed."""

    def add(bench: Bench) -> Bench:
        BENCHES[name] = bench
        return bench

    return add


def report(name: str, value: float, unit: str) -> None:
    """Print a result as a line of name, value and unit."""
    print(f"{name} {value:.6g} {unit}", flush=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LinearFit:
    """A line fitted through results by size, with its greatest relative error."""

    slope: float
    intercept: float
    max_relative_error: float


def fit_line(
    sizes: collections.abc.Sequence[float], values: collections.abc.Sequence[float]
) -> LinearFit:
    """Return the least-squares line through the values by size."""
    line = statistics.linear_regression(sizes, values)
    errors = [
        abs(line.slope * size + line.intercept - value) / value
        for size, value in zip(sizes, values, strict=True)
    ]
    return LinearFit(line.slope, line.intercept, max(errors))


def report_spread(name: str, values: collections.abc.Sequence[float], unit: str) -> None:
    """Print the median, minimum and maximum of repeated measurements."""
    report(name, statistics.median(values), unit)
    report(f"{name}.min", min(values), unit)
    report(f"{name}.max", max(values), unit)
