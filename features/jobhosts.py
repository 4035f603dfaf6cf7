"""Carry orders about fake hosts, and judge who gives them."""

import asyncio

from nutmegshelf import rebalancing
from nutmegshelf_entry import ports

from features import jobtable, jobworld


class Hosts:
    """Carry orders about hosts, and note who gave them."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry

    async def list_hosts(self):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        workers = {
            one.facts.host: one.facts.incarnation.worker for one in self.world.minions.values()
        }
        return tuple(
            rebalancing.HostView(
                host,
                one["pool"],
                one["state"],
                "z",
                one["rack"],
                self.world.cpu_millis,
                workers.get(host),
            )
            for host, one in self.world.hosts.items()
        )

    def _refuse(self, host):
        if self.world.hosts[host]["state"] is not rebalancing.HostState.UP:
            return ports.Ordered.BUSY
        lasting = [
            run.task
            for minion in self.world.minions.values()
            if minion.facts.host == host
            for run in minion.runs.values()
        ]
        if lasting:
            self.world.violations.append(f"{host} is taken while {lasting} run there")
        return None

    def _note(self, host, what):
        now_s = asyncio.get_running_loop().time()
        for at_s, other, holder, _ in self.world.moves:
            if other == host and holder != self.entry and now_s - at_s < 3.0:
                self.world.violations.append(f"{host} gets orders of two holders within 3 s")
        self.world.moves.append((now_s, host, self.entry, what))

    async def move(self, move, fence):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        if (refused := self._refuse(move.host)) is not None:
            return refused
        self._note(move.host, move.target)
        self.world.replace(move.host, jobworld.MOVE_DURATION_S, move.target)
        return ports.Ordered.DONE

    async def upkeep(self, host, wave, fence):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        if (refused := self._refuse(host)) is not None:
            return refused
        self._note(host, "upkeep")
        self.world.upkeeps.append(host)
        busy = [
            one for one in self.world.hosts.values() if one["state"] is rebalancing.HostState.UPKEEP
        ]
        cap = next(one.max_concurrent for one in self.world.waves if one.number == wave)
        if len(busy) >= cap:
            self.world.violations.append(f"over {cap} hosts are down for wave {wave}")
        self.world.replace(host, jobworld.UPKEEP_DURATION_S, state=rebalancing.HostState.UPKEEP)
        return ports.Ordered.DONE

    async def report_wave(self, wave, *, is_finished):
        self.world.reported_waves.append((wave, is_finished))
