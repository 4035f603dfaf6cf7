"""Bring about each fault of the matrix on faked hosts, and heal it."""

import asyncio
import typing
import uuid

import msgspec
from nutmegshelf import codecs, platform
from nutmegshelf_http import client
from nutmegshelf_standins import network
from nutmegshelf_standins import platform as platform_standin

from features import hosts

PAUSE_S = 20.0
OUTAGE_S = 15.0


class Disturbance:
    """Hold one fault that strikes a step, and what has to be healed after it."""

    def __init__(self, site: hosts.Hosts, fault: str, entry: str = "entry-0"):
        self.site = site
        self.fault = fault
        self.entry = entry
        self.peer = "entry-1"
        self.lost_workers = set()
        self.minion = ""
        self.struck = False
        self.cut_minion_after = None

    def strike(self, minion: str) -> None:
        """Bring the fault about now; the minion is the one that takes part, if any does."""
        self.struck = True
        self.minion = minion or next(iter(self.site.minions))
        for part in self.fault.split(" and "):
            ACTIONS[part](self)

    def fate_of(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Cut a minion's stream where the fault asks for it."""
        if self.cut_minion_after is None or delivery.source != self.minion:
            return network.DeliveryOutcome()
        if self.cut_minion_after == 0:
            self.cut_minion_after = None
            return network.DeliveryOutcome(is_delivered=False, resets_connection=True)
        self.cut_minion_after -= 1
        return network.DeliveryOutcome()

    def heal(self) -> None:
        """Undo what can be undone."""
        self.site.network.heal()
        self.site.platform.faults = platform_standin.Faults()
        self.site.loop.message_fault = ""
        self.cut_minion_after = None
        if self.fault == "entry paused":
            self.site.loop.resume(self.entry)
        if self.fault == "minion paused":
            self.site.loop.resume(self.minion)

    def lose(self, what: str) -> None:
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
            self.lost_workers.add(worker)
            self.site.platform.workforce.withdraw(worker)

    def list_leaving(self) -> None:
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

    def publish(self) -> None:
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


def _cut_minions(disturbance: Disturbance) -> None:
    for minion in disturbance.site.minions:
        disturbance.site.network.partition(disturbance.entry, minion)


def _fail_everything(disturbance: Disturbance) -> None:
    disturbance.site.minions[disturbance.minion].is_failing = True


def _set_platform(**faults: object) -> typing.Callable[[Disturbance], None]:
    def strike(disturbance: Disturbance) -> None:
        disturbance.site.platform.faults = platform_standin.Faults(**faults)

    return strike


def _cut_stream(deliveries: int) -> typing.Callable[[Disturbance], None]:
    def strike(disturbance: Disturbance) -> None:
        disturbance.cut_minion_after = deliveries

    return strike


def _disturb_messages(how: str) -> typing.Callable[[Disturbance], None]:
    def strike(disturbance: Disturbance) -> None:
        disturbance.site.loop.message_fault = how
        disturbance.list_leaving()

    return strike


ACTIONS: dict[str, typing.Callable[[Disturbance], None]] = {
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
    "racing operator": lambda d: d.publish(),
    "rack lost": lambda d: d.lose("rack"),
    "zone lost": lambda d: d.lose("zone"),
}


def published_version(body: bytes) -> int:
    """Read the version from a publish's answer."""
    return int(codecs.CODECS["json"].decode(body, dict)["head"]["version"])
