"""Name what the daemon needs of the outside, so that an adapter or a fake can give it."""

import collections.abc
import enum
import typing

from nutmegshelf import calls, fleetview, ids, orders, platform, policy, rebalancing


class Changes(typing.NamedTuple):
    """Hold rows of one kind that changed; deleted ones have no value.

    They are all that changed until a time of the loop's clock.
    """

    rows: tuple[platform.Row, ...]
    version: int
    as_of_s: float
    is_whole: bool = False


class Ordered(enum.Enum):
    """Say what became of an order about a host."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_DUE = "not-due"
    NO_SUCH_HOST = "no-such-host"


class Rows(typing.Protocol):
    """Read, change and watch the rows that outlive every process.

    A key has the form KIND/PARTITION/NAME; a transaction stays within one partition.
    """

    @property
    def is_answering(self) -> bool:
        """Say whether the table answered lately."""

    def clock_ms(self) -> float | None:
        """Give the table's steady clock, never ahead of it, or none before its first answer."""

    async def read(self, key: str) -> platform.Row:
        """Read a row; raises TableUnavailable."""

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a kind in a partition; raises TableUnavailable."""

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; raises TableUnavailable or TableAnswerLost."""

    async def changes(self, kind: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a kind; gives all rows where the history is gone, or at first."""


class Workers(typing.Protocol):
    """Give orders to workers; every call ends within its time limit."""

    async def look(
        self,
        facts: fleetview.WorkerFacts,
        *,
        fence: int,
        seen: int,
        until_ms: int | None,
        wait_s: float,
    ) -> orders.PollResult:
        """Ask what runs and what ended, and renew the lease; raises WorkerError."""

    async def start(
        self,
        facts: fleetview.WorkerFacts,
        order: orders.StartRun,
        *,
        fence: int,
        until_ms: int,
    ) -> orders.Refusal | None:
        """Start a run; gives the reason where it was turned away; raises WorkerError."""

    async def stop(
        self, facts: fleetview.WorkerFacts, order: orders.StopRun, *, fence: int
    ) -> None:
        """Stop a run and bar orders to start it; raises WorkerError."""

    async def pace(
        self, facts: fleetview.WorkerFacts, order: orders.SetPace, *, fence: int
    ) -> None:
        """Let a run work at a share of its speed; raises WorkerError."""

    def forget(self, facts: fleetview.WorkerFacts) -> None:
        """Close the connections to a worker."""


class Advice(typing.Protocol):
    """Ask the policy service which workers may run a step; it answers one call at a time."""

    async def ask(self, question: policy.Question, limit_s: float) -> orders.TicketGrant:
        """Ask for tickets; raises AdviceError."""


class Hosts(typing.Protocol):
    """Read the platform's list of hosts and order moves and upkeep."""

    async def list_hosts(self) -> tuple[rebalancing.HostView, ...]:
        """Read all hosts; raises HostsUnavailable."""

    async def move(self, move: rebalancing.Move, fence: int) -> Ordered:
        """Move a cleared host; raises HostsUnavailable or HostsAnswerLost."""

    async def upkeep(self, host: ids.HostId, wave: int, fence: int) -> Ordered:
        """Take a cleared host down for a wave; raises HostsUnavailable or HostsAnswerLost."""

    async def report_wave(self, wave: int, *, is_finished: bool) -> None:
        """Tell operators how far a wave is; raises TableError."""


class Peers(typing.Protocol):
    """Call other entries."""

    async def ask(self, address: str, call: calls.AnyCall, limit_s: float) -> calls.Reply:
        """Call another entry; raises PeerUnreachable or PeerAnswerLost."""


Wake = collections.abc.Callable[[], None]
