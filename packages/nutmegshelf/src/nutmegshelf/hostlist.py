"""Keep the platform's list of hosts, with the moves that it may not show yet.

A list shows the hosts at some time after it was requested. It may arrive after the answer to a move
that was ordered meanwhile, so it doesn't override a later move.
"""

import collections.abc
import dataclasses
import math

from nutmegshelf import ids, rebalancing


@dataclasses.dataclass(frozen=True, slots=True)
class _UnlistedMove:
    target: ids.ServiceName
    # Lists that are requested from this time on show the move.
    listed_from_s: float


class HostList:
    """The hosts as listed, or as the latest moves left them."""

    def __init__(self) -> None:
        self.requested_s = -math.inf
        self.views: dict[ids.HostId, rebalancing.HostView] = {}
        self._unlisted_moves: dict[ids.HostId, _UnlistedMove] = {}

    @property
    def is_known(self) -> bool:
        """Return whether any list has arrived."""
        return self.requested_s > -math.inf

    def update(
        self, views: collections.abc.Iterable[rebalancing.HostView], requested_s: float
    ) -> None:
        """Apply a list that was requested at a time."""
        self.requested_s = requested_s
        self._unlisted_moves = {
            host: move
            for host, move in self._unlisted_moves.items()
            if requested_s < move.listed_from_s
        }
        self.views = {view.host: self._project(view) for view in views}

    def record_move(self, host: ids.HostId, target: ids.ServiceName, listed_from_s: float) -> None:
        """Record a move that lists requested from a time on show."""
        self._unlisted_moves[host] = _UnlistedMove(target, listed_from_s)
        if (view := self.views.get(host)) is not None:
            self.views[host] = self._project(view)

    def _project(self, view: rebalancing.HostView) -> rebalancing.HostView:
        move = self._unlisted_moves.get(view.host)
        if move is None:
            return view
        return dataclasses.replace(view, pool=move.target, state=rebalancing.HostState.MOVING)
