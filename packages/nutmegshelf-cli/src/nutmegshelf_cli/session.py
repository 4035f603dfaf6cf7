"""Reach an entry's operators' port, trying the next entry where one gives no answer."""

import asyncio
import enum
import json
import sys
import typing
import urllib.parse

import h11
import typer
from nutmegshelf_http import client

_TIMEOUT_S = 20.0


class ExitCode(enum.IntEnum):
    """Name the exit codes."""

    DONE = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    FORBIDDEN = 4
    UNAVAILABLE = 5
    UNREACHABLE = 6
    UNCONFIRMED = 7
    DIFFERENT = 8
    NOT_FOUND = 9


EXIT_CODES: dict[int, ExitCode] = {
    200: ExitCode.DONE,
    401: ExitCode.FORBIDDEN,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.FAULTS,
    503: ExitCode.UNAVAILABLE,
}

_ENTRY_OPTION = typer.Option(
    "--entry",
    envvar="NUTMEGSHELF_ENTRY",
    help="HOST:PORT of an operators' port; may be given several times.",
)
Entries = typing.Annotated[list[str], _ENTRY_OPTION]
OptionalEntries = typing.Annotated[list[str] | None, _ENTRY_OPTION]
Token = typing.Annotated[str, typer.Option(envvar="NUTMEGSHELF_TOKEN", help="The bearer token.")]
JsonOutput = typing.Annotated[bool, typer.Option("--json", help="Print the whole answer as JSON.")]


class Response(typing.NamedTuple):
    """Hold one entry's answer."""

    entry: str
    status: int
    body: dict[str, typing.Any]

    @property
    def exit_code(self) -> ExitCode:
        """Give the exit code for the answer."""
        return EXIT_CODES.get(self.status, ExitCode.FAILED)


class Session:
    """Ask entries in turn."""

    def __init__(self, entries: list[str], token: str) -> None:
        self._entries = list(entries)
        self._headers = [(b"authorization", f"Bearer {token}".encode())] if token else []

    def get(self, path: str, **query: str) -> Response:
        """Read from the first entry that answers."""
        return self.request("GET", f"{path}?{urllib.parse.urlencode(query)}" if query else path)

    def request(
        self, method: str, target: str, body: object = None, *, accept_unavailable: bool = True
    ) -> Response:
        """Ask entries in turn; an unsettled answer too lets the next one be asked."""
        data = json.dumps(body).encode() if body is not None else b""
        last: Response | None = None
        for entry in self._entries:
            try:
                answer = asyncio.run(self._call(entry, method, target, data))
            except (OSError, TimeoutError, h11.ProtocolError, ValueError) as error:
                print(f"no answer from {entry}: {error!r}", file=sys.stderr)
                continue
            if accept_unavailable or answer.status != 503:
                return answer
            last = answer
        if last is not None:
            return last
        raise typer.Exit(ExitCode.UNREACHABLE)

    async def _call(self, entry: str, method: str, target: str, data: bytes) -> Response:
        host, _, port = entry.rpartition(":")
        link = client.Client(host, int(port), self._headers)
        answer = await link.request(method, target, data, timeout_s=_TIMEOUT_S)
        link.close()
        return Response(entry, answer.status, json.loads(answer.body))
