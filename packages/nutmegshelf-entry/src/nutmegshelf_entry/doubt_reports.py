"""Tell the other entries which submissions may still be carried out, as retries arrive anywhere."""

import asyncio
import collections.abc

from nutmegshelf import calls, exceptions, ids, jobs

from nutmegshelf_entry import logs, ports

# Reports of this time go out in one call to each entry.
_BATCH_DELAY_S = 0.02
_CALL_TIMEOUT_S = 0.1

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
        self._waiting: set[ids.JobId] = set()
        self._sending: asyncio.Task[None] | None = None
        self._batch_sent = asyncio.Event()
        # Entries whose last call failed; batches don't wait for them.
        self._unresponsive: set[str] = set()
        self._unawaited: set[asyncio.Task[None]] = set()

    def add(self, job: jobs.Job) -> asyncio.Event:
        """Have a job reported; the event is set once all entries have been told or have failed."""
        self._waiting.add(job.job)
        if self._sending is None or self._sending.done():
            self._sending = asyncio.ensure_future(self._send_batches())
        return self._batch_sent

    async def wait(self, job: jobs.Job, sent: asyncio.Event, max_wait_s: float) -> None:
        """Wait a moment until the other entries know of a job."""
        try:
            async with asyncio.timeout(max_wait_s):
                await sent.wait()
        except TimeoutError:
            _log.info("Other entries may not know of a job in doubt.", job=job.job)

    async def _send_batches(self) -> None:
        while self._waiting:
            await asyncio.sleep(_BATCH_DELAY_S)
            batch, self._waiting = self._waiting, set()
            sent, self._batch_sent = self._batch_sent, asyncio.Event()
            # The jobs may be of any services.
            call = calls.ReportDoubts(service=ids.ServiceName(""), jobs=tuple(sorted(batch)))
            awaited = []
            for address in self._list_addresses():
                task = asyncio.ensure_future(self._send(address, call))
                if address in self._unresponsive:
                    self._unawaited.add(task)
                    task.add_done_callback(self._unawaited.discard)
                else:
                    awaited.append(task)
            await asyncio.gather(*awaited)
            sent.set()

    async def _send(self, address: str, call: calls.ReportDoubts) -> None:
        try:
            await self._peers.call(address, call, _CALL_TIMEOUT_S)
        except exceptions.PeerError as error:
            self._unresponsive.add(address)
            _log.info(
                "An entry did not confirm which jobs are in doubt.",
                entry_address=address,
                jobs=len(call.jobs),
                why=str(error),
            )
        else:
            self._unresponsive.discard(address)
