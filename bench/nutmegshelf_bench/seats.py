"""Measure the assignment of slots by seats when entries and the table fail."""

from nutmegshelf import codecs, ids, seats
from nutmegshelf_entry import logs
from nutmegshelf_standins import clock

from nutmegshelf_bench import _seating, figures

_ENTRY_COUNT = 7
_EVENTS_BY_CASE = {
    "dead": "kill 0; wait 60",
    "dead_replaced": "kill 0; start 7; wait 60",
    "dead_table_down": "table down; kill 0; start 7; wait 60",
    "paused_replaced": "pause 0; start 7; wait 60",
    "paused_back": "pause 0; start 7; wait 30; resume 0; wait 30",
    "cut_off": "cut 0; isolate 0; wait 60",
    "new": "start 7; wait 60",
    "new_table_down": "table down; start 7; wait 60",
    "zone_paused_replaced": "pause 0; pause 1; pause 2; start 7; start 8; start 9; wait 60",
}


@figures.register("seats")
def measure_seats(seed: int) -> None:
    """Print seats.CASE results for every fault case, and the size of a seat's row."""
    logs.configure("critical")
    for case, events in _EVENTS_BY_CASE.items():
        simulation = _seating.Simulation(_ENTRY_COUNT)
        clock.run(simulation.run(events))
        figures.report(f"seats.{case}.seated", simulation.seated_count, "entries")
        figures.report(f"seats.{case}.most_given", simulation.max_assigned_slots, "slots")
        figures.report(f"seats.{case}.unowned", simulation.unassigned_slot_s, "slot-s/minion")
        figures.report(
            f"seats.{case}.owned_twice", simulation.doubly_assigned_slot_s, "slot-s/minion"
        )
        figures.report(f"seats.{case}.clashes", len(simulation.duplicate_seats), "seats")
    row = seats.SeatRow(
        seat=1,
        entry=ids.EntryId("entry-1"),
        process=ids.ProcessId("entry-1.0123abcd"),
        epoch=ids.Epoch(1),
        address="tcp://127.0.0.1:40000",
        renewal=100000,
    )
    figures.report("seats.row", len(codecs.pack(row)), "B")
