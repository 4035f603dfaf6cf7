"""Decide whether an entry knows which jobs are in doubt at the other entries.

Each of them has to have listed its doubts since this entry last may have missed a report. What an
entry had open as its process ended is in no list, so nothing is ruled out for a while after that.
"""

import collections.abc
import dataclasses
import enum
import math

from nutmegshelf import submissions

# With more entries, calls stay open for longer, so that an entry makes at most so many.
_MAX_OPEN_CALLS_PER_S = 32
_MIN_OPEN_CALL_S = 0.5
MAX_OPEN_CALL_S = 5.0
# Rejections of this time share a round of lists; it is longer with many entries.
_MAX_ROUND_CALLS_PER_S = 100
_MIN_ROUND_DELAY_S = 0.02
_MAX_ROUND_DELAY_S = 0.3


def get_open_call_s(entries: int) -> float:
    """Return how long a call stays open at each of some other entries."""
    return min(MAX_OPEN_CALL_S, max(_MIN_OPEN_CALL_S, entries / _MAX_OPEN_CALLS_PER_S))


def get_round_delay_s(entries: int) -> float:
    """Return how long rejections are collected before some other entries are asked anew."""
    return min(_MAX_ROUND_DELAY_S, max(_MIN_ROUND_DELAY_S, entries / _MAX_ROUND_CALLS_PER_S))


class Gap(enum.Enum):
    """Why the doubts of an entry are not all known."""

    UNLISTED = "unlisted"
    SILENT = "silent"
    # What its earlier process submitted is not known.
    RESTARTED = "restarted"


@dataclasses.dataclass(slots=True)
class _Peer:
    """What another entry has said of its doubts."""

    has_listed: bool = False
    silent_since_s: float | None = None
    # What a process of this entry that has ended submitted is in doubt until then.
    lost_until_s: float = -math.inf


class DoubtCoverage:
    """The lists of doubts that one entry got from the others, by their addresses."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._has_predecessor: bool | None = None
        self._peers: dict[str, _Peer] = {}
        # Lists that were requested earlier may lack a report that this entry has missed.
        self._valid_from_s = started_s

    def record_predecessor(self, has_predecessor: bool) -> None:
        """Record whether an earlier process of this entry may have ended with open submissions."""
        self._has_predecessor = has_predecessor

    def get_predecessor_doubt_s(self, now_s: float) -> float:
        """Return how much longer submissions to an earlier process of this entry are in doubt."""
        match self._has_predecessor:
            case None:
                # The other entries aren't known either until the table's rows are read.
                return submissions.LOST_PROCESS_DOUBT_S
            case False:
                return 0.0
        return max(0.0, self._started_s + submissions.LOST_PROCESS_DOUBT_S - now_s)

    def begin(self, now_s: float) -> None:
        """Forget all that other entries said, as they are watched from now on."""
        self._peers = {}
        self._valid_from_s = now_s

    def record_gap(self, now_s: float) -> None:
        """Record that reports of doubts may have been missed until now."""
        self._valid_from_s = now_s
        for peer in self._peers.values():
            peer.has_listed = False

    def record_list(
        self, address: str, requested_s: float, now_s: float, predecessor_doubt_s: float
    ) -> None:
        """Record that an entry's list of doubts, requested at a time, was received."""
        peer = self._peers.setdefault(address, _Peer())
        peer.has_listed = requested_s >= self._valid_from_s
        peer.silent_since_s = None
        peer.lost_until_s = now_s + predecessor_doubt_s

    def record_silence(self, address: str, now_s: float) -> None:
        """Record that an entry did not answer, so that it may have ended."""
        peer = self._peers.setdefault(address, _Peer())
        peer.has_listed = False
        if peer.silent_since_s is None:
            peer.silent_since_s = now_s

    def has_listed(self, address: str) -> bool:
        """Return whether an entry's latest list is complete together with its later reports."""
        return address in self._peers and self._peers[address].has_listed

    def find_gaps(
        self,
        addresses: collections.abc.Iterable[str],
        now_s: float,
        *,
        are_submitters_known: bool,
    ) -> dict[str, Gap]:
        """Return the entries whose doubts are not all known, this one under an empty address.

        If a job's submitters are known, each can be asked, so that no other entry matters that
        has ended or is silent.
        """
        gaps = {address: self._find_gap(self._peers.get(address), now_s) for address in addresses}
        if self.get_predecessor_doubt_s(now_s) > 0:
            gaps[""] = Gap.RESTARTED
        return {
            address: gap
            for address, gap in gaps.items()
            if gap is Gap.UNLISTED or (gap is not None and not are_submitters_known)
        }

    @staticmethod
    def _find_gap(peer: _Peer | None, now_s: float) -> Gap | None:
        if peer is None:
            return Gap.UNLISTED
        if peer.silent_since_s is not None:
            is_recent = now_s - peer.silent_since_s < submissions.LOST_PROCESS_DOUBT_S
            return Gap.SILENT if is_recent else None
        if not peer.has_listed:
            return Gap.UNLISTED
        return Gap.RESTARTED if now_s < peer.lost_until_s else None
