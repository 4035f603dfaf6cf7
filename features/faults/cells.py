"""Run one cell of the matrix on fresh faked hosts."""

from features import hosts
from features.faults import control_cells, fleet_cells, path_cells, tables

_MINIONS = 6
_ENTRIES = 2
ALL_STEPS = (
    tables.PATH_STEPS + tables.CONFIGURATION_STEPS + tables.MEMBER_STEPS + tables.FLEET_STEPS
)


def run(cell: tables.Cell, seed: int) -> list[str]:
    """Run a cell for every kind of request that it applies to; give the broken promises."""
    if cell.step in tables.FLEET_STEPS:
        return _run_fleet(cell, seed)
    if cell.step not in tables.PATH_STEPS:
        return _run_on_hosts(seed, lambda site: control_cells.run(site, cell))
    broken = []
    for kind in path_cells.KINDS:
        if path_cells.applies(cell, kind):
            found = _run_on_hosts(seed, lambda site, kind=kind: path_cells.run(site, cell, kind))
            broken += [f"{kind}: {what}" for what in found]
    return broken


def _run_fleet(cell, seed):
    more = fleet_cells.DECLARED
    with hosts.hosts(seed, minions=_MINIONS, more_files=more) as (site, run_on_loop):
        fleet_cells.prepare(site)
        return run_on_loop(fleet_cells.run(site, cell))


def _run_on_hosts(seed, drive):
    with hosts.hosts(seed, minions=_MINIONS) as (site, run_on_loop):
        run_on_loop(site.start(_ENTRIES))
        return run_on_loop(drive(site))
