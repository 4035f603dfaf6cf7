"""Run all features, print the seed, pass over known red scenarios and count the rest."""

import argparse
import pathlib
import sys

from behave import configuration, model, runner

_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def known_red() -> set[str]:
    """Read the names of scenarios that are known to fail: lines that start with "test:"."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def scenarios(features: list[model.Feature]) -> list[model.Scenario]:
    """Give every scenario, those of outlines and rules too."""
    return [scenario for feature in features for scenario in feature.walk_scenarios()]


def run(seed: int, paths: list[str], tags: str) -> int:
    """Run the features and give the exit code."""
    print(f"seed {seed}", flush=True)
    arguments = [*paths, "--format", "progress", "--no-capture", "--define", f"seed={seed}"]
    if tags:
        arguments += ["--tags", tags]
    config = configuration.Configuration(arguments, load_config=False)
    tests = runner.Runner(config)
    tests.run()
    found = [one for one in scenarios(tests.features) if one.status.name not in _NOT_RUN]
    red = [one for one in found if one.status.name != "passed"]
    excused = known_red()
    failed = [one for one in red if one.name not in excused]
    for one in red:
        word = "known red" if one.name in excused else "failed"
        print(f"{word}: {one.name} ({one.location})")
    broken_hooks = tests.hook_failures if hasattr(tests, "hook_failures") else 0
    passed = len(found) - len(red)
    print(f"{passed} passed, {len(failed) + broken_hooks} failed")
    return 0 if passed and not failed and not broken_hooks else 1


_NOT_RUN = frozenset({"skipped", "untested"})


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--tags", default="not @soak")
    parser.add_argument("paths", nargs="*", default=["features"])
    given = parser.parse_args()
    sys.exit(run(given.seed, given.paths, given.tags))


if __name__ == "__main__":
    _main()
