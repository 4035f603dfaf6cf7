"""Simulate faults of entries and the table, and their effects on seats, in simulated time."""

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
_SETTLE_TIME_S = 10.0
_CONTACT_INTERVAL_STEPS = 4
_LEASE_S = 8.0
_SILENCE_LIMIT_S = 900.0
_SEAT_INTERVAL_S = 2.0


class EntryProcess:
    """A simulated process of an entry that competes for a seat."""

    def __init__(self, simulation: "Simulation", number: int) -> None:
        self.name = ids.EntryId(f"entry-{number}")
        self.table_client = table.TableClient(
            simulation.store, lose_answers=simulation.loses_answers, down=simulation.is_table_down
        )
        self.address = f"tcp://127.0.0.1:{number}"
        self.allocation: seats.Allocation | None = None
        self.has_ended = False
        self.is_isolated = False
        process = ids.ProcessId(f"{self.name}.1")
        self.seat_holder = seating.SeatHolder(
            self.table_client,
            seats.Seats(self.name, process, SEAT_COUNT, _LEASE_S, _SILENCE_LIMIT_S),
            self.address,
            self._set_allocation,
            _SEAT_INTERVAL_S,
            is_refused=simulation.is_refused,
        )
        self.start()

    def _set_allocation(self, allocation: seats.Allocation | None) -> None:
        self.allocation = allocation

    def start(self) -> None:
        """Start the process, or resume it after a pause."""
        self.is_running = True
        self._task = asyncio.ensure_future(self.seat_holder.run())

    def stop(self) -> None:
        """Stop all activity, as in a paused or killed process."""
        self.is_running = False
        self._task.cancel()


class Simulation:
    """A simulation of entries that share a table; it counts wrongly assigned slots and seats."""

    def __init__(self, count: int) -> None:
        self.store = store.Store()
        self.is_table_down = self.loses_answers = False
        self.processes: dict[int, EntryProcess] = {}
        self.assigned_slots: list[int] = []
        self.max_assigned_slots = 0
        self.duplicate_seats: list[int] = []
        self.seated_count = 0
        # Slot-seconds per minion that were assigned to no entry, or to more than one.
        self.unassigned_slot_s = self.doubly_assigned_slot_s = 0.0
        self._entry_count = count

    async def is_refused(self, address: str) -> bool:
        """Return whether the process at an address has ended, so that it refuses connections."""
        return any(
            process.has_ended for process in self.processes.values() if process.address == address
        )

    async def run(self, events: str) -> None:
        """Start the entries, then apply events, such as "kill 0; wait 20"."""
        for number in range(self._entry_count):
            self.processes[number] = EntryProcess(self, number)
        await self._wait(_SETTLE_TIME_S)
        self.max_assigned_slots, self.unassigned_slot_s, self.doubly_assigned_slot_s = 0, 0.0, 0.0
        for event in events.split(";"):
            name, _, argument = event.strip().partition(" ")
            await self._apply_event(name, argument)
        running = [process for process in self.processes.values() if process.is_running]
        self.seated_count = sum(process.allocation is not None for process in running)
        for process in self.processes.values():
            process.stop()

    async def _apply_event(self, name: str, argument: str) -> None:
        match name:
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
                self.processes[int(argument)].table_client.down = True
            case "isolate":
                self.processes[int(argument)].is_isolated = True
            case "table":
                self.is_table_down = argument == "down"
                for process in self.processes.values():
                    process.table_client.down = self.is_table_down
            case "lose":
                self.loses_answers = True
                for process in self.processes.values():
                    process.table_client.lose_answers = True
            case _:
                raise ValueError(f"unknown event {name!r}")

    async def _wait(self, wait_s: float) -> None:
        for step in range(int(wait_s / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if step % _CONTACT_INTERVAL_STEPS == 0:
                self._exchange_messages()
            self._check_slots()

    def _exchange_messages(self) -> None:
        connected = [
            process
            for process in self.processes.values()
            if process.is_running and not process.is_isolated
        ]
        for process, other in itertools.permutations(connected, 2):
            other.seat_holder.record_contact(process.name)

    def _check_slots(self) -> None:
        allocations = [
            process.allocation
            for process in self.processes.values()
            if process.is_running and process.allocation
        ]
        self.assigned_slots = [
            sum(allocation.get_share(minion, SLOTS_PER_MINION) for allocation in allocations)
            for minion in MINIONS
        ]
        self.max_assigned_slots = max(self.max_assigned_slots, *self.assigned_slots)
        mean = sum(self.assigned_slots) / len(self.assigned_slots)
        self.unassigned_slot_s += CHECK_INTERVAL_S * max(0.0, SLOTS_PER_MINION - mean)
        self.doubly_assigned_slot_s += CHECK_INTERVAL_S * max(0.0, mean - SLOTS_PER_MINION)
        # A paused process keeps its connections open, unlike one that has ended.
        held_seats = [
            process.allocation.seat
            for process in self.processes.values()
            if process.allocation and not process.has_ended
        ]
        self.duplicate_seats += [
            seat for seat, count in collections.Counter(held_seats).items() if count > 1
        ]
