"""Bring accepted configurations into force: pushed by peers, polled from the table."""

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

_CHECK_INTERVAL_S = 0.25
_BEAT_INTERVAL_S = 1.0
_MAX_REVISIONS = 32
_RECENT_REVISIONS = 64
_log = logs.get_logger("configuration")

OnActivated = collections.abc.Callable[[configuration.Configuration], None]
OnConfirmationChanged = collections.abc.Callable[[bool], None]


class Peers(typing.Protocol):
    """Name what is needed of the other entries, so that tests can fake it."""

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send to every peer."""

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send to one peer."""


class Directory(typing.Protocol):
    """Name what is needed of the list of entries."""

    def get_voters(self) -> frozenset[ids.EntryId]:
        """Give the entries that were heard of within the counting limit."""

    def get_addresses(self) -> dict[ids.EntryId, str]:
        """Give the live peers' addresses."""


class Configurator:
    """Own the configuration in force at this entry."""

    def __init__(
        self,
        *,
        entry: ids.EntryId,
        store: table.Store,
        in_force: configuration.ActiveConfiguration,
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
        self._in_force = in_force
        self._peers = peers
        self._directory = directory
        self._on_activated = on_activated
        self._on_confirmation_changed = on_confirmation_changed
        self._poll_interval_s = poll_interval_s
        self._push = push
        self._head_row = platform.Row(configuration.HEAD_KEY, 0)
        self._head: configuration.Head | None = None
        self._read_s = -math.inf
        self._newest: configuration.Head | None = None
        self._behind = asyncio.Event()
        self._stamps_s: dict[ids.EntryId, float] = {}
        self._decisions = decisions
        self._clock = clock
        self.peer_versions: dict[ids.EntryId, ids.Version] = {}
        self.recent_revisions: collections.deque[configuration.Revision] = collections.deque(
            maxlen=_RECENT_REVISIONS
        )
        self.confirmation = confirmation.Confirmation(entry)
        self.status = confirmation.Status.STARTING

    async def run(self) -> None:
        """Poll, catch up and judge the own standing for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_for_ever())
            group.create_task(self._catch_up_for_ever())
            group.create_task(self._beat_for_ever())
            group.create_task(self._judge_for_ever())

    async def _poll_for_ever(self) -> None:
        while True:
            try:
                await self.poll()
            except exceptions.TableError as error:
                _log.info("Could not read the head.", error=str(error))
            await asyncio.sleep(self._poll_interval_s)

    async def poll(self) -> None:
        """Ask the table whether the head is still the one known; raises TableError.

        A transaction of conditions alone is never answered from a stale copy, as a read may be.
        """
        started_s = asyncio.get_running_loop().time()
        condition = platform.Condition(configuration.HEAD_KEY, self._head_row.version)
        try:
            answer = await self._store.commit(platform.Transaction((condition,)))
        except exceptions.TableAnswerLost:
            # A plain read may be stale: it gives news, but confirms nothing.
            self._take_row(await self._store.read(configuration.HEAD_KEY))
            raise
        if not answer.ok:
            self._take_row(answer.rows[0])
        self._read_s = started_s
        self.confirmation.set_voters(self._directory.get_voters())
        self._confirm_by_row()
        self.update_status()

    def _take_row(self, row: platform.Row) -> None:
        if row.version > self._head_row.version:
            self._head_row = row
            self._head = codecs.unpack(row.value, configuration.Head)
            self._want(self._head)

    def _confirm_by_row(self) -> None:
        if self._head is not None and self._head.version == self._in_force.version:
            self.confirmation.confirm_by_table(self._read_s)

    def _want(self, head: configuration.Head) -> None:
        if self._in_force.is_newer(head) and (
            self._newest is None or head.version > self._newest.version
        ):
            self._newest = head
        if self._newest is not None and self._in_force.is_newer(self._newest):
            self._behind.set()

    async def _catch_up_for_ever(self) -> None:
        while True:
            await self._behind.wait()
            self._behind.clear()
            if self._newest is None or not self._in_force.is_newer(self._newest):
                continue
            try:
                await self._catch_up(self._newest)
            except exceptions.TableError as error:
                _log.info("Asked peers for the set.", error=str(error))
                wanted = messages.ConfigurationRequest(
                    sender=self._entry, version=self._newest.version
                )
                self._peers.broadcast(wanted)
                await asyncio.sleep(_CHECK_INTERVAL_S)
                self._want(self._newest)

    async def _catch_up(self, head: configuration.Head) -> None:
        gap = head.version - self._in_force.version
        if self._in_force.version and gap <= _MAX_REVISIONS:
            after = configuration.history_key(self._in_force.version)
            for row in await self._store.scan(configuration.HISTORY_PREFIX, after, _MAX_REVISIONS):
                self._advance(codecs.unpack(row.value, configuration.Revision))
        if not self._in_force.is_newer(head):
            return
        data = await self._store.get_object(configuration.set_key(head))
        accepted = configuration.decode_set(head, data)
        if accepted is None:
            raise exceptions.TableUnavailable(f"the set of version {head.version} is missing")
        self._switch(accepted, None)

    def _advance(self, revision: configuration.Revision) -> bool:
        accepted = self._in_force.derive(revision)
        if accepted is not None:
            self._switch(accepted, revision)
        return accepted is not None

    def _switch(
        self, accepted: configuration.Configuration, revision: configuration.Revision | None
    ) -> None:
        before = self._in_force.current
        if not self._in_force.activate(accepted):
            return
        _log.info("Switched the configuration.", version=accepted.head.version)
        shown = revision or configuration.make_revision(
            accepted.head, before, accepted.declarations
        )
        self.recent_revisions.append(shown)
        self._explain_switch(shown)
        self._confirm_by_row()
        self._on_activated(accepted)
        self.update_status()
        if self._push:
            spread = messages.HeadAccepted(
                sender=self._entry, head=accepted.head, revision=revision
            )
            self._peers.broadcast(spread)

    def _explain_switch(self, revision: configuration.Revision) -> None:
        head = revision.head
        reason = f"version {head.version} by {head.operator!r} came into force"
        for subject in ("configuration", *revision.changed):
            self._explain("configuration", subject, reason)

    def _explain(self, kind: str, subject: str, reason: str) -> None:
        if self._decisions is not None:
            decision = audit.Decision(kind=kind, subject=subject, reason=reason, at_s=self._clock())
            self._decisions.add(decision)

    def activate_published(
        self,
        revision: configuration.Revision,
        accepted: configuration.Configuration,
        started_s: float,
    ) -> None:
        """Put in force what this entry has just accepted."""
        if self._in_force.is_newer(accepted.head):
            self._switch(accepted, revision if revision.delta is not None else None)
            self.confirmation.confirm_by_table(started_s)
            self.update_status()

    def handle_message(self, message: messages.AnyMessage) -> None:
        """Take what a peer says of configurations."""
        match message:
            case messages.HeadAccepted(sender=sender, revision=revision, head=head):
                self._note_version(sender, head.version)
                if revision is None or not self._advance(revision):
                    self._want(head)
            case messages.ConfigurationHeartbeat():
                self._take_beat(message)
            case messages.ConfigurationRequest(sender=sender, version=version):
                self._give_set(sender, version)
            case messages.ConfigurationSet(head=head, data=data, voters=counted):
                if not self.confirmation.voters:
                    self.confirmation.set_voters(frozenset(counted))
                accepted = configuration.decode_set(head, data)
                if accepted is not None:
                    self._switch(accepted, None)
            case _:
                pass

    def _take_beat(self, beat: messages.ConfigurationHeartbeat) -> None:
        self._stamps_s[beat.sender] = beat.sent_s
        self._note_version(beat.sender, beat.version)
        if beat.version > self._in_force.version:
            if not self._push:
                return
            wanted = messages.ConfigurationRequest(sender=self._entry, version=beat.version)
            self._send(beat.sender, wanted)
            return
        is_same = beat.version == self._in_force.version
        self.confirmation.confirm_by_peer(beat.sender, is_same, beat.echo_s, beat.table_age_s)
        self.update_status()

    def _note_version(self, peer: ids.EntryId, version: ids.Version) -> None:
        self.peer_versions[peer] = max(version, self.peer_versions.get(peer, version))

    def _give_set(self, peer: ids.EntryId, version: ids.Version) -> None:
        accepted = self._in_force.current
        if accepted is not None and accepted.head.version >= version:
            data, _ = configuration.encode_set(accepted.declarations)
            answer = messages.ConfigurationSet(
                sender=self._entry,
                head=accepted.head,
                data=data,
                voters=tuple(self.confirmation.voters),
            )
            self._send(peer, answer)

    def _send(self, peer: ids.EntryId, message: messages.AnyMessage) -> None:
        if address := self._directory.get_addresses().get(peer):
            self._peers.send(address, message)

    async def _beat_for_ever(self) -> None:
        while True:
            self.send_heartbeats()
            await asyncio.sleep(_BEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Tell every peer what is in force, with the stamp last heard from it."""
        now_s = asyncio.get_running_loop().time()
        for peer, address in self._directory.get_addresses().items():
            self._peers.send(
                address,
                messages.ConfigurationHeartbeat(
                    sender=self._entry,
                    version=self._in_force.version,
                    sent_s=now_s,
                    echo_s=self._stamps_s.get(peer),
                    table_age_s=self.confirmation.get_table_age_s(now_s),
                ),
            )

    async def _judge_for_ever(self) -> None:
        while True:
            self.update_status()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def update_status(self) -> None:
        """Say whether callers may be served by what is in force."""
        now_s = asyncio.get_running_loop().time()
        standing = self.confirmation.get_status(self._in_force.version, now_s)
        if standing is self.status:
            return
        _log.info("Changed the standing.", standing=standing.value, before=self.status.value)
        reason = f"the configuration in force is {standing.value}, was {self.status.value}"
        self._explain("standing", self._entry, reason)
        self.status = standing
        self._on_confirmation_changed(standing is not confirmation.Status.STALE)
