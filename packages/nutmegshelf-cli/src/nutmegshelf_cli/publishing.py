"""Commands that check, compare and publish directories of declaration files."""

import getpass
import json
import pathlib
import sys
import time
import typing
import uuid

import msgspec
import typer
from nutmegshelf import validation

from nutmegshelf_cli import output, session

_CONFIRMATION_POLL_INTERVAL_S = 0.2
_CONFIRMATION_TIMEOUT_S = 15.0
_MAX_ATTEMPTS = 3

Directory = typing.Annotated[
    pathlib.Path,
    typer.Argument(exists=True, file_okay=False, help="Directory of TOML declaration files."),
]


def _read_files(directory: pathlib.Path) -> dict[str, str]:
    return {path.name: path.read_text() for path in sorted(directory.glob("*.toml"))}


def check(
    directory: Directory,
    entry: session.OptionalEntries = None,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Check a declaration set and show all faults.

    With an entry, the set is also checked against the configuration in force.
    """
    if entry:
        response = session.Session(entry, token).request(
            "POST", "/check", {"files": _read_files(directory)}
        )
        success_message = f"no fault, against version {response.body.get('version')}"
    else:
        response = _check_locally(directory)
        success_message = "no fault in the set alone"
    output.exit_with_response(
        response, as_json, output.format_faults(response.body) or [success_message]
    )


def _check_locally(directory: pathlib.Path) -> session.Response:
    _, found_faults = validation.validate(_read_files(directory))
    faults = [{**msgspec.to_builtins(fault), "text": str(fault)} for fault in found_faults]
    return session.Response("", 422 if faults else 200, {"faults": faults})


def diff(
    directory: Directory,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Show the changes that publishing a set would make; exit with 8 if there are any."""
    response = session.Session(entry, token).request(
        "POST", "/check", {"files": _read_files(directory)}
    )
    lines = output.format_faults(response.body) or output.format_differences(response.body)
    if response.status == 200 and response.body["differences"]:
        if not as_json:
            print("\n".join(lines))
            raise typer.Exit(session.ExitCode.DIFFERENT)
        print(json.dumps(response.body))
        raise typer.Exit(session.ExitCode.DIFFERENT)
    output.exit_with_response(
        response, as_json, lines or [f"no difference from version {response.body['version']}"]
    )


def publish(
    directory: Directory,
    entry: session.Entries,
    *,
    token: session.Token = "",
    expect: typing.Annotated[
        int | None, typer.Option(help="Publish only if this is the newest version.")
    ] = None,
    operator: typing.Annotated[
        str, typer.Option(help="Name of the operator to record; the login name by default.")
    ] = "",
    publish_id: typing.Annotated[
        str,
        typer.Option(help="Id of an earlier publish to repeat; an id is accepted at most once."),
    ] = "",
    wait: typing.Annotated[
        bool, typer.Option("--wait", help="Wait until the version is in force at every live entry.")
    ] = False,
    as_json: session.JsonOutput = False,
) -> None:
    """Publish a declaration set, retrying under the same id while the entries are unavailable."""
    publish_request: dict[str, object] = {
        "files": _read_files(directory),
        "publish_id": publish_id or uuid.uuid4().hex,
        "operator": operator or getpass.getuser(),
        "expected": expect,
    }
    operator_session = session.Session(entry, token)
    try:
        response = _send_publish(operator_session, publish_request)
    except typer.Exit:
        if operator_session.is_outcome_unknown:
            _print_publish_id(publish_request)
        raise
    if response.status != 200:
        _print_refusal_details(response, publish_request)
        output.exit_with_response(response, as_json, output.format_faults(response.body))
    version = response.body["head"]["version"]
    if wait:
        _wait_for_confirmation(operator_session, version, as_json)
    output.exit_with_response(response, as_json, [f"version {version} is accepted"])


def _send_publish(
    operator_session: session.Session, publish_request: dict[str, object]
) -> session.Response:
    for attempt in range(_MAX_ATTEMPTS):
        if attempt:
            time.sleep(1.0)
        response = operator_session.request(
            "POST", "/publish", publish_request, accept_unavailable=False
        )
        if response.status != 503:
            return response
    if operator_session.is_outcome_unknown:
        # The last entry speaks of the last request alone.
        return response._replace(body=response.body | {"outcome": "unknown"})
    return response


def _print_refusal_details(response: session.Response, publish_request: dict[str, object]) -> None:
    for revision in response.body.get("since", []):
        print(f"accepted meanwhile: {output.format_revision(revision)}", file=sys.stderr)
    if response.status == 503:
        _print_publish_id(publish_request)


def _print_publish_id(publish_request: dict[str, object]) -> None:
    print(f"repeat with --publish-id {publish_request['publish_id']}", file=sys.stderr)


def _wait_for_confirmation(operator_session: session.Session, version: int, as_json: bool) -> None:
    started_s = time.monotonic()
    shown_count = -1
    while True:
        try:
            entries = operator_session.get("/status").body["entries"]
        except typer.Exit:
            print(f"version {version} is not confirmed, as no entry answers", file=sys.stderr)
            raise typer.Exit(session.ExitCode.UNCONFIRMED) from None
        live_entries = [row for row in entries if row["is_live"]]
        unconfirmed = sorted(row["entry"] for row in live_entries if row["version"] < version)
        if len(unconfirmed) != shown_count and not as_json:
            print(
                f"version {version}: {len(live_entries) - len(unconfirmed)}"
                f" of {len(live_entries)} entries"
            )
        shown_count = len(unconfirmed)
        if not unconfirmed:
            return
        if time.monotonic() - started_s > _CONFIRMATION_TIMEOUT_S:
            print(
                f"version {version} is not confirmed by {', '.join(unconfirmed)}", file=sys.stderr
            )
            raise typer.Exit(session.ExitCode.UNCONFIRMED)
        time.sleep(_CONFIRMATION_POLL_INTERVAL_S)
