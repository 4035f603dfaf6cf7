"""Protocols of the external services, implemented by platform adapters and test fakes."""

import collections.abc
import enum
import typing

from nutmegshelf import calls, fleetview, ids, orders, platform, policy, rebalancing


class RowChanges(typing.NamedTuple):
    """Rows of one kind that changed; deleted ones have no value.

    They include every change up to `as_of_s`, a time of the event loop's clock. A snapshot holds
    all rows of the kind.
    """

    rows: tuple[platform.Row, ...]
    version: int
    as_of_s: float
    is_snapshot: bool = False


class HostOrderOutcome(enum.Enum):
    """The platform's answer to an order to move a host or to take it down."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_DUE = "not-due"
    NO_SUCH_HOST = "no-such-host"
    UNAVAILABLE = "unavailable"


class RowStore(typing.Protocol):
    """The store of the rows that outlive every process.

    A key has the form KIND/PARTITION/NAME; a transaction stays within one partition.
    """

    @property
    def is_available(self) -> bool:
        """Return whether the table answered recently."""

    def get_clock_ms(self) -> float | None:
        """Return an estimate of the table's monotonic clock, never ahead of it; None if unknown."""

    async def read(self, key: str) -> platform.Row:
        """Read a row; raises TableUnavailable."""

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a kind in a partition; raises TableUnavailable."""

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; raises TableUnavailable, TableRefused or TableAnswerLost."""

    async def wait_for_changes(self, kind: str, after: int | None, wait_s: float) -> RowChanges:
        """Wait for changes of a kind; return a snapshot at first, or if the history is gone.

        There is no version to wait after at first.
        """


class WorkerClient(typing.Protocol):
    """The client of the workers; every call ends within a time limit of its own."""

    async def poll(
        self,
        facts: fleetview.WorkerFacts,
        *,
        fencing_token: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> orders.PollResult:
        """Return running and ended runs, and renew the worker's lease; raises WorkerError.

        The worker answers after wait_s at the latest if it is in order.
        """

    async def start(
        self,
        facts: fleetview.WorkerFacts,
        order: orders.StartRun,
        *,
        fencing_token: int,
        valid_until_ms: int,
    ) -> orders.StartAnswer:
        """Start a run; raises WorkerError."""

    async def stop(
        self, facts: fleetview.WorkerFacts, order: orders.StopRun, *, fencing_token: int
    ) -> None:
        """Stop a run and block later orders to start it; raises WorkerError."""

    async def set_pace(
        self, facts: fleetview.WorkerFacts, order: orders.SetPace, *, fencing_token: int
    ) -> None:
        """Limit a run to a percentage of its speed; raises WorkerError."""

    def disconnect(self, facts: fleetview.WorkerFacts) -> None:
        """Close the connections to a worker."""


class PolicyClient(typing.Protocol):
    """The client of the policy service, which decides where steps may run, one call at a time."""

    async def request_tickets(
        self, question: policy.Question, timeout_s: float
    ) -> orders.TicketGrant:
        """Request tickets for the workers that may run a step; raises AdviceError."""


class HostClient(typing.Protocol):
    """The client of the platform's list of hosts, and of its moves and upkeep."""

    async def list_hosts(self) -> tuple[rebalancing.HostView, ...]:
        """Read all hosts; raises HostsUnavailable."""

    async def move(self, move: rebalancing.Move, fencing_token: int) -> HostOrderOutcome:
        """Move an evacuated host; raises HostsUnavailable or HostsAnswerLost."""

    async def start_upkeep(
        self, host: ids.HostId, wave: int, fencing_token: int
    ) -> HostOrderOutcome:
        """Take an evacuated host down for upkeep; raises HostsUnavailable or HostsAnswerLost."""

    async def report_wave(self, wave: int, *, is_finished: bool) -> None:
        """Store the state of a maintenance wave for operators; raises TableError."""


class PeerClient(typing.Protocol):
    """The client of the other entries."""

    async def call(self, address: str, call: calls.AnyCall, timeout_s: float) -> calls.Reply:
        """Call another entry; raises PeerUnreachable or PeerAnswerLost."""


Wake = collections.abc.Callable[[], None]
