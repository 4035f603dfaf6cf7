"""Decide whether an entry knows which jobs are in doubt at the other entries.

Each of them has to have listed its doubts since this entry last may have missed a report. What an
entry had open as its process ended is in no list, so nothing is ruled out for a while after that.
"""

import collections.abc
import dataclasses
import math

from nutmegshelf import submissions


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
        if self._has_predecessor is False:
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

    def is_complete(
        self,
        addresses: collections.abc.Iterable[str],
        now_s: float,
        *,
        are_submitters_known: bool,
    ) -> bool:
        """Return whether the doubts of this entry and of those at the addresses are all known.

        If a job's submitters are known, each can be asked, so that no other entry matters that
        has ended or is silent.
        """
        if not are_submitters_known and self.get_predecessor_doubt_s(now_s) > 0:
            return False
        peers = [self._peers.get(address) for address in addresses]
        return all(self._is_known(peer, now_s, are_submitters_known) for peer in peers)

    @staticmethod
    def _is_known(peer: _Peer | None, now_s: float, are_submitters_known: bool) -> bool:
        if peer is None:
            return False
        if peer.silent_since_s is not None:
            silence_s = now_s - peer.silent_since_s
            return are_submitters_known or silence_s >= submissions.LOST_PROCESS_DOUBT_S
        return peer.has_listed and (are_submitters_known or now_s >= peer.lost_until_s)
