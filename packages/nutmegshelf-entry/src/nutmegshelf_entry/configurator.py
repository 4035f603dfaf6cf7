"""Bring accepted configurations into force and publish new ones."""

import asyncio
import collections.abc
import time

from nutmegshelf import codecs, configuration, declarations, exceptions, ids, platform

from nutmegshelf_entry import logs, table

_log = logs.part("configuration")

Spread = collections.abc.Callable[[configuration.Head], None]
Switched = collections.abc.Callable[[configuration.Accepted], None]


class Conflict(exceptions.NutmegshelfError):
    """Report that another configuration was accepted first."""

    def __init__(self, current: configuration.Head) -> None:
        super().__init__(f"version {current.version} by {current.operator!r} is in the table")
        self.current = current


class Configurator:
    """Own the configuration in force at this entry."""

    def __init__(
        self,
        rows: table.Rows,
        in_force: configuration.InForce,
        spread: Spread,
        switched: Switched,
        poll_interval_s: float,
    ) -> None:
        self._rows = rows
        self._in_force = in_force
        self._spread = spread
        self._switched = switched
        self._poll_interval_s = poll_interval_s

    async def run(self) -> None:
        """Poll the table's head for ever: the safety net below the peers' messages."""
        while True:
            try:
                row = await self._rows.read(configuration.HEAD_KEY)
                if row.version:
                    await self.take_head(codecs.unpack(row.value, configuration.Head))
            except exceptions.TableError as error:
                _log.warning("Could not read the head.", error=str(error))
            await asyncio.sleep(self._poll_interval_s)

    async def take_head(self, head: configuration.Head) -> None:
        """Fetch the set that a newer head names and put it in force; raises TableUnavailable."""
        if not self._in_force.wants(head):
            return
        data = await self._rows.get_object(configuration.set_key(head.digest))
        if data is None or codecs.digest(data) != head.digest:
            raise exceptions.TableUnavailable(f"the set of version {head.version} is missing")
        declared = codecs.unpack(data, declarations.DeclarationSet)
        accepted = configuration.Accepted(head=head, declarations=declared)
        if self._in_force.switch(accepted):
            _log.info("Switched the configuration.", version=head.version)
            self._switched(accepted)
            self._spread(head)

    async def publish(
        self,
        declared: declarations.DeclarationSet,
        publish_id: ids.PublishId,
        operator: str,
        expected: ids.Version | None,
    ) -> configuration.Head:
        """Accept a checked set by one compare-and-set; raises Conflict or TableError."""
        data, digest = configuration.encode_set(declared)
        await self._rows.put_object(configuration.set_key(digest), data)
        row = await self._rows.read(configuration.HEAD_KEY)
        current = codecs.unpack(row.value, configuration.Head) if row.version else None
        if current is not None and current.publish_id == publish_id:
            return current
        version = current.version if current else ids.NO_VERSION
        if current is not None and expected is not None and expected != version:
            raise Conflict(current)
        head = configuration.Head(
            version=ids.Version(version + 1),
            digest=digest,
            publish_id=publish_id,
            operator=operator,
            accepted_at_s=time.time(),
        )
        committed = await self._swap(row, head)
        if committed != head:
            raise Conflict(committed)
        await self.take_head(head)
        return head

    async def _swap(self, row: platform.Row, head: configuration.Head) -> configuration.Head:
        transaction = platform.Transaction(
            conditions=(platform.Condition(row.key, row.version),),
            writes=(platform.Write(row.key, codecs.pack(head)),),
        )
        try:
            await self._rows.commit(transaction)
        except exceptions.TableAnswerLost:
            _log.info("Settling a lost answer.", publish=head.publish_id)
        written = await self._rows.read(configuration.HEAD_KEY)
        if not written.version:
            raise exceptions.TableUnavailable("the head was not written")
        return codecs.unpack(written.value, configuration.Head)
