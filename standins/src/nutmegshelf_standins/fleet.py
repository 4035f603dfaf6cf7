"""Keep the platform's list of minions with the revision of each change."""

import itertools

from nutmegshelf import ids, platform

_PAGE_RECORDS = 200


class Fleet:
    """Give changes of the list by revision; none is ever given twice to who follows."""

    def __init__(self) -> None:
        self._revisions = itertools.count(1)
        self._changes: dict[ids.MinionId, tuple[int, platform.MinionRecord | None]] = {}
        self._before: platform.FleetList | None = None

    def put(self, minions: tuple[platform.MinionRecord, ...]) -> None:
        """Replace the whole list; each difference gets its own revision."""
        self._before = self.get_changes(-1, limit=len(self._changes) or 1)
        listed = {record.minion: record for record in minions}
        for minion in self._changes.keys() - listed.keys():
            if self._changes[minion][1] is not None:
                self._change(minion, None)
        for minion, record in listed.items():
            if self._changes.get(minion, (0, None))[1] != record:
                self._change(minion, record)

    def _change(self, minion: ids.MinionId, record: platform.MinionRecord | None) -> None:
        self._changes.pop(minion, None)
        self._changes[minion] = (next(self._revisions), record)

    def get_changes(
        self, revision: int, stale: bool = False, limit: int = _PAGE_RECORDS
    ) -> platform.FleetList | None:
        """Give the first changes after a revision; a stale read gives the list before the last."""
        if stale and self._before is not None:
            return self._before
        newer = [item for item in self._changes.items() if item[1][0] > revision]
        if not newer:
            return None
        page = newer[:limit]
        return platform.FleetList(
            revision=page[-1][1][0],
            minions=tuple(record for _, (_, record) in page if record is not None),
            gone=tuple(minion for minion, (_, record) in page if record is None),
            more=len(newer) > limit,
        )
