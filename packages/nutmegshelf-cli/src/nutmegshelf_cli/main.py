"""Read the operators' command line."""

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
    """Build the command line from its commands."""
    app = typer.Typer(help="Drive nutmegshelf by publishing declarations.", no_args_is_help=True)
    for name, command in COMMANDS.items():
        app.command(name)(command)
    return app


def run() -> None:
    """Be the entry point of nutmegshelf."""
    make_app()()
