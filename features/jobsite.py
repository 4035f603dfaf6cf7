"""Run entries of the job service over one fake world, and build its queues and jobs."""

import asyncio

from nutmegshelf import calls, exceptions, fleetview, jobs, queues, scheduler, upkeep
from nutmegshelf_entry import job_service

from features import jobhosts, jobtable, jobworld


class Net:
    """Carry calls between entries without sockets."""

    def __init__(self):
        self.services = {}
        # Entries whose answers to forwarded starts are lost, and the number of starts forwarded.
        self.dropping_answers = set()
        self.forwarded_starts = 0

    async def call(self, address, call, timeout_s):
        await asyncio.sleep(0.002)
        service = self.services.get(address)
        if service is None:
            raise exceptions.PeerUnreachable(address)
        self.forwarded_starts += len(call.starts) if isinstance(call, calls.ForwardStarts) else 0
        try:
            async with asyncio.timeout(timeout_s):
                reply = await service.job_router.handle_call(call)
                if isinstance(call, calls.ForwardStarts) and address in self.dropping_answers:
                    await asyncio.sleep(timeout_s)
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
        self.setting_overrides = {}
        self.links_mbps = {}
        # Entries that receive no updates from the operators any more.
        self.cut_from_operators = set()

    def settings(self, name, host=None, ports=(1, 2, 3)):
        endpoints = [job_service.Endpoint(host=host or name, port=port) for port in ports]
        return job_service.JobSettings(
            entry=name,
            zone="z",
            callers=endpoints[0],
            ready=endpoints[1],
            peers=endpoints[2],
            link_mbps=self.links_mbps.get(name),
            **self.setting_overrides,
        )

    def outside(self, own, codec=None):
        name = own.entry
        self.views[name] = jobtable.TableClient(self.world.table)
        self.workers[name] = jobworld.Workers(self.world)
        return job_service.Adapters(
            rows=self.views[name],
            workers=self.workers[name],
            codec=codec,
            hosts=jobhosts.Hosts(self.world, name),
            advice=self.world.advice,
            load_settings=lambda: own,
            watch_operations=lambda: self.operations(name),
            watch_fleet=self.world.fleets,
        )

    async def operations(self, name):
        async for update in self.world.operations():
            if name not in self.cut_from_operators:
                yield update

    def start(self, name):
        own = self.settings(name)
        service = job_service.JobService(own, self.outside(own), self.net)
        self.net.services[own.peers.address] = service
        self.entries[name] = service, asyncio.ensure_future(service.run())
        return service

    async def kill(self, name):
        """End an entry at once, as a power loss would; it sends nothing any more."""
        service, task = self.entries.pop(name)
        self.views[name].is_partitioned = True
        self.net.services.pop(f"{name}:3", None)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return service

    async def stop(self, name):
        """Stop an entry gracefully."""
        service, _ = self.entries[name]
        service.is_leaving = True
        await service.lease_manager.leave()
        await asyncio.sleep(0.5)
        await self.kill(name)

    async def close(self):
        for name in list(self.entries):
            await self.kill(name)

    def holder_of(self, pool):
        return next(
            (
                name
                for name, (service, _) in self.entries.items()
                if service.lease_manager.get_holder(pool)
            ),
            None,
        )


def queue(name="q", service="a", **fields):
    defaults = {"timeout_ms": 3000, "target_latency_ms": 600, "max_attempts": 3, "stretch": 1.6}
    return queues.Queue(
        name=name,
        service=service,
        **{"host": "x", "path_prefix": f"/{name}/", **defaults, **fields},
    )


def declare(*declared, version=1, spare="spare", services=()):
    """Declare queues, their services and further services that have no queue."""
    served = sorted({*services, *(queue.service for queue in declared)})
    return queues.QueueSet(
        version=version,
        queues=declared,
        services=(
            *(queues.Service(name=name) for name in served),
            queues.Service(name=spare, is_spare=True),
        ),
    )


def job(number, steps, **fields):
    values = {"queue": queue(), "spec": "s", **fields}
    return jobs.Job(job=f"{number:016x}", steps=steps, **values)


def wave(number, hosts, duration_s, at_once):
    return upkeep.Wave(
        number=number, hosts=tuple(hosts), duration_s=duration_s, max_concurrent=at_once
    )


def worker_facts(number=0, cpu_millis=9, memory_mb=9):
    incarnation = fleetview.Incarnation(f"w{number}", 1)
    return fleetview.WorkerFacts(
        incarnation, "a", f"h{number}", "", "z", "r", frozenset(), cpu_millis, memory_mb, 0
    )


def scheduler_with_workers(count, **size):
    """Return a scheduler with idle workers that have answered, each at a host of its own."""
    service = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    service.update_workers([worker_facts(number, **size) for number in range(count)], 10.0)
    for incarnation in list(service.workers):
        service.apply_report(fleetview.WorkerReport(incarnation, 0, 10.0, 10.0, (), ()))
    return service
