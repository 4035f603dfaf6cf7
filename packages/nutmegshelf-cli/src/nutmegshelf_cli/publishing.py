"""Check, compare and publish directories of declarations."""

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

_WAIT_STEP_S = 0.2
_CONFIRMATION_TIMEOUT_S = 15.0
_TRIES = 3

Directory = typing.Annotated[
    pathlib.Path, typer.Argument(exists=True, file_okay=False, help="A directory of TOML files.")
]


def _files(directory: pathlib.Path) -> dict[str, str]:
    return {path.name: path.read_text() for path in sorted(directory.glob("*.toml"))}


def check(
    directory: Directory,
    entry: session.OptionalEntries = None,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Check a set, against what is in force where an entry is given, and name every fault."""
    if entry:
        answer = session.Session(entry, token).request(
            "POST", "/check", {"files": _files(directory)}
        )
        words = f"no fault, against version {answer.body.get('version')}"
    else:
        answer = _check_here(directory)
        words = "no fault in the set alone"
    output.exit_with_response(answer, as_json, output.format_faults(answer.body) or [words])


def _check_here(directory: pathlib.Path) -> session.Response:
    _, found = validation.validate(_files(directory))
    faults = [{**msgspec.to_builtins(one), "text": str(one)} for one in found]
    return session.Response("", 422 if faults else 200, {"faults": faults})


def diff(
    directory: Directory,
    entry: session.Entries,
    token: session.Token = "",
    as_json: session.JsonOutput = False,
) -> None:
    """Show what a set would change; ends with 8 where it differs."""
    answer = session.Session(entry, token).request("POST", "/check", {"files": _files(directory)})
    lines = output.format_faults(answer.body) or output.format_differences(answer.body)
    if answer.status == 200 and answer.body["differences"]:
        if not as_json:
            print("\n".join(lines))
            raise typer.Exit(session.ExitCode.DIFFERENT)
        print(json.dumps(answer.body))
        raise typer.Exit(session.ExitCode.DIFFERENT)
    output.exit_with_response(
        answer, as_json, lines or [f"no difference from version {answer.body['version']}"]
    )


def publish(
    directory: Directory,
    entry: session.Entries,
    *,
    token: session.Token = "",
    expect: typing.Annotated[
        int | None, typer.Option(help="Refuse unless this version is the newest.")
    ] = None,
    operator: typing.Annotated[str, typer.Option(help="Who publishes.")] = "",
    publish_id: typing.Annotated[
        str, typer.Option(help="Repeat the publish of this id; it is never accepted twice.")
    ] = "",
    wait: typing.Annotated[
        bool, typer.Option("--wait", help="Wait until every live entry has it in force.")
    ] = False,
    as_json: session.JsonOutput = False,
) -> None:
    """Check a set and publish it; repeats with the same id until the outcome is known."""
    asked = {
        "files": _files(directory),
        "publish_id": publish_id or uuid.uuid4().hex,
        "operator": operator or getpass.getuser(),
        "expected": expect,
    }
    link = session.Session(entry, token)
    answer = link.request("POST", "/publish", asked, accept_unavailable=False)
    for _ in range(_TRIES - 1):
        if answer.status != 503:
            break
        time.sleep(1.0)
        answer = link.request("POST", "/publish", asked, accept_unavailable=False)
    if answer.status != 200:
        _explain_refusal(answer, asked["publish_id"])
        output.exit_with_response(answer, as_json, output.format_faults(answer.body))
    version = answer.body["head"]["version"]
    if wait:
        _wait(link, version, as_json)
    output.exit_with_response(answer, as_json, [f"version {version} is accepted"])


def _explain_refusal(answer: session.Response, publish_id: object) -> None:
    for found in answer.body.get("since", []):
        print(f"accepted meanwhile: {output.format_revision(found)}", file=sys.stderr)
    if answer.status == 503:
        print(f"repeat with --publish-id {publish_id}", file=sys.stderr)


def _wait(link: session.Session, version: int, as_json: bool) -> None:
    started_s = time.monotonic()
    shown = -1
    while True:
        entries = link.get("/status").body["entries"]
        live = [one for one in entries if one["is_live"]]
        late = sorted(one["entry"] for one in live if one["version"] < version)
        if len(late) != shown and not as_json:
            print(f"version {version}: {len(live) - len(late)} of {len(live)} entries")
        shown = len(late)
        if not late:
            return
        if time.monotonic() - started_s > _CONFIRMATION_TIMEOUT_S:
            print(f"version {version} is not confirmed by {', '.join(late)}", file=sys.stderr)
            raise typer.Exit(session.ExitCode.UNCONFIRMED)
        time.sleep(_WAIT_STEP_S)
