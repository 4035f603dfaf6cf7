"""Write structured logs, each line with the prefix of its part."""

import logging
import sys
import typing

import structlog


def configure(level: str, file: typing.TextIO | None = None) -> None:
    """Set the least level and the form of all log lines."""
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
        logger_factory=structlog.PrintLoggerFactory(file or sys.stderr),
        cache_logger_on_first_use=False,
    )


def part(name: str) -> structlog.typing.FilteringBoundLogger:
    """Give the logger of one part of the daemon."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=name)
    return logger
