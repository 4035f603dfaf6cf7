"""Callers that send requests through entries and record the result of each request."""

import asyncio
import dataclasses
import enum
import random

import h11
from nutmegshelf_http import client

from nutmegshelf_standins import minion


class Result(enum.Enum):
    """How a request ended for its caller."""

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CONNECTION_LOST = "broken"
    WRONG_BODY = "wrong"
    TIMED_OUT = "silent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request and the response that the minion is to send."""

    token: str
    service: str
    method: str = "GET"
    path: str = "/"
    response_bytes: int = 64
    chunked: bool = False
    body: bytes = b""
    key: str | None = None
    timeout_ms: int = 5000
    work_ms: int | None = None
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """The result of one request, as its caller saw it."""

    call: Call
    result: Result
    status: int = 0
    latency_s: float = 0.0
    port: int = 0
    error: str = ""


class Caller:
    """A client of several entries that records every call; entries are addressed by port."""

    def __init__(self, ports: list[int], rng: random.Random, host: str = "127.0.0.1") -> None:
        self.ports = ports
        self.call_records: list[CallRecord] = []
        self._rng = rng
        self._host = host
        self._clients: dict[int, client.Client] = {}

    async def call(self, call: Call, port: int | None = None) -> CallRecord:
        """Send a call to a port, by default a random one, and record the result."""
        started_s = asyncio.get_running_loop().time()
        port = port or self._rng.choice(self.ports)
        result, status, error = await self._send(call, port)
        latency_s = asyncio.get_running_loop().time() - started_s
        record = CallRecord(call, result, status, latency_s, port, error)
        self.call_records.append(record)
        return record

    async def call_with_retries(self, call: Call, max_retries: int) -> CallRecord:
        """Send a keyed call, and retry it through other entries while its outcome is unknown."""
        record = await self.call(call)
        for _ in range(max_retries):
            if record.result not in (Result.UNKNOWN, Result.CONNECTION_LOST):
                break
            other_ports = [port for port in self.ports if port != record.port]
            record = await self.call(call, self._rng.choice(other_ports or self.ports))
        return record

    async def _send(self, call: Call, port: int) -> tuple[Result, int, str]:
        entry_client = self._clients.setdefault(port, client.Client(self._host, port))
        headers = [
            (b"x-token", call.token.encode()),
            (b"x-answer-bytes", str(call.response_bytes).encode()),
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
                response = await entry_client.request(
                    call.method, f"/{call.service}{call.path}", call.body, headers
                )
        except ConnectionRefusedError:
            # No entry listens on the port; a load balancer would have chosen another entry.
            return Result.NOT_RUN, 0, ""
        except TimeoutError:
            # TimeoutError is a subclass of OSError and must be caught first.
            return Result.TIMED_OUT, 0, ""
        except (OSError, h11.ProtocolError) as error:
            return Result.CONNECTION_LOST, 0, repr(error)
        outcome = response.get_header(b"nutmegshelf-outcome")
        if outcome is not None:
            error_kind = (response.get_header(b"nutmegshelf-error") or b"").decode()
            return Result(outcome.decode()), response.status, error_kind
        is_complete = response.body == minion.make_response_body(call.token, call.response_bytes)
        return (Result.COMPLETE if is_complete else Result.WRONG_BODY), response.status, ""


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts from comparing the records of the callers with those of the minions."""

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
        """Return whether no request was lost, run twice, answered wrongly or refused falsely."""
        return not (self.lost or self.duplicated or self.wrong_bodies or self.false_refusals)

    def __str__(self) -> str:
        return (
            f"{self.requests} requests, {self.complete} whole answers, "
            f"{self.refused} refused not-run, {self.unknown} unknown, {self.lost} lost, "
            f"{self.duplicated} doubled, {self.wrong_bodies} cut short"
        )


def summarize(call_records: list[CallRecord], minion_records: list[minion.Records]) -> Summary:
    """Return the counts of results and violated guarantees; only the records are evidence."""
    run_counts: dict[str, int] = {}
    for minion_record in minion_records:
        for run in minion_record.runs:
            run_counts[run.token] = run_counts.get(run.token, 0) + 1
    counts = {result: sum(record.result is result for record in call_records) for result in Result}
    not_idempotent = {
        record.call.token for record in call_records if record.call.method in ("POST", "PATCH")
    }
    complete_but_not_run = sum(
        record.result is Result.COMPLETE and not run_counts.get(record.call.token)
        for record in call_records
    )
    refused = {record.call.token for record in call_records if record.result is Result.NOT_RUN}
    not_refused = {
        record.call.token for record in call_records if record.result is not Result.NOT_RUN
    }
    return Summary(
        requests=len(call_records),
        complete=counts[Result.COMPLETE],
        refused=counts[Result.NOT_RUN],
        unknown=counts[Result.UNKNOWN] + counts[Result.CONNECTION_LOST],
        lost=counts[Result.TIMED_OUT] + complete_but_not_run,
        duplicated=sum(run_counts.get(token, 0) > 1 for token in not_idempotent),
        wrong_bodies=counts[Result.WRONG_BODY],
        false_refusals=sum(bool(run_counts.get(token)) for token in refused - not_refused),
    )
