"""Run operator commands against entries that serve from a thread of their own."""

import asyncio
import contextlib
import io
import json
import pathlib
import random
import tempfile
import threading

import behave
from nutmegshelf import audit, decisions, ids, members, platform
from nutmegshelf_cli import main, publishing
from nutmegshelf_entry import logs, operator_api, settings, telemetry
from nutmegshelf_http import server
from nutmegshelf_standins import process
from typer import testing

from features import entries

_DRAIN_DECISION = decisions.Decision("worker-7", decisions.Action.DRAIN, "maintenance is due", 1.0)


class EntryThread:
    """Entries whose event loop runs in a thread, so that commands can block beside them."""

    def __init__(self, names, token, rng):
        self.token = token
        self.site = entries.Site(rng)
        self.ports = {}
        self.minions = ()
        self.servers = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.run(self._start(names))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def _start(self, names):
        for name in names:
            self.site.start_entry(name)
        for name in names:
            await self._listen(self.site.entries[name], names)

    async def _listen(self, entry, names):
        membership = members.Members(entry.name, 4.0)
        now_s = asyncio.get_running_loop().time()
        for name in names:
            row = members.EntryRow(
                entry=ids.EntryId(name), zone="z", peer_address=name, operator_address="o"
            )
            membership.by_entry[row.entry] = members.Member(row, now_s + 60)
        entry_settings = settings.Settings(
            entry=entry.name,
            zone=ids.ZoneName("z"),
            platform=settings.Platform(host="127.0.0.1", port=1),
            operators=settings.Operators(token=self.token),
        )
        api = operator_api.OperatorApi(
            entry_settings=entry_settings,
            active_configuration=entry.in_force,
            config=entry.config,
            config_publisher=entry.publisher,
            membership=membership,
            metrics=telemetry.Telemetry(0.0),
            audit_log=entry.decisions,
            list_minions=lambda: self.minions,
            fleet_decisions=[_DRAIN_DECISION],
        )
        listener = server.Server(api.handle)
        self.servers.append(listener)
        self.ports[entry.name] = await listener.start("127.0.0.1", 0)

    async def _stop(self):
        await self.site.stop()
        for listener in self.servers:
            await listener.close()

    def close(self):
        self.run(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@behave.given('entries "{names}" whose operator ports require the token "{token}"')
def serve(context, names, token):
    context.served = EntryThread(names.split(), token, random.Random(context.seed))
    context.add_cleanup(context.served.close)
    context.outputs = []


def _run_command(context, command, ports, token):
    words = command.split()
    options = [option for port in ports for option in ("--entry", f"127.0.0.1:{port}")]
    words = [
        str(pathlib.Path("examples", word)) if index == 1 and words[0] in _SET_COMMANDS else word
        for index, word in enumerate(words)
    ]
    if words[0] != "version":
        words += [*options, "--token", token]
    publishing._CONFIRMATION_TIMEOUT_S = 3.0
    context.result = testing.CliRunner().invoke(main.make_app(), words)
    context.outputs.append(context.result.output)


_SET_COMMANDS = {"check", "diff", "publish"}


@behave.when('the command "{command}" is run')
def run_at_two_entries(context, command):
    served = context.served
    _run_command(context, command, [served.ports["e0"], served.ports["e1"]], served.token)


@behave.when('the command "{command}" is run at "{name}"')
def run_at_entry(context, command, name):
    _run_command(context, command, [context.served.ports[name]], context.served.token)


@behave.when('the command "{command}" is run with "{condition}"')
def run_under_condition(context, command, condition):
    served = context.served
    ports, token = list(served.ports.values())[:2], served.token
    match condition:
        case "wrong token":
            token = "wrong"
        case "no token":
            token = ""
        case "table down":
            served.site.platform.is_down = True
        case "dead entries":
            ports = process.find_free_ports(2)
        case "one dead":
            ports = [process.find_free_ports(1)[0], ports[0]]
        case "no entry":
            ports = []
        case "nothing":
            pass
    _run_command(context, command, ports, token)


@behave.when('a publish "{publish_id}" raises the budget of "{service}"')
def raise_budget(context, publish_id, service):
    with tempfile.TemporaryDirectory() as folder:
        for path in pathlib.Path("examples/dorna").glob("*.toml"):
            pathlib.Path(folder, path.name).write_text(path.read_text())
        budgets = pathlib.Path(folder, "budgets.toml")
        low = f'service = "{service}"\nmin_available_fraction = 0.5'
        budgets.write_text(budgets.read_text().replace(low, low.replace("0.5", "0.6")))
        served = context.served
        command = f"publish {folder} --publish-id {publish_id} --json"
        _run_command(context, command, [served.ports["e0"]], served.token)


@behave.when('all minions of "{service}" leave')
def remove_minions(context, service):
    other = "billing" if service != "billing" else "orders"
    context.served.minions = (
        platform.MinionRecord(
            minion="m", service=other, host="h", port=1, zone="z", rack="r", worker="w"
        ),
    )


@behave.given('the table goes down as it accepts a publish of "{name}"')
def lose_table(context, name):
    context.served.site.platform.faults[name, "commit head"] = "down after"


@behave.given('"{name}" ends 0.5 s after it accepts a publish, and "{other}" is cut off')
def end_entry(context, name, other):
    served = context.served

    def end(entry):
        listener = served.servers[list(served.site.entries).index(entry)]
        served.closing = asyncio.ensure_future(listener.close())

    served.site.platform.end_entry = end
    served.site.platform.faults[name, "commit head"] = "ended after"
    cut_off(context, other)


@behave.given('"{name}" ends as a publish of it is accepted')
def kill_entry(context, name):
    context.served.site.platform.faults[name, "commit head"] = "killed after"


@behave.then('it exits with {code:d} and its JSON has the outcome "{outcome}"')
def check_outcome(context, code, outcome):
    assert context.result.exit_code == code, context.result.output
    shown = json.loads(context.result.stdout)
    assert shown["outcome"] == outcome, shown


@behave.when("an invalid set is published")
def publish_invalid(context):
    with tempfile.TemporaryDirectory() as folder:
        pathlib.Path(folder, "pools.toml").write_text("[pools.x]\nworker_memory_gb = 1\n")
        _run_command(
            context, f"publish {folder}", [context.served.ports["e0"]], context.served.token
        )


@behave.when('the entry "{name}" is cut off from the others and the table')
def cut_off(context, name):
    site = context.served.site
    site.platform.partitioned = frozenset({name})
    site.partitions = [frozenset({name}), frozenset(site.entries) - {name}]


@behave.when("the table is down for the commands")
def table_down(context):
    context.served.site.platform.is_down = True


@behave.then('it exits with {code:d} and prints "{text}"')
def check_output(context, code, text):
    assert context.result.exit_code == code, (context.result.exit_code, context.result.output)
    assert text in context.result.output, context.result.output


@behave.then('it also prints "{text}"')
def check_more_output(context, text):
    assert text in context.result.output, context.result.output


@behave.then('it exits with {code:d} and its JSON has "{name}"')
def check_json(context, code, name):
    assert context.result.exit_code == code, context.result.output
    assert json.loads(context.result.stdout)[name]


@behave.then("it exits with {code:d} and its JSON has version {version:d}")
def check_json_version(context, code, version):
    assert context.result.exit_code == code, context.result.output
    assert json.loads(context.result.stdout)["head"]["version"] == version


@behave.then("the table holds no version")
def check_no_version(context):
    assert context.served.site.head() is None


@behave.then("the token is in no log line and no output")
def check_token_hidden(context):
    served = context.served
    log_output = io.StringIO()
    with contextlib.redirect_stderr(log_output):
        logs.configure("debug")
        for token in ("wrong", served.token):
            _run_command(context, "publish costa_viva", list(served.ports.values()), token)
    logs.configure("critical")
    assert "Switched the configuration." in log_output.getvalue()
    assert served.token not in log_output.getvalue() + "".join(context.outputs)


@behave.given("a decision log for {count:d} subjects")
def make_decision_log(context, count):
    context.decisions = audit.DecisionLog(max_subjects=count)


@behave.when("{count:d} decisions are recorded on each of {subjects:d} subjects")
def record_decisions(context, count, subjects):
    for subject in range(subjects):
        for number in range(count):
            decision = audit.Decision(
                kind="k", subject=f"s{subject}", reason=str(number), at_s=float(number)
            )
            context.decisions.add(decision)


@behave.then(
    "only the last {count:d} on each of the last {subjects:d} subjects are kept, the newest first"
)
def check_kept_decisions(context, count, subjects):
    assert context.decisions.subjects() == ["s2", "s3", "s4"]
    assert len(context.decisions.subjects()) == subjects
    reasons = [decision.reason for decision in context.decisions.get("s4")]
    assert reasons == [str(number) for number in range(39, 39 - count, -1)], reasons
