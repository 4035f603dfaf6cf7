"""Replay loads beyond the capacity of pools, and check how many jobs end in time."""

import behave

from features import loadreplay

SEED = 1
POOLS = "abcd"


@behave.given("a pool of {hosts:d} hosts and no spare hosts")
def make_pool(context, hosts):
    context.hosts = {POOLS[0]: hosts}


@behave.given("{pools:d} pools of {hosts:d} hosts and {spare:d} spare hosts")
def make_pools(context, pools, hosts, spare):
    context.hosts = dict.fromkeys(POOLS[:pools], hosts) | {loadreplay.SPARE: spare}


@behave.given(
    "jobs for {hosts:d} hosts arrive for {seconds:g} s, with {factor:g} times their run time as"
    " estimate"
)
def add_overload(context, hosts, seconds, factor):
    context.loads = [loadreplay.Load(POOLS[0], hosts, 0.0, seconds, estimate_factor=factor)]


@behave.given(
    "jobs for {before:d} hosts arrive from 0 s to {begin:g} s, for {burst:d} hosts to {end:g} s"
    " and for {after:d} hosts to {last:g} s"
)
def add_burst(context, before, begin, burst, end, after, last):
    context.loads = [
        loadreplay.Load(POOLS[0], before, 0.0, begin),
        loadreplay.Load(POOLS[0], burst, begin, end),
        loadreplay.Load(POOLS[0], after, end, last),
    ]


@behave.given(
    "jobs for {flood:d} hosts arrive in the first pool for {flood_s:g} s, and for {calm:d} hosts in"
    " the others for {calm_s:g} s"
)
def add_flood(context, flood, flood_s, calm, calm_s):
    begins_s = 2.0
    context.loads = [loadreplay.Load(POOLS[0], flood, begins_s, begins_s + flood_s)]
    context.loads += [
        loadreplay.Load(pool, calm, begins_s, begins_s + calm_s) for pool in POOLS[1:]
    ]


@behave.given("jobs for {hosts:d} hosts arrive in each pool in turn for {seconds:g} s")
def add_turns(context, hosts, seconds):
    context.loads = [
        loadreplay.Load(
            pool, hosts if turn == number else 0.3, turn * seconds, (turn + 1) * seconds
        )
        for turn in range(len(POOLS))
        for number, pool in enumerate(POOLS)
    ]


@behave.when("the load is replayed for {seconds:g} s")
def replay(context, seconds):
    print(f"load replay, seed {SEED}")
    context.replay = loadreplay.LoadReplay(context.hosts, context.loads, SEED)
    context.replay.run(seconds)


@behave.then("at least {share:g} of the jobs end in time")
@behave.then("at least {share:g} of the jobs of each pool end in time")
def check_shares(context, share):
    shares = context.replay.get_shares()
    assert min(shares.values()) >= share, shares


@behave.then("at least {share:g} of the jobs of each calm pool end in time")
def check_calm_shares(context, share):
    shares = context.replay.get_shares()
    assert min(shares[pool] for pool in POOLS[1:]) >= share, shares


@behave.then("every job has ended")
def check_ended(context):
    assert not context.replay.count_unfinished(), context.replay.count_unfinished()
