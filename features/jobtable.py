"""Fake the table of the job service, and one entry's way to it, which can fail in many ways."""

import asyncio

from nutmegshelf import exceptions, platform
from nutmegshelf_entry import ports

CALL_S = 0.004
MOST_ENTRIES = 100
# How long a call to a silent partition waits.
SILENCE_S = 0.6


class Table:
    """Keep rows with versions, within the platform's limits for one transaction."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.first_version = 0
        self.changed = asyncio.Event()
        self.transactions = 0

    def apply(self, transaction):
        entries = len(transaction.conditions) + len(transaction.writes)
        assert entries <= MOST_ENTRIES, f"{entries} entries in one transaction"
        keys = [one.key for one in (*transaction.conditions, *transaction.writes)]
        assert len({tuple(key.split("/")[1:2]) for key in keys}) <= 1, f"partitions differ: {keys}"
        self.transactions += 1
        for condition in transaction.conditions:
            if self.read(condition.key).version != condition.version:
                found = tuple(self.read(one.key) for one in transaction.conditions)
                return platform.CommitResult(ok=False, rows=found)
        self.version += 1
        written = []
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                self.log.append(platform.Row(write.key, 0))
            else:
                row = platform.Row(write.key, self.version, write.value)
                self.rows[write.key] = row
                self.log.append(row)
                written.append(row)
        self.log[-1:] and self.changed.set()
        self.changed = asyncio.Event()
        return platform.CommitResult(ok=True, rows=tuple(written))

    def read(self, key):
        return self.rows.get(key, platform.Row(key, 0))


class View:
    """Be one entry's way to the table, which can be cut or lose answers."""

    def __init__(self, table):
        self.table = table
        self.is_cut = False
        self.is_refusing = False
        self.lost_answers = 0
        self.late_s = None
        self.answer_s = 0.0
        self.scanned = None
        self.read_s = 0.0
        self.scan_s = 0.0
        self.fails_scans = False
        # Partitions that give no answer, while the others do.
        self.silent = set()

    @property
    def is_answering(self):
        return not self.is_cut and not self.is_refusing

    def clock_ms(self):
        return asyncio.get_running_loop().time() * 1000 + 7e6

    async def _arrive(self, lost):
        if self.is_cut:
            await asyncio.sleep(1.0)
            raise lost("no answer")
        if self.is_refusing:
            raise exceptions.TableUnavailable("503")
        await asyncio.sleep(CALL_S)

    async def read(self, key):
        await self._arrive(exceptions.TableUnavailable)
        await self._reach([key], exceptions.TableUnavailable)
        await asyncio.sleep(self.read_s)
        return self.table.read(key)

    async def scan(self, prefix):
        await self._arrive(exceptions.TableUnavailable)
        if self.fails_scans:
            raise exceptions.TableUnavailable("no progress")
        await asyncio.sleep(self.scan_s)
        found = [row for key, row in sorted(self.table.rows.items()) if key.startswith(prefix)]
        if self.scanned is not None:
            await self.scanned(prefix)
        return found

    async def _reach(self, keys, lost):
        if any(key.split("/")[1] in self.silent for key in keys):
            await asyncio.sleep(SILENCE_S)
            raise lost("no answer")

    async def commit(self, transaction):
        await self._arrive(exceptions.TableAnswerLost)
        keys = [one.key for one in (*transaction.conditions, *transaction.writes)]
        await self._reach(keys, exceptions.TableAnswerLost)
        if self.lost_answers:
            self.lost_answers -= 1
            if self.late_s is None:
                self.table.apply(transaction)
            else:
                asyncio.get_running_loop().call_later(self.late_s, self.table.apply, transaction)
            await asyncio.sleep(1.0)
            raise exceptions.TableAnswerLost("lost")
        committed = self.table.apply(transaction)
        await asyncio.sleep(self.answer_s)
        return committed

    async def changes(self, kind, after, wait_s):
        await self._arrive(exceptions.TableUnavailable)
        if after <= 0:
            rows = tuple(row for key, row in self.table.rows.items() if key.startswith(f"{kind}/"))
            now_s = asyncio.get_running_loop().time()
            return ports.Changes(rows, max(1, self.table.version), now_s, is_whole=True)
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            found = [row for row in self.table.log if row.key.startswith(f"{kind}/")]
            newest = {row.key: row for row in found if row.version > after}
            left_s = until_s - asyncio.get_running_loop().time()
            if newest or left_s <= 0:
                now_s = asyncio.get_running_loop().time()
                return ports.Changes(tuple(newest.values()), self.table.version, now_s)
            await asyncio.sleep(min(left_s, 0.02))
