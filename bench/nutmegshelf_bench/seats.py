"""Measure what the seats do when entries and the table fail."""

from nutmegshelf import codecs, ids, seats
from nutmegshelf_entry import logs
from nutmegshelf_standins import clock

from nutmegshelf_bench import _seating, figures

_ENTRIES = 7
_CASES = {
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
def measure(seed: int) -> None:
    """Print seats.CASE.figure for every case, and what a seat costs."""
    logs.configure("critical")
    for case, events in _CASES.items():
        world = _seating.World(_ENTRIES)
        clock.run(world.play(events))
        figures.show(f"seats.{case}.seated", world.seated, "entries")
        figures.show(f"seats.{case}.most_given", world.most, "slots")
        figures.show(f"seats.{case}.unowned", world.unowned_s, "slot-s/minion")
        figures.show(f"seats.{case}.owned_twice", world.twice_s, "slot-s/minion")
        figures.show(f"seats.{case}.clashes", len(world.clashes), "seats")
    row = seats.SeatRow(
        seat=1,
        entry=ids.EntryId("entry-1"),
        process=ids.ProcessId("entry-1.0123abcd"),
        epoch=ids.Epoch(1),
        address="tcp://127.0.0.1:40000",
        renewal=100000,
    )
    figures.show("seats.row", len(codecs.pack(row)), "B")
