"""Inject the faults of the matrix into simulated hosts and revert them."""

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


class FaultInjector:
    """The injection of one fault at a step, with the state needed to revert it."""

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
        """Inject the fault now; the minion is the one that takes part in the step, if any."""
        self.is_injected = True
        self.minion = minion or next(iter(self.site.minions))
        for simple_fault in self.fault.split(" and "):
            INJECTIONS[simple_fault](self)

    def get_delivery_outcome(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Return the outcome of a delivery, cutting the minion's stream if the fault says so."""
        if self.deliveries_until_cut is None or delivery.source != self.minion:
            return network.DeliveryOutcome()
        if self.deliveries_until_cut == 0:
            self.deliveries_until_cut = None
            return network.DeliveryOutcome(is_delivered=False, resets_connection=True)
        self.deliveries_until_cut -= 1
        return network.DeliveryOutcome()

    def heal(self) -> None:
        """Revert the fault as far as possible; killed hosts stay dead."""
        self.site.network.heal()
        self.site.platform.faults = platform_standin.Faults()
        self.site.loop.message_fault = ""
        self.deliveries_until_cut = None
        if self.fault == "entry paused":
            self.site.loop.resume(self.entry)
        if self.fault == "minion paused":
            self.site.loop.resume(self.minion)

    def fail_domain(self, domain_kind: str) -> None:
        """Kill all hosts in the minion's rack or zone."""
        failed_domain = next(
            getattr(record, domain_kind)
            for record in self.site.records
            if record.minion == self.minion
        )
        for record in self.site.records:
            if getattr(record, domain_kind) == failed_domain:
                self.site.loop.kill(record.minion)
                self._withdraw_worker(record.worker)
        if domain_kind == "zone" and self.site.ports[self.entry].zone == failed_domain:
            self.site.loop.kill(self.entry)
            self.site.dead_entries.add(self.entry)

    def _withdraw_worker(self, worker) -> None:
        if worker in self.site.platform.workforce.workers:
            self.withdrawn_workers.add(worker)
            self.site.platform.workforce.withdraw(worker)

    def list_minion_as_leaving(self) -> None:
        """Mark the minion as leaving in the platform's list."""
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
        """Start a publish by another operator at the peer."""
        with network.on_host("operator"):
            self._racing_publish = asyncio.create_task(
                publish(self.site, self.peer, queue_limit=99)
            )


async def publish(site: hosts.Hosts, entry: str, publish_id: str = "", **changes):
    """Publish a changed declaration set at an entry and return the response."""
    body = {
        "files": site.declared_files(**changes),
        "publish_id": publish_id or uuid.uuid4().hex,
        "operator": "test",
    }
    operator_client = client.Client("127.0.0.1", site.ports[entry].operators.port)
    try:
        async with asyncio.timeout(10):
            return await operator_client.request(
                "POST", "/publish", codecs.CODECS["json"].encode(body)
            )
    finally:
        operator_client.close()


def _cut_entry_from_minions(injector: FaultInjector) -> None:
    for minion in injector.site.minions:
        injector.site.network.partition(injector.entry, minion)


def _fail_all_requests(injector: FaultInjector) -> None:
    injector.site.minions[injector.minion].is_failing = True


def _set_platform_faults(**faults: object) -> typing.Callable[[FaultInjector], None]:
    def inject(injector: FaultInjector) -> None:
        injector.site.platform.faults = platform_standin.Faults(**faults)

    return inject


def _cut_minion_stream(deliveries: int) -> typing.Callable[[FaultInjector], None]:
    def inject(injector: FaultInjector) -> None:
        injector.deliveries_until_cut = deliveries

    return inject


def _disturb_peer_messages(message_fault: str) -> typing.Callable[[FaultInjector], None]:
    def inject(injector: FaultInjector) -> None:
        injector.site.loop.message_fault = message_fault
        injector.list_minion_as_leaving()

    return inject


INJECTIONS: dict[str, typing.Callable[[FaultInjector], None]] = {
    "entry killed": lambda injector: injector.site.loop.kill(injector.entry),
    "entry paused": lambda injector: injector.site.loop.pause(injector.entry),
    "entry cut from peers": lambda injector: injector.site.network.partition(
        injector.entry, injector.peer
    ),
    "entry cut from table": lambda injector: injector.site.network.partition(
        injector.entry, "platform"
    ),
    "entry cut from minions": _cut_entry_from_minions,
    "minion killed": lambda injector: injector.site.loop.kill(injector.minion),
    "minion paused": lambda injector: injector.site.loop.pause(injector.minion),
    "minion cut before first byte": _cut_minion_stream(0),
    "minion cut after first byte": _cut_minion_stream(1),
    "minion failing everything": _fail_all_requests,
    "table down": _set_platform_faults(down=True),
    "table slow": _set_platform_faults(delay_s=1.0),
    "table answer lost": _set_platform_faults(lose_answers=True),
    "table stale read": lambda injector: injector.site.platform.serve_stale_reads(),
    # The minion has ended, but the list still contains it.
    "list stale": lambda injector: injector.site.loop.kill(injector.minion),
    "message late": _disturb_peer_messages("late"),
    "message twice": _disturb_peer_messages("twice"),
    "message out of order": _disturb_peer_messages("out of order"),
    "racing operator": lambda injector: injector.start_racing_publish(),
    "rack lost": lambda injector: injector.fail_domain("rack"),
    "zone lost": lambda injector: injector.fail_domain("zone"),
}


def decode_published_version(body: bytes) -> int:
    """Return the accepted version from the body of a publish response."""
    return int(codecs.CODECS["json"].decode(body, dict)["head"]["version"])
