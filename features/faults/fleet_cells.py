"""Drive a worker's maintenance and a job's start to a step, strike there, and check both."""

import asyncio
import collections
import contextlib
import time

from nutmegshelf import hosts as host_rows, ids, leases, platform, tasks, workers
from nutmegshelf_standins import network

from features import hosts
from features.faults import injection, matrix

_DUE = ids.WorkerId("w0")
_POOL = ids.PoolName("orders")
_TASKS = 2
_REQUIRED = 3
_SAMPLE_S = 0.1
_SETTLE_S = 60.0
_REACH_LIMIT_S = 60.0
DECLARATION_FILES = {"fleet.toml": """
[budgets.orders]
service = "orders"
min_available_fraction = 0.5
[maintenance.orders]
pool = "orders"
[teams.studio]
quota_cores = 64.0
quota_memory_gb = 64.0
[jobs.batch]
pool = "orders"
team = "studio"
cores = 2.0
memory_gb = 2.0
tasks = 2
request_class = "batch"
"""}


class _Trigger:
    """Strike when the entries' calls to the platform reach the step."""

    def __init__(self, step: str, injector: injection.FaultInjector) -> None:
        self._step = step
        self._disturbance = injector
        self._drain_sent = False

    def intercept(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Watch a delivery; the entry that makes the call is the one that is struck."""
        if not self._disturbance.is_injected and self._is_reached(delivery):
            self._disturbance.entry = delivery.source
            self._disturbance.peer = "entry-1" if delivery.source == "entry-0" else "entry-0"
            self._disturbance.strike("")
            reaches = self._disturbance.site.network.can_reach(delivery.source, delivery.target)
            return network.DeliveryOutcome(is_delivered=reaches)
        return self._disturbance.fate_of(delivery)

    def _is_reached(self, delivery: network.Delivery) -> bool:
        data = delivery.data or b""
        if delivery.target != "platform" or not delivery.source.startswith("entry"):
            return False
        drain_was_sent = self._drain_sent
        is_order = data.startswith(b"POST /orders")
        is_write = data.startswith(b"POST /table")
        is_drain = is_order and b"Drain" in data and _DUE.encode() in data
        self._drain_sent = drain_was_sent or is_drain
        changes_row = is_write and host_rows.key(_DUE).encode() in data
        reached = {
            "lease": is_write and leases.PREFIX.encode() in data,
            "drain": is_drain,
            "wait": drain_was_sent and is_order and b"Drain" in data,
            "change row": drain_was_sent and changes_row and b"starting" in data,
            "start": is_order and b"Start" in data and b"StartTask" not in data,
            "place": is_write and tasks.PREFIX.encode() in data,
            "start task": is_order and b"StartTask" in data,
        }
        return reached[self._step]


def register_workers(site: hosts.Hosts) -> None:
    """List the workers, one of them due for maintenance."""
    records = []
    for number in range(6):
        zone = f"z{number % hosts.ZONES}"
        record = workers.WorkerRecord(
            worker=ids.WorkerId(f"w{number}"),
            zone=ids.ZoneName(zone),
            rack=ids.RackName(f"{zone}-r{number // hosts.ZONES}"),
            pool=_POOL,
            cores=8.0,
            memory_gb=16.0,
        )
        maintained_at_s = 0.0 if record.worker == _DUE else time.time()
        row = host_rows.enroll(record, maintained_at_s)
        site.platform.store.commit(platform.Transaction(writes=(host_rows.encode(row),)))
        records.append(record)
    site.platform.workforce.set_workers(records)


async def run(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    """Run one cell; give the promises that were broken."""
    injector = injection.FaultInjector(site, cell.fault)
    site.network.interceptor = _Trigger(cell.step, injector).intercept
    broken: list[str] = []
    watch = asyncio.create_task(_watch_budget(site, broken))
    await site.start(0)
    starts = [asyncio.create_task(_start(site, f"entry-{number}")) for number in range(2)]
    await asyncio.wait_for(_until_struck(injector), _REACH_LIMIT_S)
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    watch.cancel()
    await asyncio.gather(*starts)
    return broken + _check_rows(site, injector) + _check_tasks(site)


async def _start(site: hosts.Hosts, name: str) -> None:
    # An entry that is killed, or that finds no table, does not become ready.
    with contextlib.suppress(TimeoutError):
        await site.start_entry(name)


async def _until_struck(injector: injection.FaultInjector) -> None:
    while not injector.is_injected:
        await asyncio.sleep(_SAMPLE_S)


async def _watch_budget(site: hosts.Hosts, broken: list[str]) -> None:
    while True:
        records = site.platform.workforce.workers.values()
        ready = sum(record.state is workers.WorkerState.READY for record in records)
        if records and ready < _REQUIRED:
            broken.append(f"only {ready} workers were ready")
            return
        await asyncio.sleep(_SAMPLE_S)


def _check_rows(site: hosts.Hosts, injector: injection.FaultInjector) -> list[str]:
    found = [
        host_rows.decode(row).row for row in site.platform.store.scan(host_rows.PREFIX, "", 99)
    ]
    workforce = site.platform.workforce
    broken = []
    for row in found:
        record = workforce.workers[row.worker]
        if record.state is workers.WorkerState.READY and row.pool != record.pool:
            broken.append(f"{row.worker} is of {row.pool} in its row, of {record.pool} in truth")
    per_worker = collections.Counter(row.worker for row in found)
    broken += [f"{worker} has {count} rows" for worker, count in per_worker.items() if count > 1]
    drains = [
        order.operation
        for order in workforce.applied_orders
        if isinstance(order, workers.Drain) and order.worker == _DUE
    ]
    if len(set(drains)) > 1:
        broken.append(f"{_DUE} was drained {len(set(drains))} times")
    due = next(row for row in found if row.worker == _DUE)
    is_maintained = due.step is host_rows.HostStep.SERVING and due.maintained_at_s > 0.0
    if not is_maintained and _DUE not in injector.withdrawn_workers:
        broken.append(f"{_DUE} was not maintained: {due}")
    return broken


def _check_tasks(site: hosts.Hosts) -> list[str]:
    workforce = site.platform.workforce
    broken = [f"{order.task} was started twice" for order in workforce.duplicate_starts]
    if len(workforce.tasks) != _TASKS:
        broken.append(f"{len(workforce.tasks)} of {_TASKS} tasks run")
    for order in workforce.tasks.values():
        if workforce.workers[order.worker].state is not workers.WorkerState.READY:
            broken.append(f"{order.task} runs at {order.worker}, which is not ready")
    return broken
