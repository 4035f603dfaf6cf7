"""Test idempotency keys under faults of the table and of the entries that hold claims."""

import asyncio
import collections
import contextlib
import functools

import behave
from nutmegshelf import claims, exceptions, ids, platform
from nutmegshelf_entry import claim_sweeper, claimant
from nutmegshelf_standins import clock, network

from features import fakes

_SERVICE = ids.ServiceName("payouts")
_HOUR_S = 3600.0


class KeyedRequests:
    """Serve keyed requests through claimants; running a request only counts it."""

    def __init__(self, faults=()):
        self.rows = fakes.FaultyStore()
        self.rows.faults = list(faults)
        self.runs = collections.Counter()
        self.outcomes = []
        self.age_s = 0.0
        self.work_s = lambda: 0.03

    def wall_s(self):
        return asyncio.get_running_loop().time() + self.age_s

    @contextlib.asynccontextmanager
    async def claimants(self, count):
        claimers = [
            claimant.Claimant(self.rows, ids.EntryId(f"e{number}"), self.wall_s)
            for number in range(count)
        ]
        tasks = [asyncio.ensure_future(claimer.run()) for claimer in claimers]
        yield claimers
        for claimer in claimers:
            await claimer.wait_settled()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(self, keys, key, end="answered", body=b"b", timeout_s=5.0):
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        fingerprint = claims.make_fingerprint("POST", "/runs", body)
        try:
            claimed = await keys.claim(_SERVICE, key, fingerprint, deadline_s)
        except exceptions.RequestError as error:
            self.outcomes.append(error.kind.value)
            return error
        if isinstance(claimed, claims.StoredAnswer):
            self.outcomes.append("answer" if claimed.body == _answer(key, end).body else "wrong")
            return None
        if end == "refused":
            keys.release(claimed)
            self.outcomes.append("refused")
            return None
        self.runs[key] += 1
        await asyncio.sleep(self.work_s())
        if end != "forgotten":
            keys.settle(claimed, None if end == "cut" else _answer(key, end))
        self.outcomes.append("ran")
        return None


def _answer(key, end):
    size = 50_000 if end == "large" else 5
    return claims.StoredAnswer(status=201, headers=((b"x-a", b"1"),), body=key.encode() * size)


def _run_on_paused_clock(test):
    """Run the coroutine of a step on its own paused clock."""

    @functools.wraps(test)
    def run(context, *given, **named):
        clock.run(test(context, *given, **named))

    return run


@behave.given('two claimants on a table with the commit faults "{faults}"')
def start_faulty(context, faults):
    context.keys = KeyedRequests(faults.split("; "))


@behave.given("{count:d} claimants on a table")
def start_plain(context, count):
    context.keys = KeyedRequests()
    context.count = count


@behave.when("one claims a key for a request that is {end}, and the other repeats it")
@_run_on_paused_clock
async def claim_and_repeat(context, end):
    keys = context.keys
    async with keys.claimants(2) as (first, second):
        await keys.serve(first, "k", end)
        # Every late or doubled write has been applied by then; a repeat after a refusal runs.
        await asyncio.sleep(2.0)
        if end == "garbled":
            # A later version may write rows that this one can't decode.
            row_key = claims.make_row_key(_SERVICE, "k")
            write = platform.Write(row_key, b"another form")
            keys.rows.store.commit(platform.Transaction(writes=(write,)))
        timeout_s = 20.0 if end == "forgotten" else 5.0
        body = b"another" if end == "reused" else b"b"
        repeat = "answered" if end in ("refused", "forgotten", "cut") else end
        await keys.serve(second, "k", repeat, body, timeout_s)


@behave.then('the claims ended as "{first}" and "{repeat}"')
def check_ends(context, first, repeat):
    assert context.keys.outcomes == [first, repeat], context.keys.outcomes


@behave.then("no keyed request ran twice")
def check_once(context):
    assert context.keys.runs, "nothing ran"
    assert max(context.keys.runs.values()) == 1, context.keys.runs


@behave.when("they claim the same keys in {rounds:d} rounds of faults and cancelled callers")
@_run_on_paused_clock
async def race(context, rounds):
    keys, rng = context.keys, context.rng
    kinds = [
        *("fine", "slow", "down", "doubled"),
        *("lost after the write", "lost without the write", "lost, written late"),
    ]

    async def caller(claimer, key):
        await asyncio.sleep(rng.uniform(0, 0.05))
        end = rng.choice(["answered", "answered", "refused", "cut"])
        serving = asyncio.ensure_future(
            keys.serve(claimer, key, end, timeout_s=rng.uniform(0.1, 5))
        )
        if rng.random() < 0.2:
            await asyncio.sleep(rng.uniform(0, 0.3))
            serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    async with keys.claimants(context.count) as claimers:
        for number in range(rounds):
            keys.rows.faults = [rng.choice(kinds) for _ in range(4)]
            key = f"k{number}"
            await asyncio.gather(*(caller(claimer, key) for claimer in claimers for _ in range(3)))
        keys.rows.faults = []


