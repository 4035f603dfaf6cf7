"""Tell the other entries which submissions may still be carried out, as retries arrive anywhere."""

import asyncio
import collections.abc

from nutmegshelf import calls, exceptions, ids, jobs

from nutmegshelf_entry import logs, ports

# Reports of this time go out in one call for each service.
_BATCH_DELAY_S = 0.02
_CALL_TIMEOUT_S = 0.1
# How long an answer to a caller waits until the other entries know that it is in doubt.
_MAX_WAIT_S = 0.15

_log = logs.get_logger("desk")


class DoubtReporter:
    """The reports of one entry, which are sent in batches, one batch at a time."""

    def __init__(
        self,
        peers: ports.PeerClient,
        list_addresses: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._peers = peers
        self._list_addresses = list_addresses
        self._waiting: dict[ids.ServiceName, set[ids.JobId]] = {}
        self._sending: asyncio.Task[None] | None = None
        self._batch_sent = asyncio.Event()

    def add(self, job: jobs.Job) -> asyncio.Event:
        """Have a job reported; the event is set once all entries have been told or have failed."""
        self._waiting.setdefault(job.service, set()).add(job.job)
        if self._sending is None or self._sending.done():
            self._sending = asyncio.ensure_future(self._send_batches())
        return self._batch_sent

    async def wait(self, job: jobs.Job, sent: asyncio.Event) -> None:
        """Wait a moment until the other entries know of a job."""
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                await sent.wait()
        except TimeoutError:
            _log.info("Other entries may not know of a job in doubt.", job=job.job)

    async def _send_batches(self) -> None:
        while self._waiting:
            await asyncio.sleep(_BATCH_DELAY_S)
            batch, self._waiting = self._waiting, {}
            sent, self._batch_sent = self._batch_sent, asyncio.Event()
            addresses = self._list_addresses()
            await asyncio.gather(
                *(
                    self._send(address, service, sorted(doubtful))
                    for address in addresses
                    for service, doubtful in batch.items()
                )
            )
            sent.set()

    async def _send(
        self, address: str, service: ids.ServiceName, doubtful: list[ids.JobId]
    ) -> None:
        call = calls.ReportDoubts(service=service, jobs=tuple(doubtful))
        try:
            await self._peers.call(address, call, _CALL_TIMEOUT_S)
        except exceptions.PeerError as error:
            _log.info(
                "An entry did not confirm which jobs are in doubt.",
                entry_address=address,
                jobs=len(doubtful),
                why=str(error),
            )
