"""Steps that validate the declaration sets of the examples, unchanged and with faults."""

import pathlib

import behave
from nutmegshelf import ids, platform, validation


def _make_minion(service, number, state):
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


def _validate(context):
    active = getattr(context, "active", None)
    fleet = getattr(context, "fleet", None)
    context.declared, context.faults = validation.validate(context.texts, active, fleet)


@behave.given('the declarations of "{example}"')
def read_example(context, example):
    folder = pathlib.Path("examples", example)
    context.texts = {path.name: path.read_text() for path in folder.glob("*.toml")}


@behave.given('these are in force with {live:d} live minions of "{service}"')
def set_active(context, live, service):
    context.active, faults = validation.validate(context.texts)
    assert not faults
    states = [platform.HostState.LIVE] * live + [platform.HostState.LEAVING] * (8 - live)
    minions = tuple(_make_minion(service, number, state) for number, state in enumerate(states))
    context.fleet = platform.FleetList(revision=1, minions=minions)


@behave.when("the set is checked")
def check_set(context):
    _validate(context)


@behave.when('"{file}" has "{old}" changed into "{new}" and the set is checked')
def check_changed(context, file, old, new):
    _change(context.texts, file, old, new)
    _validate(context)


@behave.when("all of these are changed and the set is checked")
def check_all_changed(context):
    for row in context.table:
        _change(context.texts, row["file"], row["old"], row["new"])
    _validate(context)


@behave.then("the set has no fault")
def check_no_fault(context):
    assert not context.faults, context.faults


@behave.then("the set has {count:d} faults")
def check_fault_count(context, count):
    assert len(context.faults) == count, context.faults


@behave.then(
    "it declares {services:d} services, {pools:d} pools, {budgets:d} budgets "
    "and {maintenance:d} maintenance plans"
)
def check_declared_counts(context, services, pools, budgets, maintenance):
    declared = context.declared
    kinds = (declared.services, declared.pools, declared.budgets, declared.maintenance)
    assert tuple(map(len, kinds)) == (services, pools, budgets, maintenance)
    assert declared.jobs and declared.teams


@behave.then('the only fault is "{text}"')
def check_only_fault(context, text):
    lines = [str(fault) for fault in context.faults]
    assert lines == [text], "\n".join(lines)


@behave.then("the faults are exactly")
def check_all_faults(context):
    actual = sorted((fault.file, fault.field) for fault in context.faults)
    expected = sorted((row["file"], row["field"]) for row in context.table)
    assert actual == expected, "\n".join(str(fault) for fault in context.faults)
