"""Activation of accepted configurations, which peers push and the table is polled for."""

import asyncio
import collections
import collections.abc
import math
import time
import typing

from nutmegshelf import (
    audit,
    codecs,
    configuration,
    confirmation,
    exceptions,
    ids,
    messages,
    platform,
)

from nutmegshelf_entry import logs, table

_STATUS_INTERVAL_S = 0.25
_HEARTBEAT_INTERVAL_S = 1.0
_MAX_CATCH_UP_REVISIONS = 32
_MAX_RECENT_REVISIONS = 64
_log = logs.get_logger("configuration")

OnActivated = collections.abc.Callable[[configuration.Configuration], None]
OnConfirmationChanged = collections.abc.Callable[[bool], None]


class Peers(typing.Protocol):
    """Interface of the message transport between entries; tests substitute a fake."""

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every peer."""

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message to one peer."""


class Directory(typing.Protocol):
    """Interface of the membership of entries."""

    def get_voters(self) -> frozenset[ids.EntryId]:
        """Return the entries heard from recently enough to count as voters."""

    def get_addresses(self) -> dict[ids.EntryId, str]:
        """Return the addresses of live peers."""


class Configurator:
    """Controller that keeps the active configuration of this entry current and confirmed."""

    def __init__(
        self,
        *,
        entry: ids.EntryId,
        store: table.Store,
        active_configuration: configuration.ActiveConfiguration,
        peers: Peers,
        directory: Directory,
        on_activated: OnActivated,
        on_confirmation_changed: OnConfirmationChanged,
        poll_interval_s: float,
        push: bool = True,
        decisions: audit.DecisionLog | None = None,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._entry = entry
        self._store = store
        self._active = active_configuration
        self._peers = peers
        self._directory = directory
        self._on_activated = on_activated
        self._on_confirmation_changed = on_confirmation_changed
        self._poll_interval_s = poll_interval_s
        self._push = push
        self._head_row = platform.Row(configuration.HEAD_KEY, 0)
        self._head: configuration.Head | None = None
        self._last_read_s = -math.inf
        self._newest_head: configuration.Head | None = None
        self._catch_up_needed = asyncio.Event()
        self._peer_timestamps_s: dict[ids.EntryId, float] = {}
        self._decisions = decisions
        self._clock = clock
        self.peer_versions: dict[ids.EntryId, ids.Version] = {}
        self.recent_revisions: collections.deque[configuration.Revision] = collections.deque(
            maxlen=_MAX_RECENT_REVISIONS
        )
        self.confirmation = confirmation.Confirmation(entry)
        self.status = confirmation.Status.STARTING

    async def run(self) -> None:
        """Poll, catch up, send heartbeats and update the status until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_periodically())
            group.create_task(self._catch_up_when_behind())
            group.create_task(self._send_heartbeats_periodically())
            group.create_task(self._update_status_periodically())

    async def _poll_periodically(self) -> None:
        while True:
            try:
                await self.poll()
            except exceptions.TableError as error:
                _log.info("Could not read the head.", error=str(error))
            await asyncio.sleep(self._poll_interval_s)

    async def poll(self) -> None:
        """Check against the table that the known head is current; raises TableError.

        A transaction with only conditions is never answered from a stale copy, as a read may be.
        """
        started_s = asyncio.get_running_loop().time()
        condition = platform.Condition(configuration.HEAD_KEY, self._head_row.version)
        try:
            answer = await self._store.commit(platform.Transaction((condition,)))
        except exceptions.TableAnswerLost:
            # A plain read may be stale: it can reveal a newer head but confirms nothing.
            self._apply_head_row(await self._store.read(configuration.HEAD_KEY))
            raise
        if not answer.ok:
            self._apply_head_row(answer.rows[0])
        self._last_read_s = started_s
        self.confirmation.set_voters(self._directory.get_voters())
        self._confirm_by_table()
        self.update_status()

    def _apply_head_row(self, row: platform.Row) -> None:
        if row.version > self._head_row.version:
            self._head_row = row
            self._head = codecs.unpack(row.value, configuration.Head)
            self._request_catch_up(self._head)

    def _confirm_by_table(self) -> None:
        if self._head is not None and self._head.version == self._active.version:
            self.confirmation.confirm_by_table(self._last_read_s)

    def _request_catch_up(self, head: configuration.Head) -> None:
        if self._active.is_newer(head) and (
            self._newest_head is None or head.version > self._newest_head.version
        ):
            self._newest_head = head
        if self._newest_head is not None and self._active.is_newer(self._newest_head):
            self._catch_up_needed.set()

    async def _catch_up_when_behind(self) -> None:
        while True:
            await self._catch_up_needed.wait()
            self._catch_up_needed.clear()
            if self._newest_head is None or not self._active.is_newer(self._newest_head):
                continue
            try:
                await self._catch_up(self._newest_head)
            except exceptions.TableError as error:
                _log.info(
                    "Could not read the set from the table; requested it from peers.",
                    error=str(error),
                )
                request = messages.ConfigurationRequest(
                    sender=self._entry, version=self._newest_head.version
                )
                self._peers.broadcast(request)
                await asyncio.sleep(_STATUS_INTERVAL_S)
                self._request_catch_up(self._newest_head)

    async def _catch_up(self, head: configuration.Head) -> None:
        gap = head.version - self._active.version
        if self._active.version and gap <= _MAX_CATCH_UP_REVISIONS:
            after = configuration.history_key(self._active.version)
            for row in await self._store.scan(
                configuration.HISTORY_PREFIX, after, _MAX_CATCH_UP_REVISIONS
            ):
                self._apply_revision(codecs.unpack(row.value, configuration.Revision))
        if not self._active.is_newer(head):
            return
        data = await self._store.get_object(configuration.set_key(head))
        accepted = configuration.decode_set(head, data)
        if accepted is None:
            raise exceptions.TableUnavailable(f"the set of version {head.version} is missing")
        self._activate(accepted, None)

    def _apply_revision(self, revision: configuration.Revision) -> bool:
        accepted = self._active.derive(revision)
        if accepted is not None:
            self._activate(accepted, revision)
        return accepted is not None

    def _activate(
        self, accepted: configuration.Configuration, revision: configuration.Revision | None
    ) -> None:
        previous = self._active.current
        if not self._active.activate(accepted):
            return
        _log.info("Switched the configuration.", version=accepted.head.version)
        applied = revision or configuration.make_revision(
            accepted.head, previous, accepted.declarations
        )
        self.recent_revisions.append(applied)
        self._record_activation(applied)
        self._confirm_by_table()
        self._on_activated(accepted)
        self.update_status()
        if self._push:
            announcement = messages.HeadAccepted(
                sender=self._entry, head=accepted.head, revision=revision
            )
            self._peers.broadcast(announcement)

    def _record_activation(self, revision: configuration.Revision) -> None:
        head = revision.head
        reason = f"version {head.version} by {head.operator!r} came into force"
        for subject in ("configuration", *revision.changed):
            self._record_decision("configuration", subject, reason)

    def _record_decision(self, kind: str, subject: str, reason: str) -> None:
        if self._decisions is not None:
            decision = audit.Decision(kind=kind, subject=subject, reason=reason, at_s=self._clock())
            self._decisions.add(decision)

    def activate_published(
        self,
        revision: configuration.Revision,
        accepted: configuration.Configuration,
        started_s: float,
    ) -> None:
        """Activate a configuration that was published through this entry."""
        if self._active.is_newer(accepted.head):
            self._activate(accepted, revision if revision.delta is not None else None)
            self.confirmation.confirm_by_table(started_s)
            self.update_status()

    def handle_message(self, message: messages.AnyMessage) -> None:
        """Handle a peer's message about configurations."""
        match message:
            case messages.HeadAccepted(sender=sender, revision=revision, head=head):
                self._observe_version(sender, head.version)
                if revision is None or not self._apply_revision(revision):
                    self._request_catch_up(head)
            case messages.ConfigurationHeartbeat():
                self._handle_heartbeat(message)
            case messages.ConfigurationRequest(sender=sender, version=version):
                self._send_set(sender, version)
            case messages.ConfigurationSet(head=head, data=data, voters=voters):
                if not self.confirmation.voters:
                    self.confirmation.set_voters(frozenset(voters))
                accepted = configuration.decode_set(head, data)
                if accepted is not None:
                    self._activate(accepted, None)
            case _:
                pass

    def _handle_heartbeat(self, heartbeat: messages.ConfigurationHeartbeat) -> None:
        self._peer_timestamps_s[heartbeat.sender] = heartbeat.sent_s
        self._observe_version(heartbeat.sender, heartbeat.version)
        if heartbeat.version > self._active.version:
            if not self._push:
                return
            request = messages.ConfigurationRequest(sender=self._entry, version=heartbeat.version)
            self._send(heartbeat.sender, request)
            return
        is_same_version = heartbeat.version == self._active.version
        self.confirmation.confirm_by_peer(
            heartbeat.sender, is_same_version, heartbeat.echo_s, heartbeat.table_age_s
        )
        self.update_status()

    def _observe_version(self, peer: ids.EntryId, version: ids.Version) -> None:
        self.peer_versions[peer] = max(version, self.peer_versions.get(peer, version))

    def _send_set(self, peer: ids.EntryId, version: ids.Version) -> None:
        accepted = self._active.current
        if accepted is not None and accepted.head.version >= version:
            data, _ = configuration.encode_set(accepted.declarations)
            response = messages.ConfigurationSet(
                sender=self._entry,
                head=accepted.head,
                data=data,
                voters=tuple(self.confirmation.voters),
            )
            self._send(peer, response)

    def _send(self, peer: ids.EntryId, message: messages.AnyMessage) -> None:
        if address := self._directory.get_addresses().get(peer):
            self._peers.send(address, message)

    async def _send_heartbeats_periodically(self) -> None:
        while True:
            self.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send each peer the active version and echo the latest timestamp received from it."""
        now_s = asyncio.get_running_loop().time()
        for peer, address in self._directory.get_addresses().items():
            self._peers.send(
                address,
                messages.ConfigurationHeartbeat(
                    sender=self._entry,
                    version=self._active.version,
                    sent_s=now_s,
                    echo_s=self._peer_timestamps_s.get(peer),
                    table_age_s=self.confirmation.get_table_age_s(now_s),
                ),
            )

    async def _update_status_periodically(self) -> None:
        while True:
            self.update_status()
            await asyncio.sleep(_STATUS_INTERVAL_S)

    def update_status(self) -> None:
        """Update whether callers may be served from the active configuration."""
        now_s = asyncio.get_running_loop().time()
        status = self.confirmation.get_status(self._active.version, now_s)
        if status is self.status:
            return
        _log.info(
            "The confirmation status changed.", standing=status.value, before=self.status.value
        )
        reason = f"the configuration in force is {status.value}, was {self.status.value}"
        self._record_decision("standing", self._entry, reason)
        self.status = status
        self._on_confirmation_changed(status is not confirmation.Status.STALE)
