"""Steps that check the spans, metrics and log lines of served requests."""

import re

import behave
import structlog
import structlog.testing
from nutmegshelf_entry import telemetry
from nutmegshelf_standins import caller
from opentelemetry.sdk.trace import export

_SAMPLE = re.compile(r"^(\w+?)(?:\{(.*)\})? ([-+\d.e]+|\+Inf)$")


class _MemoryExporter(export.SpanExporter):
    def __init__(self):
        self.spans = []

    def export(self, spans):
        self.spans += spans
        return export.SpanExportResult.SUCCESS


def _start_recording(context, fraction):
    context.exporter = _MemoryExporter()
    telemetry.EXPORTERS["memory"] = lambda: context.exporter

    async def replace():
        context.site.relay._telemetry = telemetry.Telemetry(fraction, "memory", context.rng)

    context.run(replace())
    context.sent_traceparents = []
    for listener in context.site.servers:
        _record_traceparents(context, listener)


def _record_traceparents(context, listener):
    handler = listener._handler

    async def handle(exchange):
        context.sent_traceparents.append((exchange.get_header(b"traceparent") or b"").decode())
        await handler(exchange)

    listener._handler = handle


@behave.given("the traced fraction is {fraction:f}")
def set_fraction(context, fraction):
    _start_recording(context, fraction)


@behave.when('a request with the traceparent "{traceparent}" has been served')
@behave.when('a request with the traceparent "" has been served')
def serve_traced(context, traceparent=""):
    context.traceparent = traceparent
    call = caller.Call(token="t", service="orders", traceparent=traceparent)
    context.run(context.site.calls.call(call))
    assert context.site.verdict().complete == 1


@behave.when("a keyed request has been served")
def serve_keyed(context):
    context.traceparent = ""
    call = caller.Call(token="t", service="orders", method="POST", key="k")
    context.run(context.site.calls.call(call))
    assert context.site.verdict().complete == 1


@behave.then('the spans are "{names}" in one trace')
@behave.then('the spans are "" in one trace')
def check_spans(context, names=""):
    spans = context.exporter.spans
    assert ",".join(span.name for span in spans) == names, [span.name for span in spans]
    assert len({span.context.trace_id for span in spans}) <= 1
    if not spans:
        return
    root = spans[-1]
    assert all(span.parent.span_id == root.context.span_id for span in spans[:-1])
    if context.traceparent.startswith("00-"):
        _, trace_id, parent_id, _ = context.traceparent.split("-")
        assert f"{root.context.trace_id:032x}" == trace_id
        assert f"{root.parent.span_id:016x}" == parent_id


@behave.then("the traceparent sent to the minion is {source}")
def check_sent_traceparent(context, source):
    match source:
        case "the minion hop":
            (hop,) = (span for span in context.exporter.spans if span.name == "minion")
            parent = hop.context
            expected = f"00-{parent.trace_id:032x}-{parent.span_id:016x}-{parent.trace_flags:02x}"
            assert parent.trace_flags & 1
        case "what the caller gave":
            expected = context.traceparent
        case "nothing":
            expected = ""
    assert context.sent_traceparents == [expected], (context.sent_traceparents, expected)


@behave.when(
    '{count:d} requests for "{service}" and {wrong_count:d} for a wrong method have been served'
)
def serve_counted(context, count, service, wrong_count):
    async def main():
        for number in range(count + wrong_count):
            method = "GET" if number < count else "TRACE"
            call = caller.Call(token=f"t{number}", service=service, method=method)
            await context.site.calls.call(call)

    context.run(main())


def _parse_samples(text):
    samples = {}
    for line in text.splitlines():
        if not line.startswith("#"):
            match = _SAMPLE.match(line)
            assert match, line
            labels = dict(re.findall(r'(\w+)="([^"]*)"', match[2] or ""))
            samples[match[1], tuple(sorted(labels.items()))] = float(match[3])
    return samples


@behave.then("the metrics match the callers' records")
def check_metrics(context):
    text = context.site.relay._telemetry.render().decode()
    samples = _parse_samples(text)

    def value(name, **labels):
        return samples[f"nutmegshelf_{name}", tuple(sorted(labels.items()))]

    results = [done.result for done in context.site.calls.call_records]
    assert value("requests_total", service="orders") == results.count(caller.Result.COMPLETE) == 20
    whole_labels = {"service": "orders", "outcome": "whole"}
    assert value("request_duration_seconds_count", **whole_labels) == 20
    assert value("request_duration_seconds_bucket", le="+Inf", **whole_labels) == 20
    assert 0 < value("request_duration_seconds_sum", **whole_labels) < 20
    assert value("errors_total", service="", kind="method-not-served") == 1
    retries = value("retries_total", service="orders")
    attempts = value("hop_duration_seconds_count", service="orders", hop="minion")
    assert retries > 0 and attempts == 20 + retries, (attempts, retries)
    assert value("hop_running", service="orders", hop="slot") == 0
    names = {name for name, _ in samples}
    assert all(name.startswith("nutmegshelf_") for name in names), names
    for name in re.findall(r"^# TYPE (\w+) counter", text, re.MULTILINE):
        assert name.endswith("_total"), name
    for name in re.findall(r"^# TYPE (\w+) histogram", text, re.MULTILINE):
        assert name.endswith("_seconds"), name


@behave.when('a request has been served with logs at "{low}" and at "{high}"')
def serve_logged(context, low, high):
    context.lines = {}
    previous = structlog.get_config()
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
        structlog.configure(**previous)


_LEVELS = {"debug": 10, "info": 20}


@behave.then('{low_count:d} line is logged for it at "{low}" and {high_count:d} at "{high}"')
def check_lines(context, low_count, low, high_count, high):
    assert len(context.lines[low]) == low_count, context.lines[low]
    assert len(context.lines[high]) == high_count, context.lines[high]
    (line,) = context.lines[low]
    assert line["service"] == "orders" and line["outcome"] == "whole" and line["duration_ms"] > 0
