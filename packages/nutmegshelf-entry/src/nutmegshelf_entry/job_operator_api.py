"""Serve operators of the job service: what is declared, held, waiting and running, and why.

Each view is asked of the holders of the services, over the calls between entries. The table is not
needed, so the views work while it is away; each says how old the holder's last proof of its lease
is, and which services gave no answer.
"""

import asyncio
import collections.abc
import json
import urllib.parse

import msgspec
from nutmegshelf import calls, exceptions, ids, queues, views
from nutmegshelf_http import server

from nutmegshelf_entry import fleet_holder, job_router, logs

_JSON = [(b"content-type", b"application/json")]
_ASK_LIMIT_S = 2.0
_NO_JOB = ids.JobId("")

_log = logs.get_logger("operator")

Response = tuple[int, dict[str, object]]


class JobOperatorApi:
    """Answer the operators' requests."""

    def __init__(
        self, entry: ids.EntryId, in_force: queues.ActiveQueues, router: job_router.JobRouter
    ) -> None:
        self._entry = entry
        self._in_force = in_force
        self._router = router

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one request."""
        parts = urllib.parse.urlsplit(exchange.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        match exchange.method, parts.path.strip("/").split("/"):
            case "GET", ["jobs"]:
                status, body = await self._jobs(query)
            case "GET", ["jobs", job]:
                status, body = await self._job(ids.JobId(job))
            case "DELETE", ["jobs", job]:
                status, body = await self._cancel(ids.JobId(job))
            case "GET", ["explain"]:
                status, body = await self._explain(ids.JobId(query.get("name", "")))
            case "GET", ["queues"]:
                status, body = await self._queues()
            case "GET", ["pools"]:
                status, body = await self._pools()
            case "GET", ["waves"]:
                status, body = await self._listed(calls.View.WAVES, [_fleet()])
            case "GET", ["holders"]:
                services = [*self._services(), _fleet()]
                status, body = await self._listed(calls.View.HOLDERS, services)
            case _:
                status, body = 404, {"error": f"there is no {exchange.method} {parts.path}"}
        body |= {"entry": self._entry, "version": self._version()}
        await exchange.respond(status, _JSON, json.dumps(body).encode())

    def _version(self) -> int | None:
        routes = self._in_force.routes
        return routes.declared.version if routes is not None else None

    def _services(self) -> list[ids.ServiceName]:
        routes = self._in_force.routes
        if routes is None:
            return []
        return sorted({queue.service for queue in routes.declared.queues})

    async def _ask(
        self, view: calls.View, service: ids.ServiceName, job: ids.JobId = _NO_JOB
    ) -> calls.Reply | None:
        return await self._router.call_holder(
            calls.Inspect(service=service, view=view, job=job), _ASK_LIMIT_S
        )

    async def _gather(
        self, view: calls.View, services: collections.abc.Sequence[ids.ServiceName]
    ) -> tuple[list[dict[str, object]], list[str]]:
        replies = await asyncio.gather(*(self._ask(view, service) for service in services))
        rows: list[dict[str, object]] = []
        silent: list[str] = []
        for service, reply in zip(services, replies, strict=True):
            if reply is None:
                silent.append(service)
            elif reply.payload:
                rows += json.loads(reply.payload)
        if silent:
            _log.info("Holders gave no answer to an operator.", view=view.value, services=silent)
        return rows, silent

    async def _listed(
        self, view: calls.View, services: collections.abc.Sequence[ids.ServiceName]
    ) -> Response:
        rows, silent = await self._gather(view, services)
        return 200, {view.value: rows, "silent": silent}

    async def _jobs(self, query: dict[str, str]) -> Response:
        rows, silent = await self._gather(calls.View.JOBS, self._services())
        for field in ("queue", "state", "service"):
            if field in query:
                rows = [row for row in rows if row[field] == query[field]]
        return 200, {"jobs": rows, "silent": silent}

    async def _find(self, job: ids.JobId) -> tuple[views.JobDetail | None, list[str]]:
        silent: list[str] = []
        for service in self._services():
            reply = await self._ask(calls.View.JOB, service, job)
            if reply is None:
                silent.append(service)
            elif reply.payload:
                return msgspec.json.decode(reply.payload, type=views.JobDetail), silent
        return None, silent

    async def _job(self, job: ids.JobId) -> Response:
        found, silent = await self._find(job)
        if found is None:
            return _unknown(job, silent)
        return 200, msgspec.to_builtins(found)

    async def _explain(self, job: ids.JobId) -> Response:
        found, silent = await self._find(job)
        if found is None:
            return _unknown(job, silent)
        return 200, {
            "waits_for": found.job.waits_for,
            "decisions": msgspec.to_builtins(found.decisions),
        }

    async def _cancel(self, job: ids.JobId) -> Response:
        found, silent = await self._find(job)
        routes = self._in_force.routes
        if found is None or routes is None:
            return _unknown(job, silent)
        queue = routes.by_name.get(found.job.queue)
        if queue is None:
            return 409, {"error": f"the queue {found.job.queue} is not declared any more"}
        try:
            await self._router.cancel(queue, job)
        except exceptions.RequestError as error:
            return error.response.status, {"error": str(error)}
        _log.info("An operator cancelled a job.", job=job)
        return 200, {"job": job, "state": "cancelled"}

    async def _queues(self) -> Response:
        rows, silent = await self._gather(calls.View.QUEUES, self._services())
        busy = {row["queue"]: row for row in rows}
        routes = self._in_force.routes
        found = [
            busy.get(queue.name) or msgspec.to_builtins(_idle(queue))
            for queue in (routes.declared.queues if routes is not None else ())
        ]
        return 200, {"queues": found, "silent": silent}

    async def _pools(self) -> Response:
        workers, silent = await self._gather(calls.View.POOLS, self._services())
        hosts, fleet_silent = await self._gather(calls.View.POOLS, [_fleet()])
        rows = {str(row["pool"]): row for row in workers}
        for row in hosts:
            own = rows.setdefault(str(row["pool"]), row)
            own |= {"hosts": row["hosts"], "hosts_wanted": row["hosts_wanted"]}
        found = [rows[pool] for pool in sorted(rows)]
        return 200, {"pools": found, "silent": silent + fleet_silent}


def _fleet() -> ids.ServiceName:
    return ids.ServiceName(fleet_holder.FLEET)


def _idle(queue: queues.Queue) -> views.QueueView:
    return views.QueueView(
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        pending=0,
        live=0,
        tasks_running=0,
        tasks_waiting=0,
    )


def _unknown(job: ids.JobId, silent: list[str]) -> Response:
    if silent:
        error = f"it isn't known whether {job} exists: no answer from {', '.join(silent)}"
        return 503, {"error": error}
    return 404, {"error": f'no job "{job}" is known'}
