"""Serialize the starts that are charged to a team's quota by a row of the table."""

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "quotas/"


class QuotaRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count of a team's starts; concurrent starts from several pools conflict on this row."""

    team: ids.TeamName
    starts: int = 0


def key(team: ids.TeamName) -> str:
    """Return the table key of a team's quota row."""
    return PREFIX + team


def prepare_start(
    row: platform.Row, team: ids.TeamName
) -> tuple[platform.Condition, platform.Write]:
    """Return the condition and the write that a transaction needs to start tasks of a team."""
    current = codecs.unpack(row.value, QuotaRow) if row.version else QuotaRow(team=team)
    updated = msgspec.structs.replace(current, starts=current.starts + 1)
    return platform.Condition(key(team), row.version), platform.Write(
        key(team), codecs.pack(updated)
    )
