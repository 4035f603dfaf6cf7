"""Speak badly written HTTP on purpose, as minions and as callers."""

import asyncio
import contextlib

from nutmegshelf_http import client

PART = b"p" * 65536
LARGE_BYTES = 600_000
TIMEOUT_MS = 8000
# Where the deadline itself is tested, it comes soon.
SHORT_TIMEOUT_MS = 600


async def _until_closed(reader):
    with contextlib.suppress(ConnectionError):
        while await reader.read(65536):
            pass


def _script(before=b"", reads="head", after="close", repeat=False):
    """Make a minion's script: what it reads, what it says, how it ends."""

    async def serve(reader, writer):
        SENT["deaf"] = writer
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                if reads == "head":
                    await reader.readuntil(b"\r\n\r\n")
                writer.write(before)
                await writer.drain()
                if not repeat:
                    break
            if after == "stay":
                await _until_closed(reader)
            if after == "deaf":
                await asyncio.sleep(30)
        writer.close()

    return serve


async def _send_without_end(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")
    writer.sent_bytes = 0
    SENT["writer"] = writer
    with contextlib.suppress(ConnectionError):
        for _ in range(1024):
            writer.write(PART)
            await writer.drain()
            writer.sent_bytes += len(PART)
    writer.close()


SENT = {}
_OK = b"HTTP/1.1 200 OK\r\n"
_DONE = _OK + b"Content-Length: 4\r\n\r\ndone"
_TOO_MUCH = b"HTTP/1.1 413 No\r\nContent-Length: 8\r\n\r\ntoo much"
_HALF_LARGE = _OK + b"Content-Length: 1200000\r\n\r\n" + b"h" * LARGE_BYTES
SCRIPTS = {
    "closes at once": _script(reads=""),
    "closes after the head": _script(),
    "sends half a head": _script(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "answers nonsense": _script(b"\x00\x01nonsense\r\n\r\n"),
    "sends half of a small body": _script(_OK + b"Content-Length: 10\r\n\r\nhalf-"),
    "gives no length": _script(_OK + b"\r\nbody"),
    "never answers": _script(after="stay"),
    "never reads": _script(reads="", after="deaf"),
    "sends half of a large body": _script(_HALF_LARGE),
    "sends half of a chunked body": _script(
        _OK + b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n" + b"h" * LARGE_BYTES + b"\r\n"
    ),
    "stops in a large body": _script(_HALF_LARGE, after="stay"),
    "answers 100 and 103 first": _script(
        b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + _DONE, after="stay"
    ),
    "answers 204": _script(b"HTTP/1.1 204 None\r\n\r\n", after="stay"),
    "answers 304": _script(b"HTTP/1.1 304 Same\r\nETag: a\r\n\r\n", after="stay"),
    "answers HEAD with a length": _script(_OK + b"Content-Length: 99\r\n\r\n", after="stay"),
    "answers HEAD without a length": _script(_OK + b"\r\n", after="stay"),
    "answers 413 before the body ended": _script(_TOO_MUCH, after="deaf"),
    "answers 413 and closes": _script(_TOO_MUCH, after="stay"),
    "answers twice": _script(
        _DONE + _OK + b"X-Stray: 1\r\nContent-Length: 5\r\n\r\nstray", repeat=True
    ),
    "sends without end": _send_without_end,
}


async def _send_while_reading(method, path, body, headers):
    """Upload as careful callers do: an answer that comes early ends the upload."""
    fields = dict(headers)
    reader, writer = await asyncio.open_connection("127.0.0.1", int(fields.pop(b"x-port")))
    lines = [b"%s %s HTTP/1.1" % (method.encode(), path.encode()), b"host: a"]
    lines += [b"%s: %s" % field for field in fields.items()]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))

    async def upload():
        with contextlib.suppress(ConnectionError):
            writer.write(b"\r\n".join(lines))
            for start in range(0, len(body), len(PART)):
                writer.write(body[start : start + len(PART)])
                await writer.drain()

    task = asyncio.ensure_future(upload())
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        found = [tuple(line.lower().split(b": ", 1)) for line in head[1:] if b": " in line]
        answer = await reader.readexactly(int(dict(found)[b"content-length"]))
        return client.Response(int(head[0].split()[1]), found, answer)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("cut") from error
    finally:
        task.cancel()
        writer.close()


async def send_request(port, method, body=b"", timeout_ms=TIMEOUT_MS, path="/orders/", **headers):
    """Send one request and give what a caller makes of the answer."""
    link = client.Client("127.0.0.1", port)
    named = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    named.append((b"request-timeout-ms", str(timeout_ms).encode()))
    send = _send_while_reading if len(body) > LARGE_BYTES else link.request
    try:
        async with asyncio.timeout(20):
            answer = await send(method, path, body, [*named, (b"x-port", str(port).encode())])
    except (OSError, client.h11.ProtocolError) as error:
        return f"a broken answer ({error})", None
    finally:
        link.close()
    outcome = answer.get_header(b"nutmegshelf-outcome")
    if outcome is None:
        return "status", answer
    return f"{outcome.decode()} {(answer.get_header(b'nutmegshelf-error') or b'').decode()}", answer


_CHUNKED = b"POST /orders/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nX-Token: t\r\n"
_SOON = b"Request-Timeout-Ms: 400\r\n"


def _chunk(size):
    return b"%x\r\n" % size + b"c" * size + b"\r\n"


CALLERS = {
    "is slow within the first bytes of its body": (_CHUNKED + _SOON + b"\r\n" + _chunk(100),),
    "is slow after 90000 bytes of its body": (_CHUNKED + _SOON + b"\r\n" + _chunk(90_000),),
    "sends 200000 bytes in chunks": (_CHUNKED + b"\r\n", *[_chunk(20_000)] * 10, b"0\r\n\r\n"),
    "sends 120000 bytes in chunks at once with key": (
        _CHUNKED + b"Idempotency-Key: k\r\n\r\n" + _chunk(120_000) + b"0\r\n\r\n",
    ),
    "breaks its chunks at once": (_CHUNKED + b"\r\nnonsense\r\n",),
}


async def wait_until_stable(count):
    """Wait until a count that has begun has not grown for a while."""
    seen, still = 0, 0
    while still < 5:
        await asyncio.sleep(0.05)
        now = count()
        still = still + 1 if now == seen and now else 0
        seen = now
