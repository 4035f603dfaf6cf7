"""Render recorded entry logs as a single HTML page with plots."""

import collections
import collections.abc
import dataclasses
import datetime
import html
import io
import json
import pathlib
import typing

import typer

from nutmegshelf_cli import session

LogLine = dict[str, typing.Any]
Series = dict[str, list[tuple[float, float]]]

_WIDTH_IN, _HEIGHT_IN = 9.0, 2.6
# Event counts are plotted with the unit "a second".
_BIN_WIDTH_S = 1.0


@dataclasses.dataclass(slots=True)
class RecordedLog:
    """Log lines with their times in seconds since the first line."""

    lines: list[tuple[float, LogLine]] = dataclasses.field(default_factory=list)
    unreadable_count: int = 0

    def select(self, event: str) -> collections.abc.Iterator[tuple[float, LogLine]]:
        """Return the lines of one event in order of time."""
        return ((at_s, line) for at_s, line in self.lines if line.get("event") == event)


def parse_lines(raw_lines: collections.abc.Iterable[str]) -> RecordedLog:
    """Parse JSON log lines, ignoring a prefix before the JSON such as a host name."""
    log, timed_lines = RecordedLog(), list[tuple[float, LogLine]]()
    for raw_line in raw_lines:
        json_start = raw_line.find("{")
        try:
            line = json.loads(raw_line[json_start:]) if json_start >= 0 else None
            timestamp_s = (
                datetime.datetime.fromisoformat(line["timestamp"]).timestamp() if line else None
            )
        except (ValueError, KeyError, TypeError):
            timestamp_s = None
        if line is None or timestamp_s is None:
            log.unreadable_count += 1
        else:
            timed_lines.append((timestamp_s, line))
    timed_lines.sort(key=lambda timed_line: timed_line[0])
    first_s = timed_lines[0][0] if timed_lines else 0.0
    log.lines = [(timestamp_s - first_s, line) for timestamp_s, line in timed_lines]
    return log


def _collect_pool_series(log: RecordedLog, field: str, scale: float = 1.0) -> Series:
    series: Series = {}
    for at_s, line in log.select("What pools have and need."):
        for pool, values in line["pools"].items():
            if values.get(field) is not None:
                series.setdefault(pool, []).append((at_s, values[field] * scale))
    return series


def _count_per_second(
    timed_lines: collections.abc.Iterable[tuple[float, LogLine]],
    get_label: typing.Callable[[LogLine], str],
) -> Series:
    bins: dict[str, collections.Counter[int]] = {}
    for at_s, line in timed_lines:
        bins.setdefault(get_label(line), collections.Counter())[int(at_s // _BIN_WIDTH_S)] += 1
    return {
        name: [(second * _BIN_WIDTH_S, float(counts[second])) for second in range(max(counts) + 1)]
        for name, counts in bins.items()
    }


def _collect_start_waits(log: RecordedLog) -> Series:
    points = [(at_s, float(line["waited_s"])) for at_s, line in log.select("run starts")]
    return {"wait for a start": points} if points else {}


def _collect_rollout_delays(log: RecordedLog) -> Series:
    """Return each entry's delay in activating a version, measured from the first entry."""
    series: Series = {}
    first_activation_s: dict[int, float] = {}
    for at_s, line in log.select("A configuration is in force."):
        first_s = first_activation_s.setdefault(line["version"], at_s)
        series.setdefault("behind the first entry", []).append((at_s, at_s - first_s))
    return series


PLOTS: dict[str, tuple[str, typing.Callable[[RecordedLog], Series]]] = {
    "Demand: work that runs": (
        "cores",
        lambda log: _collect_pool_series(log, "cpu_running", 0.001),
    ),
    "Waiting work": ("cores", lambda log: _collect_pool_series(log, "cpu_waiting", 0.001)),
    "Capacity: hosts by pool": ("hosts", lambda log: _collect_pool_series(log, "hosts")),
    "Hosts that are wanted": ("hosts", lambda log: _collect_pool_series(log, "wanted")),
    "Wait for a start": ("s", _collect_start_waits),
    "Jobs that ended": (
        "a second",
        lambda log: _count_per_second(log.select("job ended"), lambda line: line["state"]),
    ),
    "Requests without success": (
        "a second",
        lambda log: _count_per_second(
            log.select("A request got no success."), lambda line: line["kind"]
        ),
    ),
    "Moves of hosts": (
        "a second",
        lambda log: _count_per_second(log.select("Move."), lambda line: line["reason"]),
    ),
    "Configuration: delay between entries": ("s", _collect_rollout_delays),
}


def _draw_plot(title: str, unit: str, series: Series, length_s: float) -> str:
    # Imported here because the import is slow and no other command needs it.
    from matplotlib import figure  # noqa: PLC0415

    plot = figure.Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    axes = plot.subplots()
    for name, points in sorted(series.items()):
        x, y = zip(*points, strict=True)
        if len(series) == 1:
            axes.plot(x, y, ".", markersize=3, label=name)
        else:
            axes.plot(x, y, linewidth=1.2, label=name)
    axes.set(title=title, xlabel="s since the first line", ylabel=unit)
    axes.set_xlim(0, max(length_s, _BIN_WIDTH_S))
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend(loc="upper right", fontsize="x-small", ncols=2)
    svg_output = io.StringIO()
    plot.savefig(svg_output, format="svg")
    svg = svg_output.getvalue()
    return svg[svg.index("<svg") :]


def render_page(log: RecordedLog, name: str) -> str:
    """Return the HTML page with a plot per metric and the line counts by event."""
    events = collections.Counter(line.get("event", "-") for _, line in log.lines)
    entries = {line["entry"] for _, line in log.select("Started.")}
    length_s = log.lines[-1][0] if log.lines else 0.0
    sections = [
        f"<h1>{html.escape(name)}</h1>",
        f"<p>{len(log.lines)} lines of {len(entries)} entries over {length_s:.0f} s;"
        f" {log.unreadable_count} lines could not be read.</p>",
    ]
    for title, (unit, collect_series) in PLOTS.items():
        series = collect_series(log)
        if series:
            sections.append(_draw_plot(title, unit, series, length_s))
        else:
            sections.append(f"<p>{html.escape(title)}: nothing was recorded.</p>")
    rows = "".join(
        f"<tr><td>{html.escape(event)}</td><td>{count}</td></tr>"
        for event, count in events.most_common()
    )
    sections.append(f"<h2>Lines by event</h2><table>{rows}</table>")
    style = "body{font-family:sans-serif;max-width:60em;margin:auto}td{padding:0 1em 0 0}"
    body = "\n".join(sections)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(name)}</title><style>{style}</style></head><body>{body}</body></html>"
    )


def report(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(exists=True, dir_okay=False, help="File of recorded log lines."),
    ],
    output: typing.Annotated[
        pathlib.Path, typer.Option("--output", "-o", help="File to write the page to.")
    ] = pathlib.Path("report.html"),
) -> None:
    """Render recorded logs of entries that serve jobs as an HTML page with plots."""
    with file.open(errors="replace") as raw_lines:
        log = parse_lines(raw_lines)
    if not log.lines:
        print(f"{file} holds no log lines of nutmegshelf")
        raise typer.Exit(session.ExitCode.FAILED)
    output.write_text(render_page(log, file.name))
    print(f"{output}: {len(log.lines)} lines, {log.unreadable_count} not read")
