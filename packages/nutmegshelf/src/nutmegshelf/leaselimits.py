"""Decide until when a run may go on at a worker that doesn't answer.

A call asks for a lease until a time by the clock of the incarnation that it is meant for. A later
incarnation under the same id may carry the call out, if nothing sent after it came first. By its
clock, which starts anew, that time lies far ahead, so it grants the longest possible lease from
then on, to all that runs there. Silence doesn't tell whether there is a later incarnation.
"""

from nutmegshelf import fleetview

# The longest lease that workers grant, by their clocks.
MAX_LEASE_S = 6.0
# A worker carries out a call within this time after it was sent, if at all.
MAX_DELAY_S = 12.0
# A call leaves within this time after it was prepared, also one that another entry forwards.
_MAX_SENDING_S = 1.0
# Most calls are carried out within this time.
_USUAL_DELAY_S = 0.5


def get_takeover_s(max_lease_s: float, *, handover_s: float = 0.0) -> float:
    """Return how long leases may last after the end of the holder that asked for them.

    It doesn't cover calls that are carried out later than usual, as all tasks of the service wait.
    The time by which a handover came sooner than the expiry of the holder's lease is added.
    """
    return fleetview.get_max_duration_s(max_lease_s) + _USUAL_DELAY_S + handover_s


class LeaseLimits:
    """The limits of the leases that workers of one service may have granted."""

    def __init__(self, max_lease_s: float) -> None:
        self._max_lease_s = fleetview.get_max_duration_s(max_lease_s)

    def get_latest_end_s(self, granted_s: float) -> float:
        """Return until when a lease may last that was granted by a time."""
        return granted_s + self._max_lease_s

    def get_release_s(self, worker: fleetview.Worker, task: fleetview.Task) -> float:
        """Return until when a run may go on, unless its worker answers again.

        A run that its worker has confirmed ends with that incarnation or its lease. Any other one
        may be at a later incarnation, whose lease each call to the former one may extend.
        """
        if not task.is_sent or task.is_confirmed or task.step.speculative:
            return worker.leased_until_s
        request = worker.lease_request
        sent_s = task.sent_s if request is None else max(task.sent_s, request.sent_s)
        # The users of a long-running task wait for it, so a worker that has ended must not keep it.
        is_urgent = task.step.long_running and worker.is_absent
        delay_s = _USUAL_DELAY_S if is_urgent else MAX_DELAY_S + _MAX_SENDING_S
        return max(worker.leased_until_s, self.get_latest_end_s(sent_s + delay_s))
