"""Serve the platform's table, objects and fleet list, with faults on demand."""

import asyncio
import dataclasses
import urllib.parse

import msgspec
from nutmegshelf import codecs, platform, workers
from nutmegshelf_http import server

from nutmegshelf_standins import fleet, process, store, workforce

_MAX_BYTES = 64 * 1024 * 1024


class Faults(msgspec.Struct, kw_only=True):
    """Say how the platform misbehaves."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    stale: bool = False
    fleet_down: bool = False
    fleet_stale: bool = False


@dataclasses.dataclass(slots=True)
class _Counts:
    reads: int = 0
    writes: int = 0


class Platform:
    """Answer as the platform would."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.fleet = fleet.Fleet()
        self.workforce = workforce.Workforce()
        self.faults = Faults()
        self.counts = _Counts()
        self._snapshot = store.Store()

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one call."""
        url = urllib.parse.urlsplit(exchange.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        service, _, key = url.path.removeprefix("/").partition("/")
        body = await exchange.connection.read_body(_MAX_BYTES)
        if service == "control":
            await self._control(exchange, key, body)
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            await exchange.respond(503, [])
            return
        status, answer = self._serve(exchange.method, service, key, query, body)
        if self.faults.lose_answers and exchange.method != "GET":
            exchange.connection.abort()
            return
        await exchange.respond(status, [], answer)

    def _serve(  # noqa: PLR0911
        self, method: str, service: str, key: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if method == "GET":
            self.counts.reads += 1
        else:
            self.counts.writes += 1
        readable = self._snapshot if self.faults.stale else self.store
        match method, service:
            case "GET", "table":
                return 200, codecs.pack(readable.read(key))
            case "GET", "scan":
                rows = readable.scan(key, query.get("after", ""), int(query.get("limit", 1000)))
                return 200, codecs.pack(rows)
            case "POST", "table":
                transaction = codecs.unpack(body, platform.Transaction)
                return 200, codecs.pack(self.store.commit(transaction))
            case "PUT", "objects":
                self.store.objects[key] = body
                return 200, b""
            case "DELETE", "objects":
                self.store.objects.pop(key, None)
                return 200, b""
            case "GET", "objects":
                found = self.store.objects.get(key)
                return (404, b"") if found is None else (200, found)
            case "GET", "fleet":
                if self.faults.fleet_down:
                    return 503, b""
                page = self.fleet.get_changes(int(query.get("after", -1)), self.faults.fleet_stale)
                return (204, b"") if page is None else (200, codecs.pack(page))
            case _:
                return self._serve_workers(method, service, query, body)

    def _serve_workers(
        self, method: str, service: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        match method, service:
            case "GET", "workers":
                listed = self.workforce.list_workers(int(query.get("after", -1)))
                return (204, b"") if listed is None else (200, codecs.pack(listed))
            case "GET", "usage":
                return 200, codecs.pack(self.workforce.get_usage())
            case "POST", "orders":
                order: workers.AnyOrder = codecs.CODECS["msgpack"].decode(body, workers.AnyOrder)
                return 200, codecs.pack(self.workforce.apply_order(order))
            case _:
                return 404, b""

    def serve_stale_reads(self) -> None:
        """Answer reads with what is there now, whatever is written later."""
        self._snapshot.rows = dict(self.store.rows)
        self.faults = Faults(stale=True)

    async def _control(self, exchange: server.Exchange, what: str, body: bytes) -> None:
        match exchange.method, what:
            case "PUT", "faults":
                self.faults = codecs.unpack(body, Faults)
            case "PUT", "fleet":
                self.fleet.put(codecs.unpack(body, platform.FleetList).minions)
            case "PUT", "workers":
                self.workforce.set_workers(codecs.unpack(body, list[workers.WorkerRecord]))
            case _:
                pass
        await exchange.respond(200, [], codecs.pack(dataclasses.asdict(self.counts)))


async def serve() -> None:
    """Run until ended."""
    listener = server.Server(Platform().handle)
    await process.print_port_and_wait(await listener.start("127.0.0.1", 0))


if __name__ == "__main__":
    asyncio.run(serve())
