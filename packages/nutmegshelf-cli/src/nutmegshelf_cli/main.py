"""Define the command-line application and its commands."""

import collections.abc

import typer

from nutmegshelf_cli import jobs, publishing, queries, report

COMMANDS: dict[str, collections.abc.Callable[..., None]] = {
    "check": publishing.check,
    "diff": publishing.diff,
    "publish": publishing.publish,
    "status": queries.status,
    "history": queries.history,
    "explain": queries.explain,
    "entries": queries.entries,
    "jobs": jobs.jobs,
    "job": jobs.job,
    "cancel": jobs.cancel,
    "queues": jobs.queues,
    "pools": jobs.pools,
    "waves": jobs.waves,
    "holders": jobs.holders,
    "report": report.report,
    "version": queries.version,
}


def make_app() -> typer.Typer:
    """Return the Typer application with all commands registered."""
    app = typer.Typer(
        help="Operate nutmegshelf: publish declarations and inspect entries and jobs.",
        no_args_is_help=True,
    )
    for name, command in COMMANDS.items():
        app.command(name)(command)
    return app


def run() -> None:
    """Run the `nutmegshelf` console script."""
    make_app()()
