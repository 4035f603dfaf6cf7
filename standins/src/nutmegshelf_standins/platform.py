"""A simulated platform: table, object store, fleet list and workers, with injected faults."""

import asyncio
import dataclasses
import urllib.parse

import msgspec
from nutmegshelf import codecs, platform, workers
from nutmegshelf_http import server

from nutmegshelf_standins import fleet, process, store, workforce

_MAX_BODY_BYTES = 64 * 1024 * 1024


class Faults(msgspec.Struct, kw_only=True):
    """The injected faults of the platform."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    stale: bool = False
    fleet_down: bool = False
    fleet_stale: bool = False


@dataclasses.dataclass(slots=True)
class _RequestCounts:
    reads: int = 0
    writes: int = 0


class Platform:
    """Request handler and state of the simulated platform."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.fleet = fleet.Fleet()
        self.workforce = workforce.Workforce()
        self.faults = Faults()
        self.counts = _RequestCounts()
        self._snapshot = store.Store()

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve a request, subject to the injected faults."""
        url = urllib.parse.urlsplit(exchange.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        service, _, key = url.path.removeprefix("/").partition("/")
        body = await exchange.connection.read_body(_MAX_BODY_BYTES)
        if service == "control":
            await self._handle_control(exchange, key, body)
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            await exchange.respond(503, [])
            return
        status, response = self._serve(exchange.method, service, key, query, body)
        if self.faults.lose_answers and exchange.method != "GET":
            exchange.connection.abort()
            return
        await exchange.respond(status, [], response)

    def _serve(  # noqa: PLR0911
        self, method: str, service: str, key: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if method == "GET":
            self.counts.reads += 1
        else:
            self.counts.writes += 1
        read_store = self._snapshot if self.faults.stale else self.store
        match method, service:
            case "GET", "table":
                return 200, codecs.pack(read_store.read(key))
            case "GET", "scan":
                rows = read_store.scan(key, query.get("after", ""), int(query.get("limit", 1000)))
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
                data = self.store.objects.get(key)
                return (404, b"") if data is None else (200, data)
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
                worker_list = self.workforce.list_workers(int(query.get("after", -1)))
                return (204, b"") if worker_list is None else (200, codecs.pack(worker_list))
            case "GET", "usage":
                return 200, codecs.pack(self.workforce.get_usage())
            case "POST", "orders":
                order: workers.AnyOrder = codecs.CODECS["msgpack"].decode(body, workers.AnyOrder)
                return 200, codecs.pack(self.workforce.apply_order(order))
            case _:
                return 404, b""

    def serve_stale_reads(self) -> None:
        """Serve reads from a snapshot of the present rows, ignoring later writes."""
        self._snapshot.rows = dict(self.store.rows)
        self.faults = Faults(stale=True)

    async def _handle_control(self, exchange: server.Exchange, subject: str, body: bytes) -> None:
        match exchange.method, subject:
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
    """Serve until SIGTERM."""
    http_server = server.Server(Platform().handle)
    await process.print_port_and_wait(await http_server.start("127.0.0.1", 0))


if __name__ == "__main__":
    asyncio.run(serve())
