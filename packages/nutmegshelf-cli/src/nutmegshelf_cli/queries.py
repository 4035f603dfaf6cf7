"""Show what is in force, what was accepted and why things were decided."""

import json
import typing

import typer

from nutmegshelf_cli import __version__, output, session


def status(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """Show the version in force at each entry and how the store does."""
    answer = session.Session(entry, token).get("/status")
    body = answer.body
    lines = []
    if answer.status == 200:
        declared = ", ".join(f"{count} {kind}" for kind, count in body["declared"].items())
        lines = [
            f"version {body['version']} by {body['operator'] or '-'}"
            f" at {output.format_time(body['accepted_at_s'])}: {declared}",
            f"seen from {body['entry']}: {body['standing']},"
            f" {output.format_age(body['table_age_s'])}",
            *map(_entry, body["entries"]),
        ]
    output.exit_with_response(answer, as_json, lines)


def _entry(found: dict[str, typing.Any]) -> str:
    state = "live" if found["is_live"] else "silent"
    state = "leaving" if found["leaving"] else state
    words = (
        f"{found['zone']}  version {found['version']}  {state}  {output.format_age(found['age_s'])}"
    )
    return f"{found['entry']}  {words}"


def entries(
    entry: session.Entries, token: session.Token = "", as_json: session.JsonOutput = False
) -> None:
    """List the entries and their operators' ports."""
    answer = session.Session(entry, token).get("/status")
    found = answer.body.get("entries", [])
    lines = [f"{_entry(one)}  {one['operator_address']}" for one in found]
    output.exit_with_response(
        answer._replace(body={"entries": found} if found else answer.body), as_json, lines
    )


def history(
    entry: session.Entries,
    token: session.Token = "",
    after: typing.Annotated[int, typer.Option(help="Begin after this version.")] = 0,
    as_json: session.JsonOutput = False,
) -> None:
    """Show who published what and when."""
    answer = session.Session(entry, token).get("/history", after=str(after))
    lines = [output.format_revision(one) for one in answer.body.get("revisions", [])]
    if answer.body.get("age_s"):
        lines.append(f"from memory, {output.format_age(answer.body['age_s'])}")
    output.exit_with_response(answer, as_json, lines)


def explain(
    name: str,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Say why things were decided on a pool, service, host, entry or job."""
    answer = session.Session(entry, token).get("/explain", name=name)
    lines = [
        f"{output.format_time(one['at_s'])}  {one['kind']}: {one['reason']}"
        for one in answer.body.get("decisions", [])
    ]
    if answer.body.get("waits_for"):
        lines.insert(0, f"waits for {answer.body['waits_for']}")
    output.exit_with_response(answer, as_json, lines)


def version(as_json: session.JsonOutput = False) -> None:
    """Show the version of this program."""
    print(json.dumps({"version": __version__}) if as_json else __version__)
    raise typer.Exit(session.ExitCode.DONE)
