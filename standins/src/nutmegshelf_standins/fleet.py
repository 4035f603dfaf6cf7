"""The minion list of the simulated platform, with a revision for each change."""

import itertools

from nutmegshelf import ids, platform

_MAX_PAGE_RECORDS = 200


class Fleet:
    """A minion list whose clients poll for changes by revision and get each change once."""

    def __init__(self) -> None:
        self._revisions = itertools.count(1)
        self._changes: dict[ids.MinionId, tuple[int, platform.MinionRecord | None]] = {}
        self._previous_list: platform.FleetList | None = None

    def put(self, minions: tuple[platform.MinionRecord, ...]) -> None:
        """Replace the list; each added, changed or removed record gets its own revision."""
        self._previous_list = self.get_changes(-1, limit=len(self._changes) or 1)
        records_by_minion = {record.minion: record for record in minions}
        for minion in self._changes.keys() - records_by_minion.keys():
            if self._changes[minion][1] is not None:
                self._record_change(minion, None)
        for minion, record in records_by_minion.items():
            if self._changes.get(minion, (0, None))[1] != record:
                self._record_change(minion, record)

    def _record_change(self, minion: ids.MinionId, record: platform.MinionRecord | None) -> None:
        self._changes.pop(minion, None)
        self._changes[minion] = (next(self._revisions), record)

    def get_changes(
        self, revision: int, stale: bool = False, limit: int = _MAX_PAGE_RECORDS
    ) -> platform.FleetList | None:
        """Return the changes after a revision, or the previous list if the read is stale."""
        if stale and self._previous_list is not None:
            return self._previous_list
        newer_changes = [item for item in self._changes.items() if item[1][0] > revision]
        if not newer_changes:
            return None
        page = newer_changes[:limit]
        return platform.FleetList(
            revision=page[-1][1][0],
            minions=tuple(record for _, (_, record) in page if record is not None),
            gone=tuple(minion for minion, (_, record) in page if record is None),
            more=len(newer_changes) > limit,
        )
