"""A fake of the job service's table, and an entry's client of it that can be made to fail."""

import asyncio

from nutmegshelf import exceptions, platform
from nutmegshelf_entry import ports

CALL_DURATION_S = 0.004
MAX_TRANSACTION_ENTRIES = 100
MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000
# How long a call to an unresponsive partition waits.
CALL_TIMEOUT_S = 0.6


class Table:
    """Versioned rows, with the platform's limits for a transaction."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.first_version = 0
        self.changed = asyncio.Event()
        self.transactions = 0
        self.has_size_limits = False
        self.refused_transactions = 0

    def apply(self, transaction):
        count = len(transaction.conditions) + len(transaction.writes)
        assert count <= MAX_TRANSACTION_ENTRIES, f"{count} entries in one transaction"
        keys = [operation.key for operation in (*transaction.conditions, *transaction.writes)]
        assert (
            len({tuple(key.split("/")[1:2]) for key in keys}) <= 1
        ), f"keys of several partitions: {keys}"
        self.transactions += 1
        sizes = [len(write.value or b"") for write in transaction.writes]
        # Values travel as base64.
        if self.has_size_limits and (
            max(sizes, default=0) > MAX_ROW_BYTES or sum(sizes) * 4 / 3 > MAX_TRANSACTION_BYTES
        ):
            self.refused_transactions += 1
            raise exceptions.TableRefused(f"rows of {sizes} bytes")
        for condition in transaction.conditions:
            if self.read(condition.key).version != condition.version:
                current = tuple(self.read(operation.key) for operation in transaction.conditions)
                return platform.CommitResult(ok=False, rows=current)
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


class TableClient:
    """An entry's client of the table, which can be disconnected or lose answers."""

    def __init__(self, table):
        self.table = table
        self.is_partitioned = False
        self.is_unavailable = False
        self.lost_answers = 0
        # Decides which transactions may get no answer; None for any.
        self.is_unanswered = None
        # Whether a transaction without an answer is not applied at all.
        self.drops_unanswered = False
        self.apply_delay_s = None
        self.answer_delay_s = 0.0
        self.on_scan = None
        self.read_delay_s = 0.0
        self.scan_delay_s = 0.0
        self.fails_scans = False
        # Partitions that do not answer, while the others do.
        self.silent_partitions = set()

    @property
    def is_available(self):
        return not self.is_partitioned and not self.is_unavailable

    def get_clock_ms(self):
        return asyncio.get_running_loop().time() * 1000 + 7e6

    async def _connect(self, error):
        if self.is_partitioned:
            await asyncio.sleep(1.0)
            raise error("no answer")
        if self.is_unavailable:
            raise exceptions.TableUnavailable("503")
        await asyncio.sleep(CALL_DURATION_S)

    async def read(self, key):
        await self._connect(exceptions.TableUnavailable)
        await self._reach_partitions([key], exceptions.TableUnavailable)
        await asyncio.sleep(self.read_delay_s)
        return self.table.read(key)

    async def scan(self, prefix):
        await self._connect(exceptions.TableUnavailable)
        if self.fails_scans:
            raise exceptions.TableUnavailable("no progress")
        await asyncio.sleep(self.scan_delay_s)
        rows = [row for key, row in sorted(self.table.rows.items()) if key.startswith(prefix)]
        if self.on_scan is not None:
            await self.on_scan(prefix)
        return rows

    async def _reach_partitions(self, keys, error):
        if any(key.split("/")[1] in self.silent_partitions for key in keys):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise error("no answer")

    async def commit(self, transaction):
        await self._connect(exceptions.TableAnswerLost)
        keys = [operation.key for operation in (*transaction.conditions, *transaction.writes)]
        await self._reach_partitions(keys, exceptions.TableAnswerLost)
        if self.lost_answers and (self.is_unanswered is None or self.is_unanswered(transaction)):
            self.lost_answers -= 1
            if self.drops_unanswered:
                pass
            elif self.apply_delay_s is None:
                self.table.apply(transaction)
            else:
                asyncio.get_running_loop().call_later(
                    self.apply_delay_s, self.table.apply, transaction
                )
            await asyncio.sleep(1.0)
            raise exceptions.TableAnswerLost("no answer")
        committed = self.table.apply(transaction)
        await asyncio.sleep(self.answer_delay_s)
        return committed

    async def wait_for_changes(self, kind, after, wait_s):
        await self._connect(exceptions.TableUnavailable)
        if after is None:
            rows = tuple(row for key, row in self.table.rows.items() if key.startswith(f"{kind}/"))
            now_s = asyncio.get_running_loop().time()
            return ports.RowChanges(rows, self.table.version, now_s, is_snapshot=True)
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            matching = [row for row in self.table.log if row.key.startswith(f"{kind}/")]
            newest = {row.key: row for row in matching if row.version > after}
            left_s = until_s - asyncio.get_running_loop().time()
            if newest or left_s <= 0:
                now_s = asyncio.get_running_loop().time()
                return ports.RowChanges(tuple(newest.values()), self.table.version, now_s)
            await asyncio.sleep(min(left_s, 0.02))
