"""Send malformed or unusual HTTP, as minions and as callers."""

import asyncio
import contextlib

from nutmegshelf_http import client

CHUNK = b"p" * 65536
LARGE_BYTES = 600_000
TIMEOUT_MS = 8000
# For tests of the timeout itself.
SHORT_TIMEOUT_MS = 600


async def _until_closed(reader):
    with contextlib.suppress(ConnectionError):
        while await reader.read(65536):
            pass


def _script(response=b"", reads="head", then="close", repeat=False):
    """Return a minion's connection handler: what it reads, what it sends, how it closes."""

    async def serve(reader, writer):
        WRITERS["scripted"] = writer
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                if reads == "head":
                    await reader.readuntil(b"\r\n\r\n")
                writer.write(response)
                await writer.drain()
                if not repeat:
                    break
            if then == "wait for close":
                await _until_closed(reader)
            if then == "stop reading":
                await asyncio.sleep(30)
        writer.close()

    return serve


async def _send_endless_body(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")
    writer.sent_bytes = 0
    WRITERS["endless"] = writer
    with contextlib.suppress(ConnectionError):
        for _ in range(1024):
            writer.write(CHUNK)
            await writer.drain()
            writer.sent_bytes += len(CHUNK)
    writer.close()


# The writers of the latest connections, by kind of script.
WRITERS = {}
_OK = b"HTTP/1.1 200 OK\r\n"
_SMALL_RESPONSE = _OK + b"Content-Length: 4\r\n\r\ndone"
_BODY_TOO_LARGE = b"HTTP/1.1 413 No\r\nContent-Length: 8\r\n\r\ntoo much"
_HALF_OF_LARGE_BODY = _OK + b"Content-Length: 1200000\r\n\r\n" + b"h" * LARGE_BYTES
SCRIPTS = {
    "closes at once": _script(reads=""),
    "closes after the head": _script(),
    "sends half a head": _script(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "answers nonsense": _script(b"\x00\x01nonsense\r\n\r\n"),
    "sends half of a small body": _script(_OK + b"Content-Length: 10\r\n\r\nhalf-"),
    "gives no length": _script(_OK + b"\r\nbody"),
    "never answers": _script(then="wait for close"),
    "never reads": _script(reads="", then="stop reading"),
    "sends half of a large body": _script(_HALF_OF_LARGE_BODY),
    "sends half of a chunked body": _script(
        _OK + b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n" + b"h" * LARGE_BYTES + b"\r\n"
    ),
    "stops in a large body": _script(_HALF_OF_LARGE_BODY, then="wait for close"),
    "answers 100 and 103 first": _script(
        b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + _SMALL_RESPONSE,
        then="wait for close",
    ),
    "answers 204": _script(b"HTTP/1.1 204 None\r\n\r\n", then="wait for close"),
    "answers 304": _script(b"HTTP/1.1 304 Same\r\nETag: a\r\n\r\n", then="wait for close"),
    "answers HEAD with a length": _script(
        _OK + b"Content-Length: 99\r\n\r\n", then="wait for close"
    ),
    "answers HEAD without a length": _script(_OK + b"\r\n", then="wait for close"),
    "answers 413 before the body ended": _script(_BODY_TOO_LARGE, then="stop reading"),
    "answers 413 and closes": _script(_BODY_TOO_LARGE, then="wait for close"),
    "answers twice": _script(
        _SMALL_RESPONSE + _OK + b"X-Stray: 1\r\nContent-Length: 5\r\n\r\nstray", repeat=True
    ),
    "sends without end": _send_endless_body,
}


async def _send_while_reading(method, path, body, headers):
    """Send a request while reading; a response that arrives early ends the upload."""
    fields = dict(headers)
    reader, writer = await asyncio.open_connection("127.0.0.1", int(fields.pop(b"x-port")))
    lines = [b"%s %s HTTP/1.1" % (method.encode(), path.encode()), b"host: a"]
    lines += [b"%s: %s" % field for field in fields.items()]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))

    async def upload():
        with contextlib.suppress(ConnectionError):
            writer.write(b"\r\n".join(lines))
            for start in range(0, len(body), len(CHUNK)):
                writer.write(body[start : start + len(CHUNK)])
                await writer.drain()

    upload_task = asyncio.ensure_future(upload())
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        response_headers = [
            tuple(line.lower().split(b": ", 1)) for line in head[1:] if b": " in line
        ]
        response_body = await reader.readexactly(int(dict(response_headers)[b"content-length"]))
        return client.Response(int(head[0].split()[1]), response_headers, response_body)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("connection closed inside the response") from error
    finally:
        upload_task.cancel()
        writer.close()


async def send_request(port, method, body=b"", timeout_ms=TIMEOUT_MS, path="/orders/", **headers):
    """Send a request and return its outcome as a caller sees it, and the response."""
    http_client = client.Client("127.0.0.1", port)
    fields = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    fields.append((b"request-timeout-ms", str(timeout_ms).encode()))
    send = _send_while_reading if len(body) > LARGE_BYTES else http_client.request
    try:
        async with asyncio.timeout(20):
            response = await send(method, path, body, [*fields, (b"x-port", str(port).encode())])
    except (OSError, client.h11.ProtocolError) as error:
        return f"a broken answer ({error})", None
    finally:
        http_client.close()
    outcome = response.get_header(b"nutmegshelf-outcome")
    if outcome is None:
        return "status", response
    return (
        f"{outcome.decode()} {(response.get_header(b'nutmegshelf-error') or b'').decode()}",
        response,
    )


_CHUNKED_HEAD = b"POST /orders/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nX-Token: t\r\n"
_SHORT_TIMEOUT_FIELD = b"Request-Timeout-Ms: 400\r\n"


def _chunk(size):
    return b"%x\r\n" % size + b"c" * size + b"\r\n"


CALLERS = {
    "is slow within the first bytes of its body": (
        _CHUNKED_HEAD + _SHORT_TIMEOUT_FIELD + b"\r\n" + _chunk(100),
    ),
    "is slow after 90000 bytes of its body": (
        _CHUNKED_HEAD + _SHORT_TIMEOUT_FIELD + b"\r\n" + _chunk(90_000),
    ),
    "sends 200000 bytes in chunks": (_CHUNKED_HEAD + b"\r\n", *[_chunk(20_000)] * 10, b"0\r\n\r\n"),
    "sends 120000 bytes in chunks at once with key": (
        _CHUNKED_HEAD + b"Idempotency-Key: k\r\n\r\n" + _chunk(120_000) + b"0\r\n\r\n",
    ),
    "breaks its chunks at once": (_CHUNKED_HEAD + b"\r\nnonsense\r\n",),
}


async def wait_until_stable(count):
    """Wait until a count is above 0 and has not changed for 0.25 s."""
    previous, unchanged_checks = 0, 0
    while unchanged_checks < 5:
        await asyncio.sleep(0.05)
        current = count()
        unchanged_checks = unchanged_checks + 1 if current == previous and current else 0
        previous = current
