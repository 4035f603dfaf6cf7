"""Run histories of jobs and faults in which queues are given to other services.

Versions of the configuration come in series, remove a queue for a while or swap the queues'
services, and some entries miss them. Accepted jobs are submitted again at any entry.
"""

import asyncio

import msgspec
from nutmegshelf import exceptions

from features import jobhistories, jobsite

SERVICES = ("a", "b")
MAX_PAUSE_S = 6.0
MAX_CUT_S = 4.0


class MovingHistory(jobhistories.History):
    """One seeded history in which queues move."""

    def __init__(self, rng):
        super().__init__(rng)
        self._version = 0
        self._services = {queue.name: queue.service for queue in jobhistories.QUEUES}

    def _declare(self, without=None):
        self._version += 1
        queues = [
            msgspec.structs.replace(queue, service=self._services[queue.name])
            for queue in jobhistories.QUEUES
            if queue.name != without
        ]
        self._world.declare(jobsite.declare(*queues, version=self._version, services=SERVICES))

    def _list_activities(self, ends_s):
        return [*super()._list_activities(ends_s), self._move_until(ends_s)]

    def _route(self, service, job):
        routes = service.active_queues.routes
        match = routes.find("x", f"{job.queue.path_prefix}{job.job}") if routes else None
        if match is None:
            raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_QUEUE)
        return msgspec.structs.replace(job, queue=match.queue)

    async def _submit(self, made, what):
        await super()._submit(made, what)
        if made.job.job in self._accepted and self._rng.random() < 0.3:
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))
            await self._call_any(
                lambda service: service.job_router.submit(self._route(service, made.job))
            )

    async def _move_until(self, ends_s):
        while self._now_s() < ends_s:
            await asyncio.sleep(self._rng.uniform(0.2, MAX_PAUSE_S))
            cut = [name for name in self._site.entries if self._rng.random() < 0.3]
            self._site.cut_from_operators.update(cut)
            name = self._rng.choice(list(self._services))
            self._note(f"queue {name} moves, and {cut} miss it")
            if self._rng.random() < 0.5:
                self._declare(without=name)
                await asyncio.sleep(self._rng.choice([0.0, 0.01, 0.5, 2.5]))
            self._services[name] = self._rng.choice(SERVICES)
            self._declare()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_CUT_S))
            self._site.cut_from_operators.clear()
            if self._rng.random() < 0.7:
                self._declare()

    def _end_faults(self):
        super()._end_faults()
        self._site.cut_from_operators.clear()
        self._declare()
