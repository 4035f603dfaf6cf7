"""Structured logging that never blocks; each line names the part of the daemon."""

import json
import logging
import os
import sys
import typing

import structlog


class Sink:
    """Non-blocking writer of log lines to a pipe or file; drops lines that do not fit at once.

    A line is written whole or not at all, and the next line that gets through is followed by one
    that gives the number of dropped lines.
    """

    def __init__(self, file: typing.TextIO) -> None:
        self.dropped_total = 0
        self._dropped = 0
        self._unwritten = b""
        # A separate open file description: O_NONBLOCK must not affect other writers to the pipe.
        path = f"/proc/self/fd/{file.fileno()}"
        self._fd: int | None = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_APPEND)

    def msg(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._write(message.encode() + b"\n"):
            self._dropped += 1
            self.dropped_total += 1
        elif self._dropped:
            notice = json.dumps(
                {"part": "logs", "lost": self._dropped, "event": "Lines were lost."}
            )
            if self._write(notice.encode() + b"\n"):
                self._dropped = 0

    debug = info = warning = error = critical = exception = msg

    def _write(self, line: bytes) -> bool:
        if self._fd is None or (self._unwritten and not self._flush_unwritten()):
            return False
        try:
            written = os.write(self._fd, line)
        except OSError:
            # The pipe is full or has no reader; the caller counts the line as dropped.
            return False
        # A long line may be written partially; its remainder goes out before the next line.
        self._unwritten = line[written:]
        return True

    def _flush_unwritten(self) -> bool:
        assert self._fd is not None
        try:
            self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
        except OSError:
            return False
        return not self._unwritten

    def close(self) -> None:
        """Write the remainder of a partial line if possible, and close the file."""
        if self._fd is None:
            return
        if self._unwritten:
            self._flush_unwritten()
        os.close(self._fd)
        self._fd = None


def configure(level: str, file: typing.TextIO | None = None) -> Sink | None:
    """Configure the level and format of all log lines; return the sink where the file has one."""
    target = file or sys.stderr
    sink = _open_sink(target)
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


def _open_sink(file: typing.TextIO) -> Sink | None:
    try:
        return Sink(file)
    except (OSError, ValueError):
        # A text buffer or a socket cannot be reopened; lines are written to it directly.
        return None


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of one part of the daemon."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=name)
    return logger
