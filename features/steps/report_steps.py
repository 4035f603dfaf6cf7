"""Steps that build report pages from recorded logs with the command line."""

import pathlib
import re
import tempfile

import behave
from nutmegshelf_cli import main
from typer import testing


def build_report(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    log_file = pathlib.Path(folder.name, "day.log")
    log_file.write_text(text)
    context.page = pathlib.Path(folder.name, "page.html")
    arguments = ["report", str(log_file), "--output", str(context.page)]
    context.result = testing.CliRunner().invoke(main.make_app(), arguments)


@behave.when("the logs are recorded with a host name before each line, and a report is built")
def build_from_logs(context):
    lines = context.log_output.getvalue().splitlines()
    build_report(context, "\n".join(["no log line", *(f"  1.25 host-1 {line}" for line in lines)]))
    assert context.result.exit_code == 0, context.result.output


@behave.then("the page has each of these plots and loads no external resources")
def check_page(context):
    text = context.page.read_text()
    titles = re.findall(r"<!-- ([^>]+) -->", text)
    for row in context.table:
        assert row["plot"] in titles, (row["plot"], titles)
    assert text.count("<svg") >= len(context.table.rows)
    external = re.findall(r'(?:src|href)="(?!#)([^"]*)"', text)
    assert not external, external


@behave.then("it reports {count:d} unreadable line")
def check_unreadable(context, count):
    assert f"{count} lines could not be read" in context.page.read_text()


@behave.when("a report is built from a file without log lines")
def build_from_empty(context):
    build_report(context, "nothing\nof use\n")


@behave.then("the command reports that and exits with {code:d}")
def check_refused(context, code):
    assert context.result.exit_code == code, context.result.output
    assert "holds no log lines" in context.result.output
    assert not context.page.exists()
