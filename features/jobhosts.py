"""Carry out orders about fake hosts, and check which holder gives them."""

import asyncio

from nutmegshelf import exceptions, rebalancing
from nutmegshelf_entry import ports

from features import jobtable, jobworld


class Hosts:
    """Carry out orders about hosts, and record the entry that gave them."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry

    async def list_hosts(self):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        workers = {
            minion.facts.host: minion.facts.incarnation.worker
            for minion in self.world.minions.values()
        }
        return tuple(
            rebalancing.HostView(
                host,
                fields["pool"],
                fields["state"],
                "z",
                fields["rack"],
                self.world.cpu_millis,
                workers.get(host),
            )
            for host, fields in self.world.hosts.items()
        )

    def _is_done(self, host, operation):
        """Return whether a host is back from an order whose answer was lost."""
        is_up = self.world.hosts[host]["state"] is rebalancing.HostState.UP
        return is_up and (host, operation) in self.world.unanswered_orders

    def _refuse(self, host):
        if self.world.hosts[host]["state"] is not rebalancing.HostState.UP:
            self.world.refused_orders.append((asyncio.get_running_loop().time(), host))
            return ports.HostOrderOutcome.BUSY
        running = [
            run.task
            for minion in self.world.minions.values()
            if minion.facts.host == host
            for run in minion.runs.values()
        ]
        if running:
            self.world.violations.append(f"{host} is taken while {running} run there")
        return None

    def _record(self, host, operation):
        now_s = asyncio.get_running_loop().time()
        for ordered_s, other, holder, _ in self.world.moves:
            if other == host and holder != self.entry and now_s - ordered_s < 3.0:
                self.world.violations.append(f"{host} gets orders from two holders within 3 s")
        self.world.moves.append((now_s, host, self.entry, operation))

    async def move(self, move, fencing_token):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        if self.world.lost_moves:
            self.world.lost_moves -= 1
            raise exceptions.HostsAnswerLost("the connection was reset")
        if self._is_done(move.host, move.target):
            return ports.HostOrderOutcome.DONE
        if (refused := self._refuse(move.host)) is not None:
            return refused
        self._record(move.host, move.target)
        self.world.replace(move.host, jobworld.MOVE_DURATION_S, move.target)
        if self.world.lost_move_answers:
            self.world.lost_move_answers -= 1
            self.world.unanswered_orders.add((move.host, move.target))
            raise exceptions.HostsAnswerLost("the connection was reset")
        return ports.HostOrderOutcome.DONE

    async def start_upkeep(self, host, wave, fencing_token):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        if self.world.lost_upkeeps:
            self.world.lost_upkeeps -= 1
            raise exceptions.HostsAnswerLost("the connection was reset")
        if self._is_done(host, "upkeep"):
            return ports.HostOrderOutcome.DONE
        if (refused := self._refuse(host)) is not None:
            return refused
        self._record(host, "upkeep")
        self.world.upkeeps.append(host)
        hosts_down = [
            fields
            for fields in self.world.hosts.values()
            if fields["state"] is rebalancing.HostState.UPKEEP
        ]
        limit = next(row.max_concurrent for row in self.world.waves if row.number == wave)
        if len(hosts_down) >= limit:
            self.world.violations.append(f"over {limit} hosts are down for wave {wave}")
        duration_s = self.world.upkeep_duration_s
        self.world.replace(host, duration_s, state=rebalancing.HostState.UPKEEP)
        if self.world.lost_upkeep_answers:
            self.world.lost_upkeep_answers -= 1
            self.world.unanswered_orders.add((host, "upkeep"))
            raise exceptions.HostsAnswerLost("the connection was reset")
        return ports.HostOrderOutcome.DONE

    async def report_wave(self, wave, *, is_finished):
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        if self.world.reports_fail:
            raise exceptions.TableUnavailable("reports fail")
        self.world.reported_waves.append((wave, is_finished))
