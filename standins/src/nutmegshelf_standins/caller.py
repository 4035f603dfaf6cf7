"""Call services through entries and keep what came of every request."""

import asyncio
import dataclasses
import enum
import random

import h11
from nutmegshelf_http import client

from nutmegshelf_standins import minion


class Result(enum.Enum):
    """Say how a request ended for its caller."""

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CONNECTION_LOST = "broken"
    WRONG_BODY = "wrong"
    TIMED_OUT = "silent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe one request."""

    token: str
    service: str
    method: str = "GET"
    path: str = "/"
    answer_bytes: int = 64
    chunked: bool = False
    body: bytes = b""
    key: str | None = None
    timeout_ms: int = 5000
    work_ms: int | None = None
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """Record how a request ended."""

    call: Call
    result: Result
    status: int = 0
    latency_s: float = 0.0
    port: int = 0
    error: str = ""


class Caller:
    """Send calls to entries by port."""

    def __init__(self, ports: list[int], rng: random.Random, host: str = "127.0.0.1") -> None:
        self.ports = ports
        self.call_records: list[CallRecord] = []
        self._rng = rng
        self._host = host
        self._clients: dict[int, client.Client] = {}

    async def call(self, call: Call, port: int | None = None) -> CallRecord:
        """Send one call and keep its record."""
        started_s = asyncio.get_running_loop().time()
        port = port or self._rng.choice(self.ports)
        result, status, error = await self._send(call, port)
        latency_s = asyncio.get_running_loop().time() - started_s
        done = CallRecord(call, result, status, latency_s, port, error)
        self.call_records.append(done)
        return done

    async def call_with_retries(self, call: Call, max_retries: int) -> CallRecord:
        """Repeat a keyed call through other entries while its outcome is unknown."""
        done = await self.call(call)
        for _ in range(max_retries):
            if done.result not in (Result.UNKNOWN, Result.CONNECTION_LOST):
                break
            others = [port for port in self.ports if port != done.port]
            done = await self.call(call, self._rng.choice(others or self.ports))
        return done

    async def _send(self, call: Call, port: int) -> tuple[Result, int, str]:
        link = self._clients.setdefault(port, client.Client(self._host, port))
        headers = [
            (b"x-token", call.token.encode()),
            (b"x-answer-bytes", str(call.answer_bytes).encode()),
            (b"request-timeout-ms", str(call.timeout_ms).encode()),
        ]
        if call.chunked:
            headers.append((b"x-chunked", b"1"))
        if call.traceparent:
            headers.append((b"traceparent", call.traceparent.encode()))
        if call.work_ms is not None:
            headers.append((b"x-work-ms", str(call.work_ms).encode()))
        if call.key:
            headers.append((b"idempotency-key", call.key.encode()))
        try:
            async with asyncio.timeout(call.timeout_ms / 1000 + 5):
                answer = await link.request(
                    call.method, f"/{call.service}{call.path}", call.body, headers
                )
        except ConnectionRefusedError:
            # No entry listens here: the platform's balancer would have chosen another one.
            return Result.NOT_RUN, 0, ""
        except TimeoutError:
            # This comes before OSError, of which it is a kind.
            return Result.TIMED_OUT, 0, ""
        except (OSError, h11.ProtocolError) as error:
            return Result.CONNECTION_LOST, 0, repr(error)
        outcome = answer.get_header(b"nutmegshelf-outcome")
        if outcome is not None:
            kind = (answer.get_header(b"nutmegshelf-error") or b"").decode()
            return Result(outcome.decode()), answer.status, kind
        whole = answer.body == minion.make_response_body(call.token, call.answer_bytes)
        return (Result.COMPLETE if whole else Result.WRONG_BODY), answer.status, ""


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Compare the callers' records with the minions'."""

    requests: int
    complete: int
    refused: int
    unknown: int
    lost: int
    duplicated: int
    wrong_bodies: int
    false_refusals: int

    @property
    def is_consistent(self) -> bool:
        """Say whether every promise was kept."""
        return not (self.lost or self.duplicated or self.wrong_bodies or self.false_refusals)

    def __str__(self) -> str:
        return (
            f"{self.requests} requests, {self.complete} whole answers, "
            f"{self.refused} refused not-run, {self.unknown} unknown, {self.lost} lost, "
            f"{self.duplicated} doubled, {self.wrong_bodies} cut short"
        )


def summarize(done: list[CallRecord], records: list[minion.Records]) -> Summary:
    """Count kept and broken promises; only the records of both sides count."""
    runs: dict[str, int] = {}
    for record in records:
        for run in record.runs:
            runs[run.token] = runs.get(run.token, 0) + 1
    count = {result: sum(d.result is result for d in done) for result in Result}
    not_idempotent = {d.call.token for d in done if d.call.method in ("POST", "PATCH")}
    never_run = sum(d.result is Result.COMPLETE and not runs.get(d.call.token) for d in done)
    refused = {d.call.token for d in done if d.result is Result.NOT_RUN}
    answered = {d.call.token for d in done if d.result is not Result.NOT_RUN}
    return Summary(
        requests=len(done),
        complete=count[Result.COMPLETE],
        refused=count[Result.NOT_RUN],
        unknown=count[Result.UNKNOWN] + count[Result.CONNECTION_LOST],
        lost=count[Result.TIMED_OUT] + never_run,
        duplicated=sum(runs.get(token, 0) > 1 for token in not_idempotent),
        wrong_bodies=count[Result.WRONG_BODY],
        false_refusals=sum(bool(runs.get(token)) for token in refused - answered),
    )
