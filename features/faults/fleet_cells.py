"""Cells that inject a fault while a worker's maintenance or a job's start is at a step."""

import asyncio
import collections
import contextlib
import time

from nutmegshelf import hosts as host_rows
from nutmegshelf import ids, leases, platform, tasks, workers
from nutmegshelf_standins import network

from features import hosts
from features.faults import injection, matrix

_DUE_WORKER = ids.WorkerId("w0")
_POOL = ids.PoolName("orders")
_TASK_COUNT = 2
_MIN_READY_WORKERS = 3
_SAMPLE_INTERVAL_S = 0.1
_SETTLE_S = 60.0
_STEP_TIMEOUT_S = 60.0
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
    """A trigger that injects the fault when an entry's call to the platform reaches the step."""

    def __init__(self, step: str, injector: injection.FaultInjector) -> None:
        self._step = step
        self._injector = injector
        self._drain_sent = False

    def intercept(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Return the outcome of a delivery; the calling entry is the target of the fault."""
        if not self._injector.is_injected and self._reaches_step(delivery):
            self._injector.entry = delivery.source
            self._injector.peer = "entry-1" if delivery.source == "entry-0" else "entry-0"
            self._injector.inject("")
            is_delivered = self._injector.site.network.can_reach(delivery.source, delivery.target)
            return network.DeliveryOutcome(is_delivered=is_delivered)
        return self._injector.get_delivery_outcome(delivery)

    def _reaches_step(self, delivery: network.Delivery) -> bool:
        payload = delivery.data or b""
        if delivery.target != "platform" or not delivery.source.startswith("entry"):
            return False
        drain_was_sent = self._drain_sent
        is_order = payload.startswith(b"POST /orders")
        is_write = payload.startswith(b"POST /table")
        is_drain = is_order and b"Drain" in payload and _DUE_WORKER.encode() in payload
        self._drain_sent = drain_was_sent or is_drain
        changes_row = is_write and host_rows.key(_DUE_WORKER).encode() in payload
        reached_by_step = {
            "lease": is_write and leases.PREFIX.encode() in payload,
            "drain": is_drain,
            "wait": drain_was_sent and is_order and b"Drain" in payload,
            "change row": drain_was_sent and changes_row and b"starting" in payload,
            "start": is_order and b"Start" in payload and b"StartTask" not in payload,
            "place": is_write and tasks.PREFIX.encode() in payload,
            "start task": is_order and b"StartTask" in payload,
        }
        return reached_by_step[self._step]


def register_workers(site: hosts.Hosts) -> None:
    """Enroll the workers at the platform, one of them due for maintenance."""
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
        maintained_at_s = 0.0 if record.worker == _DUE_WORKER else time.time()
        row = host_rows.enroll(record, maintained_at_s)
        site.platform.store.commit(platform.Transaction(writes=(host_rows.encode(row),)))
        records.append(record)
    site.platform.workforce.set_workers(records)


async def run(site: hosts.Hosts, cell: matrix.Cell) -> list[str]:
    """Run one cell and return the violated guarantees."""
    injector = injection.FaultInjector(site, cell.fault)
    site.network.interceptor = _Trigger(cell.step, injector).intercept
    violations: list[str] = []
    monitor = asyncio.create_task(_monitor_budget(site, violations))
    await site.start(0)
    entry_starts = [
        asyncio.create_task(_start_entry(site, f"entry-{number}")) for number in range(2)
    ]
    await asyncio.wait_for(_wait_until_injected(injector), _STEP_TIMEOUT_S)
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S)
    monitor.cancel()
    await asyncio.gather(*entry_starts)
    return violations + _check_host_rows(site, injector) + _check_tasks(site)


async def _start_entry(site: hosts.Hosts, name: str) -> None:
    # An entry that is killed or cannot reach the table does not become ready.
    with contextlib.suppress(TimeoutError):
        await site.start_entry(name)


async def _wait_until_injected(injector: injection.FaultInjector) -> None:
    while not injector.is_injected:
        await asyncio.sleep(_SAMPLE_INTERVAL_S)


async def _monitor_budget(site: hosts.Hosts, violations: list[str]) -> None:
    while True:
        records = site.platform.workforce.workers.values()
        ready = sum(record.state is workers.WorkerState.READY for record in records)
        if records and ready < _MIN_READY_WORKERS:
            violations.append(f"only {ready} workers were ready")
            return
        await asyncio.sleep(_SAMPLE_INTERVAL_S)


def _check_host_rows(site: hosts.Hosts, injector: injection.FaultInjector) -> list[str]:
    rows = [host_rows.decode(row).row for row in site.platform.store.scan(host_rows.PREFIX, "", 99)]
    workforce = site.platform.workforce
    violations = []
    for row in rows:
        record = workforce.workers[row.worker]
        if record.state is workers.WorkerState.READY and row.pool != record.pool:
            violations.append(
                f"{row.worker} is in pool {row.pool} by its row, in {record.pool} by the platform"
            )
    row_counts = collections.Counter(row.worker for row in rows)
    violations += [
        f"{worker} has {count} rows" for worker, count in row_counts.items() if count > 1
    ]
    drain_operations = [
        order.operation
        for order in workforce.applied_orders
        if isinstance(order, workers.Drain) and order.worker == _DUE_WORKER
    ]
    if len(set(drain_operations)) > 1:
        violations.append(f"{_DUE_WORKER} was drained {len(set(drain_operations))} times")
    due_row = next(row for row in rows if row.worker == _DUE_WORKER)
    is_maintained = due_row.step is host_rows.HostStep.SERVING and due_row.maintained_at_s > 0.0
    if not is_maintained and _DUE_WORKER not in injector.withdrawn_workers:
        violations.append(f"{_DUE_WORKER} was not maintained: {due_row}")
    return violations


def _check_tasks(site: hosts.Hosts) -> list[str]:
    workforce = site.platform.workforce
    violations = [f"{order.task} was started twice" for order in workforce.duplicate_starts]
    if len(workforce.tasks) != _TASK_COUNT:
        violations.append(f"{len(workforce.tasks)} of {_TASK_COUNT} tasks are running")
    for order in workforce.tasks.values():
        if workforce.workers[order.worker].state is not workers.WorkerState.READY:
            violations.append(f"{order.task} runs at {order.worker}, which is not ready")
    return violations
