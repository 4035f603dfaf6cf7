"""Turn the recorded logs of a day into one HTML page with plots."""

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
# Counts are shown by the second.
_BIN_S = 1.0


@dataclasses.dataclass(slots=True)
class RecordedLog:
    """Hold the lines of a day, by the seconds since the first of them."""

    lines: list[tuple[float, LogLine]] = dataclasses.field(default_factory=list)
    unreadable_count: int = 0

    def select(self, event: str) -> collections.abc.Iterator[tuple[float, LogLine]]:
        """Give the lines of one event."""
        return ((at_s, line) for at_s, line in self.lines if line.get("event") == event)


def parse_lines(texts: collections.abc.Iterable[str]) -> RecordedLog:
    """Read log lines; what stands before a line's JSON, such as a host's name, is left out."""
    day, found = RecordedLog(), list[tuple[float, LogLine]]()
    for text in texts:
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
            at = datetime.datetime.fromisoformat(line["timestamp"]).timestamp() if line else None
        except (ValueError, KeyError, TypeError):
            at = None
        if line is None or at is None:
            day.unreadable_count += 1
        else:
            found.append((at, line))
    found.sort(key=lambda pair: pair[0])
    first_s = found[0][0] if found else 0.0
    day.lines = [(at - first_s, line) for at, line in found]
    return day


def _pools(day: RecordedLog, field: str, scale: float = 1.0) -> Series:
    series: Series = {}
    for at_s, line in day.select("What pools have and need."):
        for pool, shown in line["pools"].items():
            if shown.get(field) is not None:
                series.setdefault(pool, []).append((at_s, shown[field] * scale))
    return series


def _counts(
    found: collections.abc.Iterable[tuple[float, LogLine]], label: typing.Callable[[LogLine], str]
) -> Series:
    bins: dict[str, collections.Counter[int]] = {}
    for at_s, line in found:
        bins.setdefault(label(line), collections.Counter())[int(at_s // _BIN_S)] += 1
    return {
        name: [(second * _BIN_S, float(counts[second])) for second in range(max(counts) + 1)]
        for name, counts in bins.items()
    }


def _waits(day: RecordedLog) -> Series:
    found = [(at_s, float(line["waited_s"])) for at_s, line in day.select("run starts")]
    return {"wait for a start": found} if found else {}


def _versions(day: RecordedLog) -> Series:
    """Give how old each entry's configuration was, as it took a newer one."""
    series: Series = {}
    newest: dict[int, float] = {}
    for at_s, line in day.select("A configuration is in force."):
        first_s = newest.setdefault(line["version"], at_s)
        series.setdefault("behind the first entry", []).append((at_s, at_s - first_s))
    return series


PLOTS: dict[str, tuple[str, typing.Callable[[RecordedLog], Series]]] = {
    "Demand: work that runs": ("cores", lambda day: _pools(day, "cpu_running", 0.001)),
    "Waiting work": ("cores", lambda day: _pools(day, "cpu_waiting", 0.001)),
    "Capacity: hosts by pool": ("hosts", lambda day: _pools(day, "hosts")),
    "Hosts that are wanted": ("hosts", lambda day: _pools(day, "wanted")),
    "Wait for a start": ("s", _waits),
    "Jobs that ended": (
        "a second",
        lambda day: _counts(day.select("job ended"), lambda line: line["state"]),
    ),
    "Requests without success": (
        "a second",
        lambda day: _counts(day.select("A request got no success."), lambda line: line["kind"]),
    ),
    "Moves of hosts": (
        "a second",
        lambda day: _counts(day.select("Move."), lambda line: line["reason"]),
    ),
    "Configuration: delay between entries": ("s", _versions),
}


def _draw(title: str, unit: str, series: Series, length_s: float) -> str:
    # Loaded here, as no other command needs it and it takes long.
    from matplotlib import figure  # noqa: PLC0415

    drawn = figure.Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    axes = drawn.subplots()
    for name, points in sorted(series.items()):
        x, y = zip(*points, strict=True)
        if len(series) == 1:
            axes.plot(x, y, ".", markersize=3, label=name)
        else:
            axes.plot(x, y, linewidth=1.2, label=name)
    axes.set(title=title, xlabel="s since the first line", ylabel=unit)
    axes.set_xlim(0, max(length_s, _BIN_S))
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend(loc="upper right", fontsize="x-small", ncols=2)
    shown = io.StringIO()
    drawn.savefig(shown, format="svg")
    text = shown.getvalue()
    return text[text.index("<svg") :]


def render_page(day: RecordedLog, name: str) -> str:
    """Write the page."""
    events = collections.Counter(line.get("event", "-") for _, line in day.lines)
    entries = {line["entry"] for _, line in day.select("Started.")}
    length_s = day.lines[-1][0] if day.lines else 0.0
    parts = [
        f"<h1>{html.escape(name)}</h1>",
        f"<p>{len(day.lines)} lines of {len(entries)} entries over {length_s:.0f} s;"
        f" {day.unreadable_count} lines could not be read.</p>",
    ]
    for title, (unit, collect) in PLOTS.items():
        series = collect(day)
        if series:
            parts.append(_draw(title, unit, series, length_s))
        else:
            parts.append(f"<p>{html.escape(title)}: nothing was recorded.</p>")
    rows = "".join(
        f"<tr><td>{html.escape(event)}</td><td>{count}</td></tr>"
        for event, count in events.most_common()
    )
    parts.append(f"<h2>Lines by event</h2><table>{rows}</table>")
    style = "body{font-family:sans-serif;max-width:60em;margin:auto}td{padding:0 1em 0 0}"
    body = "\n".join(parts)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(name)}</title><style>{style}</style></head><body>{body}</body></html>"
    )


def report(
    file: typing.Annotated[
        pathlib.Path, typer.Argument(exists=True, dir_okay=False, help="Recorded log lines.")
    ],
    output: typing.Annotated[
        pathlib.Path, typer.Option("--output", "-o", help="Where the page goes.")
    ] = pathlib.Path("report.html"),
) -> None:
    """Turn recorded logs of entries that serve jobs into an HTML page with plots."""
    with file.open(errors="replace") as texts:
        day = parse_lines(texts)
    if not day.lines:
        print(f"{file} holds no log lines of nutmegshelf")
        raise typer.Exit(session.ExitCode.FAILED)
    output.write_text(render_page(day, file.name))
    print(f"{output}: {len(day.lines)} lines, {day.unreadable_count} not read")
