"""Steps that run entries as processes with a platform process and read the table."""

import asyncio
import json
import pathlib
import signal

import behave
import msgspec
from nutmegshelf import codecs, hosts, leases
from nutmegshelf_http import client
from nutmegshelf_standins import demo, process

WAIT_LIMIT_S = 25.0
POLL_S = 0.05
POOL_DECLARATIONS = """
[pools.{name}]
wanted_workers = 2
worker_cores = 8
worker_memory_gb = 16
[services.{name}]
pool = "{name}"
wanted_minions = 2
[budgets.{name}]
service = "{name}"
min_available_fraction = 0.0
[maintenance.{name}]
pool = "{name}"
"""


@behave.given("two entry processes over two pools of 2 workers with leases of {lease_s:g} s")
def start_processes(context, lease_s):
    folder = pathlib.Path("out") / "fleet-process"
    (folder / "site").mkdir(parents=True, exist_ok=True)
    for name in ("a", "b"):
        (folder / f"{name}.toml").write_text(POOL_DECLARATIONS.format(name=name))
    (folder / "site" / "zones.toml").write_text('zones = ["z0", "z1"]\n')
    settings = f"pool_lease_s = {lease_s}\npool_rescan_s = 0.5\npoll_interval_s = 0.2\n"

    async def start():
        context.group = process.Group()
        await context.group.__aenter__()
        context.cleanup.append(context.group.aclose)
        context.deployment = demo.Deployment(context.group, folder, 7, settings=settings)
        await context.deployment.start(entries=2)

    context.run(start())


async def wait_for(get_value):
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            if value := await get_value():
                return value
            await asyncio.sleep(POLL_S)


async def read_leases(site):
    rows = await site.scan_rows(leases.PREFIX)
    lease_rows = [codecs.unpack(row.value, leases.LeaseRow) for row in rows]
    return {lease.pool: lease for lease in lease_rows if lease.holder}


async def read_hosts(site):
    return {
        host.row.worker: host.row for host in map(hosts.decode, await site.scan_rows(hosts.PREFIX))
    }


@behave.then("both leases are held and the {count:d} workers are enrolled")
def check_held(context, count):
    site = context.deployment

    async def are_held():
        return len(await read_leases(site)) == 2 and len(await read_hosts(site)) == count

    context.run(wait_for(are_held))


@behave.when('the holder of pool "{pool}" is paused until the other entry took its lease')
def pause_holder(context, pool):
    site = context.deployment

    async def pause():
        context.before = (await read_leases(site))[pool]
        holder = site.entries[context.before.holder]
        holder.send_signal(signal.SIGSTOP)
        try:

            async def get_successor():
                lease = (await read_leases(site)).get(pool)
                return lease if lease and lease.holder != context.before.holder else None

            context.after = await wait_for(get_successor)
        finally:
            holder.send_signal(signal.SIGCONT)

    context.run(pause())


@behave.then("the paused holder wakes up and the other one keeps the lease")
def check_kept(context):
    site = context.deployment
    assert context.after.epoch > context.before.epoch, (context.before, context.after)

    async def is_renewed():
        lease = (await read_leases(site))["a"]
        assert lease.epoch == context.after.epoch, (lease, context.after)
        return lease.beat >= context.after.beat + 2

    context.run(wait_for(is_renewed))


@behave.when('a worker of pool "{pool}" becomes due for maintenance')
def make_due(context, pool):
    site = context.deployment

    async def write():
        rows = await read_hosts(site)
        context.due = min(worker for worker, row in rows.items() if row.pool == pool)
        row = msgspec.structs.replace(rows[context.due], maintained_at_s=0.0)
        await site.write_row(hosts.encode(row))

    context.run(write())


@behave.then("it is drained, started again and counted as maintained")
def check_maintained(context):
    site = context.deployment
    steps = set()

    async def is_maintained():
        row = (await read_hosts(site))[context.due]
        steps.add(row.step)
        return row.step is hosts.HostStep.SERVING and row.maintained_at_s > 0.0

    context.run(wait_for(is_maintained))
    assert {hosts.HostStep.DRAINING, hosts.HostStep.STARTING} <= steps, steps


@behave.then("its holder explains the drain and shows its pools and budgets")
def check_explained(context):
    site = context.deployment

    async def ask():
        holder = (await read_leases(site))["a"].holder
        link = client.Client("127.0.0.1", site.ports[holder].operators)
        explained = await link.request("GET", f"/explain?name={context.due}")
        status = await link.request("GET", "/status")
        link.close()
        return json.loads(explained.body), json.loads(status.body)

    explained, status = context.run(ask())
    kinds = {decision["kind"] for decision in explained["decisions"]}
    assert "drain" in kinds, explained
    shown = {pool["pool"]: pool for pool in status["pools"]}
    assert [budget["service"] for budget in shown["a"]["budgets"]] == ["a"], status
