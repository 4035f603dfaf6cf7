"""Write the matrix's feature from its tables, and docs/FAULTS.md from a run of all cells."""

import argparse
import concurrent.futures
import multiprocessing
import pathlib
import sys

from nutmegshelf_entry import logs

from features.faults import cells, matrix

FEATURE_FILE = pathlib.Path("features/fault_matrix.feature")
PAGE_FILE = pathlib.Path("docs/FAULTS.md")
_JOBS = 4
_PROMISES = {
    **dict.fromkeys(
        matrix.REQUEST_STEPS,
        "one whole answer to its own caller; a non-idempotent request runs at most once; "
        "not-run never ran; a final answer in time",
    ),
    **dict.fromkeys(
        matrix.CONFIGURATION_STEPS,
        "accepted once; in force at every live entry within 6 s where it can be known; "
        "never backwards",
    ),
    **dict.fromkeys(
        matrix.FLEET_STEPS,
        "a host is in one pool; the budget holds; the due worker is drained once and maintained; "
        "each task runs once",
    ),
    "join": "the entry, or another one, serves once the fault is over",
    "leave": "the request in progress runs out; the entry ends",
}


def render_feature() -> str:
    """Make the feature: an outline a step, an example a fault."""
    lines = ["# Written by `make faults` from the tables in features/faults/matrix.py."]
    lines += ["Feature: Every fault at every step", ""]
    for step in cells.ALL_STEPS:
        lines += [
            f"  Scenario Outline: <fault> at {step}",
            f'    When "<fault>" strikes at the step "{step}"',
            "    Then every promise is kept",
            "",
            "    Examples:",
            "      | fault |",
        ]
        faults = [cell.fault for cell in matrix.make_cells((step,)) if not cell.skip_reason]
        lines += [f"      | {fault} |" for fault in faults] + [""]
    return "\n".join(lines)


def _run_cell(given: tuple[matrix.Cell, int]) -> list[str]:
    logs.configure("critical")
    cell, seed = given
    try:
        return cells.run(cell, seed)
    except Exception as error:
        return [repr(error)]


def write_page(seed: int) -> int:
    """Run every cell and write the page; give the number of cells that are not proved."""
    found = matrix.make_cells(cells.ALL_STEPS)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(_JOBS, mp_context=context) as pool:
        results = pool.map(_run_cell, [(cell, seed) for cell in found if not cell.skip_reason])
        proved = {(c.step, c.fault): next(results) for c in found if not c.skip_reason}
    failed = {cell: broken for cell, broken in proved.items() if broken}
    PAGE_FILE.write_text(_page(found, failed, seed))
    for (step, fault), broken in failed.items():
        print(f"not proved: {step} | {fault} | {'; '.join(broken)}")
    print(f"{len(proved) - len(failed)} proved, {len(failed)} not proved")
    return len(failed)


def _page(found: list[matrix.Cell], failed: dict[tuple[str, str], list[str]], seed: int) -> str:
    lines = [
        "# Fault matrix",
        "",
        f"Written by `make faults SEED={seed}` from a run with seed {seed}. Each cell runs whole",
        "entries, minions and the platform on faked hosts with a paused clock (see",
        "[how failures are tested](design/fakes.md)), strikes when the step is reached, heals,",
        "and checks from outside. Path cells run for idempotent, unkeyed and keyed requests.",
        "",
    ]
    for step in cells.ALL_STEPS:
        lines += [f"## {step}", "", f"Promise: {_PROMISES[step]}.", "", "| fault | verdict |"]
        lines.append("| --- | --- |")
        for cell in found:
            if cell.step != step:
                continue
            broken = failed.get((cell.step, cell.fault))
            verdict = f"not proved: {'; '.join(broken)}" if broken else "proved"
            if cell.skip_reason:
                verdict = f"does not apply: {cell.skip_reason}"
            lines.append(f"| {cell.fault} | {verdict} |")
        lines.append("")
    return "\n".join(lines)


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--feature-only", action="store_true")
    given = parser.parse_args()
    FEATURE_FILE.write_text(render_feature())
    if not given.feature_only:
        sys.exit(1 if write_page(given.seed) else 0)


if __name__ == "__main__":
    _main()
