"""Fake the platform's table at its interface, with a fault for each call."""

import asyncio

from nutmegshelf import exceptions
from nutmegshelf_standins import store


class FaultyStore:
    """Keep rows in memory; `faults` names what befalls the next commits, in order."""

    def __init__(self):
        self.store = store.Store()
        self.faults = []
        self.always = None
        self.commits = 0
        self.stale = None
        self.delay_s = 0.0
        self._late = []

    async def read(self, key):
        await asyncio.sleep(self.delay_s)
        if self.always == "down":
            raise exceptions.TableUnavailable("down")
        return (self.stale or self.store).read(key)

    async def scan(self, prefix, after="", limit=1000):
        return self.store.scan(prefix, after, limit)

    async def commit(self, transaction):
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else self.always
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
        if self.always == "down":
            raise exceptions.TableUnavailable("down")
        self.store.objects[key] = data

    async def get_object(self, key):
        return self.store.objects.get(key)

    async def delete_object(self, key):
        self.store.objects.pop(key, None)
