"""Read the operators' command line."""

import asyncio
import json
import pathlib
import sys
import typing
import uuid

import h11
import typer
from nutmegshelf_http import client

app = typer.Typer(help="Drive nutmegshelf by publishing declarations.", no_args_is_help=True)

Entry = typing.Annotated[
    str, typer.Option("--entry", envvar="NUTMEGSHELF_ENTRY", help="HOST:PORT of an operators' port")
]
Token = typing.Annotated[str, typer.Option(envvar="NUTMEGSHELF_TOKEN", help="The bearer token")]

_EXITS = {200: 0, 401: 4, 409: 3, 422: 2, 503: 5}
_UNREACHABLE_EXIT = 6


def _call(entry: str, token: str, method: str, target: str, body: object = None) -> None:
    host, _, port = entry.rpartition(":")
    headers = [(b"authorization", f"Bearer {token}".encode())] if token else []
    data = json.dumps(body).encode() if body is not None else b""

    async def call() -> client.Response:
        return await client.Client(host, int(port), headers).request(method, target, data)

    try:
        answer = asyncio.run(call())
    except (OSError, h11.ProtocolError) as error:
        print(f"no answer from {entry}: {error}", file=sys.stderr)
        raise typer.Exit(_UNREACHABLE_EXIT) from error
    print(answer.body.decode())
    raise typer.Exit(_EXITS.get(answer.status, 1))


@app.command()
def publish(
    directory: pathlib.Path,
    entry: Entry,
    token: Token = "",
    expect: int | None = None,
    operator: str = "",
) -> None:
    """Check a directory of declarations and publish it as one set."""
    files = {path.name: path.read_text() for path in sorted(directory.glob("*.toml"))}
    asked = {
        "files": files,
        "publish_id": uuid.uuid4().hex,
        "operator": operator,
        "expected": expect,
    }
    _call(entry, token, "POST", "/publish", asked)


@app.command()
def status(entry: Entry, token: Token = "") -> None:
    """Show what is in force at an entry."""
    _call(entry, token, "GET", "/status")


def run() -> None:
    """Be the entry point of nutmegshelf."""
    app()
