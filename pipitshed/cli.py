"""The commands."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from pipitshed import __version__
from pipitshed.config import Config, ConfigError, Front, load, load_front
from pipitshed.scheduler import serve as run_scheduler


front_option = click.option("--front", type=click.Path(path_type=Path), default=Path("deploy/front.toml"),
                            show_default=True, help="The file that says where the Gearman front listens.")


def _load(front: Path) -> tuple[Config, Front]:
    try:
        config = load()
        return config, load_front(front, config.classes)
    except ConfigError as error:
        click.echo(f"pipitshed: {error}", err=True)
        sys.exit(2)


@click.group()
def main() -> None:
    """A scheduler that pushes jobs to planners."""


@main.command()
@front_option
def serve(front: Path) -> None:
    """Serve as LB_CONFIG and the front file say, until SIGTERM."""
    config, asked = _load(front)
    try:
        run_scheduler(config, asked)
    except OSError as error:
        click.echo(f"pipitshed: can't listen: {error.strerror}", err=True)
        sys.exit(2)


@main.command()
@front_option
def check(front: Path) -> None:
    """Read the configuration and the front file, and say what they ask for."""
    config, asked = _load(front)
    gearman = ", ".join(f"{host}:{port}" for host, port in asked.listen) or "off"
    click.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
               f"classes {', '.join(config.classes)}, "
               f"{len(config.known.instances) if config.known else 0} planners known, Gearman {gearman}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
