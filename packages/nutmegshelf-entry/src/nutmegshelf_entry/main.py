"""Command line of the entry daemon."""

import asyncio
import pathlib
import sys
import typing

import typer
from nutmegshelf import exceptions

from nutmegshelf_entry import daemon, logs, settings

INVALID_SETTINGS_EXIT_CODE = 2


def serve(
    settings_file: typing.Annotated[pathlib.Path, typer.Option("--settings", help="A TOML file.")],
) -> None:
    """Run one nutmegshelf entry."""
    try:
        entry_settings = settings.load(settings_file)
    except exceptions.DeclarationError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(INVALID_SETTINGS_EXIT_CODE) from error
    logs.configure(entry_settings.log_level.value)

    async def start() -> None:
        await daemon.Daemon(entry_settings).run()

    asyncio.run(start())


def run() -> None:
    """Parse the command line of nutmegshelf-entry and run the daemon."""
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(serve)
    app()
