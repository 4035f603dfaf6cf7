"""Clear away the objects of old sets and of publishes that were given up."""

import asyncio
import collections.abc
import time

from nutmegshelf import acceptance, codecs, configuration, exceptions, platform

from nutmegshelf_entry import logs, table

INTENT_EXPIRY_S = 3600.0
_BATCH_ROWS = 64
_log = logs.get_logger("collector")


class Collector:
    """Delete what no entry and no running publish can need."""

    def __init__(
        self,
        store: table.Store,
        interval_s: float,
        clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._interval_s = interval_s
        self._clock = clock

    async def run(self) -> None:
        """Collect for ever."""
        while True:
            await asyncio.sleep(self._interval_s)
            try:
                await self.collect()
            except exceptions.TableError as error:
                _log.info("Put off collecting.", error=str(error))

    async def collect(self) -> None:
        """Collect a batch; every step may be repeated by any entry; raises TableError."""
        await self._collect_sets()
        await self._collect_intents()

    async def _collect_sets(self) -> None:
        head = await self._store.read(configuration.HEAD_KEY)
        done = await self._store.read(configuration.COLLECTED_KEY)
        if not head.version:
            return
        newest = (
            codecs.unpack(head.value, configuration.Head).version - configuration.MAX_RETAINED_SETS
        )
        after = codecs.unpack(done.value, int) if done.version else 0
        if newest <= after:
            return
        found = await self._store.scan(
            configuration.HISTORY_PREFIX, configuration.history_key(after), _BATCH_ROWS
        )
        reached = after
        for row in found:
            old = codecs.unpack(row.value, configuration.Revision).head
            if old.version > newest:
                break
            await self._store.delete_object(configuration.set_key(old))
            reached = old.version
        condition = platform.Condition(done.key, done.version)
        write = platform.Write(done.key, codecs.pack(reached))
        await self._store.commit(platform.Transaction((condition,), (write,)))

    async def _collect_intents(self) -> None:
        for row in await self._store.scan(configuration.INTENT_PREFIX, limit=_BATCH_ROWS):
            intent = codecs.unpack(row.value, acceptance.Intent)
            if self._clock() - intent.opened_at_s < INTENT_EXPIRY_S:
                continue
            fenced = await self._fence(row, intent)
            if fenced is None:
                continue
            await self._store.delete_object(intent.key)
            condition, write = (
                platform.Condition(row.key, fenced),
                platform.Write(row.key, None),
            )
            await self._store.commit(platform.Transaction((condition,), (write,)))

    async def _fence(self, row: platform.Row, intent: acceptance.Intent) -> int | None:
        if intent.state is acceptance.IntentState.COLLECTING:
            return row.version
        closing = acceptance.Intent(
            publish_id=intent.publish_id,
            digest=intent.digest,
            opened_at_s=intent.opened_at_s,
            state=acceptance.IntentState.COLLECTING,
        )
        answer = await self._store.commit(
            platform.Transaction(
                (platform.Condition(row.key, row.version),),
                (platform.Write(row.key, codecs.pack(closing)),),
            )
        )
        return answer.rows[0].version if answer.ok else None
