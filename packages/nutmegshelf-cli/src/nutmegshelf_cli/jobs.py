"""Show and cancel jobs, and show queues, pools, waves and holders."""

import typing
import urllib.parse

import typer

from nutmegshelf_cli import output, session

Row = dict[str, typing.Any]

_COLUMNS: dict[str, tuple[str, ...]] = {
    "jobs": ("job", "queue", "state", "age_s", "tasks", "waits_for"),
    "tasks": ("task", "phase", "worker", "run", "percent", "failures", "since_s"),
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


def _list(kind: str, answer: session.Response, as_json: bool) -> None:
    lines = output.format_table(_COLUMNS[kind], answer.body.get(kind, []))
    silent = answer.body.get("silent", [])
    if silent:
        lines.append(f"no answer from the holders of {', '.join(silent)}")
    output.exit_with_response(answer, as_json, lines)


def jobs(
    entry: session.Entries,
    *,
    queue: typing.Annotated[str, typer.Option(help="Only jobs of this queue.")] = "",
    service: typing.Annotated[str, typer.Option(help="Only jobs of this service.")] = "",
    state: typing.Annotated[str, typer.Option(help="Only jobs in this state.")] = "",
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """List jobs, live ones first, and what those that don't run wait for."""
    asked = {"queue": queue, "service": service, "state": state}
    given = {name: value for name, value in asked.items() if value}
    _list("jobs", session.Session(entry, token).get("/jobs", **given), as_json)


def job(
    job_id: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Show a job with its tasks."""
    answer = session.Session(entry, token).get(f"/jobs/{urllib.parse.quote(job_id, safe='')}")
    lines = []
    if answer.status == 200:
        found = answer.body["job"]
        lines = [f"{name}: {value}" for name, value in found.items() if value not in ("", {})]
        lines += output.format_table(_COLUMNS["tasks"], answer.body["tasks"])
    output.exit_with_response(answer, as_json, lines)


def cancel(
    job_id: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Cancel a job; one that has ended stays as it is."""
    path = f"/jobs/{urllib.parse.quote(job_id, safe='')}"
    answer = session.Session(entry, token).request("DELETE", path)
    output.exit_with_response(answer, as_json, [f"{job_id} is {answer.body.get('state', '-')}"])


def queues(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show the queues in force, and how much of each waits and runs."""
    _list("queues", session.Session(entry, token).get("/queues"), as_json)


def pools(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show the pools: their hosts, how many are wanted, and what runs and waits there."""
    _list("pools", session.Session(entry, token).get("/pools"), as_json)


def waves(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show how far the waves of upkeep have come."""
    _list("waves", session.Session(entry, token).get("/waves"), as_json)


def holders(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show which entry holds each service, and how old the proof of it is."""
    _list("holders", session.Session(entry, token).get("/holders"), as_json)
