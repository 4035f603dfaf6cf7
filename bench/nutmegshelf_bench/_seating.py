"""Play faults against the entries' seats on a paused clock."""

import asyncio
import collections
import itertools

from nutmegshelf import ids, seats
from nutmegshelf_entry import seating
from nutmegshelf_standins import store, table

SEAT_COUNT = 10
SLOTS_PER_MINION = 8
MINIONS = [ids.MinionId(f"orders-{number}") for number in range(8)]
CHECK_INTERVAL_S = 0.25
_SETTLE_S = 10.0
_SPEAK_STEPS = 4
_LEASE_S = 8.0
_SILENCE_LIMIT_S = 900.0
_INTERVAL_S = 2.0


class EntryProcess:
    """Be one process that holds a seat."""

    def __init__(self, world: "Simulation", number: int) -> None:
        self.name = ids.EntryId(f"entry-{number}")
        self.rows = table.TableClient(
            world.store, lose_answers=world.loses_answers, down=world.is_table_down
        )
        self.address = f"tcp://127.0.0.1:{number}"
        self.allocation: seats.Allocation | None = None
        self.has_ended = False
        self.is_isolated = False
        process = ids.ProcessId(f"{self.name}.1")
        self.seat_holder = seating.SeatHolder(
            self.rows,
            seats.Seats(self.name, process, SEAT_COUNT, _LEASE_S, _SILENCE_LIMIT_S),
            self.address,
            self._changed,
            _INTERVAL_S,
            is_refused=world.is_refused,
        )
        self.start()

    def _changed(self, seated: seats.Allocation | None) -> None:
        self.allocation = seated

    def start(self) -> None:
        """Run, at first or again after a pause."""
        self.is_running = True
        self._task = asyncio.ensure_future(self.seat_holder.run())

    def stop(self) -> None:
        """Do nothing more, as a paused process."""
        self.is_running = False
        self._task.cancel()


class Simulation:
    """Hold the entries and their table, and count what may not be."""

    def __init__(self, count: int) -> None:
        self.store = store.Store()
        self.is_table_down = self.loses_answers = False
        self.processes: dict[int, EntryProcess] = {}
        self.assigned_slots: list[int] = []
        self.max_assigned_slots = 0
        self.duplicate_seats: list[int] = []
        self.seated_count = 0
        # Slot-seconds a minion that nobody owned or that two owned.
        self.unassigned_slot_s = self.doubly_assigned_slot_s = 0.0
        self._count = count

    async def is_refused(self, address: str) -> bool:
        """Say whether the process at an address has ended."""
        return any(one.has_ended for one in self.processes.values() if one.address == address)

    async def run(self, events: str) -> None:
        """Start the entries, then let events happen, as in "kill 0; wait 20"."""
        for number in range(self._count):
            self.processes[number] = EntryProcess(self, number)
        await self._wait(_SETTLE_S)
        self.max_assigned_slots, self.unassigned_slot_s, self.doubly_assigned_slot_s = 0, 0.0, 0.0
        for event in events.split(";"):
            word, _, argument = event.strip().partition(" ")
            await self._do(word, argument)
        running = [one for one in self.processes.values() if one.is_running]
        self.seated_count = sum(one.allocation is not None for one in running)
        for one in self.processes.values():
            one.stop()

    async def _do(self, word: str, argument: str) -> None:
        match word:
            case "wait":
                await self._wait(float(argument))
            case "start":
                self.processes[int(argument)] = EntryProcess(self, int(argument))
            case "kill":
                self.processes[int(argument)].stop()
                self.processes[int(argument)].has_ended = True
            case "pause":
                self.processes[int(argument)].stop()
            case "resume":
                self.processes[int(argument)].start()
            case "cut":
                self.processes[int(argument)].rows.down = True
            case "isolate":
                self.processes[int(argument)].is_isolated = True
            case "table":
                self.is_table_down = argument == "down"
                for one in self.processes.values():
                    one.rows.down = self.is_table_down
            case "lose":
                self.loses_answers = True
                for one in self.processes.values():
                    one.rows.lose_answers = True
            case _:
                raise ValueError(f"no event is called {word!r}")

    async def _wait(self, wait_s: float) -> None:
        for step in range(int(wait_s / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if step % _SPEAK_STEPS == 0:
                self._speak()
            self._check()

    def _speak(self) -> None:
        heard = [one for one in self.processes.values() if one.is_running and not one.is_isolated]
        for one, other in itertools.permutations(heard, 2):
            other.seat_holder.record_contact(one.name)

    def _check(self) -> None:
        running = [
            one.allocation for one in self.processes.values() if one.is_running and one.allocation
        ]
        self.assigned_slots = [
            sum(one.get_share(name, SLOTS_PER_MINION) for one in running) for name in MINIONS
        ]
        self.max_assigned_slots = max(self.max_assigned_slots, *self.assigned_slots)
        mean = sum(self.assigned_slots) / len(self.assigned_slots)
        self.unassigned_slot_s += CHECK_INTERVAL_S * max(0.0, SLOTS_PER_MINION - mean)
        self.doubly_assigned_slot_s += CHECK_INTERVAL_S * max(0.0, mean - SLOTS_PER_MINION)
        # A paused process holds its connections, one that ended holds none.
        held = [
            one.allocation.seat
            for one in self.processes.values()
            if one.allocation and not one.has_ended
        ]
        self.duplicate_seats += [seat for seat, n in collections.Counter(held).items() if n > 1]