@behave.when("{callers:d} callers claim and settle one key after another for {time_s:g} s")
@_run_on_paused_clock
async def load_table(context, callers, time_s):
    keys = context.keys
    # Uneven work keeps the callers from synchronizing, which would hide a missing rate limit.
    keys.work_s = lambda: context.rng.uniform(0.01, 0.05)

    async def caller(claimer, number):
        step = 0
        while asyncio.get_running_loop().time() < time_s:
            step += 1
            await keys.serve(claimer, f"c{number}-{step}")

    async with keys.claimants(context.count) as claimers:
        await asyncio.gather(*(caller(claimers[n % len(claimers)], n) for n in range(callers)))
    context.commits_per_s = keys.rows.commit_count / time_s


@behave.then("the table received at most {limit:g} commits a second for {least:g} claims a second")
def check_pace(context, limit, least):
    claims_per_s = sum(context.keys.runs.values()) / 5
    assert context.commits_per_s <= limit, context.commits_per_s
    assert claims_per_s >= least, claims_per_s


@behave.when("{count:d} keys are claimed together with one that another entry holds")
@_run_on_paused_clock
async def claim_group(context, count):
    keys = context.keys
    async with keys.claimants(2) as (first, second):
        await keys.serve(second, "k0", "cut")
        await second.wait_settled()
        before = keys.rows.commit_count
        fingerprint = claims.make_fingerprint("POST", "/runs", b"b")
        results = await asyncio.gather(
            *(first.claim(_SERVICE, f"k{number}", fingerprint, 5.0) for number in range(count)),
            return_exceptions=True,
        )
        context.group_commits = keys.rows.commit_count - before
        context.claim_results = results
        # A settlement goes on even if a claim in the same commit has a conflict.
        for number, claimed in enumerate(results[1:], 1):
            first.settle(claimed, _answer(f"k{number}", "answered"))
        await keys.serve(first, "k0")
    context.group_rows = [
        claims.codecs.unpack(row.value, claims.ClaimRow).state
        for key, row in keys.rows.store.rows.items()
        if key.startswith(claims.PREFIX)
    ]


@behave.then("all but that one were claimed, in at most {commits:d} commits")
def check_group(context, commits):
    claimed = [result for result in context.claim_results if isinstance(result, claimant.Claim)]
    assert len(claimed) == len(context.claim_results) - 1, context.claim_results
    assert context.claim_results[0].kind is exceptions.ErrorKind.KEY_UNSETTLED
    assert context.group_commits <= commits, context.group_commits


@behave.then("all of those were settled")
def check_group_settled(context):
    states = collections.Counter(context.group_rows)
    assert states == {
        claims.State.ANSWERED: len(context.claim_results) - 1,
        claims.State.UNSETTLED: 1,
    }


@behave.when("the table goes down and {count:d} keys are claimed one after another")
@_run_on_paused_clock
async def claim_down(context, count):
    keys = context.keys
    async with keys.claimants(1) as (claimer,):
        keys.rows.permanent_fault = "down"
        loop = asyncio.get_running_loop()
        context.refusals = [await keys.serve(claimer, f"k{number}") for number in range(count)]
        context.took_s = loop.time()
        keys.rows.permanent_fault = None
        await asyncio.sleep(context.refusals[-1].retry_after_s)
        await keys.serve(claimer, "k0")


@behave.then('all were refused "{kind}" within {limit_s:g} s, with a time to retry')
def check_refusals(context, kind, limit_s):
    assert {error.kind.value for error in context.refusals} == {kind}
    assert all(
        error.retry_after_s and error.outcome.value == "not-run" for error in context.refusals
    )
    assert context.took_s <= limit_s, context.took_s


@behave.then("once the table is back a key can be claimed after that time")
def check_back(context):
    assert context.keys.outcomes[-1] == "ran", context.keys.outcomes[-1]


@behave.when("a repeat waits on a table whose reads are stale")
@_run_on_paused_clock
async def read_stale(context):
    keys = context.keys
    keys.rows.stale_store = fakes.store.Store()
    async with keys.claimants(2) as (first, second):
        await asyncio.gather(keys.serve(first, "k"), keys.serve(second, "k"))
    assert sorted(keys.outcomes) == ["answer", "ran"], keys.outcomes


@behave.when("{settled:d} settled and {unsettled:d} unsettled claims age")
@_run_on_paused_clock
async def grow_old(context, settled, unsettled):
    keys = context.keys
    sweeper = claim_sweeper.ClaimSweeper(keys.rows, context.rng, keys.wall_s)
    async with keys.claimants(1) as (claimer,):
        ends = ["large"] * settled + ["cut"] * unsettled
        await asyncio.gather(*(keys.serve(claimer, f"k{n}", end) for n, end in enumerate(ends)))
    context.remaining = []
    for age_s in (20 * _HOUR_S, 26 * _HOUR_S, 29 * 24 * _HOUR_S, 32 * 24 * _HOUR_S):
        keys.age_s = age_s
        while await sweeper.sweep_once():
            pass
        claim_keys = [key for key in keys.rows.store.rows if key.startswith(claims.PREFIX)]
        context.remaining.append((len(claim_keys), len(keys.rows.store.objects)))
    context.remaining_rows = dict(keys.rows.store.rows)
    context.claim_counts = (settled, unsettled)


