"""Accept checked sets by one compare-and-set, and settle every doubt by the publish id."""

import asyncio
import collections.abc
import time

import msgspec
from nutmegshelf import acceptance, codecs, configuration, declarations, exceptions, ids, platform

from nutmegshelf_entry import logs, table

_log = logs.get_logger("publish")

Clock = collections.abc.Callable[[], float]


class VersionConflict(exceptions.NutmegshelfError):
    """Report that another configuration was accepted first."""

    def __init__(self, current: configuration.Head) -> None:
        super().__init__(f"version {current.version} by {current.operator!r} is in the table")
        self.current = current


class PublishIdConflict(exceptions.NutmegshelfError):
    """Report that the publish id was used for another set."""


class Publisher:
    """Carry out publishes against the table and the objects."""

    def __init__(
        self,
        store: table.Store,
        in_force: configuration.ActiveConfiguration,
        clock: Clock = time.time,
    ) -> None:
        self._store = store
        self._in_force = in_force
        self._clock = clock

    async def publish(
        self,
        declared: declarations.DeclarationSet,
        publish_id: ids.PublishId,
        operator: str,
        expected: ids.Version | None,
    ) -> configuration.Revision:
        """Accept a checked set; raises VersionConflict, PublishIdConflict or TableError."""
        data, digest = configuration.encode_set(declared)
        asked = acceptance.PublishRequest(
            declared=declared,
            digest=digest,
            publish_id=publish_id,
            operator=operator,
            now_s=self._clock(),
            expected=expected,
        )
        head, settled = await self._settle(asked)
        if settled is not None:
            return settled
        self._refuse_unexpected(asked, head)
        intent = await self._open_intent(asked)
        await self._store.put_object(codecs.unpack(intent.value, acceptance.Intent).key, data)
        oldest = await self._oldest(head)
        asked = msgspec.structs.replace(asked, now_s=self._clock())
        match acceptance.plan_commit(asked, self._in_force.current, head, intent, oldest):
            case acceptance.Conflict(current):
                raise VersionConflict(current)
            case acceptance.Commit() as commit:
                return await self._commit(asked, commit, head)

    async def get_history(self, after: int, limit: int = 100) -> list[configuration.Revision]:
        """Read the versions after one, the oldest first; raises TableUnavailable."""
        key = configuration.history_key(after)
        rows = await self._store.scan(configuration.HISTORY_PREFIX, key, limit)
        return [codecs.unpack(row.value, configuration.Revision) for row in rows]

    def _refuse_unexpected(self, asked: acceptance.PublishRequest, head: platform.Row) -> None:
        if head.version and asked.expected is not None:
            current = codecs.unpack(head.value, configuration.Head)
            if current.version != asked.expected:
                raise VersionConflict(current)

    async def _settle(
        self, asked: acceptance.PublishRequest
    ) -> tuple[platform.Row, configuration.Revision | None]:
        """Read the head and the id's row together, and say whether the id is known."""
        head, published = await asyncio.gather(
            self._store.read(configuration.HEAD_KEY),
            self._store.read(configuration.publish_key(asked.publish_id)),
        )
        match acceptance.match_publish_id(asked, published, head):
            case acceptance.AlreadyAccepted(known):
                return head, configuration.Revision(head=known)
            case acceptance.PublishIdReused(known):
                raise PublishIdConflict(
                    f"the publish id was used for another set, version {known.version}"
                )
            case None:
                return head, None

    async def _open_intent(self, asked: acceptance.PublishRequest) -> platform.Row:
        key = configuration.intent_key(asked.publish_id)
        intent = acceptance.Intent(
            publish_id=asked.publish_id, digest=asked.digest, opened_at_s=asked.now_s
        )
        condition, write = platform.Condition(key, 0), platform.Write(key, codecs.pack(intent))
        try:
            answer = await self._store.commit(platform.Transaction((condition,), (write,)))
            row = answer.rows[0]
        except exceptions.TableAnswerLost:
            row = await self._store.read(key)
        if not row.version:
            raise exceptions.TableUnavailable("the intent was not written")
        found = codecs.unpack(row.value, acceptance.Intent)
        if found.digest != asked.digest:
            raise PublishIdConflict("the publish id is in use for another set")
        if found.state is not acceptance.IntentState.OPEN:
            raise exceptions.TableUnavailable("an old try at this publish is being cleared away")
        return row

    async def _oldest(self, head: platform.Row) -> configuration.Revision | None:
        if not head.version:
            return None
        version = codecs.unpack(head.value, configuration.Head).version + 1
        if version <= configuration.MAX_HISTORY_VERSIONS:
            return None
        row = await self._store.read(
            configuration.history_key(version - configuration.MAX_HISTORY_VERSIONS)
        )
        return codecs.unpack(row.value, configuration.Revision) if row.version else None

    async def _commit(
        self, asked: acceptance.PublishRequest, commit: acceptance.Commit, head: platform.Row
    ) -> configuration.Revision:
        lost = False
        try:
            answer = await self._store.commit(commit.transaction)
            if answer.ok:
                return commit.revision
        except exceptions.TableAnswerLost:
            _log.info("Settling a lost answer.", publish=asked.publish_id)
            lost = True
        now, settled = await self._settle(asked)
        if settled is not None:
            return settled
        if now.version == head.version:
            # A transaction whose answer was lost may still take effect while the head stands.
            kind = exceptions.TableAnswerLost if lost else exceptions.TableUnavailable
            raise kind("the publish is not settled; repeat it with the same publish id")
        raise VersionConflict(codecs.unpack(now.value, configuration.Head))
