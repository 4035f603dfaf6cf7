"""Let hypothesis make histories of requests, faults and publishes, and check the promises."""

import asyncio
import contextlib

import hypothesis
import hypothesis.stateful
from hypothesis import strategies
from nutmegshelf_standins import caller, network, platform as platform_standin

from features import hosts
from features.faults import injection

_MINIONS = 4
_ENTRIES = 2
_MAX_ENTRIES = 4
_SETTLE_S = 30.0
_STEPS = 14
_SEED = 7

_entries = strategies.integers(0, _MAX_ENTRIES - 1)
_minions = strategies.integers(0, _MINIONS - 1)
_waits_s = strategies.sampled_from([0.01, 0.2, 1.5, 6.0])
_platform_faults = strategies.sampled_from(
    [
        platform_standin.Faults(),
        platform_standin.Faults(down=True),
        platform_standin.Faults(delay_s=1.0),
        platform_standin.Faults(lose_answers=True),
    ]
)


class History(hypothesis.stateful.RuleBasedStateMachine):
    """Disturb running entries step by step; the promises hold after each step."""

    def __init__(self):
        super().__init__()
        self._stack = contextlib.ExitStack()
        made = hosts.hosts(_SEED, minions=_MINIONS)
        self.site, self.run = self._stack.enter_context(made)
        self.run(self.site.start(_ENTRIES))
        self.pending = []
        self.frozen = set()
        self.dead = set()
        self.versions = {}
        self.calls = 0
        self.publishes = {}

    def _entry(self, number):
        names = sorted(self.site.entries)
        return names[number % len(names)]

    @hypothesis.stateful.rule(number=_entries, method=strategies.sampled_from(["GET", "POST"]))
    def begin_call(self, number, method):
        """Send a request and go on without its answer."""
        self.calls += 1
        self._begin(self._entry(number), f"call-{self.calls}", method, None)

    @hypothesis.stateful.rule(number=_entries, key=strategies.integers(0, 1))
    def begin_keyed_call(self, number, key):
        """Send a request with a key that others may use too."""
        self._begin(self._entry(number), f"keyed-{key}", "POST", f"key-{key}")

    def _begin(self, entry, token, method, key):
        async def begin():
            with network.on_host("caller"):
                work = self.site.call(token, entry, method=method, key=key, work_ms=100)
                self.pending.append(asyncio.create_task(work))

        self.run(begin())

    @hypothesis.stateful.rule(wait_s=_waits_s)
    def wait(self, wait_s):
        """Let time pass."""
        self.run(asyncio.sleep(wait_s))

    @hypothesis.stateful.precondition(lambda self: len(self.dead) < _ENTRIES - 1)
    @hypothesis.stateful.rule(number=_entries)
    def kill_entry(self, number):
        """Kill an entry."""
        name = self._entry(number)
        self.site.loop.kill(name)
        self.dead.add(name)

    @hypothesis.stateful.precondition(lambda self: len(self.site.entries) < _MAX_ENTRIES)
    @hypothesis.stateful.rule()
    def replace_entry(self):
        """Start another entry, whatever state the platform is in."""
        name = f"entry-{len(self.site.entries)}"

        async def start():
            self.pending.append(asyncio.create_task(self._start(name)))
            await asyncio.sleep(0.1)

        self.run(start())

    async def _start(self, name):
        # An entry that finds no platform for long stays unready, as it should.
        with contextlib.suppress(TimeoutError):
            await self.site.start_entry(name)

    @hypothesis.stateful.rule(number=_entries, how_long_s=_waits_s)
    def pause_entry(self, number, how_long_s):
        """Stop an entry for a while, as SIGSTOP and SIGCONT would."""
        name = self._entry(number)
        if name in self.dead:
            return
        self.site.loop.pause(name)
        self.run(asyncio.sleep(how_long_s))
        self.site.loop.resume(name)

    @hypothesis.stateful.rule(number=_minions)
    def kill_minion(self, number):
        """Kill a minion; one always stays."""
        if number:
            self.site.loop.kill(f"minion-{number}")

    @hypothesis.stateful.rule(
        number=_entries, far=strategies.sampled_from(["platform", "minion-0"])
    )
    def cut(self, number, far):
        """Cut an entry from the platform or from a minion."""
        self.site.network.partition(self._entry(number), far)

    @hypothesis.stateful.rule(faults=_platform_faults)
    def disturb_platform(self, faults):
        """Let the platform misbehave, or behave again."""
        self.site.platform.faults = faults

    @hypothesis.stateful.rule()
    def heal(self):
        """Heal the network and the platform."""
        self.site.network.heal()
        self.site.platform.faults = platform_standin.Faults()

    @hypothesis.stateful.rule(number=_entries, publish=strategies.integers(0, 2))
    def publish(self, number, publish):
        """Publish at an entry, perhaps again."""

        async def send():
            with contextlib.suppress(Exception):
                answer = await injection.publish(
                    self.site, self._entry(number), f"publish-{publish}", queue_limit=100 + publish
                )
                if answer.status == 200:
                    self._note_publish(publish, answer.body)

        self.run(send())

    def _note_publish(self, publish, body):
        version = injection.decode_published_version(body)
        known = self.publishes.setdefault(publish, version)
        assert known == version, f"publish {publish} was accepted as {known} and {version}"

    @hypothesis.stateful.invariant()
    def promises_hold(self):
        """Check what must hold at any moment."""
        for token, runs in self.site.count_runs().items():
            assert runs <= 1 or self._is_idempotent(token), f"{token} ran {runs} times"
        for done in self.site.calls.call_records:
            assert done.result is not caller.Result.WRONG_BODY, done
        for name in self.site.entries:
            version = self.site.get_version(name)
            assert version >= self.versions.get(name, 0), f"{name} went back to {version}"
            self.versions[name] = version

    def _is_idempotent(self, token):
        calls = [done.call for done in self.site.calls.call_records if done.call.token == token]
        return token.startswith("call") and (not calls or calls[0].method == "GET")

    def teardown(self):
        """Heal all, let all finish, and check what must hold in the end."""
        try:
            self.heal()
            self.run(asyncio.sleep(_SETTLE_S))
            self.run(_gather(self.pending))
            self.promises_hold()
            verdict = self.site.verdict()
            assert not verdict.false_refusals, str(verdict)
            self._check_service()
        finally:
            self._stack.close()

    def _check_service(self):
        live = [name for name in self.site.entries if name not in self.dead]
        versions = {self.site.get_version(name) for name in live}
        assert len(versions) == 1, f"versions {versions} after all was healed"
        for name in live:
            done = self.run(self.site.call(f"last-{name}", name))
            assert done.result is caller.Result.COMPLETE, f"{name}: {done}"


async def _gather(tasks):
    await asyncio.gather(*tasks)


def check(seed, examples):
    """Run histories; raises with the shortest one that breaks a promise."""
    machine = hypothesis.seed(seed)(History)
    hypothesis.stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=_STEPS,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
