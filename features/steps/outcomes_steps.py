"""Run faulty minions and callers against an entry: broken, slow and oversized streams."""

import asyncio
import contextlib
import pathlib
import tracemalloc
import unittest.mock

import behave
from nutmegshelf import declarations, exceptions
from nutmegshelf_entry import attempts
from nutmegshelf_http import client
from nutmegshelf_standins import minion

from features import raw, sites


def _start_site(context, count, scripts=(), **declared):
    declared.setdefault("rules", (declarations.PathRule(max_body_bytes=100_000_000),))
    context.site = sites.Site("orders", context.rng)
    context.site.scripts = list(scripts)
    context.cleanup.append(context.site.close)
    context.run(context.site.start(count, **declared))


@behave.given("a minion that {does}, and a healthy one")
def start_with_healthy(context, does):
    _start_site(context, 2, [raw.SCRIPTS[does]])
    context.times_out = does.startswith(("never", "stops"))


@behave.given("a minion that {does}, and no other")
def start_without_others(context, does):
    _start_site(context, 1, [raw.SCRIPTS[does]], slots_per_minion=2)


@behave.given("{count:d} slow minions behind an entry")
def start_slow(context, count):
    _start_site(context, count, slots_per_minion=64)
    for standin in context.site.minions:
        standin._mean_s = 0.05


@behave.given("{count:d} minions that record, with a limit of {limit:d} bytes a body")
def start_limited(context, count, limit):
    path_rule = declarations.PathRule(max_body_bytes=limit)
    _start_site(context, count, rules=(path_rule,))


@behave.when("a caller sends {method} with {sent:d} bytes to it first")
def send_first(context, method, sent):
    site = context.site
    dispatcher = site.slots._services["orders"]
    scripted, healthy = [target for target in dispatcher.targets.values()]
    for _ in range(healthy.slots):
        dispatcher.router.reserve(healthy)

    async def send():
        exchange = asyncio.ensure_future(
            raw.send_request(
                site.port,
                method,
                b"b" * sent,
                raw.SHORT_TIMEOUT_MS if context.times_out else raw.TIMEOUT_MS,
                x_token="t",
                x_answer_bytes="64",
            )
        )
        # The healthy minion is freed once the scripted one has failed, and takes the retry.
        while not exchange.done() and not scripted.consecutive_failures:
            await asyncio.sleep(0.005)
        site.slots.release("orders", healthy.record.minion)
        return await exchange

    context.result, context.answer = context.run(send())


@behave.then("the caller got a whole answer")
def check_got_whole(context):
    assert context.result == "status", context.result
    assert context.answer.body == minion.make_response_body("t", 64), context.answer


@behave.then("the caller got a broken answer")
def check_got_broken(context):
    assert context.result.startswith("a broken answer"), (context.result, context.answer)


@behave.then('the caller got status {status:d} with "{body}"')
def check_got_status(context, status, body):
    assert context.result == "status", (context.result, context.answer)
    assert (context.answer.status, context.answer.body.decode()) == (status, body), context.answer
    assert not any(
        standin.records.runs for standin in context.site.minions
    ), "the healthy minion answered"


@behave.then('the caller got status {status:d} with ""')
def check_got_empty(context, status):
    check_got_status(context, status, "")


@behave.then("the caller got {outcome:S} {kind:S}")
def check_got_error(context, outcome, kind):
    assert context.result == f"{outcome} {kind}", (context.result, context.answer)
    if outcome == "unknown":
        assert context.answer.get_header(b"retry-after") is None, context.answer


@behave.when("an HTTP/1.0 caller sends GET")
def send_http10(context):
    async def main():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        writer.write(b"GET /orders/ HTTP/1.0\r\n\r\n")
        try:
            data = await reader.read()
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()
        return f"{len(data)} bytes and an orderly end"

    context.result = context.run(main())


@behave.then("its connection is reset")
def check_reset(context):
    assert context.result == "reset", context.result


@behave.when("callers send GET one after another on kept connections")
def send_sequentially(context):
    async def send():
        return [await raw.send_request(context.site.port, "GET") for _ in range(20)]

    context.results = context.run(send())


@behave.then("each got the answer to its own request")
def check_own_answers(context):
    results = [(result, answer and answer.body) for result, answer in context.results]
    assert results == [("status", b"done")] * 20, results


