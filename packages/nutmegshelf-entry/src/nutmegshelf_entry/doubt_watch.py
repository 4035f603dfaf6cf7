"""Follow the other entries' doubts while this entry has submissions to reject.

A report of a doubt doesn't reach an entry that stands still, is cut off or has just started. So an
entry that rejects has the others list their doubts, and then keeps a call open at each of them,
which ends at once when its process does.
"""

import asyncio
import collections.abc

from nutmegshelf import calls, doubt_coverage, exceptions, ids, submissions

from nutmegshelf_entry import logs, ports

# The other entries are followed for this long after the latest rejection.
_WATCH_S = 5.0
# How long a rejection waits for the first lists, and how long for lists that are requested anew.
_MAX_WAIT_S = 0.15
_MAX_ROUND_WAIT_S = 0.5
_CALL_TIMEOUT_S = 0.4
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
_CLOCK_INTERVAL_S = 0.05
# A further call returns the doubts since it began and for this long before, as reports may be lost.
_OVERLAP_S = 1.5

_log = logs.get_logger("desk")


class DoubtWatch:
    """The calls of one entry that list the doubts of the others."""

    def __init__(
        self,
        peers: ports.PeerClient,
        list_addresses: collections.abc.Callable[[], list[str]],
        ledger: submissions.Ledger,
    ) -> None:
        self._peers = peers
        self._list_addresses = list_addresses
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self.coverage = doubt_coverage.DoubtCoverage(self._loop.time())
        self._ends_s = 0.0
        self._observed_s = 0.0
        self._is_watching = False
        self._begun = asyncio.Event()
        self._followers: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._round: asyncio.Task[bool] | None = None
        self._next_round: asyncio.Task[bool] | None = None

    async def answer(self, call: calls.ListDoubts) -> calls.Reply:
        """List the doubts of this entry."""
        await asyncio.sleep(min(call.wait_s, doubt_coverage.MAX_OPEN_CALL_S))
        now_s = self._loop.time()
        return calls.Reply(
            status=calls.Status.DONE,
            doubts=self._ledger.list_doubts(call.max_age_s, now_s),
            open_jobs=self._ledger.list_open(),
            predecessor_doubt_s=self.coverage.get_predecessor_doubt_s(now_s),
        )

    async def refresh(
        self, *, are_submitters_known: bool, has_holder: bool
    ) -> frozenset[doubt_coverage.Gap]:
        """Return why the doubts of other entries are not all known after a moment's wait.

        A holder names the entries that are submitting the job now. Without one they are all asked.
        """
        now_s = self._loop.time()
        if not self._is_watching:
            self._is_watching = True
            self._begun.set()
            self.coverage.begin(now_s)
            self._observed_s = now_s
        self._ends_s = now_s + _WATCH_S
        self._observe_clock()
        self._follow_all()
        gaps = self._find_gaps(are_submitters_known)
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                while doubt_coverage.Gap.UNLISTED in gaps.values():
                    await self._changed.wait()
                    gaps = self._find_gaps(are_submitters_known)
        except TimeoutError:
            gaps = self._find_gaps(are_submitters_known)
        if not gaps and not has_holder and not await self._list_anew():
            gaps = {"others": doubt_coverage.Gap.UNLISTED}
        if gaps:
            named = {address or "here": gap.value for address, gap in gaps.items()}
            _log.info("Not all doubts of other entries are known.", gaps=named)
        return frozenset(gaps.values())

    async def _list_anew(self) -> bool:
        """Have the entries list what they are submitting; return whether all did in time.

        Nobody else knows of a submission that was begun after the latest list, and is still open.
        """
        if self._next_round is None:
            self._next_round = asyncio.ensure_future(self._run_round(self._round))
        try:
            async with asyncio.timeout(_MAX_ROUND_WAIT_S):
                return await asyncio.shield(self._next_round)
        except TimeoutError:
            return False

    async def _run_round(self, previous: asyncio.Task[bool] | None) -> bool:
        await asyncio.sleep(doubt_coverage.get_round_delay_s(len(self._followers)))
        if previous is not None:
            await asyncio.wait([previous])
        self._round, self._next_round = self._next_round, None
        # The others have been silent for so long that they don't matter.
        listed = [
            address for address in self._list_addresses() if self.coverage.has_listed(address)
        ]
        return all(await asyncio.gather(*map(self._list_again, listed)))

    async def _list_again(self, address: str) -> bool:
        call = calls.ListDoubts(service=ids.ServiceName(""), max_age_s=_OVERLAP_S, wait_s=0.0)
        try:
            reply = await self._peers.call(address, call, _MAX_WAIT_S)
        except exceptions.PeerError as error:
            _log.info("An entry did not list its doubts.", entry_address=address, why=str(error))
            return False
        self._record_doubts(address, reply)
        return True

    def _find_gaps(self, are_submitters_known: bool) -> dict[str, doubt_coverage.Gap]:
        return self.coverage.find_gaps(
            self._list_addresses(), self._loop.time(), are_submitters_known=are_submitters_known
        )

    async def run(self) -> None:
        """Notice whether this entry stands still while it follows the others, until cancelled."""
        try:
            while True:
                await self._begun.wait()
                self._begun.clear()
                while self._loop.time() < self._ends_s:
                    await asyncio.sleep(_CLOCK_INTERVAL_S)
                    self._observe_clock()
                self._is_watching = False
                self._stop_following()
                self._ledger.forget_open_elsewhere()
        finally:
            self._is_watching = False
            self._stop_following()

    def _observe_clock(self) -> None:
        """Ask all entries anew if this one stood still."""
        now_s, observed_s = self._loop.time(), self._observed_s
        self._observed_s = now_s
        if now_s - observed_s > submissions.MAX_STANDSTILL_S:
            _log.info(
                "Reports of doubts may have been missed.", late_s=round(now_s - observed_s, 3)
            )
            self.coverage.record_gap(now_s)
            self._stop_following()
            self._follow_all()

    def _follow_all(self) -> None:
        for address in self._list_addresses():
            if address not in self._followers:
                self._followers[address] = asyncio.ensure_future(self._follow(address))

    def _stop_following(self) -> None:
        followers, self._followers = self._followers, {}
        for task in followers.values():
            task.cancel()

    async def _follow(self, address: str) -> None:
        delay_s = _MIN_RETRY_DELAY_S
        try:
            while address in self._list_addresses():
                if await self._list(address):
                    delay_s = _MIN_RETRY_DELAY_S
                else:
                    await asyncio.sleep(delay_s)
                    delay_s = min(_MAX_RETRY_DELAY_S, 2 * delay_s)
        finally:
            # After a standstill, another task follows the entry.
            if self._followers.get(address) is asyncio.current_task():
                del self._followers[address]

    async def _list(self, address: str) -> bool:
        """Receive one list of an entry; return whether it answered."""
        requested_s = self._loop.time()
        wait_s, max_age_s = 0.0, submissions.MAX_CARRY_OUT_DELAY_S
        if self.coverage.has_listed(address):
            wait_s = doubt_coverage.get_open_call_s(len(self._followers))
            max_age_s = wait_s + _OVERLAP_S
        call = calls.ListDoubts(service=ids.ServiceName(""), max_age_s=max_age_s, wait_s=wait_s)
        try:
            reply = await self._peers.call(address, call, wait_s + _CALL_TIMEOUT_S)
        except exceptions.PeerError as error:
            self.coverage.record_silence(address, self._loop.time())
            self._ledger.lose_open_elsewhere(address, self._loop.time())
            self._notify()
            _log.info("An entry did not list its doubts.", entry_address=address, why=str(error))
            return False
        self._record_doubts(address, reply)
        self.coverage.record_list(
            address, requested_s, self._loop.time(), reply.predecessor_doubt_s
        )
        self._notify()
        return True

    def _record_doubts(self, address: str, reply: calls.Reply) -> None:
        now_s = self._loop.time()
        for doubt in reply.doubts:
            self._ledger.report_doubt(doubt.job, now_s - doubt.age_s)
        self._ledger.record_open_elsewhere(address, reply.open_jobs)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
