"""Write structured logs, each line with the prefix of its part, without ever waiting."""

import json
import logging
import os
import sys
import typing

import structlog


class Sink:
    """Own where log lines go: a pipe or a file that takes them at once, or loses them.

    A line is written whole or not at all, and the next line that gets through is followed by one
    that says how many were lost.
    """

    def __init__(self, file: typing.TextIO) -> None:
        self.dropped_total = 0
        self._lost = 0
        self._rest = b""
        # An open file of its own, as others may write to the same pipe and must not be changed.
        path = f"/proc/self/fd/{file.fileno()}"
        self._fd: int | None = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_APPEND)

    def msg(self, message: str) -> None:
        """Write one line."""
        if not self._write(message.encode() + b"\n"):
            self._lost += 1
            self.dropped_total += 1
        elif self._lost:
            told = json.dumps({"part": "logs", "lost": self._lost, "event": "Lines were lost."})
            if self._write(told.encode() + b"\n"):
                self._lost = 0

    debug = info = warning = error = critical = exception = msg

    def _write(self, line: bytes) -> bool:
        if self._fd is None or (self._rest and not self._finish()):
            return False
        try:
            written = os.write(self._fd, line)
        except OSError:
            # The pipe is full or nobody reads it any more; the line is counted as lost.
            return False
        # A long line may be taken in part; its rest goes out before anything else.
        self._rest = line[written:]
        return True

    def _finish(self) -> bool:
        assert self._fd is not None
        try:
            self._rest = self._rest[os.write(self._fd, self._rest) :]
        except OSError:
            return False
        return not self._rest

    def close(self) -> None:
        """Write what is left, as far as it is taken, and close the file."""
        if self._fd is None:
            return
        if self._rest:
            self._finish()
        os.close(self._fd)
        self._fd = None


def configure(level: str, file: typing.TextIO | None = None) -> Sink | None:
    """Set the least level and the form of all log lines; gives the sink of a real file."""
    target = file or sys.stderr
    sink = _sink(target)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(target) if sink is None else lambda: sink,
        cache_logger_on_first_use=False,
    )
    return sink


def _sink(file: typing.TextIO) -> Sink | None:
    try:
        return Sink(file)
    except (OSError, ValueError):
        # A text buffer, or a socket, can't be opened again; it is written to as it is.
        return None


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Give the logger of one part of the daemon."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=name)
    return logger
