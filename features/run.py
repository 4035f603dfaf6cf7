"""Run the features in parallel and print the seed, the failures and a summary.

Failures of the scenarios that KNOWN-RED.txt names are printed, but not counted as failures.
"""

import argparse
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import sys

from behave import configuration, model, runner

_KNOWN_FAILURES_FILE = pathlib.Path("KNOWN-RED.txt")


def read_known_failures() -> set[str]:
    """Return the names of scenarios known to fail, from the lines that start with "test:"."""
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def list_scenarios(features: list[model.Feature]) -> list[model.Scenario]:
    """Return all scenarios, including those of outlines and rules."""
    return [scenario for feature in features for scenario in feature.walk_scenarios()]


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """The scenarios whose number leaves the remainder `number` when divided by `count`."""

    seed: int
    paths: tuple[str, ...]
    tags: str
    number: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """The results of one shard."""

    passed: int
    failed: tuple[str, ...]
    known_failures: tuple[str, ...]
    hook_errors: int


def _describe_failure(scenario: model.Scenario) -> str:
    messages = [step.error_message for step in scenario.all_steps if step.error_message]
    return "\n".join([f"{scenario.name} ({scenario.location})", *messages])


def run_shard(shard: Shard) -> ShardResult:
    """Run the scenarios of one shard in this process."""
    arguments = [*shard.paths, "--format", "progress", "--no-capture", "--no-summary"]
    arguments += ["--define", f"seed={shard.seed}"]
    arguments += ["--define", f"shard={shard.number}/{shard.count}"]
    if shard.tags:
        arguments += ["--tags", shard.tags]
    config = configuration.Configuration(arguments, load_config=False)
    behave_runner = runner.Runner(config)
    behave_runner.run()
    executed = [
        scenario
        for scenario in list_scenarios(behave_runner.features)
        if scenario.status.name not in _NOT_RUN_STATUSES
    ]
    unsuccessful = [scenario for scenario in executed if scenario.status.name != "passed"]
    known_failures = read_known_failures()
    return ShardResult(
        passed=len(executed) - len(unsuccessful),
        failed=tuple(
            _describe_failure(scenario)
            for scenario in unsuccessful
            if scenario.name not in known_failures
        ),
        known_failures=tuple(
            _describe_failure(scenario)
            for scenario in unsuccessful
            if scenario.name in known_failures
        ),
        hook_errors=getattr(behave_runner, "hook_failures", 0),
    )


def run(seed: int, paths: tuple[str, ...], tags: str, jobs: int) -> int:
    """Run the features in `jobs` processes and return the exit code."""
    print(f"seed {seed}", flush=True)
    shards = [Shard(seed, paths, tags, number, jobs) for number in range(jobs)]
    if jobs == 1:
        results = [run_shard(shards[0])]
    else:
        context = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
            results = list(pool.map(run_shard, shards))
    for result in results:
        for description in result.failed:
            print(f"failed: {description}")
        for description in result.known_failures:
            print(f"known red: {description}")
    passed = sum(result.passed for result in results)
    failed = sum(len(result.failed) + result.hook_errors for result in results)
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


_NOT_RUN_STATUSES = frozenset({"skipped", "untested"})


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--tags", default="not @soak")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("paths", nargs="*", default=["features"])
    options = parser.parse_args()
    sys.exit(run(options.seed, tuple(options.paths), options.tags, options.jobs))


if __name__ == "__main__":
    _main()