@behave.when("{count:d} callers with short and long timeouts send mixed requests")
def send_mixed(context, count):
    rng, hosts = context.rng, context.hosts

    async def send(number):
        await asyncio.sleep(rng.uniform(0, 5.0))
        await hosts.call(
            f"t{number}",
            entry=rng.choice(["entry-0", "entry-1"]),
            method=rng.choice(["GET", "POST", "PUT"]),
            response_bytes=rng.choice([0, 64, 2000, 100_000]),
            chunked=rng.random() < 0.5,
            timeout_ms=rng.choice([20, 60, 100, 3000]),
        )

    async def main():
        await asyncio.gather(*(send(number) for number in range(count)))
        await asyncio.sleep(1.0)

    context.run_hosts(main())


@behave.then("no caller got another's answer, and no request that ran was reported as not-run")
def check_not_mixed_up(context):
    verdict = context.hosts.verdict()
    assert verdict.is_consistent, repr(verdict)
    assert verdict.complete > 100 and verdict.unknown > 20, repr(verdict)


@behave.when("a misbehaving caller {does}")
def send_misbehaving(context, does):
    async def main():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        for chunk in raw.CALLERS[does]:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        async with asyncio.timeout(5):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        writer.close()
        return head

    headers = dict(line.split(": ", 1) for line in context.run(main()).splitlines() if ": " in line)
    context.result = f"{headers['nutmegshelf-outcome']} {headers['nutmegshelf-error']}"
    context.answer = client.Response(0, [(b"x", str(headers).encode())], b"")


@behave.then("the minions saw {count:d} runs")
def check_seen(context, count):
    runs = sum(len(standin.records.runs) for standin in context.site.minions)
    assert runs == count, runs


@behave.when("a GET's caller goes away while it runs, and another's while it waits for a slot")
def disconnect_early(context):
    async def main():
        writers = []
        for _ in range(4):
            _, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
            writer.write(b"GET /orders/ HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 60000\r\n\r\n")
            writers.append(writer)
        dispatcher = context.site.slots._services["orders"]
        async with asyncio.timeout(5):
            while dispatcher.queued < 2:
                await asyncio.sleep(0.01)
        for writer in writers:
            writer.close()

    context.run(main())


@behave.then("both slots and both places in the queue are free within {limit_s:g} s")
def check_freed(context, limit_s):
    async def main():
        dispatcher = context.site.slots._services["orders"]
        end_s = asyncio.get_running_loop().time() + limit_s
        while dispatcher.queued or any(t.in_flight for t in dispatcher.targets.values()):
            assert asyncio.get_running_loop().time() < end_s, (
                dispatcher.queued,
                dispatcher.targets,
            )
            await asyncio.sleep(0.01)
        # Slot time counts as demand even if the caller has disconnected. Two requests ran; the
        # queued ones may have been granted a slot before their disconnection was noticed.
        counters = context.site.slots.counters
        assert counters.failed["orders"] >= 2 and counters.failed_s["orders"] > 0, counters

    context.run(main())