@behave.then("after a day only the unsettled ones are left")
def check_day(context):
    settled, unsettled = context.claim_counts
    assert context.remaining[0] == (settled + unsettled, settled), context.remaining
    assert context.remaining[1] == (unsettled, 0) and context.remaining[2] == (
        unsettled,
        0,
    ), context.remaining


@behave.then("after a month none is left")
def check_month(context):
    assert context.remaining[3] == (0, 0) and not context.remaining_rows, (
        context.remaining,
        context.remaining_rows,
    )


@behave.when("a key is claimed again between the sweeper's read and its commit")
@_run_on_paused_clock
async def sweep_race(context):
    keys = context.keys
    async with keys.claimants(1) as (claimer,):
        await keys.serve(claimer, "k", "refused")
        await claimer.wait_settled()
        keys.age_s = 26 * _HOUR_S
        original_commit = keys.rows.commit

        async def commit_after_claim(transaction):
            keys.rows.commit = original_commit
            await keys.serve(claimer, "k", "cut")
            await claimer.wait_settled()
            return await original_commit(transaction)

        keys.rows.commit = commit_after_claim
        await claim_sweeper.ClaimSweeper(keys.rows, context.rng, keys.wall_s).sweep_once()


@behave.then("the new claim is still in the table")
def check_stands(context):
    row = context.keys.rows.store.read(claims.make_row_key(_SERVICE, "k"))
    assert row.version, "the new claim was deleted"
    assert context.keys.outcomes == ["refused", "ran"], context.keys.outcomes


_DELIVERIES = {
    # Source, target, bytes to match, number of the matching delivery, whether it arrives.
    "its claim is lost": ("entry-0", "platform", b"claims/", 1, False),
    "its claim is written": ("entry-0", "platform", b"claims/", 1, True),
    "its claim is confirmed": ("platform", "entry-0", b"claims/", 1, True),
    "its request is sent": ("entry-0", "minion", b"POST", 1, True),
    "its minion answers": ("minion", "entry-0", b"200", 1, True),
    "its settlement is lost": ("entry-0", "platform", b"claims/", 2, False),
    "its settlement is written": ("entry-0", "platform", b"claims/", 2, True),
    "its answer is given": ("entry-0", "outside", b"200", 1, True),
}


@behave.when('"{name}" is {fault} as {step}, and the caller repeats its key at "{other}"')
def disturb_holder(context, name, fault, step, other):
    source, target, pattern, occurrence, arrives = _DELIVERIES[step]
    counts = collections.Counter()
    loop = context.hosts.loop

    def tap(delivery):
        ends = (delivery.source, delivery.target)
        if fault == "killed" and counts["matching"] >= occurrence and name in ends:
            return network.DeliveryOutcome(is_delivered=False)
        is_between = delivery.source.startswith(source) and delivery.target.startswith(target)
        if not is_between or delivery.data is None or pattern not in delivery.data:
            return network.DeliveryOutcome()
        counts["matching"] += 1
        if counts["matching"] == occurrence:
            # The matching delivery still has its effect, but nothing after it does.
            if fault == "killed":
                loop.call_later(0.0005, loop.kill, name)
            else:
                loop.call_soon(loop.pause, name)
        return network.DeliveryOutcome(is_delivered=arrives or counts["matching"] != occurrence)

    async def main():
        await asyncio.sleep(1.0)
        context.hosts.network.interceptor = tap
        await context.hosts.call("t", entry=name, key="k", timeout_ms=2000)
        async with asyncio.timeout(5):
            while counts["matching"] < occurrence:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        context.hosts.network.interceptor = None
        context.repeat = await context.hosts.call("t", entry=other, key="k", timeout_ms=9000)
        context.hosts.loop.resume(name) if fault == "frozen" else None
        await asyncio.sleep(10.0)
        await context.hosts.call("t", entry=other, key="k", timeout_ms=9000)

    context.run_hosts(main())


@behave.then('the repeat ended as "{result}"')
def check_repeat(context, result):
    assert context.repeat.result.value == result, context.hosts.calls.call_records


@behave.then("no keyed token ran twice")
def check_token_runs(context):
    assert context.hosts.count_runs()["t"] <= 1, context.hosts.count_runs()
    assert context.hosts.verdict().is_consistent or context.hosts.calls.call_records[
        0
    ].result.value in (
        "silent",
        "broken",
    ), context.hosts.calls.call_records


@behave.when("the faked platform goes down")
def stop_platform(context):
    context.hosts.platform.faults.down = True


@behave.then('a keyed POST is refused "{kind}" and an unkeyed POST and a GET are whole')
def check_outage(context, kind):
    async def main():
        keyed = await context.hosts.call("keyed", key="k")
        assert (keyed.result.value, keyed.error) == ("not-run", kind), keyed
        plain = [await context.hosts.call(f"p{m}", method=m) for m in ("POST", "GET")]
        assert {done.result.value for done in plain} == {"whole"}, plain

    context.run_hosts(main())
    assert "keyed" not in context.hosts.count_runs()
