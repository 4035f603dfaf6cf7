"""Publish checked declaration sets by compare-and-set; the publish id makes retries safe."""

import asyncio
import collections.abc
import time

import msgspec
from nutmegshelf import acceptance, codecs, configuration, declarations, exceptions, ids, platform

from nutmegshelf_entry import logs, table

_log = logs.get_logger("publish")

Clock = collections.abc.Callable[[], float]


class VersionConflict(exceptions.NutmegshelfError):
    """Another configuration was accepted first."""

    def __init__(self, current: configuration.Head) -> None:
        super().__init__(f"version {current.version} by {current.operator!r} is in the table")
        self.current = current


class PublishIdConflict(exceptions.NutmegshelfError):
    """The publish id was already used for another declaration set."""


class Publisher:
    """Transactions of a publish against the table and the object store."""

    def __init__(
        self,
        store: table.Store,
        active_configuration: configuration.ActiveConfiguration,
        clock: Clock = time.time,
    ) -> None:
        self._store = store
        self._active = active_configuration
        self._clock = clock

    async def publish(
        self,
        declaration_set: declarations.DeclarationSet,
        publish_id: ids.PublishId,
        operator: str,
        expected: ids.Version | None,
    ) -> configuration.Revision:
        """Publish a checked set; raises VersionConflict, PublishIdConflict or TableError."""
        data, request = self._make_request(declaration_set, publish_id, operator, expected)
        head, accepted = await self._find_accepted(request)
        if accepted is not None:
            return accepted
        if acceptance.has_conflict(request, head):
            head, accepted = await self._confirm_unaccepted(request, head)
            if accepted is not None:
                return accepted
            if acceptance.has_conflict(request, head):
                raise VersionConflict(codecs.unpack(head.value, configuration.Head))
        intent_row = await self._open_intent(request)
        await self._store.put_object(codecs.unpack(intent_row.value, acceptance.Intent).key, data)
        expired = await self._read_expired_revision(head)
        request = msgspec.structs.replace(request, now_s=self._clock())
        commit = acceptance.plan_commit(request, self._active.current, head, intent_row, expired)
        return await self._commit(request, commit, head)

    async def is_accepted(
        self, declaration_set: declarations.DeclarationSet, publish_id: ids.PublishId
    ) -> bool:
        """Return whether a publish id was accepted for a set; raises TableUnavailable."""
        _, request = self._make_request(declaration_set, publish_id)
        try:
            head, accepted = await self._find_accepted(request)
            if accepted is None:
                _, accepted = await self._confirm_unaccepted(request, head)
        except PublishIdConflict:
            return False
        return accepted is not None

    def _make_request(
        self,
        declaration_set: declarations.DeclarationSet,
        publish_id: ids.PublishId,
        operator: str = "",
        expected: ids.Version | None = None,
    ) -> tuple[bytes, acceptance.PublishRequest]:
        data, digest = configuration.encode_set(declaration_set)
        return data, acceptance.PublishRequest(
            declared=declaration_set,
            digest=digest,
            publish_id=publish_id,
            operator=operator,
            now_s=self._clock(),
            expected=expected,
        )

    async def get_history(self, after: int, limit: int = 100) -> list[configuration.Revision]:
        """Return the revisions after a version, the oldest first; raises TableUnavailable."""
        key = configuration.history_key(after)
        rows = await self._store.scan(configuration.HISTORY_PREFIX, key, limit)
        return [codecs.unpack(row.value, configuration.Revision) for row in rows]

    async def _find_accepted(
        self, request: acceptance.PublishRequest
    ) -> tuple[platform.Row, configuration.Revision | None]:
        """Read the head and the row of the publish id; return the revision if already accepted."""
        head, published = await asyncio.gather(
            self._store.read(configuration.HEAD_KEY),
            self._store.read(configuration.publish_key(request.publish_id)),
        )
        return head, _match_publish_id(request, published, head)

    async def _confirm_unaccepted(
        self, request: acceptance.PublishRequest, head: platform.Row
    ) -> tuple[platform.Row, configuration.Revision | None]:
        """Check what was read of a publish; return the head, and the revision if accepted.

        Rows are read one by one, and reads may be stale. Neither is true of a transaction with only
        conditions.
        """
        published_key = configuration.publish_key(request.publish_id)
        conditions = (
            platform.Condition(head.key, head.version),
            platform.Condition(published_key, 0),
        )
        try:
            answer = await self._store.commit(platform.Transaction(conditions))
        except exceptions.TableAnswerLost as error:
            raise exceptions.TableUnavailable(str(error)) from error
        changed_rows = {row.key: row for row in answer.rows}
        head = changed_rows.get(head.key, head)
        published = changed_rows.get(published_key, platform.Row(published_key, 0))
        return head, _match_publish_id(request, published, head)

    async def _open_intent(self, request: acceptance.PublishRequest) -> platform.Row:
        key = configuration.intent_key(request.publish_id)
        intent = acceptance.Intent(
            publish_id=request.publish_id, digest=request.digest, opened_at_s=request.now_s
        )
        condition, write = platform.Condition(key, 0), platform.Write(key, codecs.pack(intent))
        try:
            answer = await self._store.commit(platform.Transaction((condition,), (write,)))
            row = answer.rows[0]
        except exceptions.TableAnswerLost:
            row = await self._store.read(key)
        if not row.version:
            raise exceptions.TableUnavailable("the intent was not written")
        stored = codecs.unpack(row.value, acceptance.Intent)
        if stored.digest != request.digest:
            raise PublishIdConflict("the publish id is in use for another set")
        if stored.state is not acceptance.IntentState.OPEN:
            raise exceptions.TableUnavailable("an old try at this publish is being cleared away")
        return row

    async def _read_expired_revision(self, head: platform.Row) -> configuration.Revision | None:
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
        self, request: acceptance.PublishRequest, commit: acceptance.Commit, head: platform.Row
    ) -> configuration.Revision:
        try:
            answer = await self._store.commit(commit.transaction)
            if answer.ok:
                return commit.revision
        except exceptions.TableAnswerLost:
            _log.info("Resolving a publish whose answer was lost.", publish=request.publish_id)
            try:
                return await self._settle(request, head)
            except exceptions.TableUnavailable as error:
                # The transaction may have taken effect, or may still do so.
                raise exceptions.TableAnswerLost(str(error)) from error
        return await self._settle(request, head)

    async def _settle(
        self, request: acceptance.PublishRequest, head: platform.Row
    ) -> configuration.Revision:
        """Return the revision of a publish whose transaction was not answered with success."""
        current_head, accepted = await self._find_accepted(request)
        if accepted is None and current_head.version != head.version:
            current_head, accepted = await self._confirm_unaccepted(request, current_head)
        if accepted is not None:
            return accepted
        if current_head.version == head.version:
            raise exceptions.TableUnavailable(
                "the publish is not settled; repeat it with the same publish id"
            )
        raise VersionConflict(codecs.unpack(current_head.value, configuration.Head))


def _match_publish_id(
    request: acceptance.PublishRequest, published: platform.Row, head: platform.Row
) -> configuration.Revision | None:
    match acceptance.match_publish_id(request, published, head):
        case acceptance.AlreadyAccepted(earlier):
            return configuration.Revision(head=earlier)
        case acceptance.PublishIdReused(earlier):
            raise PublishIdConflict(
                f"the publish id was used for another set, version {earlier.version}"
            )
        case None:
            return None