@behave.when("the caller of a running POST goes away")
def disconnect_post(context):
    for standin in context.site.minions:
        standin._mean_s = 0.3

    async def main():
        _, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        writer.write(b"POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
        while not any(standin.records.runs for standin in context.site.minions):
            await asyncio.sleep(0.005)
        writer.close()

    context.run(main())


@behave.then("the minion finishes it")
def check_finished(context):
    async def main():
        async with asyncio.timeout(10):
            while not any(
                run.finished for standin in context.site.minions for run in standin.records.runs
            ):
                await asyncio.sleep(0.01)

    context.run(main())


@behave.when("a caller sends GET with a timeout of {timeout_ms:d} ms")
def send_with_timeout(context, timeout_ms):
    received_timeouts_ms = context.received_timeouts_ms = []
    for standin in context.site.minions:
        original_handle = standin.handle

        async def handle(exchange, original_handle=original_handle):
            received_timeouts_ms.append(int(exchange.get_header(b"request-timeout-ms")))
            await original_handle(exchange)

        standin.handle = handle
    for listener, standin in zip(context.site.servers, context.site.minions, strict=True):
        listener._handler = standin.handle
    context.run(raw.send_request(context.site.port, "GET", timeout_ms=timeout_ms))


@behave.then("the minion received a timeout between {min_ms:d} and {max_ms:d} ms")
def check_received_timeout(context, min_ms, max_ms):
    assert (
        len(context.received_timeouts_ms) == 1
        and min_ms <= context.received_timeouts_ms[0] <= max_ms
    ), context.received_timeouts_ms


@behave.when("the relay fails within {count:d} requests one after another")
def raise_in_relay(context, count):
    async def main():
        patch = unittest.mock.patch.object(
            attempts.Attempt, "_make_head", side_effect=KeyError("x")
        )
        with patch:
            return [await raw.send_request(context.site.port, "POST", b"x") for _ in range(count)]

    context.results = context.run(main())


@behave.then('each got "{kind}" and later requests are whole')
def check_internal_errors(context, kind):
    assert {result for result, _ in context.results} == {f"not-run {kind}"}, context.results
    next_result, answer = context.run(raw.send_request(context.site.port, "POST", b"x"))
    assert next_result == "status", (next_result, answer)


@behave.when("{count:d} callers each send all but the end of a keyed body of 1 MB")
def fill_budget(context, count):
    size = 1024 * 1024

    async def send_body(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        context.writers.append(writer)
        writer.write(
            b"POST /orders/ HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k%d\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (number, size)
        )
        writer.write(b"k" * size)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            context.refusals.append((await reader.readuntil(b"\r\n\r\n")).lower())

    async def main():
        context.writers, context.refusals = [], []
        tasks = [asyncio.ensure_future(send_body(number)) for number in range(count)]
        budget = context.site.relay._budget
        while budget._remaining_bytes >= 65536 or len(context.refusals) < count - 64:
            await asyncio.sleep(0.01)
        context.waiting = sum(not task.done() for task in tasks)
        for caller_writer in context.writers:
            caller_writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(main())


@behave.then('{waiting:d} still wait and {refused:d} were refused "{result}" at once')
def check_budget(context, waiting, refused, result):
    outcome, kind = result.encode().split()
    assert (context.waiting, len(context.refusals)) == (waiting, refused)
    assert all(
        outcome in refusal and kind in refusal for refusal in context.refusals
    ), context.refusals


@behave.then("once they have disconnected another keyed body of 1 MB is accepted")
def check_budget_back(context):
    async def main():
        budget = context.site.relay._budget
        while budget._remaining_bytes != 64 * 1024 * 1024:
            await asyncio.sleep(0.01)
        return await raw.send_request(
            context.site.port,
            "POST",
            b"b" * 1024 * 1024,
            timeout_ms=5000,
            idempotency_key="last",
            x_token="t",
            x_answer_bytes="64",
        )

    context.result, context.answer = context.run(main())
    check_got_whole(context)


@behave.when("64 MB are sent while the slow {end} reads nothing")
def stream_to_slow_end(context, end):
    async def main():
        _, writer = await asyncio.open_connection("127.0.0.1", context.site.port, limit=65536)
        writer.transport.pause_reading()
        sent = [0]
        tracemalloc.start()
        if end == "caller":
            writer.write(b"GET /orders/ HTTP/1.1\r\nHost: a\r\n\r\n")
            await raw.wait_until_stable(
                lambda: getattr(raw.WRITERS.get("endless"), "sent_bytes", 0)
            )
            sent[0] = raw.WRITERS.pop("endless").sent_bytes
        else:
            upload_task = asyncio.ensure_future(_upload_until_cancelled(writer, sent))
            await raw.wait_until_stable(lambda: sent[0])
            upload_task.cancel()
        context.passed_bytes = sent[0]
        context.peak_memory_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        writer.transport.abort()

    context.run(main())


async def _upload_until_cancelled(writer, sent):
    writer.write(b"POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 67108864\r\n\r\n")
    for _ in range(1024):
        writer.write(raw.CHUNK)
        await writer.drain()
        sent[0] += len(raw.CHUNK)


@behave.then("the entry held at most {limit_mb:d} MB and the source had to wait")
def check_bounded(context, limit_mb):
    # The socket buffers of the kernel don't count as memory of the entry.
    assert context.peak_memory_bytes <= limit_mb * 1024 * 1024, context.peak_memory_bytes
    assert 0 < context.passed_bytes < 48 * 1024 * 1024, context.passed_bytes


@behave.then("{page} lists each kind with its status, outcome and retry")
def check_page(context, page):
    lines = pathlib.Path(page).read_text().splitlines()
    for kind, answer in exceptions.ERROR_RESPONSES.items():
        start = (
            f"| `{kind.value}` | {answer.status} | {answer.outcome.value} "
            f"| {answer.retry_after_s or '-'} | "
        )
        assert any(line.startswith(start) for line in lines), start
    assert sum(line.startswith("| `") for line in lines) == len(exceptions.ERROR_RESPONSES)
