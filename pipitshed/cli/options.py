"""Options that several commands share, and loading the files that these options name."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from pipitshed.config.errors import ConfigError
from pipitshed.config.front import FrontConfig, load_front
from pipitshed.config.platform import Config, load_platform_config

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig

EXIT_USAGE = 2  # a file or an option cannot be used

front_option = click.option(
    "--front",
    type=click.Path(path_type=Path),
    help="The front file, which enables Gearman, DNS-SD, translation and a placement plan. "
    "Without it all of them are off.",
)

fleet_option = click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    help="The fleet file, with which this scheduler joins its peers. Without it the scheduler runs alone.",
)


def fail(message: object) -> NoReturn:
    """Print a message to standard error, and exit with EXIT_USAGE."""
    click.echo(f"pipitshed: {message}", err=True)
    sys.exit(EXIT_USAGE)


def load_configuration(front: Path | None) -> tuple[Config, FrontConfig]:
    """Load the platform's configuration and the front file; exit with EXIT_USAGE where one is invalid."""
    try:
        config = load_platform_config()
        return config, load_front(front, config)
    except ConfigError as error:
        fail(error)


def load_cluster_config(path: Path | None) -> ClusterConfig | None:
    """Load the fleet file, and exit with EXIT_USAGE where it is invalid.

    Without a path, no module of the cluster is imported.
    """
    if path is None:
        return None
    from pipitshed.cluster.config_file import ClusterConfigError, read

    try:
        config = read(path)
        if config.event_log is not None:
            import structlog  # noqa: F401 - checks that the extra is installed
        return config
    except ClusterConfigError as error:
        fail(error)
    except ImportError as error:
        fail(f"{path}: event-log needs the extra `fleet` of pipitshed: {error}")
