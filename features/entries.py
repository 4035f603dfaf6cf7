"""The configuration components of several entries over a fake table and fake peers."""

import asyncio

from nutmegshelf import audit, codecs, configuration, declarations, exceptions, ids, platform
from nutmegshelf_entry import collector, configurator, publisher
from nutmegshelf_standins import store

SLOW_CALL_S = 1.0
SLOW_READ_S = 2.0
# How long after its answer was lost a transaction takes effect.
LATE_S = 1.0
END_S = 0.5
_CALL_DURATION_S = 0.01
_TIMEOUT_S = 2.0


def declared(queue_limit):
    service = declarations.Service(
        pool=ids.PoolName("p"), wanted_minions=2, queue_limit=queue_limit
    )
    return declarations.DeclarationSet(services={ids.ServiceName("s"): service})


class FakePlatform:
    """A table and an object store whose calls can be made to fail."""

    def __init__(self):
        self.store = store.Store()
        self.is_down = False
        self.objects_down = False
        self.delay_s = 0.0
        self.faults = {}
        self.steps = []
        # Ends an entry after the fault "ended after".
        self.end_entry = lambda entry: None

    async def call(self, entry, step, effect):
        """Execute a step of an entry, with the fault that is set for the step or its number."""
        number = len(self.steps)
        self.steps.append(step)
        fault = self.faults.pop((entry, step), None) or self.faults.pop((entry, number), None)
        await asyncio.sleep(_CALL_DURATION_S + self.delay_s)
        down = self.is_down or entry in self.partitioned or (self.objects_down and "object" in step)
        if down or fault == "down":
            raise exceptions.TableUnavailable(step)
        if fault == "killed before":
            raise asyncio.CancelledError
        if fault == "paused":
            await asyncio.sleep(30)
        if fault == "paused for hours":
            await asyncio.sleep(8000)
        if fault == "slow":
            await asyncio.sleep(SLOW_READ_S)
        if fault == "done late":
            asyncio.get_running_loop().call_later(LATE_S, effect)
            raise exceptions.TableAnswerLost(step)
        if fault == "stale":
            return platform.Row(step, 0)
        result = effect()
        if fault == "partitioned after":
            self.partitioned = frozenset({entry})
            raise exceptions.TableAnswerLost(step)
        if fault == "ended after":
            asyncio.get_running_loop().call_later(END_S, self.end_entry, entry)
        if fault == "down after":
            self.is_down = True
            raise exceptions.TableAnswerLost(step)
        if fault == "killed after":
            raise asyncio.CancelledError
        if fault == "lost":
            raise exceptions.TableAnswerLost(step)
        return result

    partitioned = frozenset()


class PlatformClient:
    """An entry's client of the fake platform."""

    def __init__(self, entry, shared):
        self._entry = entry
        self._shared = shared

    async def _call(self, step, effect):
        return await self._shared.call(self._entry, step, effect)

    async def read(self, key):
        return await self._call(f"read {key.split('/')[1]}", lambda: self._shared.store.read(key))

    async def scan(self, prefix, after="", limit=1000):
        return await self._call("scan", lambda: self._shared.store.scan(prefix, after, limit))

    async def commit(self, transaction):
        kinds = [write.key.split("/")[1] for write in transaction.writes]
        step = f"commit {kinds[0]}" if kinds else "confirm"
        return await self._call(step, lambda: self._shared.store.commit(transaction))

    async def put_object(self, key, data):
        await self._call("put object", lambda: self._shared.store.objects.update({key: data}))

    async def get_object(self, key):
        return await self._call("get object", lambda: self._shared.store.objects.get(key))

    async def delete_object(self, key):
        await self._call("delete object", lambda: self._shared.store.objects.pop(key, None))


class Entry:
    """The configuration components of one entry."""

    def __init__(self, name, site):
        self.name = ids.EntryId(name)
        self.site = site
        self.in_force = configuration.ActiveConfiguration()
        self.serves = True
        self.history = []
        self.decisions = audit.DecisionLog()
        self.rows = PlatformClient(name, site.platform)
        self.publisher = publisher.Publisher(self.rows, self.in_force, site.now_s)
        self.config = configurator.Configurator(
            entry=self.name,
            store=self.rows,
            active_configuration=self.in_force,
            peers=self,
            directory=self,
            on_activated=lambda accepted: self.history.append(accepted.head.version),
            on_confirmation_changed=self._confirm,
            poll_interval_s=1.0,
            decisions=self.decisions,
            clock=site.now_s,
        )
        self.collector = collector.Collector(self.rows, 300.0, site.now_s)
        self.task = None

    def _confirm(self, is_confirmed):
        self.serves = is_confirmed

    def get_voters(self):
        return frozenset(self.site.entries)

    def get_addresses(self):
        return {name: name for name in self.site.entries if name != self.name}

    def broadcast(self, message):
        for name in self.get_addresses():
            self.send(name, message)

    def send(self, address, message):
        self.site.deliver(self.name, address, message)

    def start(self):
        self.task = asyncio.create_task(self.config.run())

    async def publish(self, limit, publish_id, expected=None):
        declaration_set = declared(limit)
        started_s = asyncio.get_running_loop().time()
        revision = await self.publisher.publish(
            declaration_set, ids.PublishId(publish_id), "op-" + self.name, expected
        )
        accepted = configuration.Configuration(head=revision.head, declarations=declaration_set)
        self.config.activate_published(revision, accepted, started_s)
        return revision.head.version


class Site:
    """Entries that share a fake platform and exchange messages with delays and duplicates."""

    def __init__(self, rng):
        self.rng = rng
        self.platform = FakePlatform()
        self.entries = {}
        self.partitions = None
        self.is_push_disabled = False
        self.message_count = 0

    def now_s(self):
        return asyncio.get_running_loop().time()

    def start(self, count):
        for number in range(count):
            self.start_entry(f"e{number}")

    def start_entry(self, name):
        self.entries[name] = Entry(name, self)
        self.entries[name].start()

    def can_communicate(self, source, target):
        return self.partitions is None or any(
            source in partition and target in partition for partition in self.partitions
        )

    def deliver(self, source, target, message):
        if not self.can_communicate(source, target):
            return
        if self.is_push_disabled and type(message).__name__ == "HeadAccepted":
            return
        self.message_count += 1
        copy_count = self.rng.choice([1, 1, 2])
        for _ in range(copy_count):
            delay_s = self.rng.uniform(0.001, 0.4)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._arrive, target, message)

    def _arrive(self, target, message):
        if (entry := self.entries.get(target)) and not entry.task.done():
            entry.config.handle_message(message)

    async def stop(self):
        for entry in self.entries.values():
            entry.task.cancel()
        await asyncio.gather(
            *(entry.task for entry in self.entries.values()), return_exceptions=True
        )

    def head(self):
        row = self.platform.store.read(configuration.HEAD_KEY)
        return codecs.unpack(row.value, configuration.Head) if row.version else None

    def intents(self):
        return self.platform.store.scan(configuration.INTENT_PREFIX, "", 100)


async def try_publish(entry, limit, publish_id, expected=None):
    """Publish a set, and return the version, the conflict or None for an unknown outcome."""
    try:
        async with asyncio.timeout(_TIMEOUT_S * 4):
            return await entry.publish(limit, publish_id, expected)
    except (exceptions.TableError, TimeoutError, asyncio.CancelledError):
        return None
    except publisher.VersionConflict as error:
        return error
