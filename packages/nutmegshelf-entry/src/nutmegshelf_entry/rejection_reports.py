"""Report rejected jobs to the holders of their services, which see whether they run."""

import asyncio
import collections
import collections.abc
import dataclasses
import time

from nutmegshelf import calls, ids, jobs

from nutmegshelf_entry import logs

_INTERVAL_S = 1.0
_TIMEOUT_S = 0.4
# Rejections are kept this long, for holders that don't answer yet and for the next holder.
_RETENTION_S = 30.0
_MAX_REJECTIONS = 4_096
_MAX_REJECTIONS_PER_CALL = 512

_log = logs.get_logger("rejections")

HolderCaller = collections.abc.Callable[
    [calls.AnyCall, float], collections.abc.Awaitable[calls.Reply | None]
]
EpochGetter = collections.abc.Callable[[ids.ServiceName], ids.Epoch | None]


@dataclasses.dataclass(slots=True)
class _Kept:
    """A rejection, and the epoch of the latest holder that was told of it."""

    service: ids.ServiceName
    rejection: calls.Rejection
    added_s: float
    reported_epoch: ids.Epoch | None = None


class RejectionReporter:
    """The recent rejections of one entry; each new holder of a service is told of its own."""

    def __init__(
        self, entry: ids.EntryId, call_holder: HolderCaller, get_epoch: EpochGetter
    ) -> None:
        self._entry = entry
        self._call_holder = call_holder
        self._get_epoch = get_epoch
        self._kept: collections.deque[_Kept] = collections.deque()
        self._dropped = 0

    def __len__(self) -> int:
        """Return the number of rejections kept."""
        return len(self._kept)

    def add(self, job: jobs.Job) -> None:
        """Keep the rejection of a job whose caller is told now that it never runs."""
        rejection = calls.Rejection(
            job=job.job,
            queue=job.queue.name,
            received_ms=job.accepted_ms,
            rejected_ms=int(time.time() * 1000),
        )
        self._kept.append(_Kept(job.service, rejection, asyncio.get_running_loop().time()))
        if len(self._kept) > _MAX_REJECTIONS:
            self._drop_oldest()

    async def run(self) -> None:
        """Report rejections that their holders don't know, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if self._kept:
                await self._report()
            if self._dropped:
                _log.warning("Rejections reached no holder.", count=self._dropped)
                self._dropped = 0

    async def _report(self) -> None:
        oldest_s = asyncio.get_running_loop().time() - _RETENTION_S
        while self._kept and self._kept[0].added_s < oldest_s:
            self._drop_oldest()
        kept_by_service: dict[ids.ServiceName, list[_Kept]] = {}
        for kept in self._kept:
            kept_by_service.setdefault(kept.service, []).append(kept)
        for service, all_kept in kept_by_service.items():
            epoch = self._get_epoch(service)
            unreported = [kept for kept in all_kept if kept.reported_epoch != epoch]
            if epoch is not None and unreported:
                await self._send(service, epoch, unreported[:_MAX_REJECTIONS_PER_CALL])

    async def _send(
        self, service: ids.ServiceName, epoch: ids.Epoch, unreported: list[_Kept]
    ) -> None:
        call = calls.ReportRejections(
            service=service,
            entry=self._entry,
            rejections=tuple(kept.rejection for kept in unreported),
        )
        reply = await self._call_holder(call, _TIMEOUT_S)
        if reply is not None and reply.status is calls.Status.DONE:
            for kept in unreported:
                kept.reported_epoch = epoch

    def _drop_oldest(self) -> None:
        self._dropped += self._kept.popleft().reported_epoch is None
