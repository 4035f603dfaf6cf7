"""Run cells of the fault matrix, each on new simulated hosts."""

from features import hosts
from features.faults import control_cells, fleet_cells, matrix, request_cells

_MINION_COUNT = 6
_ENTRY_COUNT = 2
ALL_STEPS = (
    matrix.REQUEST_STEPS + matrix.CONFIGURATION_STEPS + matrix.MEMBERSHIP_STEPS + matrix.FLEET_STEPS
)


def run(cell: matrix.Cell, seed: int) -> list[str]:
    """Run a cell for each applicable kind of request and return the violated guarantees."""
    if cell.step in matrix.FLEET_STEPS:
        return _run_fleet(cell, seed)
    if cell.step not in matrix.REQUEST_STEPS:
        return _run_on_hosts(seed, lambda site: control_cells.run(site, cell))
    violations = []
    for kind in request_cells.REQUEST_KINDS:
        if request_cells.is_applicable(cell, kind):
            kind_violations = _run_on_hosts(
                seed, lambda site, kind=kind: request_cells.run(site, cell, kind)
            )
            violations += [f"{kind}: {violation}" for violation in kind_violations]
    return violations


def _run_fleet(cell, seed):
    more_files = fleet_cells.DECLARATION_FILES
    with hosts.hosts(seed, minions=_MINION_COUNT, more_files=more_files) as (site, run_on_loop):
        fleet_cells.register_workers(site)
        return run_on_loop(fleet_cells.run(site, cell))


def _run_on_hosts(seed, run_cell):
    with hosts.hosts(seed, minions=_MINION_COUNT) as (site, run_on_loop):
        run_on_loop(site.start(_ENTRY_COUNT))
        return run_on_loop(run_cell(site))
