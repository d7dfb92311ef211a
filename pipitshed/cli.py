"""The commands."""

from __future__ import annotations

import sys

import click

from pipitshed import __version__
from pipitshed.config import Config, ConfigError, load
from pipitshed.scheduler import serve as run_scheduler


def _load() -> Config:
    try:
        return load()
    except ConfigError as error:
        click.echo(f"pipitshed: {error}", err=True)
        sys.exit(2)


@click.group()
def main() -> None:
    """A scheduler that pushes jobs to planners."""


@main.command()
def serve() -> None:
    """Serve as LB_CONFIG says, until SIGTERM."""
    config = _load()
    try:
        run_scheduler(config)
    except OSError as error:
        click.echo(f"pipitshed: {config.listen[0]}:{config.listen[1]}: {error.strerror}", err=True)
        sys.exit(2)


@main.command()
def check() -> None:
    """Read the configuration, and say what it asks for."""
    config = _load()
    click.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
               f"classes {', '.join(config.classes)}, "
               f"{len(config.known.instances) if config.known else 0} planners known")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
