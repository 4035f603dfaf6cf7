"""A simulated minion that records every request it runs."""

import argparse
import asyncio
import hashlib
import random

import msgspec
from nutmegshelf import codecs, ids
from nutmegshelf_http import server

from nutmegshelf_standins import process

_CHUNK_BYTES = 16 * 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024


class Run(msgspec.Struct, kw_only=True):
    """One run of a request at a minion."""

    token: str
    method: str
    started_s: float
    finished: bool = False


class Records(msgspec.Struct, kw_only=True):
    """The runs of one minion and its maximum load."""

    minion: ids.MinionId
    runs: list[Run] = []
    max_concurrent_runs: int = msgspec.field(default=0, name="most_in_work")
    most_connections: int = 0


def make_response_body(token: str, size_bytes: int) -> bytes:
    """Return the only valid body for a token, so that callers detect any other body."""
    seed = hashlib.sha256(token.encode()).hexdigest().encode()
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]


class Minion:
    """A minion whose requests take a random, exponentially distributed time."""

    def __init__(self, name: ids.MinionId, mean_s: float, rng: random.Random) -> None:
        self.records = Records(minion=name)
        self.is_shutting_down = False
        self._mean_s = mean_s
        self._rng = rng
        self.is_failing = False
        self._running_requests = 0

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve a request, a health check, or a request for the records."""
        if exchange.target == "/_records":
            await exchange.respond(200, [], codecs.pack(self.records))
            return
        if exchange.target == "/health":
            await exchange.respond(503 if self.is_shutting_down else 200, [])
            return
        run = Run(
            token=(exchange.get_header(b"x-token") or b"").decode(),
            method=exchange.method,
            started_s=asyncio.get_running_loop().time(),
        )
        self.records.runs.append(run)
        self._running_requests += 1
        self.records.max_concurrent_runs = max(
            self.records.max_concurrent_runs, self._running_requests
        )
        try:
            await exchange.connection.read_body(_MAX_BODY_BYTES)
            work_ms = exchange.get_header(b"x-work-ms")
            random_s = self._rng.expovariate(1 / self._mean_s) if self._mean_s else 0
            await asyncio.sleep(int(work_ms) / 1000 if work_ms else random_s)
            await self._respond(exchange, run.token)
            run.finished = True
        finally:
            self._running_requests -= 1

    async def _respond(self, exchange: server.Exchange, token: str) -> None:
        status = 500 if self.is_failing else 200
        size_bytes = int(exchange.get_header(b"x-answer-bytes") or b"64")
        body = make_response_body(token, size_bytes)
        if exchange.get_header(b"x-chunked") is None:
            await exchange.respond(status, [(b"x-token", token.encode())], body)
            return
        await exchange.start_response(
            status, [(b"x-token", token.encode()), (b"transfer-encoding", b"chunked")]
        )
        for start in range(0, size_bytes, _CHUNK_BYTES):
            await exchange.write(body[start : start + _CHUNK_BYTES])
        await exchange.end()


async def serve(name: str, mean_s: float, seed: int, port: int = 0) -> None:
    """Serve until SIGTERM, then finish the running requests."""
    minion = Minion(ids.MinionId(name), mean_s, random.Random(seed))
    http_server = server.Server(minion.handle)
    await process.print_port_and_wait(await http_server.start("127.0.0.1", port))
    http_server.stop_listening()
    await http_server.wait_idle()


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("--mean-s", type=float, default=0.02)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.name, arguments.mean_s, arguments.seed, arguments.port))


if __name__ == "__main__":
    _main()
