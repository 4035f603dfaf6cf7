"""Run entries of the job service over one fake world, and make what is declared there."""

import asyncio

from nutmegshelf import calls, exceptions, fleetview, jobs, queues, upkeep
from nutmegshelf_entry import job_service

from features import jobhosts, jobtable, jobworld


class Net:
    """Carry calls between entries without sockets."""

    def __init__(self):
        self.services = {}
        # Entries that carry starts out whose answers get lost, and how many were carried.
        self.mute = set()
        self.carried = 0

    async def ask(self, address, call, limit_s):
        await asyncio.sleep(0.002)
        service = self.services.get(address)
        if service is None:
            raise exceptions.PeerUnreachable(address)
        self.carried += len(call.starts) if isinstance(call, calls.ForwardStarts) else 0
        try:
            async with asyncio.timeout(limit_s):
                reply = await service.desk.answer(call)
                if isinstance(call, calls.ForwardStarts) and address in self.mute:
                    await asyncio.sleep(limit_s)
                return reply
        except TimeoutError as error:
            raise exceptions.PeerAnswerLost(address) from error


class Site:
    """Run entries over one world."""

    def __init__(self, world):
        self.world = world
        self.net = Net()
        self.entries = {}
        self.views = {}
        self.workers = {}
        self.terms = {}
        self.links_mbps = {}
        # Entries that hear nothing of the operators from now on.
        self.deaf = set()

    def settings(self, name, host=None, ports=(1, 2, 3)):
        ends = [job_service.Endpoint(host=host or name, port=port) for port in ports]
        return job_service.JobSettings(
            entry=name,
            zone="z",
            callers=ends[0],
            ready=ends[1],
            peers=ends[2],
            link_mbps=self.links_mbps.get(name),
            **self.terms,
        )

    def outside(self, own, codec=None):
        name = own.entry
        self.views[name] = jobtable.TableClient(self.world.table)
        self.workers[name] = jobworld.Workers(self.world)
        return job_service.Outside(
            rows=self.views[name],
            workers=self.workers[name],
            codec=codec,
            hosts=jobhosts.Hosts(self.world, name),
            advice=self.world.advice,
            reload=lambda: own,
            operations=lambda: self.operations(name),
            fleets=self.world.fleets,
        )

    async def operations(self, name):
        async for one in self.world.operations():
            if name not in self.deaf:
                yield one

    def start(self, name):
        own = self.settings(name)
        service = job_service.JobService(own, self.outside(own), self.net)
        self.net.services[own.peers.address] = service
        self.entries[name] = service, asyncio.ensure_future(service.run())
        return service

    async def kill(self, name):
        """End an entry at once, as a power loss would: nothing of it is sent any more."""
        service, task = self.entries.pop(name)
        self.views[name].is_partitioned = True
        self.net.services.pop(f"{name}:3", None)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return service

    async def stop(self, name):
        """Have an entry leave gracefully."""
        service, _ = self.entries[name]
        service.leaving = True
        await service.shards.leave()
        await asyncio.sleep(0.5)
        await self.kill(name)

    async def close(self):
        for name in list(self.entries):
            await self.kill(name)

    def holder_of(self, pool):
        return next(
            (name for name, (one, _) in self.entries.items() if one.shards.holder(pool)), None
        )


def queue(name="q", service="a", **fields):
    terms = {"timeout_ms": 3000, "target_latency_ms": 600, "max_attempts": 3, "stretch": 1.6}
    return queues.Queue(
        name=name,
        path_prefix=f"/{name}/",
        service=service,
        **{"host": "x", **terms, **fields},
    )


def declare(*found, version=1, spare="spare"):
    served = sorted({one.service for one in found})
    return queues.QueueSet(
        version=version,
        queues=found,
        services=(
            *(queues.Service(name=name) for name in served),
            queues.Service(name=spare, is_spare=True),
        ),
    )


def job(number, steps, **fields):
    terms = {"queue": queue(), "spec": "s", **fields}
    return jobs.Job(job=f"{number:016x}", steps=steps, **terms)


def wave(number, hosts, duration_s, at_once):
    return upkeep.Wave(
        number=number, hosts=tuple(hosts), duration_s=duration_s, max_concurrent=at_once
    )


def worker_facts(number=0, cpu_millis=9, memory_mb=9):
    life = fleetview.Incarnation(f"w{number}", 1)
    return fleetview.WorkerFacts(
        life, "a", f"h{number}", "", "z", "r", frozenset(), cpu_millis, memory_mb, 0
    )
