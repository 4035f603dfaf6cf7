"""Serve the operators' HTTP API of the job service: jobs, queues, pools, waves and holders.

Each view is collected from the holders of the services by calls between entries. The table is not
read, so the views work during a table outage. Holders report the age of the last confirmation of
their lease, and each view lists the services that gave no answer.
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
_CALL_TIMEOUT_S = 2.0
_NO_JOB = ids.JobId("")

_log = logs.get_logger("operator")

Response = tuple[int, dict[str, object]]


class JobOperatorApi:
    """The handler of the operators' HTTP requests at any entry of the job service."""

    def __init__(
        self, entry: ids.EntryId, active_queues: queues.ActiveQueues, router: job_router.JobRouter
    ) -> None:
        self._entry = entry
        self._active_queues = active_queues
        self._router = router

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one request; every response names the entry and its configuration version."""
        url = urllib.parse.urlsplit(exchange.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        match exchange.method, url.path.strip("/").split("/"):
            case "GET", ["jobs"]:
                status, body = await self._list_jobs(query)
            case "GET", ["jobs", job]:
                status, body = await self._show_job(ids.JobId(job))
            case "DELETE", ["jobs", job]:
                status, body = await self._cancel_job(ids.JobId(job))
            case "GET", ["explain"]:
                status, body = await self._explain_job(ids.JobId(query.get("name", "")))
            case "GET", ["queues"]:
                status, body = await self._list_queues()
            case "GET", ["pools"]:
                status, body = await self._list_pools()
            case "GET", ["waves"]:
                status, body = await self._list_rows(calls.View.WAVES, [_get_fleet_service()])
            case "GET", ["holders"]:
                services = [*self._get_services(), _get_fleet_service()]
                status, body = await self._list_rows(calls.View.HOLDERS, services)
            case _:
                status, body = 404, {"error": f"there is no {exchange.method} {url.path}"}
        body |= {"entry": self._entry, "version": self._get_version()}
        await exchange.respond(status, _JSON, json.dumps(body).encode())

    def _get_version(self) -> int | None:
        routes = self._active_queues.routes
        return routes.declared.version if routes is not None else None

    def _get_services(self) -> list[ids.ServiceName]:
        fleet = _get_fleet_service()
        return [service for service in self._router.list_services() if service != fleet]

    async def _inspect(
        self, view: calls.View, service: ids.ServiceName, job: ids.JobId = _NO_JOB
    ) -> calls.Reply | None:
        return await self._router.call_holder(
            calls.Inspect(service=service, view=view, job=job), _CALL_TIMEOUT_S
        )

    async def _inspect_all(
        self, view: calls.View, services: collections.abc.Sequence[ids.ServiceName]
    ) -> tuple[list[dict[str, object]], list[str]]:
        replies = await asyncio.gather(*(self._inspect(view, service) for service in services))
        rows: list[dict[str, object]] = []
        unresponsive: list[str] = []
        for service, reply in zip(services, replies, strict=True):
            if reply is None:
                unresponsive.append(service)
            elif reply.payload:
                rows += json.loads(reply.payload)
        if unresponsive:
            _log.info(
                "Holders gave no answer to an operator's request.",
                view=view.value,
                services=unresponsive,
            )
        return rows, unresponsive

    async def _list_rows(
        self, view: calls.View, services: collections.abc.Sequence[ids.ServiceName]
    ) -> Response:
        rows, unresponsive = await self._inspect_all(view, services)
        return 200, {view.value: rows, "silent": unresponsive}

    async def _list_jobs(self, query: dict[str, str]) -> Response:
        rows, unresponsive = await self._inspect_all(calls.View.JOBS, self._get_services())
        for field in ("queue", "state", "service"):
            if field in query:
                rows = [row for row in rows if row[field] == query[field]]
        return 200, {"jobs": rows, "silent": unresponsive}

    async def _find_job(self, job: ids.JobId) -> tuple[views.JobDetail | None, list[str]]:
        unresponsive: list[str] = []
        for service in self._get_services():
            reply = await self._inspect(calls.View.JOB, service, job)
            if reply is None:
                unresponsive.append(service)
            elif reply.payload:
                return msgspec.json.decode(reply.payload, type=views.JobDetail), unresponsive
        return None, unresponsive

    async def _show_job(self, job: ids.JobId) -> Response:
        detail, unresponsive = await self._find_job(job)
        if detail is None:
            return _make_unknown_job(job, unresponsive)
        return 200, msgspec.to_builtins(detail)

    async def _explain_job(self, job: ids.JobId) -> Response:
        detail, unresponsive = await self._find_job(job)
        if detail is None:
            return _make_unknown_job(job, unresponsive)
        return 200, {
            "waits_for": detail.job.waits_for,
            "decisions": msgspec.to_builtins(detail.decisions),
        }

    async def _cancel_job(self, job: ids.JobId) -> Response:
        detail, unresponsive = await self._find_job(job)
        if detail is None:
            return _make_unknown_job(job, unresponsive)
        try:
            await self._router.cancel_at(detail.job.service, detail.job.queue, job)
        except exceptions.RequestError as error:
            return error.response.status, {"error": str(error)}
        _log.info("An operator cancelled a job.", job=job)
        return 200, {"job": job, "state": "cancelled"}

    async def _list_queues(self) -> Response:
        rows, unresponsive = await self._inspect_all(calls.View.QUEUES, self._get_services())
        # A queue with jobs at several services has a row for each, also if it isn't declared.
        active = {row["queue"] for row in rows}
        routes = self._active_queues.routes
        rows += [
            msgspec.to_builtins(_make_idle_view(queue))
            for queue in (routes.declared.queues if routes is not None else ())
            if queue.name not in active
        ]
        rows.sort(key=lambda row: (str(row["queue"]), str(row["service"])))
        return 200, {"queues": rows, "silent": unresponsive}

    async def _list_pools(self) -> Response:
        worker_rows, unresponsive = await self._inspect_all(calls.View.POOLS, self._get_services())
        host_rows, unresponsive_fleet = await self._inspect_all(
            calls.View.POOLS, [_get_fleet_service()]
        )
        rows = {str(row["pool"]): row for row in worker_rows}
        for row in host_rows:
            pool_row = rows.setdefault(str(row["pool"]), row)
            pool_row |= {"hosts": row["hosts"], "hosts_wanted": row["hosts_wanted"]}
        pool_rows = [rows[pool] for pool in sorted(rows)]
        return 200, {"pools": pool_rows, "silent": unresponsive + unresponsive_fleet}


def _get_fleet_service() -> ids.ServiceName:
    return ids.ServiceName(fleet_holder.FLEET)


def _make_idle_view(queue: queues.Queue) -> views.QueueView:
    return views.QueueView(
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        pending=0,
        live=0,
        tasks_running=0,
        tasks_waiting=0,
    )


def _make_unknown_job(job: ids.JobId, unresponsive: list[str]) -> Response:
    if unresponsive:
        error = f"it isn't known whether {job} exists: no answer from {', '.join(unresponsive)}"
        return 503, {"error": error}
    return 404, {"error": f'no job "{job}" is known'}
