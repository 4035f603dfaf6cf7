"""Drive a publish, a join or a leave to a step, strike there, and check the promises."""

import asyncio
import signal

import h11
from nutmegshelf import codecs, configuration
from nutmegshelf_standins import caller, network

from features import hosts
from features.faults import injection, matrix

_PUBLISH_ID = "the-publish"
_IN_FORCE_LIMIT_S = 6.0
_SETTLE_S = 12.0
_SAMPLE_S = 0.1
_TRIES = 4
_WORK_MS = 800
_BREAKS_CALLS = ("entry killed", "entry paused", "entry cut from minions", "zone lost", "rack lost")
# Under these faults an entry can't know of a version, or the table can't accept one.
_DELAYS_ROLLOUT = ("entry", "table down", "table answer lost", "table stale", "zone lost")


async def run(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    """Run one cell; give the promises that were broken."""
    if cell.step == "join":
        return await _join(site, cell)
    if cell.step == "leave":
        return await _leave(site, cell)
    return await _publish(site, cell)


class _PublishTrigger:
    """Strike when the publish reaches its step."""

    def __init__(self, step: str, injector: injection.FaultInjector) -> None:
        self._step = step
        self._disturbance = injector

    def intercept(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Watch a delivery."""
        if not self._disturbance.is_injected and self._is_reached(delivery):
            if self._step == "switch":
                # The message arrives first; the fault finds the entry about to switch.
                asyncio.get_running_loop().call_soon(self._disturbance.strike, "")
                self._disturbance.is_injected = True
                return network.DeliveryOutcome()
            self._disturbance.strike("")
            arrives = self._disturbance.site.network.can_reach(delivery.source, delivery.target)
            return network.DeliveryOutcome(is_delivered=arrives)
        return self._disturbance.fate_of(delivery)

    def _is_reached(self, delivery: network.Delivery) -> bool:
        data = delivery.data or b""
        if self._step == "publish":
            # Polls name the head too; only the accepting transaction names the publish row.
            written = configuration.publish_key(_PUBLISH_ID).encode()
            return data.startswith(b"POST /table") and written in data
        return b"HeadAccepted" in data and delivery.target == "entry-1"


async def _publish(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    struck_entry = "entry-1" if cell.step == "switch" else "entry-0"
    injector = injection.FaultInjector(site, cell.fault, struck_entry)
    injector.peer = "entry-0" if struck_entry == "entry-1" else "entry-1"
    site.network.interceptor = _PublishTrigger(cell.step, injector).intercept
    broken: list[str] = []
    watch = asyncio.create_task(_watch_versions(site, broken))
    accepted = await _try_publish(site, "entry-0")
    if accepted and not cell.fault.startswith(_DELAYS_ROLLOUT):
        await asyncio.sleep(_IN_FORCE_LIMIT_S)
        broken += [
            f"{name} had version {site.get_version(name)} after {_IN_FORCE_LIMIT_S} s"
            for name in _live(site, injector)
            if site.get_version(name) < accepted
        ]
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    live = _live(site, injector)
    again = await _try_publish(site, live[0])
    await asyncio.sleep(_IN_FORCE_LIMIT_S)
    watch.cancel()
    if not injector.is_injected:
        broken.append(f"the step {cell.step!r} was not reached")
    return broken + _check_versions(site, live, accepted, again)


async def _try_publish(site: hosts.Hosts, entry: str) -> int:
    for _ in range(_TRIES):
        try:
            answer = await injection.publish(site, entry, _PUBLISH_ID, queue_limit=77)
        except (OSError, h11.ProtocolError, TimeoutError):
            continue
        if answer.status == 200:
            return injection.decode_published_version(answer.body)
        await asyncio.sleep(1.0)
    return 0


async def _watch_versions(site: hosts.Hosts, broken: list[str]) -> None:
    seen: dict[str, int] = {}
    while True:
        for name in site.entries:
            version = site.get_version(name)
            if version < seen.get(name, 0):
                broken.append(f"{name} went back from {seen[name]} to {version}")
            seen[name] = version
        await asyncio.sleep(_SAMPLE_S)


def _live(site: hosts.Hosts, injector: injection.FaultInjector) -> list[str]:
    fault = injector.fault
    dead = {injector.entry} if "entry killed" in fault else set()
    if fault == "zone lost":
        dead |= site.dead_entries
    return [name for name in site.entries if name not in dead]


def _check_versions(site: hosts.Hosts, live: list[str], accepted: int, again: int) -> list[str]:
    head = codecs.unpack(site.platform.store.read(configuration.HEAD_KEY).value, configuration.Head)
    broken = [
        f"{name} has version {site.get_version(name)}, the table {head.version}"
        for name in live
        if site.get_version(name) != head.version
    ]
    if not again:
        broken.append("the operator's repeat was not accepted")
    if accepted and again != accepted:
        broken.append(f"published twice: versions {accepted} and {again}")
    return broken


async def _join(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    injector = injection.FaultInjector(site, cell.fault, "entry-2")
    injector.peer = "entry-0"

    def intercept(delivery: network.Delivery) -> network.DeliveryOutcome:
        if not injector.is_injected and delivery.source == "entry-2":
            injector.inject("")
            return network.DeliveryOutcome(
                is_delivered=site.network.can_reach(delivery.source, delivery.target)
            )
        return injector.get_delivery_outcome(delivery)

    site.network.interceptor = intercept
    start = asyncio.create_task(site.start_entry("entry-2"))
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    survivor = _live(site, injector)[-1]
    if survivor == "entry-2":
        await start
    start.cancel()
    await asyncio.gather(start, return_exceptions=True)
    done = await site.call("after-join", survivor)
    broken = [] if injector.is_injected else ["the step 'join' was not reached"]
    if done.result is not caller.Result.COMPLETE:
        broken.append(f"{survivor} does not serve: {done.result.value} {done.error}")
    return broken


async def _leave(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    injector = injection.FaultInjector(site, cell.fault, "entry-0")
    site.network.interceptor = injector.get_delivery_outcome
    call = asyncio.create_task(site.call("leaving", "entry-0", work_ms=_WORK_MS))
    while "leaving" not in site.count_runs():
        await asyncio.sleep(0.001)
    minion = next(name for name, one in site.minions.items() if one.records.runs)
    site.loop.send_signal("entry-0", signal.SIGTERM)
    await asyncio.sleep(0.1)
    injector.inject(minion)
    done = await call
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    broken = []
    if site.count_runs()["leaving"] > 1:
        broken.append("ran twice")
    undisturbed = not cell.fault.startswith((*_BREAKS_CALLS, "minion", "list"))
    if undisturbed and done.result is not caller.Result.COMPLETE:
        broken.append(f"the request in progress ended {done.result.value} {done.error}")
    if "entry-0" in _live(site, injector) and not site.entries["entry-0"].done():
        broken.append("the entry did not end")
    return broken
