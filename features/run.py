"""Run all features, print the seed, pass over known red scenarios and count the rest."""

import argparse
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import sys

from behave import configuration, model, runner

_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def read_known_failures() -> set[str]:
    """Read the names of scenarios that are known to fail: lines that start with "test:"."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def list_scenarios(features: list[model.Feature]) -> list[model.Scenario]:
    """Give every scenario, those of outlines and rules too."""
    return [scenario for feature in features for scenario in feature.walk_scenarios()]


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Ask for every scenario whose number has this remainder."""

    seed: int
    paths: tuple[str, ...]
    tags: str
    number: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """Hold what came of one shard."""

    passed: int
    failed: tuple[str, ...]
    known_failures: tuple[str, ...]
    hook_errors: int


def _describe(scenario: model.Scenario) -> str:
    messages = [step.error_message for step in scenario.all_steps if step.error_message]
    return "\n".join([f"{scenario.name} ({scenario.location})", *messages])


def run_shard(shard: Shard) -> ShardResult:
    """Run one share of the scenarios in this process."""
    arguments = [*shard.paths, "--format", "progress", "--no-capture", "--no-summary"]
    arguments += ["--define", f"seed={shard.seed}"]
    arguments += ["--define", f"shard={shard.number}/{shard.count}"]
    if shard.tags:
        arguments += ["--tags", shard.tags]
    config = configuration.Configuration(arguments, load_config=False)
    tests = runner.Runner(config)
    tests.run()
    found = [one for one in list_scenarios(tests.features) if one.status.name not in _NOT_RUN]
    wrong = [one for one in found if one.status.name != "passed"]
    excused = read_known_failures()
    return ShardResult(
        passed=len(found) - len(wrong),
        failed=tuple(_describe(one) for one in wrong if one.name not in excused),
        known_failures=tuple(_describe(one) for one in wrong if one.name in excused),
        hook_errors=getattr(tests, "hook_failures", 0),
    )


def run(seed: int, paths: tuple[str, ...], tags: str, jobs: int) -> int:
    """Run the features and give the exit code."""
    print(f"seed {seed}", flush=True)
    shards = [Shard(seed, paths, tags, number, jobs) for number in range(jobs)]
    if jobs == 1:
        tallies = [run_shard(shards[0])]
    else:
        context = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
            tallies = list(pool.map(run_shard, shards))
    for tally in tallies:
        for name in tally.failed:
            print(f"failed: {name}")
        for name in tally.known_failures:
            print(f"known red: {name}")
    passed = sum(tally.passed for tally in tallies)
    failed = sum(len(tally.failed) + tally.hook_errors for tally in tallies)
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


_NOT_RUN = frozenset({"skipped", "untested"})


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--tags", default="not @soak")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("paths", nargs="*", default=["features"])
    given = parser.parse_args()
    sys.exit(run(given.seed, tuple(given.paths), given.tags, given.jobs))


if __name__ == "__main__":
    _main()
