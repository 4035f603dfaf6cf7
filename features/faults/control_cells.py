"""Cells that inject a fault while a publish, a join or a shutdown is at a step."""

import asyncio
import signal

import h11
from nutmegshelf import codecs, configuration
from nutmegshelf_standins import caller, network

from features import hosts
from features.faults import injection, matrix

_PUBLISH_ID = "the-publish"
_ROLLOUT_LIMIT_S = 6.0
_SETTLE_S = 12.0
_SAMPLE_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 4
_RUN_DURATION_MS = 800
_CALL_BREAKING_FAULTS = (
    "entry killed",
    "entry paused",
    "entry cut from minions",
    "zone lost",
    "rack lost",
)
# Under these faults an entry can't learn of a version, or the table can't accept one, so the
# rollout limit does not apply. Matched as prefixes of the fault.
_ROLLOUT_DELAYING_FAULTS = ("entry", "table down", "table answer lost", "table stale", "zone lost")


async def run(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    """Run one cell and return the violated guarantees."""
    if cell.step == "join":
        return await _join(site, cell)
    if cell.step == "leave":
        return await _leave(site, cell)
    return await _publish(site, cell)


class _PublishTrigger:
    """A trigger that injects the fault when the publish reaches the step."""

    def __init__(self, step: str, injector: injection.FaultInjector) -> None:
        self._step = step
        self._injector = injector

    def intercept(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Return the outcome of a delivery, injecting the fault if it reaches the step."""
        if not self._injector.is_injected and self._reaches_step(delivery):
            if self._step == "switch":
                # The message is delivered first, so that the fault occurs just before the switch.
                asyncio.get_running_loop().call_soon(self._injector.inject, "")
                self._injector.is_injected = True
                return network.DeliveryOutcome()
            self._injector.inject("")
            arrives = self._injector.site.network.can_reach(delivery.source, delivery.target)
            return network.DeliveryOutcome(is_delivered=arrives)
        return self._injector.get_delivery_outcome(delivery)

    def _reaches_step(self, delivery: network.Delivery) -> bool:
        payload = delivery.data or b""
        if self._step == "publish":
            # Polls contain the head's key too; only the accepting transaction contains the key of
            # the publish row.
            publish_key = configuration.publish_key(_PUBLISH_ID).encode()
            return payload.startswith(b"POST /table") and publish_key in payload
        return b"HeadAccepted" in payload and delivery.target == "entry-1"


async def _publish(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    faulty_entry = "entry-1" if cell.step == "switch" else "entry-0"
    injector = injection.FaultInjector(site, cell.fault, faulty_entry)
    injector.peer = "entry-0" if faulty_entry == "entry-1" else "entry-1"
    site.network.interceptor = _PublishTrigger(cell.step, injector).intercept
    violations: list[str] = []
    monitor = asyncio.create_task(_monitor_versions(site, violations))
    accepted_version = await _publish_with_retries(site, "entry-0")
    if accepted_version and not cell.fault.startswith(_ROLLOUT_DELAYING_FAULTS):
        await asyncio.sleep(_ROLLOUT_LIMIT_S)
        violations += [
            f"{name} was at version {site.get_version(name)} after {_ROLLOUT_LIMIT_S} s"
            for name in _list_live_entries(site, injector)
            if site.get_version(name) < accepted_version
        ]
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    live_entries = _list_live_entries(site, injector)
    repeated_version = await _publish_with_retries(site, live_entries[0])
    await asyncio.sleep(_ROLLOUT_LIMIT_S)
    monitor.cancel()
    if not injector.is_injected:
        violations.append(f"the step {cell.step!r} was not reached")
    return violations + _check_versions(site, live_entries, accepted_version, repeated_version)


async def _publish_with_retries(site: hosts.Hosts, entry: str) -> int:
    for _ in range(_MAX_ATTEMPTS):
        try:
            answer = await injection.publish(site, entry, _PUBLISH_ID, queue_limit=77)
        except (OSError, h11.ProtocolError, TimeoutError):
            continue
        if answer.status == 200:
            return injection.decode_published_version(answer.body)
        await asyncio.sleep(1.0)
    return 0


async def _monitor_versions(site: hosts.Hosts, violations: list[str]) -> None:
    last_versions: dict[str, int] = {}
    while True:
        for name in site.entries:
            version = site.get_version(name)
            if version < last_versions.get(name, 0):
                violations.append(
                    f"{name} reverted from version {last_versions[name]} to {version}"
                )
            last_versions[name] = version
        await asyncio.sleep(_SAMPLE_INTERVAL_S)


def _list_live_entries(site: hosts.Hosts, injector: injection.FaultInjector) -> list[str]:
    fault = injector.fault
    dead_entries = {injector.entry} if "entry killed" in fault else set()
    if fault == "zone lost":
        dead_entries |= site.dead_entries
    return [name for name in site.entries if name not in dead_entries]


def _check_versions(
    site: hosts.Hosts, live_entries: list[str], accepted_version: int, repeated_version: int
) -> list[str]:
    head = codecs.unpack(site.platform.store.read(configuration.HEAD_KEY).value, configuration.Head)
    violations = [
        f"{name} is at version {site.get_version(name)}, the table at {head.version}"
        for name in live_entries
        if site.get_version(name) != head.version
    ]
    if not repeated_version:
        violations.append("the repeated publish was not accepted")
    if accepted_version and repeated_version != accepted_version:
        violations.append(f"accepted twice: versions {accepted_version} and {repeated_version}")
    return violations


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
    survivor = _list_live_entries(site, injector)[-1]
    if survivor == "entry-2":
        await start
    start.cancel()
    await asyncio.gather(start, return_exceptions=True)
    call_record = await site.call("after-join", survivor)
    violations = [] if injector.is_injected else ["the step 'join' was not reached"]
    if call_record.result is not caller.Result.COMPLETE:
        violations.append(
            f"{survivor} does not serve: {call_record.result.value} {call_record.error}"
        )
    return violations


async def _leave(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    injector = injection.FaultInjector(site, cell.fault, "entry-0")
    site.network.interceptor = injector.get_delivery_outcome
    pending_call = asyncio.create_task(site.call("leaving", "entry-0", work_ms=_RUN_DURATION_MS))
    while "leaving" not in site.count_runs():
        await asyncio.sleep(0.001)
    minion = next(
        name for name, running_minion in site.minions.items() if running_minion.records.runs
    )
    site.loop.send_signal("entry-0", signal.SIGTERM)
    await asyncio.sleep(0.1)
    injector.inject(minion)
    call_record = await pending_call
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    violations = []
    if site.count_runs()["leaving"] > 1:
        violations.append("the request ran more than once")
    expects_completion = not cell.fault.startswith((*_CALL_BREAKING_FAULTS, "minion", "list"))
    if expects_completion and call_record.result is not caller.Result.COMPLETE:
        violations.append(
            f"the request in progress ended {call_record.result.value} {call_record.error}"
        )
    if "entry-0" in _list_live_entries(site, injector) and not site.entries["entry-0"].done():
        violations.append("the entry did not end")
    return violations
