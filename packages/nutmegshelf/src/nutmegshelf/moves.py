"""Decide which workers move between pools."""

import dataclasses

from nutmegshelf import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Ask for a worker to move to another pool."""

    worker: ids.WorkerId
    to_pool: ids.PoolName
    reason: str = ""
