"""Start the daemon from the command line."""

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
        own = settings.load(settings_file)
    except exceptions.DeclarationError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(INVALID_SETTINGS_EXIT_CODE) from error
    logs.configure(own.log_level.value)

    async def start() -> None:
        await daemon.Daemon(own).run()

    asyncio.run(start())


def run() -> None:
    """Be the entry point of nutmegshelf-entry."""
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(serve)
    app()
