"""Define the steps and faults of the fault matrix and the cells that do not apply."""

import dataclasses

REQUEST_STEPS = (
    "accept",
    "queue",
    "claim",
    "connect",
    "send head",
    "send body",
    "await",
    "relay",
    "store answer",
)
CONFIGURATION_STEPS = ("publish", "spread", "switch")
MEMBERSHIP_STEPS = ("join", "leave")
FLEET_STEPS = ("lease", "drain", "wait", "change row", "start", "place", "start task")

FAULTS = (
    "entry killed",
    "entry paused",
    "entry cut from peers",
    "entry cut from table",
    "entry cut from minions",
    "minion killed",
    "minion paused",
    "minion cut before first byte",
    "minion cut after first byte",
    "minion failing everything",
    "table down",
    "table slow",
    "table answer lost",
    "table stale read",
    "list stale",
    "message late",
    "message twice",
    "message out of order",
    "racing operator",
    "rack lost",
    "zone lost",
    "entry killed and table down",
    "minion killed and table answer lost",
)

_MINION_FAULTS = frozenset(fault for fault in FAULTS if fault.startswith("minion"))


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step; skip_reason says why the fault can't occur at this step."""

    step: str
    fault: str
    skip_reason: str = ""


def _get_skip_reason(step: str, fault: str) -> str:
    if step in CONFIGURATION_STEPS + FLEET_STEPS and fault in _MINION_FAULTS | {
        "entry cut from minions"
    }:
        return "no minion takes part in this step"
    if step in ("relay", "store answer") and fault == "minion cut before first byte":
        return "the first byte has arrived"
    if step == "store answer" and fault == "minion cut after first byte":
        return "the whole answer has arrived"
    return ""


def make_cells(steps: tuple[str, ...]) -> list[Cell]:
    """Return the cells of all faults at the given steps."""
    return [Cell(step, fault, _get_skip_reason(step, fault)) for step in steps for fault in FAULTS]
