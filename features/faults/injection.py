"""Bring about each fault of the matrix on faked hosts, and heal it."""

import asyncio
import typing
import uuid

import msgspec
from nutmegshelf import codecs, platform
from nutmegshelf_http import client
from nutmegshelf_standins import network, platform as platform_standin

from features import hosts

PAUSE_S = 20.0
OUTAGE_S = 15.0


class FaultInjector:
    """Hold one fault that strikes a step, and what has to be healed after it."""

    def __init__(self, site: hosts.Hosts, fault: str, entry: str = "entry-0"):
        self.site = site
        self.fault = fault
        self.entry = entry
        self.peer = "entry-1"
        self.withdrawn_workers = set()
        self.minion = ""
        self.is_injected = False
        self.deliveries_until_cut = None

    def inject(self, minion: str) -> None:
        """Bring the fault about now; the minion is the one that takes part, if any does."""
        self.is_injected = True
        self.minion = minion or next(iter(self.site.minions))
        for part in self.fault.split(" and "):
            INJECTIONS[part](self)

    def get_delivery_outcome(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Cut a minion's stream where the fault asks for it."""
        if self.deliveries_until_cut is None or delivery.source != self.minion:
            return network.DeliveryOutcome()
        if self.deliveries_until_cut == 0:
            self.deliveries_until_cut = None
            return network.DeliveryOutcome(is_delivered=False, resets_connection=True)
        self.deliveries_until_cut -= 1
        return network.DeliveryOutcome()

    def heal(self) -> None:
        """Undo what can be undone."""
        self.site.network.heal()
        self.site.platform.faults = platform_standin.Faults()
        self.site.loop.message_fault = ""
        self.deliveries_until_cut = None
        if self.fault == "entry paused":
            self.site.loop.resume(self.entry)
        if self.fault == "minion paused":
            self.site.loop.resume(self.minion)

    def fail_domain(self, what: str) -> None:
        """Kill all that stands in the minion's rack or zone."""
        lost = next(
            getattr(record, what) for record in self.site.records if record.minion == self.minion
        )
        for record in self.site.records:
            if getattr(record, what) == lost:
                self.site.loop.kill(record.minion)
                self._withdraw(record.worker)
        if what == "zone" and self.site.ports[self.entry].zone == lost:
            self.site.loop.kill(self.entry)
            self.site.dead_entries.add(self.entry)

    def _withdraw(self, worker) -> None:
        if worker in self.site.platform.workforce.workers:
            self.withdrawn_workers.add(worker)
            self.site.platform.workforce.withdraw(worker)

    def list_minion_as_leaving(self) -> None:
        """Let the platform's list say that the minion leaves."""
        self.site.records = [
            (
                msgspec.structs.replace(record, state=platform.HostState.LEAVING)
                if record.minion == self.minion
                else record
            )
            for record in self.site.records
        ]
        self.site.list_minions()

    def start_racing_publish(self) -> None:
        """Let another operator publish."""
        with network.on_host("operator"):
            self._racing = asyncio.create_task(publish(self.site, self.peer, queue_limit=99))


async def publish(site: hosts.Hosts, entry: str, publish_id: str = "", **changes):
    """Publish a changed set at an entry; gives the answer."""
    body = {
        "files": site.declared_files(**changes),
        "publish_id": publish_id or uuid.uuid4().hex,
        "operator": "test",
    }
    link = client.Client("127.0.0.1", site.ports[entry].operators.port)
    try:
        async with asyncio.timeout(10):
            return await link.request("POST", "/publish", codecs.CODECS["json"].encode(body))
    finally:
        link.close()


def _cut_minions(injector: FaultInjector) -> None:
    for minion in injector.site.minions:
        injector.site.network.partition(injector.entry, minion)


def _fail_everything(injector: FaultInjector) -> None:
    injector.site.minions[injector.minion].is_failing = True


def _set_platform(**faults: object) -> typing.Callable[[FaultInjector], None]:
    def strike(injector: FaultInjector) -> None:
        injector.site.platform.faults = platform_standin.Faults(**faults)

    return strike


def _cut_stream(deliveries: int) -> typing.Callable[[FaultInjector], None]:
    def strike(injector: FaultInjector) -> None:
        injector.deliveries_until_cut = deliveries

    return strike


def _disturb_messages(how: str) -> typing.Callable[[FaultInjector], None]:
    def strike(injector: FaultInjector) -> None:
        injector.site.loop.message_fault = how
        injector.list_minion_as_leaving()

    return strike


INJECTIONS: dict[str, typing.Callable[[FaultInjector], None]] = {
    "entry killed": lambda d: d.site.loop.kill(d.entry),
    "entry paused": lambda d: d.site.loop.pause(d.entry),
    "entry cut from peers": lambda d: d.site.network.partition(d.entry, d.peer),
    "entry cut from table": lambda d: d.site.network.partition(d.entry, "platform"),
    "entry cut from minions": _cut_minions,
    "minion killed": lambda d: d.site.loop.kill(d.minion),
    "minion paused": lambda d: d.site.loop.pause(d.minion),
    "minion cut before first byte": _cut_stream(0),
    "minion cut after first byte": _cut_stream(1),
    "minion failing everything": _fail_everything,
    "table down": _set_platform(down=True),
    "table slow": _set_platform(delay_s=1.0),
    "table answer lost": _set_platform(lose_answers=True),
    "table stale read": lambda d: d.site.platform.serve_stale_reads(),
    # The list goes on naming a minion that has ended.
    "list stale": lambda d: d.site.loop.kill(d.minion),
    "message late": _disturb_messages("late"),
    "message twice": _disturb_messages("twice"),
    "message out of order": _disturb_messages("out of order"),
    "racing operator": lambda d: d.start_racing_publish(),
    "rack lost": lambda d: d.fail_domain("rack"),
    "zone lost": lambda d: d.fail_domain("zone"),
}


def decode_published_version(body: bytes) -> int:
    """Read the version from a publish's answer."""
    return int(codecs.CODECS["json"].decode(body, dict)["head"]["version"])
