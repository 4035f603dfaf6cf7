"""Garbage collection of superseded configurations and of abandoned publishes."""

import asyncio
import collections.abc
import time

from nutmegshelf import acceptance, codecs, configuration, exceptions, platform

from nutmegshelf_entry import logs, table

INTENT_EXPIRY_S = 3600.0
_BATCH_ROWS = 64
_log = logs.get_logger("collector")


class Collector:
    """Periodic deletion of objects that no entry and no publish in progress can need."""

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
        """Collect garbage at an interval until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            try:
                await self.collect()
            except exceptions.TableError as error:
                _log.info(
                    "Garbage collection failed; retrying after the interval.", error=str(error)
                )

    async def collect(self) -> None:
        """Collect one batch; each step is idempotent across entries; raises TableError."""
        await self._collect_sets()
        await self._collect_intents()

    async def _collect_sets(self) -> None:
        head_row = await self._store.read(configuration.HEAD_KEY)
        collected = await self._store.read(configuration.COLLECTED_KEY)
        if not head_row.version:
            return
        newest_superseded = (
            codecs.unpack(head_row.value, configuration.Head).version
            - configuration.MAX_RETAINED_SETS
        )
        after = codecs.unpack(collected.value, int) if collected.version else 0
        if newest_superseded <= after:
            return
        rows = await self._store.scan(
            configuration.HISTORY_PREFIX, configuration.history_key(after), _BATCH_ROWS
        )
        last_deleted = after
        for row in rows:
            head = codecs.unpack(row.value, configuration.Revision).head
            if head.version > newest_superseded:
                break
            await self._store.delete_object(configuration.set_key(head))
            last_deleted = head.version
        condition = platform.Condition(collected.key, collected.version)
        write = platform.Write(collected.key, codecs.pack(last_deleted))
        await self._store.commit(platform.Transaction((condition,), (write,)))

    async def _collect_intents(self) -> None:
        for row in await self._store.scan(configuration.INTENT_PREFIX, limit=_BATCH_ROWS):
            intent = codecs.unpack(row.value, acceptance.Intent)
            if self._clock() - intent.opened_at_s < INTENT_EXPIRY_S:
                continue
            fenced_version = await self._fence(row, intent)
            if fenced_version is None:
                continue
            await self._store.delete_object(intent.key)
            condition, write = (
                platform.Condition(row.key, fenced_version),
                platform.Write(row.key, None),
            )
            await self._store.commit(platform.Transaction((condition,), (write,)))

    async def _fence(self, row: platform.Row, intent: acceptance.Intent) -> int | None:
        if intent.state is acceptance.IntentState.COLLECTING:
            return row.version
        collecting_intent = acceptance.Intent(
            publish_id=intent.publish_id,
            digest=intent.digest,
            opened_at_s=intent.opened_at_s,
            state=acceptance.IntentState.COLLECTING,
        )
        answer = await self._store.commit(
            platform.Transaction(
                (platform.Condition(row.key, row.version),),
                (platform.Write(row.key, codecs.pack(collecting_intent)),),
            )
        )
        return answer.rows[0].version if answer.ok else None
