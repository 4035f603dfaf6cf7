"""Print answers for people and for programs."""

import datetime
import json
import sys
import typing

import typer

from nutmegshelf_cli import session


def exit_with_response(
    answer: session.Response, as_json: bool, lines: list[str]
) -> typing.NoReturn:
    """Print an answer and end with its exit code."""
    if as_json:
        print(json.dumps(answer.body))
    elif answer.status in {200, 422} and lines:
        print("\n".join(lines))
    if not as_json and "error" in answer.body:
        print(answer.body["error"], file=sys.stderr)
    raise typer.Exit(answer.exit_code)


def format_time(seconds: float | None) -> str:
    """Show a moment."""
    if seconds is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def format_age(seconds: float | None) -> str:
    """Show how old something is."""
    return "never confirmed by the table" if seconds is None else f"{seconds:.1f} s old"


def format_revision(found: dict[str, typing.Any]) -> str:
    """Show a version of the history on one line."""
    names = ", ".join(found["changed"])
    more = found["changed_count"] - len(found["changed"])
    rest = f" and {more} more" if more > 0 else ""
    when, who = format_time(found["accepted_at_s"]), found["operator"] or "-"
    return f"{found['version']}  {when}  {who}  {names}{rest}"


def format_faults(body: dict[str, typing.Any]) -> list[str]:
    """Show all faults of a set, a line each."""
    return [fault["text"] for fault in body.get("faults", [])]


def format_differences(body: dict[str, typing.Any]) -> list[str]:
    """Show all differences of a set, a line each."""
    return [
        f"{one['field']}: {json.dumps(one['before'])} -> {json.dumps(one['after'])}"
        for one in body.get("differences", [])
    ]


def format_table(columns: tuple[str, ...], rows: list[dict[str, typing.Any]]) -> list[str]:
    """Show rows under a head, in columns of even width; none where there are no rows."""
    if not rows:
        return ["none"]
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    lines = [list(columns), *cells]
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]


def _cell(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case dict():
            return ",".join(f"{count} {name}" for name, count in value.items()) or "-"
        case bool():
            return "yes" if value else "no"
        case _:
            return str(value)
