"""The top-level command group; commands that `serve` does not need are imported when they are called."""

from __future__ import annotations

import importlib
from dataclasses import dataclass

import click

from pipitshed import __version__
from pipitshed.cli.options import fail
from pipitshed.cli.serve import check, serve


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """A command that is imported when it is called.

    Attributes:
        extra: The extra of the package that its module needs; empty for none.
    """

    module: str
    attribute: str
    extra: str = ""


LAZY_COMMANDS = {
    "fleet": LazyCommand("pipitshed.cli.fleet", "fleet", "fleet"),
    "init": LazyCommand("pipitshed.cli.files", "init"),
    "lab": LazyCommand("pipitshed.cli.testbed", "testbed", "lab"),  # former name of `testbed`
    "place": LazyCommand("pipitshed.cli.place", "place", "placement"),
    "schema": LazyCommand("pipitshed.cli.files", "schema"),
    "settings": LazyCommand("pipitshed.cli.settings", "settings", "fleet"),
    "testbed": LazyCommand("pipitshed.cli.testbed", "testbed", "lab"),
}


class LazyGroup(click.Group):
    """A command group that also has the commands of LAZY_COMMANDS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of this name; exit with EXIT_USAGE where its extra is not installed."""
        lazy = LAZY_COMMANDS.get(cmd_name)
        if lazy is None:
            return super().get_command(ctx, cmd_name)
        try:
            command: click.Command = getattr(importlib.import_module(lazy.module), lazy.attribute)
        except ImportError as error:
            if not lazy.extra:
                raise
            fail(f"`{cmd_name}` needs the extra `{lazy.extra}` of pipitshed: {error}")
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Run and operate a scheduler that sends jobs to planners."""


@main.command()
def version() -> None:
    """Print the version of pipitshed."""
    click.echo(__version__)


main.add_command(serve)
main.add_command(check)
