"""Commands that show the active configuration, its history, and the reasons for decisions."""

import json
import typing

import typer

from nutmegshelf_cli import __version__, output, session


def status(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show the configuration version in force at each entry and when the table confirmed it."""
    response = session.Session(entry, token).get("/status")
    body = response.body
    lines = []
    if response.status == 200:
        declared_counts = ", ".join(f"{count} {kind}" for kind, count in body["declared"].items())
        lines = [
            f"version {body['version']} by {body['operator'] or '-'}"
            f" at {output.format_time(body['accepted_at_s'])}: {declared_counts}",
            f"seen from {body['entry']}: {body['standing']},"
            f" {output.format_age(body['table_age_s'])}",
            *map(_format_entry, body["entries"]),
        ]
    output.exit_with_response(response, as_json, lines)


def _format_entry(entry_row: dict[str, typing.Any]) -> str:
    state = "live" if entry_row["is_live"] else "silent"
    state = "leaving" if entry_row["leaving"] else state
    details = (
        f"{entry_row['zone']}  version {entry_row['version']}  {state}"
        f"  {output.format_age(entry_row['age_s'])}"
    )
    return f"{entry_row['entry']}  {details}"


def entries(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """List the entries with the addresses of their operators' ports."""
    response = session.Session(entry, token).get("/status")
    rows = response.body.get("entries", [])
    lines = [f"{_format_entry(row)}  {row['operator_address']}" for row in rows]
    output.exit_with_response(
        response._replace(body={"entries": rows} if rows else response.body), as_json, lines
    )


def history(
    entry: session.Entries,
    token: session.Token = "",
    after: typing.Annotated[int, typer.Option(help="List only versions after this one.")] = 0,
    as_json: session.JsonOutput = False,
) -> None:
    """List the published versions with their time, operator and changes."""
    response = session.Session(entry, token).get("/history", after=str(after))
    lines = [output.format_revision(revision) for revision in response.body.get("revisions", [])]
    if response.body.get("age_s"):
        lines.append(f"from memory, {output.format_age(response.body['age_s'])}")
    output.exit_with_response(response, as_json, lines)


def explain(
    name: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Show the recent decisions on a pool, service, host, entry or job, with their reasons."""
    response = session.Session(entry, token).get("/explain", name=name)
    lines = [
        f"{output.format_time(decision['at_s'])}  {decision['kind']}: {decision['reason']}"
        for decision in response.body.get("decisions", [])
    ]
    if response.body.get("waits_for"):
        lines.insert(0, f"waits for {response.body['waits_for']}")
    output.exit_with_response(response, as_json, lines)


def version(as_json: session.JsonOutput = False) -> None:
    """Show the version of the command-line program."""
    print(json.dumps({"version": __version__}) if as_json else __version__)
    raise typer.Exit(session.ExitCode.DONE)
