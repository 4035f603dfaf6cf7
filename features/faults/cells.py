"""Run one cell of the matrix on fresh faked hosts."""

from features import hosts
from features.faults import control_cells, fleet_cells, matrix, request_cells

_MINIONS = 6
_ENTRIES = 2
ALL_STEPS = (
    matrix.REQUEST_STEPS + matrix.CONFIGURATION_STEPS + matrix.MEMBERSHIP_STEPS + matrix.FLEET_STEPS
)


def run(cell: matrix.Cell, seed: int) -> list[str]:
    """Run a cell for every kind of request that it applies to; give the broken promises."""
    if cell.step in matrix.FLEET_STEPS:
        return _run_fleet(cell, seed)
    if cell.step not in matrix.REQUEST_STEPS:
        return _run_on_hosts(seed, lambda site: control_cells.run(site, cell))
    broken = []
    for kind in request_cells.REQUEST_KINDS:
        if request_cells.is_applicable(cell, kind):
            found = _run_on_hosts(seed, lambda site, kind=kind: request_cells.run(site, cell, kind))
            broken += [f"{kind}: {what}" for what in found]
    return broken


def _run_fleet(cell, seed):
    more = fleet_cells.DECLARATION_FILES
    with hosts.hosts(seed, minions=_MINIONS, more_files=more) as (site, run_on_loop):
        fleet_cells.register_workers(site)
        return run_on_loop(fleet_cells.run(site, cell))


def _run_on_hosts(seed, drive):
    with hosts.hosts(seed, minions=_MINIONS) as (site, run_on_loop):
        run_on_loop(site.start(_ENTRIES))
        return run_on_loop(drive(site))
