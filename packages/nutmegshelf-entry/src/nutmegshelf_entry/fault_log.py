"""Rate-limited log of the requests that a listener ended in place of its handler."""

import asyncio
import collections
import collections.abc
import logging

from nutmegshelf_http import server

from nutmegshelf_entry import logs

# Per kind and interval; further lines of the kind are only counted.
_MAX_LINES = 20
_INTERVAL_S = 1.0

RequestIdGetter = collections.abc.Callable[[server.Exchange], str | None]


def _get_no_id(exchange: server.Exchange) -> None:
    return None


class FaultLog:
    """Log of the faults of one listener, and their counts by kind since the start."""

    def __init__(self, listener: str, get_request_id: RequestIdGetter = _get_no_id) -> None:
        self._log = logs.get_logger("listener")
        self._listener = listener
        self._get_request_id = get_request_id
        self.totals = collections.Counter({kind.value: 0 for kind in server.FaultKind})
        self._lines: collections.Counter[str] = collections.Counter()

    def write(self, fault: server.Fault) -> None:
        """Log a fault, up to the limit per kind and interval."""
        kind = fault.kind.value
        self.totals[kind] += 1
        if not self._lines:
            asyncio.get_running_loop().call_later(_INTERVAL_S, self._end_interval)
        self._lines[kind] += 1
        if self._lines[kind] > _MAX_LINES:
            return
        is_failure = fault.kind is server.FaultKind.HANDLER_FAILED
        exchange = fault.exchange
        self._log.log(
            logging.ERROR if is_failure else logging.INFO,
            "A handler failed." if is_failure else "A request got no response of its handler.",
            listener=self._listener,
            kind=kind,
            status=fault.status,
            detail=fault.detail,
            method=exchange.method if exchange else None,
            target=exchange.target if exchange else None,
            request=self._get_request_id(exchange) if exchange else None,
            exc_info=fault.error,
        )

    def _end_interval(self) -> None:
        left_out = {
            kind: count - _MAX_LINES for kind, count in self._lines.items() if count > _MAX_LINES
        }
        if left_out:
            self._log.info("Lines were left out.", listener=self._listener, left_out=left_out)
        self._lines.clear()
