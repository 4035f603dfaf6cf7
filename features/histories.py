"""Stateful property tests: random sequences of requests, faults and publishes.

A failure shows as a guarantee that does not hold after some sequence: a request that ran twice, a
wrong body, a configuration version that decreased, or a false refusal. Hypothesis shrinks the
sequence to the shortest one that still fails.
"""

import asyncio
import contextlib

import hypothesis
import hypothesis.stateful
from hypothesis import strategies
from nutmegshelf_standins import caller, network
from nutmegshelf_standins import platform as platform_standin

from features import hosts
from features.faults import injection

_MINIONS = 4
_ENTRIES = 2
_MAX_ENTRIES = 4
_RECOVERY_S = 30.0
_MAX_STEPS = 14
_SEED = 7

_entries = strategies.integers(0, _MAX_ENTRIES - 1)
_minions = strategies.integers(0, _MINIONS - 1)
_durations_s = strategies.sampled_from([0.01, 0.2, 1.5, 6.0])
_platform_faults = strategies.sampled_from(
    [
        platform_standin.Faults(),
        platform_standin.Faults(down=True),
        platform_standin.Faults(delay_s=1.0),
        platform_standin.Faults(lose_answers=True),
    ]
)


class History(hypothesis.stateful.RuleBasedStateMachine):
    """A state machine that sends requests, injects faults and checks the guarantees."""

    def __init__(self):
        super().__init__()
        self._stack = contextlib.ExitStack()
        hosts_context = hosts.hosts(_SEED, minions=_MINIONS)
        self.site, self.run = self._stack.enter_context(hosts_context)
        self.run(self.site.start(_ENTRIES))
        self.running_tasks = []
        self.paused_entries = set()
        self.dead_entries = set()
        self.entry_versions = {}
        self.call_count = 0
        self.published_versions = {}

    def _entry(self, number):
        names = sorted(self.site.entries)
        return names[number % len(names)]

    @hypothesis.stateful.rule(number=_entries, method=strategies.sampled_from(["GET", "POST"]))
    def begin_call(self, number, method):
        """Send a request without waiting for its response."""
        self.call_count += 1
        self._begin(self._entry(number), f"call-{self.call_count}", method, None)

    @hypothesis.stateful.rule(number=_entries, key=strategies.integers(0, 1))
    def begin_keyed_call(self, number, key):
        """Send a request with an idempotency key that other requests share."""
        self._begin(self._entry(number), f"keyed-{key}", "POST", f"key-{key}")

    def _begin(self, entry, token, method, key):
        async def begin():
            with network.on_host("caller"):
                call = self.site.call(token, entry, method=method, key=key, work_ms=100)
                self.running_tasks.append(asyncio.create_task(call))

        self.run(begin())

    @hypothesis.stateful.rule(wait_s=_durations_s)
    def wait(self, wait_s):
        """Advance the simulated time."""
        self.run(asyncio.sleep(wait_s))

    @hypothesis.stateful.precondition(lambda self: len(self.dead_entries) < _ENTRIES - 1)
    @hypothesis.stateful.rule(number=_entries)
    def kill_entry(self, number):
        """Kill an entry, as SIGKILL would."""
        name = self._entry(number)
        self.site.loop.kill(name)
        self.dead_entries.add(name)

    @hypothesis.stateful.precondition(lambda self: len(self.site.entries) < _MAX_ENTRIES)
    @hypothesis.stateful.rule()
    def replace_entry(self):
        """Start another entry, also while the platform has faults."""
        name = f"entry-{len(self.site.entries)}"

        async def start():
            self.running_tasks.append(asyncio.create_task(self._start(name)))
            await asyncio.sleep(0.1)

        self.run(start())

    async def _start(self, name):
        # Without the platform an entry does not become ready, and the wait for it times out.
        with contextlib.suppress(TimeoutError):
            await self.site.start_entry(name)

    @hypothesis.stateful.rule(number=_entries, duration_s=_durations_s)
    def pause_entry(self, number, duration_s):
        """Pause an entry for a time, as SIGSTOP and SIGCONT would."""
        name = self._entry(number)
        if name in self.dead_entries:
            return
        self.site.loop.pause(name)
        self.run(asyncio.sleep(duration_s))
        self.site.loop.resume(name)

    @hypothesis.stateful.rule(number=_minions)
    def kill_minion(self, number):
        """Kill a minion other than the first."""
        if number:
            self.site.loop.kill(f"minion-{number}")

    @hypothesis.stateful.rule(
        number=_entries, host=strategies.sampled_from(["platform", "minion-0"])
    )
    def cut(self, number, host):
        """Partition an entry from the platform or from a minion."""
        self.site.network.partition(self._entry(number), host)

    @hypothesis.stateful.rule(faults=_platform_faults)
    def disturb_platform(self, faults):
        """Replace the injected faults of the platform, possibly by none."""
        self.site.platform.faults = faults

    @hypothesis.stateful.rule()
    def heal(self):
        """Remove all partitions and all faults of the platform."""
        self.site.network.heal()
        self.site.platform.faults = platform_standin.Faults()

    @hypothesis.stateful.rule(number=_entries, publish=strategies.integers(0, 2))
    def publish(self, number, publish):
        """Publish a change at an entry, possibly again with the same publish id."""

        async def send():
            with contextlib.suppress(Exception):
                response = await injection.publish(
                    self.site, self._entry(number), f"publish-{publish}", queue_limit=100 + publish
                )
                if response.status == 200:
                    self._check_publish(publish, response.body)

        self.run(send())

    def _check_publish(self, publish, body):
        version = injection.decode_published_version(body)
        first_version = self.published_versions.setdefault(publish, version)
        assert (
            first_version == version
        ), f"publish {publish} was accepted as version {first_version} and as version {version}"

    @hypothesis.stateful.invariant()
    def check_guarantees(self):
        """Check the guarantees that hold at all times."""
        for token, run_count in self.site.count_runs().items():
            assert run_count <= 1 or self._is_idempotent(token), f"{token} ran {run_count} times"
        for record in self.site.calls.call_records:
            assert record.result is not caller.Result.WRONG_BODY, record
        for name in self.site.entries:
            version = self.site.get_version(name)
            assert version >= self.entry_versions.get(
                name, 0
            ), f"the version of {name} decreased to {version}"
            self.entry_versions[name] = version

    def _is_idempotent(self, token):
        calls = [
            record.call for record in self.site.calls.call_records if record.call.token == token
        ]
        return token.startswith("call") and (not calls or calls[0].method == "GET")

    def teardown(self):
        """Remove all faults, await all calls, and check the guarantees of the final state."""
        try:
            self.heal()
            self.run(asyncio.sleep(_RECOVERY_S))
            self.run(_gather(self.running_tasks))
            self.check_guarantees()
            summary = self.site.verdict()
            assert not summary.false_refusals, str(summary)
            self._check_recovery()
        finally:
            self._stack.close()

    def _check_recovery(self):
        live_entries = [name for name in self.site.entries if name not in self.dead_entries]
        versions = {self.site.get_version(name) for name in live_entries}
        assert len(versions) == 1, f"versions {versions} after recovery"
        for name in live_entries:
            record = self.run(self.site.call(f"last-{name}", name))
            assert record.result is caller.Result.COMPLETE, f"{name}: {record}"


async def _gather(tasks):
    await asyncio.gather(*tasks)


def check(seed, examples):
    """Run random histories; raise for the shortest one that violates a guarantee."""
    state_machine = hypothesis.seed(seed)(History)
    hypothesis.stateful.run_state_machine_as_test(
        state_machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=_MAX_STEPS,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
