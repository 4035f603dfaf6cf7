"""Steps that trace a failed request to its cause by log lines, as docs/OPERATIONS.md describes."""

import datetime
import io
import json

import behave
from nutmegshelf_entry import logs

from features.steps import own_interface_steps as own


@behave.given("their log lines are captured")
def capture_logs(context):
    context.log_output = io.StringIO()
    logs.configure("info", context.log_output)
    context.add_cleanup(logs.configure, "critical")


def get_lines(context):
    return [json.loads(line) for line in context.log_output.getvalue().splitlines()]


def get_time_s(line):
    return datetime.datetime.fromisoformat(line["timestamp"]).timestamp()


def matches(line, row):
    if (line["part"], line["event"]) != (row["part"], row["event"]):
        return False
    value, expected = line.get(row["field"]), row["value"]
    if expected.startswith("> "):
        return value is not None and float(value) > float(expected[2:])
    return value is not None and expected in (str(value) + json.dumps(value))


def check_job(context, job):
    job_lines = [line for line in get_lines(context) if job in json.dumps(line)]
    for row in context.table:
        assert any(matches(line, row) for line in job_lines), (row, job_lines)
    context.job_lines = job_lines


@behave.then('the lines with "{job}" include')
def check_named_job(context, job):
    check_job(context, job)


@behave.then("the lines with the last job include")
def check_last_job(context):
    check_job(context, context.last_job)


@behave.then("these lines within {seconds:g} s of them give the cause")
def check_cause(context, seconds):
    first, last = (
        get_time_s(context.job_lines[0]) - seconds,
        get_time_s(context.job_lines[-1]) + seconds,
    )
    nearby = [line for line in get_lines(context) if first <= get_time_s(line) <= last]
    for row in context.table:
        assert any(matches(line, row) for line in nearby), (row, [line["event"] for line in nearby])


@behave.then("these lines between them give the cause")
def check_between(context):
    check_cause(context, 0.5)


@behave.when("{count:d} jobs that each fill a worker are submitted")
def submit_many(context, count):
    context.world.jobs = own.SubmittedJobs(context.world.table)
    for number in range(count):
        context.last_job = f"full-{number:02}"
        own.send_request(
            context, "POST", f"/q/{context.last_job}", own.make_submission(8000, 1.5, 1)
        )
        assert context.response[0] == 200, context.response


@behave.when("all of them have succeeded")
def wait_all(context):
    own.check_at_every_entry(context, 20, "GET", f"/q/{context.last_job}", 200, "succeeded")


@behave.when("the entry that holds the service stops")
def stop_holder(context):
    name, _ = context.served.holder()
    context.served.run(context.served.kill(name))
