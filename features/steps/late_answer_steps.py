"""Delay the answers of a store, and check what an entry says of paths that it doesn't know."""

import asyncio
import json
import re
import time
import urllib.parse

import behave
from nutmegshelf import queues
from nutmegshelf_entry import histograms, job_handler, job_metrics
from nutmegshelf_http import server
from nutmegshelf_platform import operators, store

from features import platformsite
from features.steps import stale_configuration_steps

_APPLY_S = 2.0
_SETTLE_S = 1.5
_READ_INTERVAL_S = 0.3
_CONFIGURATION = {
    "table": "op",
    "part": "",
    "key": "config",
    "ver": 5,
    "value": platformsite.encode_text(json.dumps({"version": 1, "routes": [], "services": []})),
}


def block(seconds):
    """Block the process, so that an answer that was sent waits in the socket."""
    time.sleep(seconds)


class Feed:
    """A store with one configuration, whose answers can be delayed."""

    def __init__(self, how):
        # How long answers take before they are made, and on their way.
        self.delay_s = self.transit_s = 0.0
        if match := re.fullmatch(r"answers after ([\d.]+) s", how):
            self.delay_s = float(match[1])
        elif match := re.fullmatch(r"makes answers that take ([\d.]+) s on their way", how):
            self.transit_s = float(match[1])
        rates = {"slow": 0.98, "fast": 1.02}
        self.rate = next((rate for word, rate in rates.items() if f"2% {word}" in how), 1.0)
        self.starts_anew = "starts anew" in how
        self.began_s = time.monotonic()
        self.standstill_s = 0.0
        self.is_silent = False
        self.made_s = 0.0

    def get_now_ms(self):
        now_s = time.monotonic()
        if self.starts_anew and now_s > self.began_s + _SETTLE_S:
            now_s -= self.began_s
        return now_s * 1000 * self.rate

    async def handle(self, exchange):
        target = urllib.parse.urlsplit(exchange.target)
        if target.path == "/v1/rows-parts":
            await asyncio.sleep(self.delay_s + self.transit_s)
            await self.respond(exchange, {"parts": [""], "hasMore": False})
        elif target.path == "/v1/rows-get":
            await asyncio.sleep(self.delay_s)
            page = {"rows": [_CONFIGURATION], "ver": 5, "nowMs": self.get_now_ms()}
            await asyncio.sleep(self.transit_s)
            await self.respond(exchange, page)
        else:
            wait_ms = int(dict(urllib.parse.parse_qsl(target.query))["waitMs"])
            standstill_s, self.standstill_s = self.standstill_s, 0.0
            # As if a row had changed, where the process is to stand still.
            await asyncio.sleep(0.05 if standstill_s else wait_ms / 1000 + self.delay_s)
            await self.answer_watch(exchange, standstill_s)

    async def answer_watch(self, exchange, standstill_s):
        if self.is_silent:
            await asyncio.sleep(60.0)
        page = {"rows": [], "ver": 5, "nowMs": self.get_now_ms()}
        self.made_s = time.monotonic()
        await asyncio.sleep(self.transit_s)
        await self.respond(exchange, page)
        if standstill_s:
            self.is_silent = True
            block(standstill_s)

    async def respond(self, exchange, page):
        await exchange.respond(200, platformsite.JSON, json.dumps(page).encode())


async def watch(context, row_store):
    async for operation in operators.watch_operations(row_store):
        if isinstance(operation, queues.QueueSet):
            context.active.activate(operation, asyncio.get_running_loop().time())
        else:
            context.active.confirm(operation)
            context.confirmed.set()


async def read_rows(row_store):
    """Read a row now and then, as every entry does."""
    while True:
        await asyncio.sleep(_READ_INTERVAL_S)
        await row_store.read("op//config")


@behave.given("an entry with a configuration from a store that {how}")
def start_entry(context, how):
    async def start():
        context.feed, context.confirmed = Feed(how), asyncio.Event()
        context.active = queues.ActiveQueues(_APPLY_S)
        stand_in = server.Server(context.feed.handle)
        row_store = store.Store(f"127.0.0.1:{await stand_in.start('127.0.0.1', 0)}")
        tasks = [asyncio.ensure_future(watch(context, row_store))]
        tasks.append(asyncio.ensure_future(read_rows(row_store)))

        async def stop():
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await stand_in.close()

        context.cleanup.append(stop)
        for _ in ("the rows at the start", "a watch"):
            context.confirmed.clear()
            await context.confirmed.wait()
        context.handler = job_handler.JobHandler(
            context.active,
            stale_configuration_steps.Codec(),
            None,
            job_metrics.JobMetrics(histograms.Histograms()),
        )

    context.run(start())


async def request(context):
    exchange = stale_configuration_steps.Exchange(stale_configuration_steps.UNKNOWN_PATH)
    await context.handler.handle(exchange)
    return exchange.response


@behave.when(
    "the process stands still for {seconds:g} s as an answer of the store arrives, and the next "
    "one doesn't come"
)
def stand_still(context, seconds):
    async def wait():
        context.feed.standstill_s = seconds
        while not context.feed.is_silent:
            context.confirmed.clear()
            await asyncio.sleep(0.01)
        await context.confirmed.wait()

    context.run(wait())


@behave.when("an answer of the store takes {seconds:g} s on its way, and the next one doesn't come")
def delay_answer(context, seconds):
    async def delay():
        context.feed.transit_s = seconds
        made_s = context.feed.made_s
        while context.feed.made_s == made_s:
            context.confirmed.clear()
            await asyncio.sleep(0.01)
        context.feed.is_silent = True
        await context.confirmed.wait()

    context.run(delay())


@behave.step(
    "{seconds:g} s after the first was made a request for an unknown path is answered "
    '{status:d} "{kind}"'
)
def check_after(context, seconds, status, kind):
    async def check():
        await asyncio.sleep(context.feed.made_s + seconds - time.monotonic())
        return await request(context)

    response = context.run(check())
    assert response == (status, kind), response


@behave.then('for {seconds:g} s every request for an unknown path is answered {status:d} "{kind}"')
def check_all(context, seconds, status, kind):
    async def check():
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            response = await request(context)
            age_s = asyncio.get_running_loop().time() - context.active.confirmed_s
            assert response == (status, kind), (response, age_s)
            await asyncio.sleep(0.01)

    context.run(check())
