"""Follow the steps of docs/OPERATIONS.md from a failed request to its cause, by log lines alone."""

import datetime
import io
import json

import behave
from nutmegshelf_entry import logs

from features.steps import own_interface_steps as own


@behave.given("their logs are kept")
def keep_logs(context):
    context.shown = io.StringIO()
    logs.configure("info", context.shown)
    context.add_cleanup(logs.configure, "critical")


def lines(context):
    return [json.loads(line) for line in context.shown.getvalue().splitlines()]


def at_s(line):
    return datetime.datetime.fromisoformat(line["timestamp"]).timestamp()


def fits(line, row):
    if (line["part"], line["event"]) != (row["part"], row["event"]):
        return False
    found, wanted = line.get(row["field"]), row["value"]
    if wanted.startswith("> "):
        return found is not None and float(found) > float(wanted[2:])
    return found is not None and wanted in (str(found) + json.dumps(found))


def check(context, job):
    found = [line for line in lines(context) if job in json.dumps(line)]
    for row in context.table:
        assert any(fits(line, row) for line in found), (row, found)
    context.about = found


@behave.then('the lines with "{job}" are')
def check_lines(context, job):
    check(context, job)


@behave.then("the lines with the last job are")
def check_last(context):
    check(context, context.last)


@behave.then("within the same {seconds:g} s these lines tell the cause")
def check_cause(context, seconds):
    first, last = at_s(context.about[0]) - seconds, at_s(context.about[-1]) + seconds
    near = [line for line in lines(context) if first <= at_s(line) <= last]
    for row in context.table:
        assert any(fits(line, row) for line in near), (row, [line["event"] for line in near])


@behave.then("these lines, in between, tell the cause")
def check_between(context):
    check_cause(context, 0.5)


@behave.when("{count:d} jobs that fill a worker each are asked for")
def submit_many(context, count):
    context.world.jobs = own.SubmittedJobs(context.world.table)
    for number in range(count):
        context.last = f"full-{number:02}"
        own.send_request(context, "POST", f"/q/{context.last}", own.make_submission(8000, 1.5, 1))
        assert context.response[0] == 200, context.response


@behave.when("all of them have succeeded")
def wait_all(context):
    own.check_at_every_entry(context, 20, "GET", f"/q/{context.last}", 200, "succeeded")


@behave.when("the entry that holds the service is gone")
def lose_holder(context):
    name, _ = context.served.holder()
    context.served.run(context.served.kill(name))
