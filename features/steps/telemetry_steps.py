"""Read the spans, metrics and log lines of served requests."""

import re

import behave
import structlog
import structlog.testing
from nutmegshelf_entry import telemetry
from nutmegshelf_standins import caller
from opentelemetry.sdk.trace import export

_SAMPLE = re.compile(r"^(\w+?)(?:\{(.*)\})? ([-+\d.e]+|\+Inf)$")


class _Kept(export.SpanExporter):
    def __init__(self):
        self.spans = []

    def export(self, spans):
        self.spans += spans
        return export.SpanExportResult.SUCCESS


def _observe(context, fraction):
    context.kept = _Kept()
    telemetry.EXPORTERS["kept"] = lambda: context.kept

    async def replace():
        context.site.relay._telemetry = telemetry.Telemetry(fraction, "kept", context.rng)

    context.run(replace())
    context.told = []
    for listener in context.site.servers:
        _listen(context, listener)


def _listen(context, listener):
    handler = listener._handler

    async def handle(exchange):
        context.told.append((exchange.get_header(b"traceparent") or b"").decode())
        await handler(exchange)

    listener._handler = handle


@behave.given("the traced fraction is {fraction:f}")
def set_fraction(context, fraction):
    _observe(context, fraction)


@behave.when('a request with the traceparent "{given}" has been served')
@behave.when('a request with the traceparent "" has been served')
def serve_traced(context, given=""):
    context.given = given
    call = caller.Call(token="t", service="orders", traceparent=given)
    context.run(context.site.calls.call(call))
    assert context.site.verdict().whole == 1


@behave.when("a keyed request has been served")
def serve_keyed(context):
    context.given = ""
    call = caller.Call(token="t", service="orders", method="POST", key="k")
    context.run(context.site.calls.call(call))
    assert context.site.verdict().whole == 1


@behave.then('the spans are "{names}" in one trace')
@behave.then('the spans are "" in one trace')
def check_spans(context, names=""):
    spans = context.kept.spans
    assert ",".join(span.name for span in spans) == names, [span.name for span in spans]
    assert len({span.context.trace_id for span in spans}) <= 1
    if not spans:
        return
    root = spans[-1]
    assert all(span.parent.span_id == root.context.span_id for span in spans[:-1])
    if context.given.startswith("00-"):
        _, trace_id, parent_id, _ = context.given.split("-")
        assert f"{root.context.trace_id:032x}" == trace_id
        assert f"{root.parent.span_id:016x}" == parent_id


@behave.then("the minion was told {what}")
def check_told(context, what):
    match what:
        case "the minion hop":
            (hop,) = (span for span in context.kept.spans if span.name == "minion")
            made = hop.context
            expected = f"00-{made.trace_id:032x}-{made.span_id:016x}-{made.trace_flags:02x}"
            assert made.trace_flags & 1
        case "what the caller gave":
            expected = context.given
        case "nothing":
            expected = ""
    assert context.told == [expected], (context.told, expected)


@behave.when('{count:d} requests for "{service}" and {wrong:d} for a wrong method have been served')
def serve_counted(context, count, service, wrong):
    async def main():
        for number in range(count + wrong):
            method = "GET" if number < count else "TRACE"
            call = caller.Call(token=f"t{number}", service=service, method=method)
            await context.site.calls.call(call)

    context.run(main())


def _samples(text):
    found = {}
    for line in text.splitlines():
        if not line.startswith("#"):
            match = _SAMPLE.match(line)
            assert match, line
            labels = dict(re.findall(r'(\w+)="([^"]*)"', match[2] or ""))
            found[match[1], tuple(sorted(labels.items()))] = float(match[3])
    return found


@behave.then("the metrics add up to the callers' records")
def check_metrics(context):
    text = context.site.relay._telemetry.render().decode()
    found = _samples(text)

    def value(name, **labels):
        return found[f"nutmegshelf_{name}", tuple(sorted(labels.items()))]

    done = [one.result for one in context.site.calls.done]
    assert value("requests_total", service="orders") == done.count(caller.Result.WHOLE) == 20
    key = {"service": "orders", "outcome": "whole"}
    assert value("request_duration_seconds_count", **key) == 20
    assert value("request_duration_seconds_bucket", le="+Inf", **key) == 20
    assert 0 < value("request_duration_seconds_sum", **key) < 20
    assert value("errors_total", service="", kind="method-not-served") == 1
    retries = value("retries_total", service="orders")
    attempts = value("hop_duration_seconds_count", service="orders", hop="minion")
    assert retries > 0 and attempts == 20 + retries, (attempts, retries)
    assert value("hop_running", service="orders", hop="slot") == 0
    names = {name for name, _ in found}
    assert all(name.startswith("nutmegshelf_") for name in names), names
    for name in re.findall(r"^# TYPE (\w+) counter", text, re.MULTILINE):
        assert name.endswith("_total"), name
    for name in re.findall(r"^# TYPE (\w+) histogram", text, re.MULTILINE):
        assert name.endswith("_seconds"), name


@behave.when('a request has been served with logs at "{low}" and at "{high}"')
def serve_logged(context, low, high):
    context.lines = {}
    before = structlog.get_config()
    try:
        for level in (low, high):
            lines = context.lines[level] = []
            structlog.configure(
                processors=[structlog.testing.LogCapture()],
                wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
                cache_logger_on_first_use=False,
            )
            capture = structlog.get_config()["processors"][0]
            call = caller.Call(token=level, service="orders")
            context.run(context.site.calls.call(call))
            lines += [entry for entry in capture.entries if entry.get("part") == "request"]
    finally:
        structlog.configure(**before)


_LEVELS = {"debug": 10, "info": 20}


@behave.then('{few:d} line tells of it at "{low}" and {none:d} at "{high}"')
def check_lines(context, few, low, none, high):
    assert len(context.lines[low]) == few, context.lines[low]
    assert len(context.lines[high]) == none, context.lines[high]
    (line,) = context.lines[low]
    assert line["service"] == "orders" and line["outcome"] == "whole" and line["duration_ms"] > 0
