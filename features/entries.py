"""Run the configuration parts of several entries over a faked table and faked peers."""

import asyncio

from nutmegshelf import audit, codecs, configuration, declarations, exceptions, ids
from nutmegshelf_entry import collector, configurator, publisher
from nutmegshelf_standins import store

SLOW_S = 1.0
_MOMENT_S = 0.01
_TIMEOUT_S = 2.0


def declared(queue_limit):
    service = declarations.Service(
        pool=ids.PoolName("p"), wanted_minions=2, queue_limit=queue_limit
    )
    return declarations.DeclarationSet(services={ids.ServiceName("s"): service})


class FakePlatform:
    """Hold the table and the objects, and break calls on demand."""

    def __init__(self):
        self.store = store.Store()
        self.is_down = False
        self.objects_down = False
        self.delay_s = 0.0
        self.faults = {}
        self.steps = []

    async def call(self, entry, step, effect):
        """Carry out a step; a fault by number and kind may strike before or after its effect."""
        number = len(self.steps)
        self.steps.append(step)
        kind = self.faults.pop((entry, step), None) or self.faults.pop((entry, number), None)
        await asyncio.sleep(_MOMENT_S + self.delay_s)
        down = self.is_down or entry in self.cut or (self.objects_down and "object" in step)
        if down or kind == "down":
            raise exceptions.TableUnavailable(step)
        if kind == "killed before":
            raise asyncio.CancelledError
        if kind == "paused":
            await asyncio.sleep(30)
        if kind == "paused for hours":
            await asyncio.sleep(8000)
        found = effect()
        if kind == "killed after":
            raise asyncio.CancelledError
        if kind == "lost":
            raise exceptions.TableAnswerLost(step)
        return found

    cut = frozenset()


class Rows:
    """Be one entry's way to the platform."""

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
        wrote = [write.key.split("/")[1] for write in transaction.writes]
        step = f"commit {wrote[0]}" if wrote else "confirm"
        return await self._call(step, lambda: self._shared.store.commit(transaction))

    async def put_object(self, key, data):
        await self._call("put object", lambda: self._shared.store.objects.update({key: data}))

    async def get_object(self, key):
        return await self._call("get object", lambda: self._shared.store.objects.get(key))

    async def delete_object(self, key):
        await self._call("delete object", lambda: self._shared.store.objects.pop(key, None))


class Entry:
    """Be the configuration parts of one entry."""

    def __init__(self, name, site):
        self.name = ids.EntryId(name)
        self.site = site
        self.in_force = configuration.ActiveConfiguration()
        self.serves = True
        self.history = []
        self.decisions = audit.DecisionLog()
        self.rows = Rows(name, site.platform)
        self.publisher = publisher.Publisher(self.rows, self.in_force, site.now_s)
        self.config = configurator.Configurator(
            own=self.name,
            rows=self.rows,
            in_force=self.in_force,
            peers=self,
            known=self,
            switched=lambda accepted: self.history.append(accepted.head.version),
            confirmed=self._confirm,
            poll_interval_s=1.0,
            decisions=self.decisions,
            clock=site.now_s,
        )
        self.collector = collector.Collector(self.rows, 300.0, site.now_s)
        self.task = None

    def _confirm(self, is_confirmed):
        self.serves = is_confirmed

    def counted(self):
        return frozenset(self.site.entries)

    def addresses(self):
        return {name: name for name in self.site.entries if name != self.name}

    def broadcast(self, message):
        for name in self.addresses():
            self.send(name, message)

    def send(self, address, message):
        self.site.deliver(self.name, address, message)

    def start(self):
        self.task = asyncio.create_task(self.config.run())

    async def publish(self, limit, publish_id, expected=None):
        wanted = declared(limit)
        started_s = asyncio.get_running_loop().time()
        revision = await self.publisher.publish(
            wanted, ids.PublishId(publish_id), "op-" + self.name, expected
        )
        accepted = configuration.Configuration(head=revision.head, declarations=wanted)
        self.config.take_published(revision, accepted, started_s)
        return revision.head.version


class Site:
    """Own the entries, the platform and the way between them."""

    def __init__(self, rng):
        self.rng = rng
        self.platform = FakePlatform()
        self.entries = {}
        self.groups = None
        self.push_is_cut = False
        self.messages = 0

    def now_s(self):
        return asyncio.get_running_loop().time()

    def start(self, count):
        for number in range(count):
            self.start_entry(f"e{number}")

    def start_entry(self, name):
        self.entries[name] = Entry(name, self)
        self.entries[name].start()

    def hear_one_another(self, one, other):
        return self.groups is None or any(one in g and other in g for g in self.groups)

    def deliver(self, source, target, message):
        if not self.hear_one_another(source, target):
            return
        if self.push_is_cut and type(message).__name__ == "HeadAccepted":
            return
        self.messages += 1
        copies = self.rng.choice([1, 1, 2])
        for _ in range(copies):
            delay_s = self.rng.uniform(0.001, 0.4)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._arrive, target, message)

    def _arrive(self, target, message):
        if (entry := self.entries.get(target)) and not entry.task.done():
            entry.config.take_message(message)

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
    """Publish as an operator who sees only the outcome."""
    try:
        async with asyncio.timeout(_TIMEOUT_S * 4):
            return await entry.publish(limit, publish_id, expected)
    except (exceptions.TableError, TimeoutError, asyncio.CancelledError):
        return None
    except publisher.Conflict as error:
        return error
