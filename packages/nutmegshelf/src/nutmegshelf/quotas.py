"""Count the starts on a team's quota in one row, so that pools meet there."""

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "quotas/"


class QuotaRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count a team's starts; holders of several pools that race for its quota meet in this row."""

    team: ids.TeamName
    starts: int = 0


def key(team: ids.TeamName) -> str:
    """Name the row of a team's quota."""
    return PREFIX + team


def prepare_start(
    row: platform.Row, team: ids.TeamName
) -> tuple[platform.Condition, platform.Write]:
    """Make what a transaction needs to start more of a team's tasks."""
    found = codecs.unpack(row.value, QuotaRow) if row.version else QuotaRow(team=team)
    counted = msgspec.structs.replace(found, starts=found.starts + 1)
    return platform.Condition(key(team), row.version), platform.Write(
        key(team), codecs.pack(counted)
    )
