"""Format responses as text for operators or as JSON for programs."""

import datetime
import json
import sys
import typing

import typer

from nutmegshelf_cli import session


def exit_with_response(
    response: session.Response, as_json: bool, lines: list[str]
) -> typing.NoReturn:
    """Print a response as JSON or as the given lines, and exit with its exit code."""
    if as_json:
        print(json.dumps(response.body))
    elif response.status in {200, 422} and lines:
        print("\n".join(lines))
    if not as_json and "error" in response.body:
        print(response.body["error"], file=sys.stderr)
    raise typer.Exit(response.exit_code)


def format_time(seconds: float | None) -> str:
    """Format a Unix time in ISO 8601, UTC; "-" stands for None."""
    if seconds is None:
        return "-"
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.isoformat(timespec="seconds")


def format_age(seconds: float | None) -> str:
    """Format the age of data that the table last confirmed; None means never."""
    return "never confirmed by the table" if seconds is None else f"{seconds:.1f} s old"


def format_revision(revision: dict[str, typing.Any]) -> str:
    """Format a revision of the configuration on one line."""
    changed_names = ", ".join(revision["changed"])
    omitted_count = revision["changed_count"] - len(revision["changed"])
    suffix = f" and {omitted_count} more" if omitted_count > 0 else ""
    accepted_at, operator = format_time(revision["accepted_at_s"]), revision["operator"] or "-"
    return f"{revision['version']}  {accepted_at}  {operator}  {changed_names}{suffix}"


def format_faults(body: dict[str, typing.Any]) -> list[str]:
    """Format the faults of a declaration set, one per line."""
    return [fault["text"] for fault in body.get("faults", [])]


def format_differences(body: dict[str, typing.Any]) -> list[str]:
    """Format the differences from the active configuration, one per line."""
    return [
        f"{difference['field']}: {json.dumps(difference['before'])}"
        f" -> {json.dumps(difference['after'])}"
        for difference in body.get("differences", [])
    ]


def format_table(columns: tuple[str, ...], rows: list[dict[str, typing.Any]]) -> list[str]:
    """Format rows as aligned columns below a header, or as "none" if there are no rows."""
    if not rows:
        return ["none"]
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    lines = [list(columns), *cells]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]


def _format_cell(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case dict():
            return ",".join(f"{count} {name}" for name, count in value.items()) or "-"
        case bool():
            return "yes" if value else "no"
        case _:
            return str(value)
