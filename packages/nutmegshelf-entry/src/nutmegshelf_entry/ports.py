"""Name what the daemon needs of the outside, so that an adapter or a fake can give it."""

import collections.abc
import enum
import typing

from nutmegshelf import calls, fleetview, ids, orders, platform, policy, rebalancing


class RowChanges(typing.NamedTuple):
    """Hold rows of one kind that changed; deleted ones have no value.

    They are all that changed until a time of the loop's clock.
    """

    rows: tuple[platform.Row, ...]
    version: int
    as_of_s: float
    is_snapshot: bool = False


class HostOrderOutcome(enum.Enum):
    """Say what became of an order about a host."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_DUE = "not-due"
    NO_SUCH_HOST = "no-such-host"


class RowStore(typing.Protocol):
    """Read, change and watch the rows that outlive every process.

    A key has the form KIND/PARTITION/NAME; a transaction stays within one partition.
    """

    @property
    def is_available(self) -> bool:
        """Say whether the table answered lately."""

    def get_clock_ms(self) -> float | None:
        """Give the table's steady clock, never ahead of it, or none before its first answer."""

    async def read(self, key: str) -> platform.Row:
        """Read a row; raises TableUnavailable."""

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a kind in a partition; raises TableUnavailable."""

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; raises TableUnavailable or TableAnswerLost."""

    async def wait_for_changes(self, kind: str, after: int, wait_s: float) -> RowChanges:
        """Wait for changes of a kind; gives all rows where the history is gone, or at first."""


class WorkerClient(typing.Protocol):
    """Give orders to workers; every call ends within its time limit."""

    async def poll(
        self,
        facts: fleetview.WorkerFacts,
        *,
        fencing_token: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> orders.PollResult:
        """Ask what runs and what ended, and renew the lease; raises WorkerError."""

    async def start(
        self,
        facts: fleetview.WorkerFacts,
        order: orders.StartRun,
        *,
        fencing_token: int,
        valid_until_ms: int,
    ) -> orders.Refusal | None:
        """Start a run; gives the reason where it was turned away; raises WorkerError."""

    async def stop(
        self, facts: fleetview.WorkerFacts, order: orders.StopRun, *, fencing_token: int
    ) -> None:
        """Stop a run and bar orders to start it; raises WorkerError."""

    async def set_pace(
        self, facts: fleetview.WorkerFacts, order: orders.SetPace, *, fencing_token: int
    ) -> None:
        """Let a run work at a share of its speed; raises WorkerError."""

    def disconnect(self, facts: fleetview.WorkerFacts) -> None:
        """Close the connections to a worker."""


class PolicyClient(typing.Protocol):
    """Ask the policy service which workers may run a step; it answers one call at a time."""

    async def request_tickets(
        self, question: policy.Question, timeout_s: float
    ) -> orders.TicketGrant:
        """Ask for tickets; raises AdviceError."""


class HostClient(typing.Protocol):
    """Read the platform's list of hosts and order moves and upkeep."""

    async def list_hosts(self) -> tuple[rebalancing.HostView, ...]:
        """Read all hosts; raises HostsUnavailable."""

    async def move(self, move: rebalancing.Move, fencing_token: int) -> HostOrderOutcome:
        """Move a cleared host; raises HostsUnavailable or HostsAnswerLost."""

    async def start_upkeep(
        self, host: ids.HostId, wave: int, fencing_token: int
    ) -> HostOrderOutcome:
        """Take a cleared host down for a wave; raises HostsUnavailable or HostsAnswerLost."""

    async def report_wave(self, wave: int, *, is_finished: bool) -> None:
        """Tell operators how far a wave is; raises TableError."""


class PeerClient(typing.Protocol):
    """Call other entries."""

    async def call(self, address: str, call: calls.AnyCall, timeout_s: float) -> calls.Reply:
        """Call another entry; raises PeerUnreachable or PeerAnswerLost."""


Wake = collections.abc.Callable[[], None]
