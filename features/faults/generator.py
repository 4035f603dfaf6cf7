"""Generate the feature file of the fault matrix, and docs/FAULTS.md from a run of all cells."""

import argparse
import concurrent.futures
import multiprocessing
import pathlib
import sys

from nutmegshelf_entry import logs

from features.faults import cells, matrix

FEATURE_FILE = pathlib.Path("features/fault_matrix.feature")
PAGE_FILE = pathlib.Path("docs/FAULTS.md")
_PROCESS_COUNT = 4
_GUARANTEES = {
    **dict.fromkeys(
        matrix.REQUEST_STEPS,
        "one complete response to its own caller; a non-idempotent request runs at most once; "
        "a request refused as not-run did not run; a final response in time",
    ),
    **dict.fromkeys(
        matrix.CONFIGURATION_STEPS,
        "accepted once; in force at every live entry within 6 s if the entry can learn of it; "
        "no entry reverts to an older version",
    ),
    **dict.fromkeys(
        matrix.FLEET_STEPS,
        "each host is in one pool; the budget holds; the due worker is drained once and "
        "maintained; each task runs once",
    ),
    "join": "the entry or another one serves after the fault has ended",
    "leave": "the request in progress completes; the entry ends",
}


def render_feature() -> str:
    """Return the feature text: one outline per step, one example per fault."""
    lines = ["# Written by `make faults` from the tables in features/faults/matrix.py."]
    lines += ["Feature: Every fault at every step", ""]
    for step in cells.ALL_STEPS:
        lines += [
            f"  Scenario Outline: <fault> at {step}",
            f'    When "<fault>" strikes at the step "{step}"',
            "    Then every guarantee holds",
            "",
            "    Examples:",
            "      | fault |",
        ]
        faults = [cell.fault for cell in matrix.make_cells((step,)) if not cell.skip_reason]
        lines += [f"      | {fault} |" for fault in faults] + [""]
    return "\n".join(lines)


def _run_cell(cell_and_seed: tuple[matrix.Cell, int]) -> list[str]:
    logs.configure("critical")
    cell, seed = cell_and_seed
    try:
        return cells.run(cell, seed)
    except Exception as error:
        return [repr(error)]


def write_page(seed: int) -> int:
    """Run all cells, write the page, and return the number of cells that are not proved."""
    all_cells = matrix.make_cells(cells.ALL_STEPS)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(_PROCESS_COUNT, mp_context=context) as pool:
        results = pool.map(_run_cell, [(cell, seed) for cell in all_cells if not cell.skip_reason])
        violations_by_executed = {
            (executed_cell.step, executed_cell.fault): next(results)
            for executed_cell in all_cells
            if not executed_cell.skip_reason
        }
    violations_by_cell = {
        cell: violations for cell, violations in violations_by_executed.items() if violations
    }
    PAGE_FILE.write_text(_render_page(all_cells, violations_by_cell, seed))
    for (step, fault), violations in violations_by_cell.items():
        print(f"not proved: {step} | {fault} | {'; '.join(violations)}")
    print(
        f"{len(violations_by_executed) - len(violations_by_cell)} proved,"
        f" {len(violations_by_cell)} not proved"
    )
    return len(violations_by_cell)


def _render_page(
    all_cells: list[matrix.Cell], violations_by_cell: dict[tuple[str, str], list[str]], seed: int
) -> str:
    lines = [
        "# Fault matrix",
        "",
        f"Written by `make faults SEED={seed}` from a run with seed {seed}. Each cell runs whole",
        "entries, minions and the platform on simulated hosts in simulated time (see",
        "[how failures are tested](design/fakes.md)), injects the fault at the step, reverts it,",
        "and checks from outside. Request cells run for idempotent, unkeyed and keyed requests.",
        "",
    ]
    for step in cells.ALL_STEPS:
        lines += [f"## {step}", "", f"Guarantee: {_GUARANTEES[step]}.", "", "| fault | verdict |"]
        lines.append("| --- | --- |")
        for cell in all_cells:
            if cell.step != step:
                continue
            violations = violations_by_cell.get((cell.step, cell.fault))
            verdict = f"not proved: {'; '.join(violations)}" if violations else "proved"
            if cell.skip_reason:
                verdict = f"does not apply: {cell.skip_reason}"
            lines.append(f"| {cell.fault} | {verdict} |")
        lines.append("")
    return "\n".join(lines)


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--feature-only", action="store_true")
    options = parser.parse_args()
    FEATURE_FILE.write_text(render_feature())
    if not options.feature_only:
        sys.exit(1 if write_page(options.seed) else 0)


if __name__ == "__main__":
    _main()
