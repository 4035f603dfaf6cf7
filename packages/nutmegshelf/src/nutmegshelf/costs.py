"""Define the costs of hosts that the choice of moves weighs."""

import msgspec

from nutmegshelf import ids


class Costs(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of a move, in seconds of a paid host, and its duration.

    The default cost is the ratio of the two prices that users state for their sites, 1.12 to 1.16.
    """

    move_host_s: float = 1.15
    move_s: float = 1.5
    move_host_s_by_pool: dict[ids.ServiceName, float] = {}

    def get_move_cost(self, pool: ids.ServiceName) -> float:
        """Return the cost of a move out of a pool, in host seconds."""
        return self.move_host_s_by_pool.get(pool, self.move_host_s)
