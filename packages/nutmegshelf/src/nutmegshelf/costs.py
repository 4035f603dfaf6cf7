"""Declare what hosts cost, for the choice of moves."""

import msgspec

from nutmegshelf import ids


class Costs(msgspec.Struct, frozen=True, kw_only=True):
    """Say what one move costs in seconds of a paid host, and how long a move takes.

    The default is the ratio of the two prices that the users state for their sites, 1.12 to 1.16.
    """

    move_host_s: float = 1.15
    move_s: float = 1.5
    move_host_s_by_pool: dict[ids.ServiceName, float] = {}

    def get_move_cost(self, pool: ids.ServiceName) -> float:
        """Give what a move out of a pool costs."""
        return self.move_host_s_by_pool.get(pool, self.move_host_s)
