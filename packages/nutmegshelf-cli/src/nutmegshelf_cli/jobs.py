"""Commands that list and cancel jobs and list queues, pools, waves and lease holders."""

import typing
import urllib.parse

import typer

from nutmegshelf_cli import output, session

Row = dict[str, typing.Any]

_COLUMNS: dict[str, tuple[str, ...]] = {
    "jobs": ("job", "queue", "state", "age_s", "tasks", "waits_for"),
    "tasks": ("task", "phase", "worker", "run", "percent", "failures", "crashes", "since_s"),
    "queues": (
        "queue",
        "service",
        "priority",
        "pending",
        "live",
        "tasks_running",
        "tasks_waiting",
    ),
    "pools": (
        "pool",
        "hosts",
        "hosts_wanted",
        "workers",
        "open_workers",
        "cpu_millis",
        "cpu_running",
        "cpu_waiting",
    ),
    "waves": ("wave", "hosts", "done", "down", "at_once", "is_finished"),
    "holders": (
        "service",
        "entry",
        "epoch",
        "lease_age_s",
        "is_settled",
        "jobs_live",
        "jobs_kept",
    ),
}


def _print_list(kind: str, response: session.Response, as_json: bool) -> None:
    lines = output.format_table(_COLUMNS[kind], response.body.get(kind, []))
    unreachable_services = response.body.get("silent", [])
    if unreachable_services:
        lines.append(f"no answer from the holders of {', '.join(unreachable_services)}")
    output.exit_with_response(response, as_json, lines)


def jobs(
    entry: session.Entries,
    *,
    queue: typing.Annotated[str, typer.Option(help="List only jobs of this queue.")] = "",
    service: typing.Annotated[str, typer.Option(help="List only jobs of this service.")] = "",
    state: typing.Annotated[str, typer.Option(help="List only jobs in this state.")] = "",
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """List jobs, unfinished ones first, with what jobs that are not running wait for."""
    filters = {"queue": queue, "service": service, "state": state}
    query = {name: value for name, value in filters.items() if value}
    _print_list("jobs", session.Session(entry, token).get("/jobs", **query), as_json)


def job(
    job_id: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Show a job and its tasks."""
    response = session.Session(entry, token).get(f"/jobs/{urllib.parse.quote(job_id, safe='')}")
    lines = []
    if response.status == 200:
        job_fields = response.body["job"]
        lines = [f"{name}: {value}" for name, value in job_fields.items() if value not in ("", {})]
        lines += output.format_table(_COLUMNS["tasks"], response.body["tasks"])
    output.exit_with_response(response, as_json, lines)


def cancel(
    job_id: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Cancel a job; has no effect on a job that has ended."""
    path = f"/jobs/{urllib.parse.quote(job_id, safe='')}"
    response = session.Session(entry, token).request("DELETE", path)
    output.exit_with_response(response, as_json, [f"{job_id} is {response.body.get('state', '-')}"])


def queues(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """List the queues in force with their pending jobs and running and waiting tasks."""
    _print_list("queues", session.Session(entry, token).get("/queues"), as_json)


def pools(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """List the pools with their hosts, the hosts wanted, and running and waiting CPU."""
    _print_list("pools", session.Session(entry, token).get("/pools"), as_json)


def waves(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show the progress of the maintenance waves."""
    _print_list("waves", session.Session(entry, token).get("/waves"), as_json)


def holders(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show which entry holds the lease of each service, and the age of the lease."""
    _print_list("holders", session.Session(entry, token).get("/holders"), as_json)
