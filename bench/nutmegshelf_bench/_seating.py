"""Play faults against the entries' seats on a paused clock."""

import asyncio
import collections
import itertools

from nutmegshelf import ids, seats
from nutmegshelf_entry import seating
from nutmegshelf_standins import store, table

SEATS = 10
SLOTS = 8
MINIONS = [ids.MinionId(f"orders-{number}") for number in range(8)]
STEP_S = 0.25
_SETTLE_S = 10.0
_SPEAK_STEPS = 4
_LEASE_S = 8.0
_SILENCE_LIMIT_S = 900.0
_INTERVAL_S = 2.0


class Holder:
    """Be one process that holds a seat."""

    def __init__(self, world: "World", number: int) -> None:
        self.name = ids.EntryId(f"entry-{number}")
        self.rows = table.TableClient(world.store, lose_answers=world.losing, down=world.down)
        self.address = f"tcp://127.0.0.1:{number}"
        self.seating: seats.Allocation | None = None
        self.ended = False
        self.isolated = False
        process = ids.ProcessId(f"{self.name}.1")
        self.part = seating.SeatHolder(
            self.rows,
            seats.Seats(self.name, process, SEATS, _LEASE_S, _SILENCE_LIMIT_S),
            self.address,
            self._changed,
            _INTERVAL_S,
            is_refused=world.is_refused,
        )
        self.start()

    def _changed(self, seated: seats.Allocation | None) -> None:
        self.seating = seated

    def start(self) -> None:
        """Run, at first or again after a pause."""
        self.running = True
        self._task = asyncio.ensure_future(self.part.run())

    def stop(self) -> None:
        """Do nothing more, as a paused process."""
        self.running = False
        self._task.cancel()


class World:
    """Hold the entries and their table, and count what may not be."""

    def __init__(self, count: int) -> None:
        self.store = store.Store()
        self.down = self.losing = False
        self.holders: dict[int, Holder] = {}
        self.given: list[int] = []
        self.most = 0
        self.clashes: list[int] = []
        self.seated = 0
        # Slot-seconds a minion that nobody owned or that two owned.
        self.unowned_s = self.twice_s = 0.0
        self._count = count

    async def is_refused(self, address: str) -> bool:
        """Say whether the process at an address has ended."""
        return any(one.ended for one in self.holders.values() if one.address == address)

    async def play(self, events: str) -> None:
        """Start the entries, then let events happen, as in "kill 0; wait 20"."""
        for number in range(self._count):
            self.holders[number] = Holder(self, number)
        await self._wait(_SETTLE_S)
        self.most, self.unowned_s, self.twice_s = 0, 0.0, 0.0
        for event in events.split(";"):
            word, _, argument = event.strip().partition(" ")
            await self._do(word, argument)
        running = [one for one in self.holders.values() if one.running]
        self.seated = sum(one.seating is not None for one in running)
        for one in self.holders.values():
            one.stop()

    async def _do(self, word: str, argument: str) -> None:
        match word:
            case "wait":
                await self._wait(float(argument))
            case "start":
                self.holders[int(argument)] = Holder(self, int(argument))
            case "kill":
                self.holders[int(argument)].stop()
                self.holders[int(argument)].ended = True
            case "pause":
                self.holders[int(argument)].stop()
            case "resume":
                self.holders[int(argument)].start()
            case "cut":
                self.holders[int(argument)].rows.down = True
            case "isolate":
                self.holders[int(argument)].isolated = True
            case "table":
                self.down = argument == "down"
                for one in self.holders.values():
                    one.rows.down = self.down
            case "lose":
                self.losing = True
                for one in self.holders.values():
                    one.rows.lose_answers = True
            case _:
                raise ValueError(f"no event is called {word!r}")

    async def _wait(self, wait_s: float) -> None:
        for step in range(int(wait_s / STEP_S)):
            await asyncio.sleep(STEP_S)
            if step % _SPEAK_STEPS == 0:
                self._speak()
            self._check()

    def _speak(self) -> None:
        heard = [one for one in self.holders.values() if one.running and not one.isolated]
        for one, other in itertools.permutations(heard, 2):
            other.part.record_contact(one.name)

    def _check(self) -> None:
        running = [one.seating for one in self.holders.values() if one.running and one.seating]
        self.given = [sum(one.get_share(name, SLOTS) for one in running) for name in MINIONS]
        self.most = max(self.most, *self.given)
        mean = sum(self.given) / len(self.given)
        self.unowned_s += STEP_S * max(0.0, SLOTS - mean)
        self.twice_s += STEP_S * max(0.0, mean - SLOTS)
        # A paused process holds its connections, one that ended holds none.
        held = [one.seating.seat for one in self.holders.values() if one.seating and not one.ended]
        self.clashes += [seat for seat, n in collections.Counter(held).items() if n > 1]
