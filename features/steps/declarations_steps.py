"""Check declaration sets of the examples, whole and with faults put in."""

import pathlib

import behave
from nutmegshelf import ids, platform, validation


def _minion(service, number, state):
    return platform.MinionRecord(
        minion=ids.MinionId(f"{service}-{number}"),
        service=ids.ServiceName(service),
        host="127.0.0.1",
        port=1,
        zone=ids.ZoneName("z"),
        rack=ids.RackName("r"),
        worker=ids.WorkerId(f"w{number}"),
        state=state,
    )


def _change(texts, file, old, new):
    assert old in texts[file], (file, old)
    texts[file] = texts[file].replace(old, new, 1)


def _check(context):
    in_force = getattr(context, "in_force", None)
    fleet = getattr(context, "fleet", None)
    context.declared, context.faults = validation.validate(context.texts, in_force, fleet)


@behave.given('the declarations of "{example}"')
def read_example(context, example):
    folder = pathlib.Path("examples", example)
    context.texts = {path.name: path.read_text() for path in folder.glob("*.toml")}


@behave.given('these are in force with {live:d} live minions of "{service}"')
def put_in_force(context, live, service):
    context.in_force, faults = validation.validate(context.texts)
    assert not faults
    states = [platform.HostState.LIVE] * live + [platform.HostState.LEAVING] * (8 - live)
    minions = tuple(_minion(service, number, state) for number, state in enumerate(states))
    context.fleet = platform.FleetList(revision=1, minions=minions)


@behave.when("the set is checked")
def check_set(context):
    _check(context)


@behave.when('"{file}" has "{old}" changed into "{new}" and the set is checked')
def check_changed(context, file, old, new):
    _change(context.texts, file, old, new)
    _check(context)


@behave.when("all of these are changed and the set is checked")
def check_all_changed(context):
    for row in context.table:
        _change(context.texts, row["file"], row["old"], row["new"])
    _check(context)


@behave.then("the set has no fault")
def no_fault(context):
    assert not context.faults, context.faults


@behave.then("the set has {count:d} faults")
def count_faults(context, count):
    assert len(context.faults) == count, context.faults


@behave.then(
    "it declares {services:d} services, {pools:d} pools, {budgets:d} budgets "
    "and {maintenance:d} maintenance plans"
)
def count_declared(context, services, pools, budgets, maintenance):
    found = context.declared
    counts = (found.services, found.pools, found.budgets, found.maintenance)
    assert tuple(map(len, counts)) == (services, pools, budgets, maintenance)
    assert found.jobs and found.teams


@behave.then('the only fault is "{text}"')
def one_fault(context, text):
    found = [str(fault) for fault in context.faults]
    assert found == [text], "\n".join(found)


@behave.then("the faults are exactly")
def all_faults(context):
    found = sorted((fault.file, fault.field) for fault in context.faults)
    wanted = sorted((row["file"], row["field"]) for row in context.table)
    assert found == wanted, "\n".join(str(fault) for fault in context.faults)
