"""A fake of the platform's table with faults that tests choose."""

import asyncio

from nutmegshelf import exceptions
from nutmegshelf_standins import store


class FaultyStore:
    """An in-memory store; `faults` names the faults of the next commits, in order.

    Later commits have the `permanent_fault`, if any; reads come from the `stale_store`, if set.
    """

    def __init__(self):
        self.store = store.Store()
        self.faults = []
        self.permanent_fault = None
        self.commit_count = 0
        self.stale_store = None
        self.delay_s = 0.0
        self._late = []

    async def read(self, key):
        await asyncio.sleep(self.delay_s)
        if self.permanent_fault == "down":
            raise exceptions.TableUnavailable("down")
        return (self.stale_store or self.store).read(key)

    async def scan(self, prefix, after="", limit=1000):
        return self.store.scan(prefix, after, limit)

    async def commit(self, transaction):
        self.commit_count += 1
        fault = self.faults.pop(0) if self.faults else self.permanent_fault
        await asyncio.sleep(self.delay_s)
        match fault:
            case "down":
                raise exceptions.TableUnavailable("down")
            case "slow":
                await asyncio.sleep(1.5)
            case "lost after the write":
                self.store.commit(transaction)
                raise exceptions.TableAnswerLost("lost")
            case "lost without the write":
                raise exceptions.TableAnswerLost("lost")
            case "lost, written late":
                loop = asyncio.get_running_loop()
                loop.call_later(1.0, self.store.commit, transaction)
                raise exceptions.TableAnswerLost("lost")
            case "doubled":
                loop = asyncio.get_running_loop()
                loop.call_later(1.0, self.store.commit, transaction)
        return self.store.commit(transaction)

    async def put_object(self, key, data):
        if self.permanent_fault == "down":
            raise exceptions.TableUnavailable("down")
        self.store.objects[key] = data

    async def get_object(self, key):
        return self.store.objects.get(key)

    async def delete_object(self, key):
        self.store.objects.pop(key, None)
