"""Make reports from recorded logs by command."""

import pathlib
import re
import tempfile

import behave
from nutmegshelf_cli import main
from typer import testing


def make(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    recorded = pathlib.Path(folder.name, "day.log")
    recorded.write_text(text)
    context.page = pathlib.Path(folder.name, "page.html")
    words = ["report", str(recorded), "--output", str(context.page)]
    context.result = testing.CliRunner().invoke(main.make_app(), words)


@behave.when("the logs are recorded with the name of a host before each line, and a report is made")
def record(context):
    lines = context.shown.getvalue().splitlines()
    make(context, "\n".join(["no log line", *(f"  1.25 host-1 {line}" for line in lines)]))
    assert context.result.exit_code == 0, context.result.output


@behave.then("the page has a plot of each of these, and loads nothing from elsewhere")
def check_page(context):
    text = context.page.read_text()
    titles = re.findall(r"<!-- ([^>]+) -->", text)
    for row in context.table:
        assert row["plot"] in titles, (row["plot"], titles)
    assert text.count("<svg") >= len(context.table.rows)
    loaded = re.findall(r'(?:src|href)="(?!#)([^"]*)"', text)
    assert not loaded, loaded


@behave.then("it says that {count:d} line could not be read")
def check_unread(context, count):
    assert f"{count} lines could not be read" in context.page.read_text()


@behave.when("a report is made of a file without log lines")
def make_empty(context):
    make(context, "nothing\nof use\n")


@behave.then("it says so and ends with {code:d}")
def check_refused(context, code):
    assert context.result.exit_code == code, context.result.output
    assert "holds no log lines" in context.result.output
    assert not context.page.exists()
