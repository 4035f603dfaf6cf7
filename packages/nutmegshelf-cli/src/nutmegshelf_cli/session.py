"""Send requests to the operators' ports of entries, with failover between entries."""

import asyncio
import enum
import json
import sys
import typing
import urllib.parse

import h11
import typer
from nutmegshelf_http import client

_REQUEST_TIMEOUT_S = 20.0


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

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
    help="HOST:PORT of an entry's operators' port; repeat the option to name several entries.",
)
Entries = typing.Annotated[list[str], _ENTRY_OPTION]
OptionalEntries = typing.Annotated[list[str] | None, _ENTRY_OPTION]
Token = typing.Annotated[
    str, typer.Option(envvar="NUTMEGSHELF_TOKEN", help="Bearer token for the operators' port.")
]
JsonOutput = typing.Annotated[
    bool, typer.Option("--json", help="Print the complete response as JSON.")
]


class Response(typing.NamedTuple):
    """A decoded response and the entry that sent it."""

    entry: str
    status: int
    body: dict[str, typing.Any]

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code for the HTTP status, FAILED if it has none."""
        return EXIT_CODES.get(self.status, ExitCode.FAILED)


class Session:
    """A client that fails over to the next entry in the given order."""

    def __init__(self, entries: list[str], token: str) -> None:
        self._entries = list(entries)
        self._headers = [(b"authorization", f"Bearer {token}".encode())] if token else []
        # Whether a request so far may have taken effect without an answer that says so.
        self.is_outcome_unknown = False

    def get(self, path: str, **query: str) -> Response:
        """Return the response of the first reachable entry to a GET request."""
        return self.request("GET", f"{path}?{urllib.parse.urlencode(query)}" if query else path)

    def request(
        self, method: str, target: str, body: object = None, *, accept_unavailable: bool = True
    ) -> Response:
        """Send a request to the entries in turn until one responds.

        Without accept_unavailable, the next entry is tried after a 503 as well, and the last 503
        is returned if no entry sends another status. Raises typer.Exit if no entry responds.
        """
        encoded_body = json.dumps(body).encode() if body is not None else b""
        last_response: Response | None = None
        for entry in self._entries:
            try:
                response = asyncio.run(self._send(entry, method, target, encoded_body))
            except (OSError, TimeoutError, h11.ProtocolError, ValueError) as error:
                print(f"no answer from {entry}: {error!r}", file=sys.stderr)
                if not isinstance(error, ConnectionRefusedError):
                    self.is_outcome_unknown = True
                continue
            if response.body.get("outcome") == "unknown":
                self.is_outcome_unknown = True
            if accept_unavailable or response.status != 503:
                return response
            last_response = response
        if last_response is not None:
            return last_response
        raise typer.Exit(ExitCode.UNREACHABLE)

    async def _send(self, entry: str, method: str, target: str, encoded_body: bytes) -> Response:
        host, _, port = entry.rpartition(":")
        entry_client = client.Client(host, int(port), self._headers)
        response = await entry_client.request(
            method, target, encoded_body, timeout_s=_REQUEST_TIMEOUT_S
        )
        entry_client.close()
        return Response(entry, response.status, json.loads(response.body))
