"""Steps that write logs to pipes that are full or closed."""

import json
import os
import threading
import time

import behave
import structlog
from nutmegshelf_entry import logs


@behave.given("logging to a pipe that nobody reads")
def open_pipe(context):
    context.reader, writer = os.pipe()
    context.file = os.fdopen(writer, "w")
    context.sink = logs.configure("info", context.file)
    context.log = structlog.get_logger(part="test")
    context.add_cleanup(context.file.close)
    context.add_cleanup(logs.configure, "critical")
    context.written_count = 0


def write_lines(context, count, size):
    for _ in range(count):
        context.log.info(
            "A line.", number=context.written_count, padding="x" * (context.written_count % size)
        )
        context.written_count += 1


@behave.when("{count:d} lines of up to {size:d} bytes are written")
def fill_pipe(context, count, size):
    started_s = time.monotonic()
    write_lines(context, count, size)
    context.took_s = time.monotonic() - started_s


@behave.then("the writes took less than {seconds:g} s")
def check_time(context, seconds):
    assert context.took_s < seconds, context.took_s


@behave.when("the pipe is read while {count:d} more lines are written")
def read_pipe(context, count):
    chunks = []

    def read():
        while data := os.read(context.reader, 65536):
            chunks.append(data)

    thread = threading.Thread(target=read)
    thread.start()
    for _ in range(count):
        write_lines(context, 1, 100)
        time.sleep(0.002)
    context.sink.close()
    context.file.close()
    thread.join()
    context.output = b"".join(chunks).decode()


@behave.then("every line read is complete")
def check_complete(context):
    assert context.output.endswith("\n")
    context.lines = [json.loads(line) for line in context.output.splitlines()]


@behave.then("the lines read and those reported as lost add up to all lines")
def check_total(context):
    read_count = sum(line["event"] == "A line." for line in context.lines)
    lost_count = sum(line.get("lost", 0) for line in context.lines)
    assert lost_count > 0 and read_count + lost_count == context.written_count, (
        read_count,
        lost_count,
        context.written_count,
    )
    numbers = [line["number"] for line in context.lines if "number" in line]
    assert numbers == sorted(numbers)


@behave.when("the reader closes the pipe and {count:d} lines are written")
def close_reader(context, count):
    os.close(context.reader)
    write_lines(context, count, 100)


@behave.then("{count:d} lines are counted as lost")
def check_lost(context, count):
    assert context.sink.dropped_total == count, context.sink.dropped_total
